package journal

import (
	"context"
	"fmt"

	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// Bounds of one page read from a log.
const (
	maxPageRows    = 64
	maxPageRecords = 50_000 // exceeded by at most the records of one batch
)

// Line is one record of the account with its position.
type Line struct {
	Position string // position after this line, to continue Read from
	Record   Record
}

// Page is a part of the account, as returned by Read.
type Page struct {
	Lines []Line
	// Next is the position at which the next page starts.
	Next string
	// Missing is the number of dropped records, as given by the batches that
	// begin on this page.
	Missing int
}

// Read returns up to limit lines of the account from a position on, from the
// start if that is empty. The lines of a data centre are in the order of its
// log, which never changes; data centres are in order of name.
//
// Each key is listed once, by its effective record: the first final record
// written by the holder of its claim, wherever in the log that is, else the
// first final record from a peer, else the first record. If a key's final record
// is written after a reader has passed its line with may_have_run, the reader
// meets the final record later in the log.
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
	return verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "account can't be read: %w", err)
}

// dataCentres returns the data centres that have a log, in order of name.
func (j *Journal) dataCentres(ctx context.Context) ([]string, error) {
	var dcs []string
	after := ""
	for {
		rows, err := j.cfg.Platform.Scan(ctx, rowPrefix, after, 1)
		if err != nil {
			return nil, fmt.Errorf("list data centres of the account: %w", err)
		}
		if len(rows) == 0 {
			return dcs, nil
		}
		dc, _, err := parseRowKey(rows[0].Key)
		if err != nil {
			return nil, err
		}
		dcs = append(dcs, dc)
		after = logPrefix(dc) + "~" // sorts after all row numbers
	}
}

// readLog appends the lines of one log to the page, from pos on, and advances
// pos.
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

// appendRows appends the effective records of the rows to the page until it is
// full, and advances pos.
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

// logRow is a decoded row of a log.
type logRow struct {
	batchRow
	Records []Record
	seq     uint64
}

// scanLog reads a page of rows from a number on, and reports whether there may
// be more.
func (j *Journal) scanLog(ctx context.Context, dc string, from uint64) (page []logRow, more bool, err error) {
	rows, err := j.cfg.Platform.Scan(ctx, logPrefix(dc), rowKey(dc, from-1), maxPageRows)
	if err != nil {
		return nil, false, fmt.Errorf("read journal of %s: %w", dc, err)
	}
	records := 0
	for _, row := range rows {
		r, err := j.loadRow(ctx, row)
		if err != nil {
			return nil, false, err
		}
		page = append(page, r)
		if records += len(r.Records); records > maxPageRecords {
			return page, true, nil
		}
	}
	return page, len(rows) == maxPageRows, nil
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
	records, err := b.Body.records()
	if err != nil {
		return logRow{}, fmt.Errorf("journal row %s: %w", row.Key, err)
	}
	b.Body = nil
	return logRow{batchRow: b, Records: records, seq: seq}, nil
}

func (j *Journal) loadBody(ctx context.Context, object string) (*batchBody, error) {
	data, err := j.cfg.Platform.GetObject(ctx, object)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", object, err)
	}
	body := new(batchBody)
	return body, wire.Decode(data, body)
}

// effectiveFilter returns the filter by which Read leaves out records that
// another record of the same key replaces. It searches the log only if the rows
// have replaceable records from a cursor on. These are rare: they come from the
// loss of a VM or of a target.
func (j *Journal) effectiveFilter(ctx context.Context, dc string, rows []logRow, from cursor) (func(cursor, Record) bool, error) {
	replaceable := map[key.Key]bool{}
	var span timeRange
	for _, row := range rows {
		for i, rec := range row.Records {
			if rec.replaceable() && !(cursor{row.seq, i}).before(from) {
				replaceable[rec.Key] = true
				span.add(rec.Key.MintedAt().UnixMilli())
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
	return func(at cursor, rec Record) bool { return !rec.replaceable() || best[rec.Key].cursor == at }, nil
}
