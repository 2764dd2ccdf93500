package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
	"currantstall/platform/platformd"
)

var (
	chaosSeed     = flag.Uint64("chaos.seed", 20261204, "seed of the random faults")
	chaosDuration = flag.Duration("chaos.for", 20*time.Second, "how long random faults are injected")
)

// chaos injects random faults, several at a time, and undoes each after a
// while.
type chaos struct {
	cluster *cluster
	rng     *rand.Rand
	wg      sync.WaitGroup

	mu       sync.Mutex
	faulted  map[string]bool // subjects with a fault in effect
	injected int             // number of faults so far
}

// injectFault injects one random fault.
func (c *chaos) injectFault() {
	duration := time.Duration(200+c.rng.IntN(3000)) * time.Millisecond
	name := []string{"e1", "e2", "e3"}[c.rng.IntN(3)]
	switch c.rng.IntN(7) {
	case 0:
		c.runFault(name, duration, c.cluster.entry(name).kill, func() { c.cluster.startEntry(name, "coast") })
	case 1:
		c.runFault(name, duration, func() { c.cluster.entry(name).signal(syscall.SIGSTOP) }, func() { c.cluster.entry(name).signal(syscall.SIGCONT) })
	case 2, 3:
		c.runFault(name, duration, func() { c.cluster.partition(name) }, func() { c.cluster.heal(name) })
	case 4:
		c.runFault(name, duration, func() { c.cluster.blackhole(name) }, func() { c.cluster.entry(name).proxy.Toxics.ResetToxics(c.cluster.t.Context()) })
	case 5:
		c.runFault("platform", duration, func() { c.cluster.platform.Store.SetFaults(platformd.Faults{Down: true}) }, c.restorePlatform)
	case 6:
		c.runFault("platform", duration, func() {
			c.cluster.platform.Store.SetFaults(platformd.Faults{LoseProbability: 0.5, Seed: c.rng.Uint64()})
		}, c.restorePlatform)
	}
}

func (c *chaos) restorePlatform() { c.cluster.platform.Store.SetFaults(platformd.DefaultFaults()) }

// runFault injects a fault and undoes it after the duration, unless the subject
// already has a fault.
func (c *chaos) runFault(subject string, duration time.Duration, inject, undo func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faulted[subject] {
		return
	}
	c.faulted[subject] = true
	c.injected++
	inject()
	c.wg.Go(func() {
		time.Sleep(duration)
		c.mu.Lock()
		defer c.mu.Unlock()
		undo()
		delete(c.faulted, subject)
	})
}

// TestDrawnFaults injects random faults of all sorts into a data centre,
// several at a time, under a load of non-repeatable requests.
func TestDrawnFaults(t *testing.T) {
	t.Logf("-chaos.seed=%d", *chaosSeed)
	cl := startThreeEntries(t)
	c := &chaos{cluster: cl, rng: rand.New(rand.NewPCG(*chaosSeed, 1)), faulted: make(map[string]bool)}
	callers := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	n := int(*chaosDuration / (2 * sendInterval))
	callers.run(n, 2*sendInterval, func(sent int) {
		if sent%50 == 25 {
			c.injectFault()
		}
	})
	c.wg.Wait()
	t.Logf("%d faults", c.injected)
	callers.check(t)

	cl.awaitReady("e1", "e2", "e3")
	awaitServing(cl, "e1", "e2", "e3")
	assertRecovered(t, cl, "e1", "e2", "e3")
	assert.Assert(t, len(callers.outcomes) == n)
}

// requiredFreshKeys is the number of new keys in a row that an entry has to
// serve before it counts as serving.
const requiredFreshKeys = 5

// awaitServing waits until each entry serves new keys. If the last faults hit
// two members at once, keys that were minted up to the clock skew after that
// are refused with claim_lost by design, also at entries that are ready.
func awaitServing(cl *cluster, names ...string) {
	cl.t.Helper()
	for _, name := range names {
		cl.eventually(name+" serves new keys", func() error {
			c := newCaller(cl, []string{"coast"}, name)
			for range requiredFreshKeys {
				k, err := key.New("coast")
				if err != nil {
					return err
				}
				o := outcome{key: k.String()}
				if !c.submitOnce(&o, name) || o.verdict != verdict.Completed {
					return fmt.Errorf("%s: %s %s", o.key, o.verdict, o.reason)
				}
			}
			return nil
		})
	}
}
