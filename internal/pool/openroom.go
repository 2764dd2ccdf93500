package pool

import "currantstall/internal/structs"

// openRoom is the most room that is free on any target that may take a task, by resource. Tasks
// that need more are not compared with each target: with full targets, nothing is looked at for
// each job that waits. The resources may be those of different targets, so that a task that needs
// no more may still find none.
type openRoom struct {
	byService []serviceRoom // a pool has few services
	anywhere  structs.Resources
	stale     bool // a target may have more room, or has less, than when it was worked out
}

// serviceRoom is the open room of one service.
type serviceRoom struct {
	service string
	room    structs.Resources
}

// of returns the open room of a service, nil if none of its targets may take a task.
func (o *openRoom) of(service string) *structs.Resources {
	for i := range o.byService {
		if o.byService[i].service == service {
			return &o.byService[i].room
		}
	}
	return nil
}

// refreshOpenRoom works out the open room if it is stale.
func (p *Pool) refreshOpenRoom() {
	o := &p.openRoom
	if !o.stale {
		return
	}
	o.byService, o.anywhere, o.stale = o.byService[:0], structs.Resources{}, false
	p.work.targets += len(p.sortedTargets)
	for _, t := range p.sortedTargets {
		if !t.available() || !t.answersStarts() {
			continue
		}
		free := t.free()
		if room := o.of(t.Service); room != nil {
			*room = room.Max(free)
		} else {
			o.byService = append(o.byService, serviceRoom{t.Service, free})
		}
		o.anywhere = o.anywhere.Max(free)
	}
}

// mayFindRoom reports whether a task of a service with these needs may find a target now. If not,
// there is none.
func (p *Pool) mayFindRoom(service string, needs structs.Resources) bool {
	p.refreshOpenRoom()
	room := p.openRoom.of(service)
	return room != nil && needs.Fits(*room)
}

// mayFindRoomAnywhere is mayFindRoom for any service.
func (p *Pool) mayFindRoomAnywhere(needs structs.Resources) bool {
	p.refreshOpenRoom()
	return len(p.openRoom.byService) > 0 && needs.Fits(p.openRoom.anywhere)
}
