package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// acquire acquires a key at a member and returns the reply.
func (c *cluster) acquire(name string, k key.Key, digest uint64) (got Reply) {
	l := c.ledgers[name]
	c.replies = nil
	c.step(l, Acquire{CallID: 9, Key: k, Digest: digest})
	for _, r := range c.replies {
		if r.CallID == 9 {
			got = r
		}
	}
	return got
}

func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	c := newCluster(3)
	for _, l := range c.ledgers {
		l.SetLimits(10*time.Minute, 1000)
	}
	var ks []key.Key
	for range 30 {
		k, err := key.New(simDC)
		assert.NilError(t, err)
		ks = append(ks, k)
		assert.Assert(t, c.acquire("vma", k, 1).Granted)
		o := structs.Outcome{Verdict: verdict.Completed, Answers: [][]byte{make([]byte, 100)}}
		c.step(c.ledgers["vma"], Finish{Key: k, Outcome: o})
	}

	first := c.acquire("vma", ks[0], 1).Outcome
	last := c.acquire("vma", ks[29], 1).Outcome

	assert.Equal(t, first.Verdict, verdict.MayHaveRun)
	assert.Equal(t, first.Reason, verdict.AnswerDropped)
	assert.Equal(t, len(last.Answers), 1)
	for _, l := range c.ledgers {
		_, bytes := l.KeptSize()
		assert.Assert(t, bytes <= 1000, "%d bytes", bytes)
	}
}

func TestExpiredKeysAreForgottenAndNeverRun(t *testing.T) {
	c := newCluster(3)
	old, err := key.New(simDC)
	assert.NilError(t, err)
	assert.Assert(t, c.acquire("vma", old, 1).Granted)
	c.step(c.ledgers["vma"], Finish{Key: old, Outcome: structs.Outcome{Verdict: verdict.Completed}})
	fresh, err := key.New(simDC)
	assert.NilError(t, err)

	c.now = c.now.Add(11 * time.Minute)
	for _, l := range c.ledgers {
		c.step(l, Tick{})
		keys, _ := l.KeptSize()
		assert.Equal(t, keys, 0)
		l.SetLimits(time.Hour, 1000) // a longer TTL does not revive expired keys
	}

	r := c.acquire("vmb", old, 1)
	assert.Equal(t, r.Outcome.Verdict, verdict.MayHaveRun)
	assert.Equal(t, r.Outcome.Reason, verdict.KeyExpired)
	c.ledgers["vma"].SetLimits(time.Minute, 1000)
	c.ledgers["vmb"].SetLimits(time.Minute, 1000)
	c.ledgers["vmc"].SetLimits(time.Minute, 1000)
	assert.Equal(t, c.acquire("vmb", fresh, 1).Outcome.Reason, verdict.KeyExpired)
}
