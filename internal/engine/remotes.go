package engine

import (
	"context"
	"sync"
)

// remoteID names a unit by the entry that handed it over.
type remoteID struct {
	from string
	id   uint64
}

// remotes holds the means to stop units that peers handed over.
type remotes struct {
	mu     sync.Mutex
	cancel map[remoteID]context.CancelFunc
}

func newRemotes() *remotes {
	return &remotes{cancel: make(map[remoteID]context.CancelFunc)}
}

func (r *remotes) add(id remoteID, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel[id] = cancel
}

func (r *remotes) remove(id remoteID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancel, id)
}

// stop ends the contexts of the units.
func (r *remotes) stop(from string, ids []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if cancel := r.cancel[remoteID{from, id}]; cancel != nil {
			cancel()
		}
	}
}
