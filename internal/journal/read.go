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
	pageRows    = 64
	pageEntries = 50_000 // more than that only in one batch
)

// Line is one key of the account.
type Line struct {
	Position string // the place after this line, for Read
	Entry    Entry
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
		return Page{}, readFailed(err)
	}
	for _, dc := range dcs {
		if err := j.readLog(ctx, dc, pos, limit, &page); err != nil {
			return Page{}, readFailed(err)
		}
	}
	page.Next = pos.String()
	return page, nil
}

func readFailed(err error) error {
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
		rows, more, err := j.scanLog(ctx, dc, pos.at(dc).seq)
		if err != nil || len(rows) == 0 {
			return err
		}
		shown, err := j.shown(ctx, dc, rows, pos.at(dc))
		if err != nil {
			return err
		}
		page.take(dc, rows, pos, limit, shown)
		if !more {
			return nil
		}
	}
	return nil
}

// take moves the position over the rows until the page is full.
func (p *Page) take(dc string, rows []logRow, pos position, limit int, shown func(cursor, Entry) bool) {
	for _, row := range rows {
		if pos.at(dc).index == 0 {
			p.Missing += row.Dropped
		}
		for i := pos.at(dc).index; i < len(row.Entries); i++ {
			if len(p.Lines) == limit {
				return
			}
			at := cursor{seq: row.seq, index: i}
			pos[dc] = cursor{seq: row.seq, index: i + 1}
			if shown(at, row.Entries[i]) {
				p.Lines = append(p.Lines, Line{Position: pos.String(), Entry: row.Entries[i]})
			}
		}
		pos[dc] = cursor{seq: row.seq + 1}
	}
}

// logRow is a batch with its number and its entries.
type logRow struct {
	batchRow
	Entries []Entry
	seq     uint64
}

// scanLog reads a page of batches from a number on, and reports whether there
// may be more.
func (j *Journal) scanLog(ctx context.Context, dc string, from uint64) (batches []logRow, more bool, err error) {
	rows, err := j.cfg.Platform.Scan(ctx, logPrefix(dc), rowKey(dc, from-1), pageRows)
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
		if entries += len(r.Entries); entries > pageEntries {
			return batches, true, nil
		}
	}
	return batches, len(rows) == pageRows, nil
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
	entries, err := b.Body.entries()
	if err != nil {
		return logRow{}, fmt.Errorf("journal row %s: %w", row.Key, err)
	}
	b.Body = nil
	return logRow{batchRow: b, Entries: entries, seq: seq}, nil
}

func (j *Journal) loadBody(ctx context.Context, object string) (*batchBody, error) {
	data, err := j.cfg.Platform.GetObject(ctx, object)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", object, err)
	}
	body := new(batchBody)
	return body, wire.Decode(data, body)
}

// shown returns the rule by which Read passes over entries that another entry
// of the same key replaces. Those that can be replaced are rare: they come from
// the loss of a VM or of a target.
func (j *Journal) shown(ctx context.Context, dc string, rows []logRow, from cursor) (func(cursor, Entry) bool, error) {
	open := map[key.Key]bool{}
	var span timeSpan
	for _, row := range rows {
		for i, e := range row.Entries {
			if e.replaceable() && !(cursor{row.seq, i}).before(from) {
				open[e.Key] = true
				span.add(e.Key.MintedAt().UnixMilli())
				span.add(row.WrittenMS)
			}
		}
	}
	if len(open) == 0 {
		return func(cursor, Entry) bool { return true }, nil
	}
	span.last += j.cfg.SettleWindow.Milliseconds()
	best, err := j.best(ctx, dc, open, span)
	if err != nil {
		return nil, err
	}
	return func(at cursor, e Entry) bool { return !e.replaceable() || best[e.Key].at == at }, nil
}
