package engine

import (
	"context"
	"sync"
)

// peerTaskID names a unit by the entry that handed it over.
type peerTaskID struct {
	from string
	id   uint64
}

// peerTasks holds the means to stop units that peers handed over.
type peerTasks struct {
	mu      sync.Mutex
	cancels map[peerTaskID]context.CancelFunc
}

func newPeerTasks() *peerTasks {
	return &peerTasks{cancels: make(map[peerTaskID]context.CancelFunc)}
}

func (r *peerTasks) add(id peerTaskID, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[id] = cancel
}

func (r *peerTasks) remove(id peerTaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, id)
}

// cancelTasks ends the contexts of the units.
func (r *peerTasks) cancelTasks(from string, ids []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if cancel := r.cancels[peerTaskID{from, id}]; cancel != nil {
			cancel()
		}
	}
}
