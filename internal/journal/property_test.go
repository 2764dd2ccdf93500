package journal

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/platform/platformd"
)

// startsOutage begins an outage after the write took effect, unanswered.
const startsOutage = platformd.FirstCustomDelivery

var fates = []platformd.Delivery{
	platformd.Delivered, platformd.Delivered, platformd.ResponseLost,
	platformd.RequestLost, platformd.RequestDelayed, startsOutage,
}

// faulty is a platform whose writes meet drawn fates.
type faulty struct {
	*platformd.LossyStore
	t      *rapid.T
	down   bool
	cancel context.CancelFunc
}

func (f *faulty) blocked() error {
	if !f.down {
		return nil
	}
	if f.cancel != nil {
		f.cancel() // a flush does not wait for the end of an outage
	}
	return platform.ErrUnavailable
}

func (f *faulty) Get(ctx context.Context, k string) (platform.Row, error) {
	if err := f.blocked(); err != nil {
		return platform.Row{}, err
	}
	return f.Store.Get(ctx, k)
}

func (f *faulty) PutObject(ctx context.Context, name string, data []byte) error {
	if err := f.blocked(); err != nil {
		return err
	}
	if rapid.Bool().Draw(f.t, "lose the object's answer") {
		_ = f.Store.PutObject(ctx, name, data)
		return platform.ErrUnknown
	}
	return f.Store.PutObject(ctx, name, data)
}

func (f *faulty) Commit(ctx context.Context, txn platform.Txn) error {
	if err := f.blocked(); err != nil {
		return err
	}
	if len(txn.Puts) == 0 { // a read
		return f.Store.Commit(ctx, txn)
	}
	fate := rapid.SampledFrom(fates).Draw(f.t, "fate")
	if fate == startsOutage {
		f.down = true
		fate = platformd.ResponseLost
	}
	return f.CommitWith(ctx, txn, fate)
}

// writer is one run of an entry that writes to the account.
type writer struct {
	*Journal
	recorded []Entry // not yet known to be durable
}

// account is the world of the property.
type account struct {
	*faulty
	writers  []*writer
	durable  map[key.Key]Entry
	finished []key.Key // settled by their holder
	keys     []key.Key
}

func (a *account) start(name string) *writer {
	return &writer{Journal: New(Config{
		Platform: a.faulty, DC: "rennes", Writer: name, Interval: time.Nanosecond,
		InlineBytes: rapid.SampledFrom([]int{1, 1 << 20}).Draw(a.t, "inline bytes"),
	})}
}

func (a *account) act() {
	i := rapid.IntRange(0, len(a.writers)-1).Draw(a.t, "writer")
	w := a.writers[i]
	switch rapid.SampledFrom([]string{"finish", "finish", "finish", "lose", "repeat", "flush", "flush", "crash", "up", "late"}).Draw(a.t, "action") {
	case "finish":
		k := newKey(a.t, "rennes")
		a.keys = append(a.keys, k)
		a.finished = append(a.finished, k)
		w.record(completed(k))
		if rapid.Bool().Draw(a.t, "twice") {
			w.record(completed(k))
		}
	case "lose":
		if len(a.keys) > 0 {
			w.record(holderLost(rapid.SampledFrom(a.keys).Draw(a.t, "key")))
		} else {
			k := newKey(a.t, "rennes")
			a.keys = append(a.keys, k)
			w.record(holderLost(k))
		}
	case "repeat":
		if len(a.finished) > 0 {
			e := completed(rapid.SampledFrom(a.finished).Draw(a.t, "key"))
			e.Again = true
			w.record(e)
		}
	case "flush":
		a.flush(w)
	case "crash":
		a.writers[i] = a.start(fmt.Sprint("vm-", i))
	case "up":
		a.down = false
	case "late":
		a.DeliverDelayed()
	}
}

func (w *writer) record(e Entry) {
	w.Record(e)
	w.recorded = append(w.recorded, e)
}

func (a *account) flush(w *writer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.cancel = cancel
	if w.Flush(ctx) != nil {
		return
	}
	for _, e := range w.recorded {
		old, ok := a.durable[e.Key]
		if !ok || e.replaces(old) {
			a.durable[e.Key] = e
		}
	}
	w.recorded = nil
}

// readAll reads the account in pages.
func readAll(t *rapid.T, j *Journal, limit int) []Entry {
	var lines []Entry
	after := ""
	for {
		page, err := j.Read(context.Background(), after, limit)
		assert.NilError(t, err)
		if len(page.Lines) == 0 {
			return lines
		}
		for _, l := range page.Lines {
			lines = append(lines, l.Entry)
		}
		after = page.Lines[len(page.Lines)-1].Position
	}
}

// TestTheAccountHoldsEachKeyOnce drives writers of one data centre through
// outages, lost and late answers and crashes.
func TestTheAccountHoldsEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &account{
			faulty:  &faulty{LossyStore: &platformd.LossyStore{Store: newStore()}, t: t},
			durable: map[key.Key]Entry{},
		}
		for i := range 3 {
			a.writers = append(a.writers, a.start(fmt.Sprint("vm-", i)))
		}
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			a.act()
		}
		before := a.readRows()
		a.down = false
		for _, w := range a.writers {
			a.down = false
			a.flush(w)
		}
		a.down, a.cancel = false, nil
		a.DeliverDelayed()

		reader := New(Config{Platform: a.faulty, DC: "quimper"})
		lines := readAll(t, reader, rapid.IntRange(1, 5).Draw(t, "limit"))
		assert.DeepEqual(t, lines, readAll(t, reader, 1000))
		seen := map[key.Key]Entry{}
		for _, e := range lines {
			_, twice := seen[e.Key]
			assert.Assert(t, !twice, "key %v stands twice", e.Key)
			seen[e.Key] = e
		}
		for k, want := range a.durable {
			got, ok := seen[k]
			assert.Assert(t, ok, "key %v was flushed and is lost", k)
			assert.Assert(t, !want.settled() || got.settled(), "key %v lost its outcome", k)
			found, ok, err := reader.Lookup(context.Background(), k)
			assert.NilError(t, err)
			assert.Assert(t, ok && found == got, "lookup of %v differs from the account", k)
		}
		after := a.readRows()
		for i, row := range before {
			assert.DeepEqual(t, after[i], row)
		}
	})
}

// readRows returns the log as it stands.
func (a *account) readRows() []platform.Row {
	rows, err := a.Store.Scan(context.Background(), rowPrefix, "", 1000)
	assert.NilError(a.t, err)
	return rows
}
