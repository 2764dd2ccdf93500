package claims

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/ledger"
	"currantstall/internal/membership"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
	"currantstall/platform/platformd"
)

const (
	testDC      = "vannes"
	waitTimeout = 30 * time.Second // bound of each wait
)

// network carries messages between runtimes in one process, in order.
type network struct {
	mu    sync.Mutex
	nodes map[string]*endpoint
	store *platformd.Store
	sent  int // messages
	bytes int // of message bodies
}

type endpoint struct {
	net   *network
	self  structs.Member
	rt    *Runtime
	inbox chan delivery
}

type delivery struct {
	from structs.Member
	msgs []wire.Message
}

// Send implements Transport.
func (e *endpoint) Send(to structs.Member, msgs ...wire.Message) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	target := e.net.nodes[to.Name]
	if target == nil || e.net.nodes[e.self.Name] != e {
		return
	}
	for _, m := range msgs {
		e.net.sent++
		e.net.bytes += len(m.Body)
	}
	select {
	case target.inbox <- delivery{e.self, msgs}:
	default:
	}
}

func newNetwork() *network {
	return &network{nodes: make(map[string]*endpoint), store: platformd.NewStore()}
}

// start starts an entry and links it with all others.
func (n *network) start(t testing.TB, name string, incarnation uint64) *Runtime {
	t.Helper()
	e := &endpoint{net: n, self: structs.Member{Name: name, Incarnation: incarnation, Addr: name + ":1"}, inbox: make(chan delivery, 4096)}
	rt, err := New(Config{
		Self:       e.self,
		Membership: membership.DefaultConfig(testDC),
		Ledger:     ledger.DefaultConfig(testDC),
		Table:      n.store,
		Transport:  e,
		Log:        slog.New(slog.DiscardHandler),
	})
	assert.NilError(t, err)
	e.rt = rt
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { e.receive(ctx) })
	rt.Start()
	n.mu.Lock()
	n.nodes[name] = e
	for _, o := range n.nodes {
		if o != e {
			o.rt.LinkUp(e.self)
			rt.LinkUp(o.self)
		}
	}
	n.mu.Unlock()
	t.Cleanup(func() {
		rt.Stop()
		cancel()
		wg.Wait()
	})
	return rt
}

func (e *endpoint) receive(ctx context.Context) {
	for {
		select {
		case d := <-e.inbox:
			for _, m := range d.msgs {
				e.rt.Receive(d.from, m)
			}
		case <-ctx.Done():
			return
		}
	}
}

// kill disconnects an entry permanently.
func (n *network) kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, name)
}

func (n *network) startThreeEntries(t testing.TB) []*Runtime {
	t.Helper()
	var rts []*Runtime
	for i := range 3 {
		rts = append(rts, n.start(t, fmt.Sprintf("vm%d", i), 1))
	}
	waitForMembers(t, 3, rts...)
	return rts
}

// waitForMembers waits until the runtimes are members of a view in force of
// that size.
func waitForMembers(t testing.TB, size int, rts ...*Runtime) {
	t.Helper()
	eventually(t, func() bool {
		for _, rt := range rts {
			if s := rt.Snapshot(); !s.Ready || len(s.InForce.Members) != size {
				return false
			}
		}
		return true
	})
}

func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited too long")
		}
	}
}

func newKey(t testing.TB) key.Key {
	t.Helper()
	k, err := key.New(testDC)
	assert.NilError(t, err)
	return k
}

// grant acquires a key until it is granted. The key must be new.
func grant(t testing.TB, rt *Runtime, k key.Key) {
	t.Helper()
	eventually(t, func() bool {
		c, err := rt.Acquire(t.Context(), k, 1)
		return err == nil && c.Granted
	})
}

func answer(s string) structs.Outcome {
	return structs.Outcome{Verdict: verdict.Completed, Answers: [][]byte{[]byte(s)}}
}

