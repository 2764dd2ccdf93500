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

// outageAfterCommit applies the write, loses the response and starts an outage.
const outageAfterCommit = platformd.FirstCustomDelivery

var deliveries = []platformd.Delivery{
	platformd.Delivered, platformd.Delivered, platformd.ResponseLost,
	platformd.RequestLost, platformd.RequestDelayed, outageAfterCommit,
}

// faultyPlatform is a platform with outages and with drawn faults of writes.
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
		f.cancel() // end a flush instead of waiting for the end of the outage
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
	if rapid.Bool().Draw(f.t, "lose the object's response") {
		_ = f.Store.PutObject(ctx, name, data)
		return platform.ErrUnknown
	}
	return f.Store.PutObject(ctx, name, data)
}

func (f *faultyPlatform) Commit(ctx context.Context, txn platform.Txn) error {
	if err := f.blocked(); err != nil {
		return err
	}
	if len(txn.Puts) == 0 { // a check, which writes nothing
		return f.Store.Commit(ctx, txn)
	}
	delivery := rapid.SampledFrom(deliveries).Draw(f.t, "delivery")
	if delivery == outageAfterCommit {
		f.down = true
		delivery = platformd.ResponseLost
	}
	return f.CommitWith(ctx, txn, delivery)
}

// writer is one incarnation of an entry that writes to the account.
type writer struct {
	*Journal
	recorded []Record // records not yet known to be durable
}

// accountModel is the state of the property test: the platform, the writers and
// the records that the account must hold.
type accountModel struct {
	*faultyPlatform
	writers       []*writer
	durable       map[key.Key]Record
	completedKeys []key.Key // keys with a final record by the holder of their claim
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
	switch rapid.SampledFrom([]string{"complete", "complete", "complete", "lose holder", "record as peer", "flush", "flush", "crash", "end outage", "deliver delayed"}).Draw(a.t, "action") {
	case "complete":
		k := newKey(a.t, "rennes")
		a.keys = append(a.keys, k)
		a.completedKeys = append(a.completedKeys, k)
		w.record(completed(k))
		if rapid.Bool().Draw(a.t, "duplicate") {
			w.record(completed(k))
		}
	case "lose holder":
		if len(a.keys) > 0 {
			w.record(holderLost(rapid.SampledFrom(a.keys).Draw(a.t, "key")))
		} else {
			k := newKey(a.t, "rennes")
			a.keys = append(a.keys, k)
			w.record(holderLost(k))
		}
	case "record as peer":
		if len(a.completedKeys) > 0 {
			rec := completed(rapid.SampledFrom(a.completedKeys).Draw(a.t, "key"))
			rec.FromPeer = true
			w.record(rec)
		}
	case "flush":
		a.flush(w)
	case "crash":
		a.writers[i] = a.newWriter(fmt.Sprint("vm-", i))
	case "end outage":
		a.down = false
	case "deliver delayed":
		a.DeliverDelayed()
	}
}

func (w *writer) record(rec Record) {
	w.Record(rec)
	w.recorded = append(w.recorded, rec)
}

func (a *accountModel) flush(w *writer) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.cancel = cancel
	if w.Flush(ctx) != nil {
		return
	}
	for _, rec := range w.recorded {
		old, ok := a.durable[rec.Key]
		if !ok || rec.replaces(old) {
			a.durable[rec.Key] = rec
		}
	}
	w.recorded = nil
}

// readAll reads the account in pages of up to limit lines.
func readAll(t *rapid.T, j *Journal, limit int) []Record {
	var records []Record
	after := ""
	for {
		page, err := j.Read(context.Background(), after, limit)
		assert.NilError(t, err)
		if len(page.Lines) == 0 {
			return records
		}
		for _, l := range page.Lines {
			records = append(records, l.Record)
		}
		after = page.Lines[len(page.Lines)-1].Position
	}
}

// TestAccountListsEachKeyOnce runs writers of one data centre through outages,
// crashes, lost responses and lost or delayed writes. It checks that the account
// lists each key once with its effective record, that no flushed record is lost, and that
// rows never change.
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
		records := readAll(t, reader, rapid.IntRange(1, 5).Draw(t, "limit"))
		assert.DeepEqual(t, records, readAll(t, reader, 1000))
		seen := map[key.Key]Record{}
		for _, rec := range records {
			_, duplicate := seen[rec.Key]
			assert.Assert(t, !duplicate, "key %v is listed twice", rec.Key)
			seen[rec.Key] = rec
		}
		for k, want := range a.durable {
			got, ok := seen[k]
			assert.Assert(t, ok, "key %v was flushed but is missing", k)
			assert.Assert(t, !want.final() || got.final(), "key %v lost its final outcome", k)
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

// readRows returns the rows of the log.
func (a *accountModel) readRows() []platform.Row {
	rows, err := a.Store.Scan(context.Background(), rowPrefix, "", 1000)
	assert.NilError(a.t, err)
	return rows
}
