package ledger

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"currantstall/internal/key"

	"pgregory.net/rapid"
)

// recovery is the time after the end of all faults within which every entry
// serves each new key. If all members were lost and it is uncertain whether
// their incarnations have ended, two more maximum promise leases pass first.
const (
	recovery              = 8 * time.Second
	recoveryPromiseLeases = 2 * 2200 * time.Millisecond
)

var simSeed = flag.Uint64("sim.seed", 20260101, "seed of the properties, 0 for a fresh one, which is printed")

func TestMain(m *testing.M) {
	flag.Parse()
	if *simSeed == 0 {
		*simSeed = uint64(time.Now().UnixNano())
		fmt.Println("sim.seed", *simSeed)
	}
	set := func(name, value string) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if !given["rapid.checks"] {
		set("rapid.checks", "2000")
	}
	set("rapid.seed", fmt.Sprint(*simSeed))
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", "20s")
	os.Exit(m.Run())
}

// op is an external operation or fault, decoded from a random number.
type op struct {
	kind, a, b int
	wait       time.Duration
	pick       uint64
}

func decode(x uint64) op {
	o := op{kind: int(x % 64), a: int(x >> 6 % 8), b: int(x >> 9 % 8), pick: x >> 32}
	o.wait = time.Duration(x>>12%512) * time.Millisecond
	if x>>21%16 == 0 {
		o.wait *= 8
	}
	return o
}

func (w *world) apply(o op) {
	n := w.nodes[o.a%len(w.nodes)]
	m := w.nodes[o.b%len(w.nodes)]
	switch {
	case o.kind < 24:
		n.submit(w.pickKey(o), 1)
	case o.kind < 30:
		n.refuse(w.pickKey(o))
	case o.kind < 36:
		// Two copies and a refusal arrive at the same time.
		k := w.pickKey(o)
		n.submit(k, 1)
		m.submit(k, 1)
		w.nodes[int(o.pick>>8)%len(w.nodes)].refuse(k)
	case o.kind < 40:
		n.kill()
		w.after(o.wait, func() { w.restart(n) })
	case o.kind < 44:
		n.pausedUntil = w.now + time.Duration(o.pick%4000)*time.Millisecond
	case o.kind < 47:
		w.setCut(n, m, true)
	case o.kind < 48:
		for _, x := range w.nodes {
			w.setCut(n, x, true)
		}
	case o.kind < 50:
		w.split(o.pick)
	case o.kind < 53:
		w.heal()
	case o.kind < 58:
		w.table.mode = tableMode(o.pick % uint64(tableModes))
	case o.kind < 61:
		n.leave()
		w.after(3500*time.Millisecond, func() { w.restart(n) })
	default:
		w.loss = float64(o.pick%4) * 0.06
	}
	w.advance(o.wait)
}

func (w *world) pickKey(o op) key.Key {
	if len(w.keys) == 0 || o.pick%3 == 0 {
		w.keys = append(w.keys, w.newKey())
		return w.keys[len(w.keys)-1]
	}
	recent := min(len(w.keys), 4)
	return w.keys[len(w.keys)-1-int(o.pick>>4)%recent]
}

func (w *world) restart(n *node) {
	if !n.up {
		n.boot()
	}
}

func (w *world) setCut(a, b *node, cut bool) {
	if a == b {
		return
	}
	wasCut := w.cut[[2]int{a.index, b.index}]
	w.cut[[2]int{a.index, b.index}] = cut
	w.cut[[2]int{b.index, a.index}] = cut
	if wasCut && !cut {
		a.link(b)
		b.link(a)
	}
}

// split partitions the entries into two groups and cuts one of them off from
// the table, until heal.
func (w *world) split(groups uint64) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if groups>>a.index&1 != groups>>b.index&1 {
				w.setCut(a, b, true)
			}
		}
		a.tableCut = groups>>a.index&1 == 1
	}
}

func (w *world) heal() {
	for _, a := range w.nodes {
		a.tableCut = false
		for _, b := range w.nodes {
			w.setCut(a, b, false)
		}
	}
}

// endFaults ends all faults.
func (w *world) endFaults() {
	w.faultsOver = true
	w.heal()
	w.loss = 0
	w.table.mode = tableUp
	for _, n := range w.nodes {
		n.pausedUntil = w.now
		if n.leaving {
			n.kill()
		}
		w.after(0, func() { w.restart(n) })
	}
}

// runScript starts the entries and runs a script of faults and requests.
func (w *world) runScript(script []uint64) {
	for _, n := range w.nodes {
		w.after(w.upTo(200*time.Millisecond), n.boot)
	}
	w.advance(2500 * time.Millisecond)
	for _, x := range script {
		w.apply(decode(x))
	}
}

func drawWorld(t *rapid.T) (*world, []uint64) {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "members"))
	w.loss = float64(rapid.IntRange(0, 2).Draw(t, "loss")) * 0.05
	w.shortPromiseLease = rapid.Bool().Draw(t, "shortPromiseLease")
	script := rapid.SliceOfN(rapid.Uint64(), 5, 50).Draw(t, "script")
	for i, x := range script {
		// Drawn numbers are mostly small, but an op needs all bits.
		script[i] = rand.NewPCG(x, 2).Uint64()
	}
	return w, script
}

// TestClaims checks several properties in each run: no key starts twice; no key
// gets not_run if it started earlier or starts later from a copy received
// before; under one view, no two members grant the same key; after the end of
// all faults, each new key is served in time.
func TestClaims(t *testing.T) { rapid.Check(t, claimsProperty) }

func claimsProperty(t *rapid.T) {
	w, script := drawWorld(t)
	w.runScript(script)
	w.endFaults()
	w.advance(recovery)
	if w.shortPromiseLease {
		w.advance(recoveryPromiseLeases)
	}
	if w.failure == "" {
		w.checkService()
	}
	if w.failure != "" {
		t.Fatalf("%s", w.failure)
	}
}

// checkService submits a new key through each entry and requires that it is
// served.
func (w *world) checkService() {
	var fresh []key.Key
	for _, n := range w.nodes {
		k := w.newKey()
		fresh = append(fresh, k)
		n.submit(k, 0)
	}
	w.advance(1500 * time.Millisecond)
	for i, k := range fresh {
		if w.failure == "" && !w.hist.served[k.ID] {
			n := w.nodes[i]
			w.fail("not served: key %s at %s, view %d, in force %d", k.ID, n.name, n.membership.View().Version, n.membership.InForce().Version)
		}
	}
}
