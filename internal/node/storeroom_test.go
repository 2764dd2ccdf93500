package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/pool"
)

func TestStoreRoomIsSharedByTheEntries(t *testing.T) {
	const sec = time.Second
	small, large := pool.JobSize{Ordinary: 10}, pool.JobSize{Ordinary: 10, Large: 30}
	s := newStoreRoom(nil)
	assert.Assert(t, s.take(0, pool.JobSize{Ordinary: 1 << 40, Large: 1 << 40}), "no bound")

	s = newStoreRoom(&pool.JobSize{Ordinary: 40, Large: 50})
	s.sharedBy(2)
	assert.Assert(t, s.take(0, large), "a single large job may take more than a share")
	assert.Assert(t, !s.take(0, large), "no second one")
	assert.Assert(t, s.take(0, small))
	assert.Assert(t, !s.take(0, small), "the share is used up")

	s.told(sec/2, &pool.JobSize{Ordinary: 40, Large: 50})
	assert.Assert(t, !s.take(sec/2, small), "the owner need not count the jobs yet")
	s.told(sec, &pool.JobSize{Ordinary: 20, Large: 20})
	assert.Assert(t, !s.take(sec, large), "no room at the owner")
	assert.Assert(t, s.take(sec, small))
	s.told(2*sec, &pool.JobSize{Ordinary: 20, Large: -20})
	assert.Assert(t, s.take(2*sec, small), "large jobs take no room of ordinary ones")
	s.told(3*sec, nil)
	assert.Assert(t, s.take(3*sec, large), "an owner without bound")
}
