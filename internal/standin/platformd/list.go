package platformd

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/platform"
)

// vmChange is an announcement or removal that the list may not show yet.
type vmChange struct {
	at      time.Time
	vm      platform.VM
	removed bool
}

// vmList holds the lines shown and, in order of time, the changes to come.
type vmList struct {
	lines   map[string]platform.VM
	pending []vmChange
}

func (l *vmList) change(at time.Time, vm platform.VM, removed bool) {
	l.pending = append(l.pending, vmChange{at: at, vm: vm, removed: removed})
}

// at returns the lines by name as they stood at the given time.
func (l *vmList) at(t time.Time) []platform.VM {
	n := 0
	for _, c := range l.pending {
		if c.at.After(t) {
			break
		}
		if c.removed {
			delete(l.lines, c.vm.Name)
		} else {
			l.lines[c.vm.Name] = c.vm
		}
		n++
	}
	l.pending = slices.Delete(l.pending, 0, n)
	vms := make([]platform.VM, 0, len(l.lines))
	for _, vm := range l.lines {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}
