package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// ask lets a member acquire a key and returns the reply.
func (c *cluster) ask(name string, k key.Key, digest uint64) (got Reply) {
	l := c.leds[name]
	c.replies = nil
	c.step(l, Acquire{Ticket: 9, Key: k, Digest: digest})
	for _, r := range c.replies {
		if r.Ticket == 9 {
			got = r
		}
	}
	return got
}

func TestOldestAnswersAreDroppedFirst(t *testing.T) {
	c := newCluster(3)
	for _, l := range c.leds {
		l.SetLimits(10*time.Minute, 1000)
	}
	var ks []key.Key
	for range 30 {
		k, err := key.New(simDC)
		assert.NilError(t, err)
		ks = append(ks, k)
		assert.Assert(t, c.ask("vma", k, 1).Granted)
		o := structs.Outcome{Verdict: verdict.Completed, Answers: [][]byte{make([]byte, 100)}}
		c.step(c.leds["vma"], Finish{Key: k, Outcome: o})
	}

	first := c.ask("vma", ks[0], 1).Kept
	last := c.ask("vma", ks[29], 1).Kept

	assert.Equal(t, first.Verdict, verdict.MayHaveRun)
	assert.Equal(t, first.Reason, verdict.AnswerDropped)
	assert.Equal(t, len(last.Answers), 1)
	for _, l := range c.leds {
		_, bytes := l.Len()
		assert.Assert(t, bytes <= 1000, "%d bytes", bytes)
	}
}

func TestExpiredKeysAreForgottenAndNeverRun(t *testing.T) {
	c := newCluster(3)
	old, err := key.New(simDC)
	assert.NilError(t, err)
	assert.Assert(t, c.ask("vma", old, 1).Granted)
	c.step(c.leds["vma"], Finish{Key: old, Outcome: structs.Outcome{Verdict: verdict.Completed}})
	fresh, err := key.New(simDC)
	assert.NilError(t, err)

	c.now = c.now.Add(11 * time.Minute)
	for _, l := range c.leds {
		c.step(l, Tick{})
		keys, _ := l.Len()
		assert.Equal(t, keys, 0)
		l.SetLimits(time.Hour, 1000) // a longer life brings none back
	}

	r := c.ask("vmb", old, 1)
	assert.Equal(t, r.Kept.Verdict, verdict.MayHaveRun)
	assert.Equal(t, r.Kept.Reason, verdict.KeyExpired)
	c.leds["vma"].SetLimits(time.Minute, 1000)
	c.leds["vmb"].SetLimits(time.Minute, 1000)
	c.leds["vmc"].SetLimits(time.Minute, 1000)
	assert.Equal(t, c.ask("vmb", fresh, 1).Kept.Reason, verdict.KeyExpired)
}
