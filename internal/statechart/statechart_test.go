package statechart

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const doorChart = `
chart: door
initial: shut
events: [push, slam]
actions: [swing]
states:
  shut:
    on: {push: {to: open, do: swing}}
    ignore: [slam]
  open:
    on: {slam: {to: shut}}
    ignore: [push]
`

var doorNames = Names{States: []string{"shut", "open"}, Events: []string{"push", "slam"}, Actions: []string{"", "swing"}}

func TestStep(t *testing.T) {
	c, err := parse([]byte(doorChart))
	assert.NilError(t, err)
	m, err := compile[uint8, uint8, uint8](c, doorNames)
	assert.NilError(t, err)
	for _, tc := range []struct {
		state, event uint8
		next, action uint8
		ok           bool
	}{
		{0, 0, 1, 1, true},
		{0, 1, 0, 0, false},
		{1, 1, 0, 0, true},
		{1, 0, 1, 0, false},
		{0, 2, 0, 0, false},
		{9, 0, 9, 0, false},
	} {
		next, action, ok := m.Step(tc.state, tc.event)
		assert.DeepEqual(t, []any{next, action, ok}, []any{tc.next, tc.action, tc.ok})
	}
}

func TestInvalidChartsAreRejected(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"missing transition", "ignore: [slam]", "ignore: []", "state shut: neither handles nor ignores event slam"},
		{"event handled and ignored", "ignore: [slam]", "ignore: [slam, push]", "state shut: handles and ignores event push"},
		{"unknown event", "{push: {to", "{shove: {to", `state shut: unknown event "shove"`},
		{"unknown ignored event", "ignore: [push]", "ignore: [push, pull]", `state open: ignores unknown event "pull"`},
		{"unknown state", "to: open", "to: ajar", `unknown state "ajar"`},
		{"unknown action", "do: swing", "do: creak", `unknown action "creak"`},
		{"unknown initial state", "initial: shut", "initial: ajar", `initial state "ajar" is unknown`},
		{"unreachable state", "to: open", "to: shut", "state open is unreachable"},
		{"event of no transition", "events: [push", "events: [pull, push", "no state handles event pull"},
		{"action of no transition", "actions: [swing", "actions: [creak, swing", "no transition has action creak"},
		{"event twice", "events: [push", "events: [push, push", "event push is listed twice"},
		{"final with transitions", "ignore: [push]", "final: true", "state open: is final but handles or ignores events"},
		{"state that is not in the code", "open", "wide", "states differ"},
		{"unknown field", "initial:", "first:", "unknown field"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			src := strings.ReplaceAll(doorChart, tc.old, tc.new)
			assert.Assert(t, src != doorChart)
			c, err := parse([]byte(src))
			if err == nil {
				_, err = compile[uint8, uint8, uint8](c, doorNames)
			}
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func BenchmarkStep(b *testing.B) {
	b.ReportAllocs()
	s := PeerLink.Initial()
	for i := 0; b.Loop(); i++ {
		s, _, _ = PeerLink.Step(s, PeerLinkEvent(i%6))
	}
}
