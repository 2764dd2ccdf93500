package engine

import (
	"context"
	"sync"
)

// peerTaskID identifies a task that a peer offloaded to this entry.
type peerTaskID struct {
	from string
	id   uint64
}

// peerTasks holds the cancel functions of the tasks that peers offloaded to
// this entry.
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

// cancelTasks cancels tasks of one peer. IDs of tasks that have ended are
// ignored.
func (r *peerTasks) cancelTasks(from string, ids []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if cancel := r.cancels[peerTaskID{from, id}]; cancel != nil {
			cancel()
		}
	}
}
