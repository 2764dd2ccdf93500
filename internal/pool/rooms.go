package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
)

const (
	// maxRoomsPerLabel bounds the rooms that are kept for a label. More are merged into one,
	// the largest by resource.
	maxRoomsPerLabel = 8
	// maxRoomLabels bounds the labels, among which is each rack. Labels beyond it count as
	// listed.
	maxRoomLabels = 4096
)

// Rooms records which rooms targets ever had, by service and label, so that a job whose targets are
// away can be told from one that no target can do. The pools of an entry share it, and entries
// tell each other, since the one that takes over a job may have been started after the targets had gone.
type Rooms struct {
	known map[roomLabel][]structs.Resources // none is within another
	// since is from when on the record is complete.
	since time.Duration
	begun bool
	full  bool // labels were left out
}

// roomLabel is a label of targets of a service; each target has the label "".
type roomLabel struct{ service, label string }

// NewRooms returns an empty record.
func NewRooms() *Rooms { return &Rooms{known: make(map[roomLabel][]structs.Resources)} }

// ShareRooms makes the pool use a record that it shares with other pools. It is called before any target is listed.
func (p *Pool) ShareRooms(r *Rooms) { p.rooms = r }

// note records the room of a listed target.
func (r *Rooms) note(t *fleet.Target) {
	r.add(roomLabel{t.Service, ""}, t.Capacity)
	for _, l := range t.Labels {
		r.add(roomLabel{t.Service, l}, t.Capacity)
	}
}

// noteListed records the room of a listed target if it is not what it was listed with last.
func (p *Pool) noteListed(t *target, info *fleet.Target) {
	if !t.listed || t.Service != info.Service || t.Capacity != info.Capacity || !slices.Equal(t.Labels, info.Labels) {
		p.rooms.note(info)
	}
}

func (r *Rooms) add(l roomLabel, room structs.Resources) {
	rooms, known := r.known[l]
	if slices.ContainsFunc(rooms, room.Fits) {
		return
	}
	if !known && len(r.known) >= maxRoomLabels {
		r.full = true
		return
	}
	rooms = append(slices.DeleteFunc(rooms, func(o structs.Resources) bool { return o.Fits(room) }), room)
	if len(rooms) > maxRoomsPerLabel {
		for _, o := range rooms {
			room = room.Max(o)
		}
		rooms = []structs.Resources{room}
	}
	r.known[l] = rooms
}

// fits reports whether a target that a step fits was ever listed.
func (r *Rooms) fits(service string, s *fleet.Step) bool {
	rooms, known := r.known[roomLabel{service, s.RequiredLabel}]
	return r.full && !known || slices.ContainsFunc(rooms, s.Needs.Fits)
}

// begin notes that targets are listed from now on.
func (r *Rooms) begin(now time.Duration) {
	if !r.begun {
		r.begun, r.since = true, now
	}
}

// KnownFor returns for how long the record has been complete.
func (r *Rooms) KnownFor(now time.Duration) time.Duration {
	if !r.begun {
		return 0
	}
	return now - r.since
}

// Known returns the record, to be merged into that of another entry.
func (r *Rooms) Known() []fleet.Room {
	all := make([]fleet.Room, 0, len(r.known))
	for l, rooms := range r.known {
		for _, room := range rooms {
			all = append(all, fleet.Room{Service: l.service, Label: l.label, Capacity: room})
		}
	}
	return all
}

// Merge adds another entry's record, which has been complete for some time.
func (r *Rooms) Merge(now time.Duration, rooms []fleet.Room, knownFor time.Duration) {
	for i := range rooms {
		if rooms[i].Validate() == nil {
			r.add(roomLabel{rooms[i].Service, rooms[i].Label}, rooms[i].Capacity)
		}
	}
	if knownFor > 0 {
		r.begin(now)
		r.since = min(r.since, now-knownFor)
	}
}
