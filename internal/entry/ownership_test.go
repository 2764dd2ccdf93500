package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
)

// TestOwnersAreEvenPerRole checks that each member owns an even part of the
// runners and of the workers, not only of both together.
func TestOwnersAreEvenPerRole(t *testing.T) {
	members := []string{"entry-0", "entry-3", "entry-6"}
	var vms []platform.VM
	for i := range 17 {
		for _, role := range []platform.Role{platform.RoleRunner, platform.RoleWorker} {
			vms = append(vms, platform.VM{Name: fmt.Sprintf("%s-%02d", role, i), Role: role})
		}
	}
	owned := map[platform.Role][]int{}
	for i, owner := range assignOwners(members, vms) {
		if owned[vms[i].Role] == nil {
			owned[vms[i].Role] = make([]int, len(members))
		}
		owned[vms[i].Role][owner]++
	}
	for role, counts := range owned {
		for _, n := range counts {
			assert.Assert(t, n == 5 || n == 6, "%s: %v", role, counts)
		}
	}
}
