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

// outageAfterCommit begins an outage after the write took effect, unanswered.
const outageAfterCommit = platformd.FirstCustomDelivery

var deliveries = []platformd.Delivery{
	platformd.Delivered, platformd.Delivered, platformd.ResponseLost,
	platformd.RequestLost, platformd.RequestDelayed, outageAfterCommit,
}

// faultyPlatform is a platform whose writes meet drawn fates.
type faultyPlatform struct {
	*platformd.LossyStore
	t      *rapid.T
	down   bool
	cancel context.CancelFunc
}

func (f *faultyPlatform) blocked() error {
	if !f.down {
		return nil
	}
	if f.cancel != nil {
		f.cancel() // a flush does not wait for the end of an outage
	}
	return platform.ErrUnavailable
}

func (f *faultyPlatform) Get(ctx context.Context, k string) (platform.Row, error) {
	if err := f.blocked(); err != nil {
		return platform.Row{}, err
	}
	return f.Store.Get(ctx, k)
}

func (f *faultyPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	if err := f.blocked(); err != nil {
		return err
	}
	if rapid.Bool().Draw(f.t, "lose the object's answer") {
		_ = f.Store.PutObject(ctx, name, data)
		return platform.ErrUnknown
	}
	return f.Store.PutObject(ctx, name, data)
}

func (f *faultyPlatform) Commit(ctx context.Context, txn platform.Txn) error {
	if err := f.blocked(); err != nil {
		return err
	}
	if len(txn.Puts) == 0 { // a read
		return f.Store.Commit(ctx, txn)
	}
	delivery := rapid.SampledFrom(deliveries).Draw(f.t, "fate")
	if delivery == outageAfterCommit {
		f.down = true
		delivery = platformd.ResponseLost
	}
	return f.CommitWith(ctx, txn, delivery)
}

// writer is one run of an entry that writes to the account.
type writer struct {
	*Journal
	recorded []Record // not yet known to be durable
}

// accountModel is the world of the property.
type accountModel struct {
	*faultyPlatform
	writers       []*writer
	durable       map[key.Key]Record
	completedKeys []key.Key // settled by their holder
	keys          []key.Key
}

func (a *accountModel) newWriter(name string) *writer {
	return &writer{Journal: New(Config{
		Platform: a.faultyPlatform, DC: "rennes", Writer: name, Interval: time.Nanosecond,
		InlineBytes: rapid.SampledFrom([]int{1, 1 << 20}).Draw(a.t, "inline bytes"),
	})}
}

func (a *accountModel) step() {
	i := rapid.IntRange(0, len(a.writers)-1).Draw(a.t, "writer")
	w := a.writers[i]
	switch rapid.SampledFrom([]string{"finish", "finish", "finish", "lose", "repeat", "flush", "flush", "crash", "up", "late"}).Draw(a.t, "action") {
	case "finish":
		k := newKey(a.t, "rennes")
		a.keys = append(a.keys, k)
		a.completedKeys = append(a.completedKeys, k)
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
		if len(a.completedKeys) > 0 {
			e := completed(rapid.SampledFrom(a.completedKeys).Draw(a.t, "key"))
			e.FromPeer = true
			w.record(e)
		}
	case "flush":
		a.flush(w)
	case "crash":
		a.writers[i] = a.newWriter(fmt.Sprint("vm-", i))
	case "up":
		a.down = false
	case "late":
		a.DeliverDelayed()
	}
}

func (w *writer) record(e Record) {
	w.Record(e)
	w.recorded = append(w.recorded, e)
}

func (a *accountModel) flush(w *writer) {
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
func readAll(t *rapid.T, j *Journal, limit int) []Record {
	var lines []Record
	after := ""
	for {
		page, err := j.Read(context.Background(), after, limit)
		assert.NilError(t, err)
		if len(page.Lines) == 0 {
			return lines
		}
		for _, l := range page.Lines {
			lines = append(lines, l.Record)
		}
		after = page.Lines[len(page.Lines)-1].Position
	}
}

// TestAccountListsEachKeyOnce drives writers of one data centre through
// outages, lost and late answers and crashes.
func TestAccountListsEachKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &accountModel{
			faultyPlatform: &faultyPlatform{LossyStore: &platformd.LossyStore{Store: newStore()}, t: t},
			durable:        map[key.Key]Record{},
		}
		for i := range 3 {
			a.writers = append(a.writers, a.newWriter(fmt.Sprint("vm-", i)))
		}
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			a.step()
		}
		before := a.readRows()
		a.down = false
		for _, w := range a.writers {
			a.down = false
			a.flush(w)
		}
		a.down, a.cancel = false, nil
		a.DeliverDelayed()

		reader := New(Config{Platform: a.faultyPlatform, DC: "quimper"})
		lines := readAll(t, reader, rapid.IntRange(1, 5).Draw(t, "limit"))
		assert.DeepEqual(t, lines, readAll(t, reader, 1000))
		seen := map[key.Key]Record{}
		for _, e := range lines {
			_, twice := seen[e.Key]
			assert.Assert(t, !twice, "key %v stands twice", e.Key)
			seen[e.Key] = e
		}
		for k, want := range a.durable {
			got, ok := seen[k]
			assert.Assert(t, ok, "key %v was flushed and is lost", k)
			assert.Assert(t, !want.final() || got.final(), "key %v lost its outcome", k)
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
func (a *accountModel) readRows() []platform.Row {
	rows, err := a.Store.Scan(context.Background(), rowPrefix, "", 1000)
	assert.NilError(a.t, err)
	return rows
}
