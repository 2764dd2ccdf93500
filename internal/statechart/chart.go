package statechart

import (
	"embed"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/goccy/go-yaml"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

// maxNames limits the states, events and actions, whose indexes are held in a
// uint8.
const maxNames = 256

// chart is the schema of a file in charts/.
type chart struct {
	Chart   string           `yaml:"chart"`
	Initial string           `yaml:"initial"`
	Events  []string         `yaml:"events"`
	Actions []string         `yaml:"actions"`
	States  map[string]state `yaml:"states"`
}

// state has, for each event of the chart, either a transition or an entry in
// Ignore. A final state ignores every event.
type state struct {
	On     map[string]transition `yaml:"on"`
	Ignore []string              `yaml:"ignore"`
	Final  bool                  `yaml:"final"`
}

// transition is the next state and the action to carry out, if any.
type transition struct {
	To string `yaml:"to"`
	Do string `yaml:"do"`
}

// parse decodes a chart. It refuses unknown fields and duplicate keys.
func parse(b []byte) (*chart, error) {
	var c chart
	if err := yaml.UnmarshalWithOptions(b, &c, yaml.Strict()); err != nil {
		return nil, err
	}
	return &c, nil
}

// validate returns all errors in the chart, joined.
func (c *chart) validate() error {
	var errs []error
	if len(c.States) > maxNames || len(c.Events) > maxNames || len(c.Actions) >= maxNames {
		errs = append(errs, fmt.Errorf("more than %d states, events or actions", maxNames))
	}
	errs = append(errs, findDuplicate("event", c.Events), findDuplicate("action", c.Actions))
	if _, ok := c.States[c.Initial]; !ok {
		errs = append(errs, fmt.Errorf("initial state %q is unknown", c.Initial))
	}
	for _, name := range slices.Sorted(maps.Keys(c.States)) {
		st := c.States[name]
		errs = append(errs, c.validateTransitions(name, st), c.validateComplete(name, st))
	}
	errs = append(errs, c.validateReachable(), c.validateUsed())
	return errors.Join(errs...)
}

// validateTransitions checks that a state refers only to known events, states and
// actions.
func (c *chart) validateTransitions(name string, st state) error {
	var errs []error
	for _, event := range slices.Sorted(maps.Keys(st.On)) {
		t := st.On[event]
		if !slices.Contains(c.Events, event) {
			errs = append(errs, fmt.Errorf("state %s: unknown event %q", name, event))
		}
		if _, ok := c.States[t.To]; !ok {
			errs = append(errs, fmt.Errorf("state %s, event %s: unknown state %q", name, event, t.To))
		}
		if t.Do != "" && !slices.Contains(c.Actions, t.Do) {
			errs = append(errs, fmt.Errorf("state %s, event %s: unknown action %q", name, event, t.Do))
		}
	}
	for _, event := range st.Ignore {
		if !slices.Contains(c.Events, event) {
			errs = append(errs, fmt.Errorf("state %s: ignores unknown event %q", name, event))
		}
	}
	return errors.Join(errs...)
}

// validateComplete checks that a state either handles or ignores each event, and
// not both.
func (c *chart) validateComplete(name string, st state) error {
	if st.Final {
		if len(st.On) > 0 || len(st.Ignore) > 0 {
			return fmt.Errorf("state %s: is final but handles or ignores events", name)
		}
		return nil
	}
	errs := []error{findDuplicate("ignored event", st.Ignore)}
	for _, event := range c.Events {
		_, handled := st.On[event]
		ignored := slices.Contains(st.Ignore, event)
		if !handled && !ignored {
			errs = append(errs, fmt.Errorf("state %s: neither handles nor ignores event %s", name, event))
		}
		if handled && ignored {
			errs = append(errs, fmt.Errorf("state %s: handles and ignores event %s", name, event))
		}
	}
	return errors.Join(errs...)
}

// validateReachable checks that every state can be reached from the initial one.
func (c *chart) validateReachable() error {
	seen := map[string]bool{c.Initial: true}
	queue := []string{c.Initial}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for _, t := range c.States[name].On {
			if !seen[t.To] {
				seen[t.To] = true
				queue = append(queue, t.To)
			}
		}
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(c.States)) {
		if !seen[name] {
			errs = append(errs, fmt.Errorf("state %s is unreachable", name))
		}
	}
	return errors.Join(errs...)
}

// validateUsed checks that some state handles each event, and that some transition
// has each action.
func (c *chart) validateUsed() error {
	used := map[string]bool{}
	for _, st := range c.States {
		for event, t := range st.On {
			used["event "+event] = true
			used["action "+t.Do] = true
		}
	}
	var errs []error
	for _, e := range c.Events {
		if !used["event "+e] {
			errs = append(errs, fmt.Errorf("no state handles event %s", e))
		}
	}
	for _, a := range c.Actions {
		if !used["action "+a] {
			errs = append(errs, fmt.Errorf("no transition has action %s", a))
		}
	}
	return errors.Join(errs...)
}

// validateNames checks that the code and the chart have the same states, events
// and actions.
func (c *chart) validateNames(n Names) error {
	if len(n.Actions) == 0 || n.Actions[0] != "" {
		return errors.New("action 0 in the code must have an empty name")
	}
	return errors.Join(
		compareNames("state", slices.Collect(maps.Keys(c.States)), n.States),
		compareNames("event", c.Events, n.Events),
		compareNames("action", c.Actions, n.Actions[1:]),
	)
}

func compareNames(noun string, inChart, inCode []string) error {
	a, b := slices.Sorted(slices.Values(inChart)), slices.Sorted(slices.Values(inCode))
	if !slices.Equal(a, b) {
		return fmt.Errorf("%ss differ: the chart has %v, the code has %v", noun, a, b)
	}
	return nil
}

func findDuplicate(noun string, names []string) error {
	seen := map[string]bool{}
	for _, n := range names {
		if seen[n] {
			return fmt.Errorf("%s %s is listed twice", noun, n)
		}
		seen[n] = true
	}
	return nil
}
