package journal

import (
	"context"
	"fmt"

	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// Bounds of one read of a log.
const (
	maxPageRows    = 64
	maxPageRecords = 50_000 // more than that only in one batch
)

// Line is one key of the account.
type Line struct {
	Position string // the place after this line, for Read
	Record   Record
}

// Page is a part of the account.
type Page struct {
	Lines []Line
	// Next is the position after the last line.
	Next string
	// Missing is the number of outcomes that the batches begun on this page
	// say were dropped.
	Missing int
}

// Read returns up to limit lines of the account after a position, from the
// start if that is empty. Each data centre's lines are in the order of its
// log, which never changes; data centres follow in order of name.
//
// Each key stands once. Of several entries of a key the one that its holder
// settled counts, wherever in the log that is, else the first that a peer
// settled, else the first. A reader that has passed a line may_have_run meets
// the settled one, should it come, at its own place later in the log.
//
// The error is a *verdict.Error.
func (j *Journal) Read(ctx context.Context, after string, limit int) (Page, error) {
	pos, err := parsePosition(after)
	if err != nil {
		return Page{}, err
	}
	var page Page
	dcs, err := j.dataCentres(ctx)
	if err != nil {
		return Page{}, readError(err)
	}
	for _, dc := range dcs {
		if err := j.readLog(ctx, dc, pos, limit, &page); err != nil {
			return Page{}, readError(err)
		}
	}
	page.Next = pos.String()
	return page, nil
}

func readError(err error) error {
	return verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "the account can't be read now: %w", err)
}

// dataCentres returns the names of all logs, in order.
func (j *Journal) dataCentres(ctx context.Context) ([]string, error) {
	var dcs []string
	after := ""
	for {
		rows, err := j.cfg.Platform.Scan(ctx, rowPrefix, after, 1)
		if err != nil {
			return nil, fmt.Errorf("list journals: %w", err)
		}
		if len(rows) == 0 {
			return dcs, nil
		}
		dc, _, err := parseRowKey(rows[0].Key)
		if err != nil {
			return nil, err
		}
		dcs = append(dcs, dc)
		after = logPrefix(dc) + "~" // above all numbers
	}
}

// readLog appends the lines of one log to the page.
func (j *Journal) readLog(ctx context.Context, dc string, pos position, limit int, page *Page) error {
	for len(page.Lines) < limit {
		rows, more, err := j.scanLog(ctx, dc, pos.cursorOf(dc).seq)
		if err != nil || len(rows) == 0 {
			return err
		}
		isEffective, err := j.effectiveFilter(ctx, dc, rows, pos.cursorOf(dc))
		if err != nil {
			return err
		}
		page.appendRows(dc, rows, pos, limit, isEffective)
		if !more {
			return nil
		}
	}
	return nil
}

// appendRows moves the position over the rows until the page is full.
func (p *Page) appendRows(dc string, rows []logRow, pos position, limit int, isEffective func(cursor, Record) bool) {
	for _, row := range rows {
		if pos.cursorOf(dc).index == 0 {
			p.Missing += row.Dropped
		}
		for i := pos.cursorOf(dc).index; i < len(row.Records); i++ {
			if len(p.Lines) == limit {
				return
			}
			at := cursor{seq: row.seq, index: i}
			pos[dc] = cursor{seq: row.seq, index: i + 1}
			if isEffective(at, row.Records[i]) {
				p.Lines = append(p.Lines, Line{Position: pos.String(), Record: row.Records[i]})
			}
		}
		pos[dc] = cursor{seq: row.seq + 1}
	}
}

// logRow is a batch with its number and its entries.
type logRow struct {
	batchRow
	Records []Record
	seq     uint64
}

// scanLog reads a page of batches from a number on, and reports whether there
// may be more.
func (j *Journal) scanLog(ctx context.Context, dc string, from uint64) (batches []logRow, more bool, err error) {
	rows, err := j.cfg.Platform.Scan(ctx, logPrefix(dc), rowKey(dc, from-1), maxPageRows)
	if err != nil {
		return nil, false, fmt.Errorf("read journal of %s: %w", dc, err)
	}
	entries := 0
	for _, row := range rows {
		r, err := j.loadRow(ctx, row)
		if err != nil {
			return nil, false, err
		}
		batches = append(batches, r)
		if entries += len(r.Records); entries > maxPageRecords {
			return batches, true, nil
		}
	}
	return batches, len(rows) == maxPageRows, nil
}

func (j *Journal) loadRow(ctx context.Context, row platform.Row) (logRow, error) {
	_, seq, err := parseRowKey(row.Key)
	if err != nil {
		return logRow{}, err
	}
	b, err := decodeBatchRow(row)
	if err != nil {
		return logRow{}, err
	}
	if b.Body == nil {
		if b.Body, err = j.loadBody(ctx, b.Object); err != nil {
			return logRow{}, fmt.Errorf("journal row %s: %w", row.Key, err)
		}
	}
	entries, err := b.Body.records()
	if err != nil {
		return logRow{}, fmt.Errorf("journal row %s: %w", row.Key, err)
	}
	b.Body = nil
	return logRow{batchRow: b, Records: entries, seq: seq}, nil
}

func (j *Journal) loadBody(ctx context.Context, object string) (*batchBody, error) {
	data, err := j.cfg.Platform.GetObject(ctx, object)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", object, err)
	}
	body := new(batchBody)
	return body, wire.Decode(data, body)
}

// effectiveFilter returns the rule by which Read passes over entries that another entry
// of the same key replaces. Those that can be replaced are rare: they come from
// the loss of a VM or of a target.
func (j *Journal) effectiveFilter(ctx context.Context, dc string, rows []logRow, from cursor) (func(cursor, Record) bool, error) {
	replaceable := map[key.Key]bool{}
	var span timeRange
	for _, row := range rows {
		for i, e := range row.Records {
			if e.replaceable() && !(cursor{row.seq, i}).before(from) {
				replaceable[e.Key] = true
				span.add(e.Key.MintedAt().UnixMilli())
				span.add(row.WrittenMS)
			}
		}
	}
	if len(replaceable) == 0 {
		return func(cursor, Record) bool { return true }, nil
	}
	span.last += j.cfg.FinalOutcomeWindow.Milliseconds()
	best, err := j.effectiveRecords(ctx, dc, replaceable, span)
	if err != nil {
		return nil, err
	}
	return func(at cursor, e Record) bool { return !e.replaceable() || best[e.Key].cursor == at }, nil
}