func reasonOf(err error) verdict.Reason {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

func TestDuplicatesShareOneExecution(t *testing.T) {
	rts := newNetwork().startThreeEntries(t)
	for range 9 { // so that different entries are home
		k := newKey(t)
		grant(t, rts[0], k)
		_, err := rts[0].MayStart(k)
		assert.NilError(t, err)
		assert.Equal(t, reasonOf(rts[1].Refuse(t.Context(), k)), verdict.AlreadyClaimed)
		kept := make(chan *structs.Outcome)
		for _, rt := range rts[1:] {
			go func() {
				c, _ := rt.Acquire(context.Background(), k, 1)
				kept <- c.Outcome
			}()
		}

		rts[0].Finish(k, answer("a"))

		for range 2 {
			o := <-kept
			assert.Assert(t, o != nil)
			assert.DeepEqual(t, o.Answers, [][]byte{[]byte("a")})
		}
		_, err = rts[2].Acquire(t.Context(), k, 2)
		assert.Equal(t, reasonOf(err), verdict.KeyConflict)
		_, err = rts[0].MayStart(k)
		assert.Assert(t, err != nil)
	}
}

func TestRefusalHoldsForDuplicates(t *testing.T) {
	rts := newNetwork().startThreeEntries(t)
	k := newKey(t)
	assert.NilError(t, rts[0].Refuse(t.Context(), k))

	_, err := rts[1].Acquire(t.Context(), k, 1)

	assert.Equal(t, verdict.FromError(err).Verdict, verdict.NotRun)
	assert.Equal(t, reasonOf(err), verdict.RefusedElsewhere)
	grant(t, rts[1], k) // after the refusal mark has expired
}

func TestExternalClaimSharesKeys(t *testing.T) {
	rts := newNetwork().startThreeEntries(t)
	ours, theirs := newKey(t), newKey(t)
	grant(t, rts[0], ours)
	rts[0].Finish(ours, answer("a"))

	kept, err := rts[1].ExternalClaim(t.Context(), ours)
	assert.NilError(t, err)
	assert.Equal(t, kept.Verdict, verdict.Completed)
	kept, err = rts[1].ExternalClaim(t.Context(), theirs)
	assert.NilError(t, err)
	assert.Assert(t, kept == nil)

	c, err := rts[2].Acquire(t.Context(), theirs, 7)
	assert.NilError(t, err)
	assert.Equal(t, c.Outcome.Reason, verdict.RanElsewhere)
}

// On simulated time: the lost entry still reaches the table, and would remove the others
// if these got no processor time for longer than it waits.
func TestLostHolderIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		rts := n.startThreeEntries(t)
		k := keyMintedAt(time.Now())
		grant(t, rts[0], k)

		n.kill("vm0")
		waitForMembers(t, 2, rts[1], rts[2])

		c, err := rts[1].Acquire(t.Context(), k, 1)
		assert.NilError(t, err)
		assert.Equal(t, c.Outcome.Reason, verdict.HolderLost)
		grant(t, rts[2], keyMintedAt(time.Now()))
		again := n.start(t, "vm0", 2)
		waitForMembers(t, 3, again, rts[1], rts[2])
	})
}

// keyMintedAt returns a key with that time. Those of key.New never go back in time, as
// simulated time does from one test to the next.
func keyMintedAt(at time.Time) key.Key {
	id := uuid.New()
	ms := at.UnixMilli()
	for i := 5; i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	id[6] = 0x70 | id[6]&0x0f // version 7
	return key.Key{DC: testDC, ID: id}
}

func TestStoppedRuntimeAllowsNoStart(t *testing.T) {
	rts := newNetwork().startThreeEntries(t)
	k := newKey(t)
	grant(t, rts[0], k)

	rts[0].Stop()

	_, err := rts[0].MayStart(k)
	assert.Equal(t, reasonOf(err), verdict.LeaseLapsed)
	_, err = rts[0].Acquire(t.Context(), newKey(t), 1)
	assert.Equal(t, verdict.FromError(err).Verdict, verdict.MayHaveRun)
}

func TestLeaveHandsOverAnswers(t *testing.T) {
	n := newNetwork()
	rts := n.startThreeEntries(t)
	var keys []key.Key
	for range 30 {
		k := newKey(t)
		keys = append(keys, k)
		grant(t, rts[0], k)
		rts[0].Finish(k, answer(k.String()))
	}
	for i, rt := range rts[:2] {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		assert.NilError(t, rt.Leave(ctx))
		cancel()
		waitForMembers(t, 2-i, rts[2])
	}
	for _, k := range keys {
		c, err := rts[2].Acquire(t.Context(), k, 1)
		assert.NilError(t, err)
		assert.Assert(t, c.Outcome != nil)
		assert.DeepEqual(t, c.Outcome.Answers, [][]byte{[]byte(k.String())})
	}
}
