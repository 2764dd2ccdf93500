// Package statechart loads the state charts in charts/*.yaml, validates them
// when the process starts, and compiles each to a table that is indexed by state
// and event. A step is one table lookup: it allocates nothing and may be called
// from several goroutines, since the caller holds the state.
//
// The charts, the packages that use them, and what each state belongs to:
//
//	task           internal/dispatch, one state per task
//	target_health  internal/target, one state per target
//	peer_link      internal/peer, one state per peer
//	process        internal/entry, one state per process
package statechart

import "fmt"

// Machine is a compiled chart. S, E and A are the types of its states, events
// and actions; their values are indexes into the Names it was compiled with.
// Action 0 means that there is no action to carry out.
type Machine[S, E, A ~uint8] struct {
	initial    S
	names      Names
	eventCount int
	cells      []cell[S, A]
}

// cell is the table entry for one event in one state.
type cell[S, A ~uint8] struct {
	next    S
	action  A
	handled bool
}

// Names binds the constants of Go types to the names in a chart: index i holds
// the name of constant i. Actions[0] is empty.
type Names struct {
	States  []string
	Events  []string
	Actions []string
}

// Step returns the state after the event and the action to carry out. If ok is
// false, the event is ignored in this state and next is the same state.
func (m *Machine[S, E, A]) Step(state S, event E) (next S, action A, ok bool) {
	if int(event) >= m.eventCount {
		return state, 0, false
	}
	i := int(state)*m.eventCount + int(event)
	if i >= len(m.cells) {
		return state, 0, false
	}
	c := m.cells[i]
	return c.next, c.action, c.handled
}

// Initial returns the initial state of the chart.
func (m *Machine[S, E, A]) Initial() S { return m.initial }

// StateName returns the name of the state in the chart, or "unknown".
func (m *Machine[S, E, A]) StateName(s S) string { return nameAt(m.names.States, int(s)) }

func nameAt(names []string, i int) string {
	if i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// compile validates a chart, also against the names that the code binds to it,
// and returns its table.
func compile[S, E, A ~uint8](c *chart, names Names) (*Machine[S, E, A], error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if err := c.validateNames(names); err != nil {
		return nil, err
	}
	states, events, actions := index(names.States), index(names.Events), index(names.Actions)
	m := &Machine[S, E, A]{
		initial:    S(states[c.Initial]),
		names:      names,
		eventCount: len(names.Events),
		cells:      make([]cell[S, A], len(names.States)*len(names.Events)),
	}
	for name, st := range c.States {
		s := states[name]
		row := m.cells[s*m.eventCount : (s+1)*m.eventCount]
		for i := range row {
			row[i].next = S(s)
		}
		for event, t := range st.On {
			row[events[event]] = cell[S, A]{next: S(states[t.To]), action: A(actions[t.Do]), handled: true}
		}
	}
	return m, nil
}

// mustLoad compiles an embedded chart. It panics on an invalid chart when the
// package is initialized, so that a process never runs with one.
func mustLoad[S, E, A ~uint8](name string, names Names) *Machine[S, E, A] {
	m, err := load[S, E, A](name, names)
	if err != nil {
		panic(err)
	}
	return m
}

// load reads and compiles the embedded chart of that name.
func load[S, E, A ~uint8](name string, names Names) (*Machine[S, E, A], error) {
	b, err := chartFiles.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("state chart %s: %w", name, err)
	}
	c, err := parse(b)
	if err != nil {
		return nil, fmt.Errorf("state chart %s: %w", name, err)
	}
	if c.Chart != name {
		return nil, fmt.Errorf("state chart %s: the file holds chart %q", name, c.Chart)
	}
	m, err := compile[S, E, A](c, names)
	if err != nil {
		return nil, fmt.Errorf("state chart %s: %w", name, err)
	}
	return m, nil
}

// index returns the index of each name.
func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}
