// Package overload decides what is served while more work arrives than targets have room for: which kind of work
// gets the next room, which jobs are refused on arrival and how late a start may be. The decisions are functions of
// what a pool knows: there is no clock, socket or goroutine. Each names the load that it answers, and the tests
// replay that load. See docs/design/overload.md.
package overload

import (
	"errors"
	"fmt"
	"math"
)

// urgentWeight is the weight of the most urgent kinds in a division without shares. Other kinds have weight 1.
const urgentWeight = 2.0

// leastWeight is the weight of a kind without a share where the shares of others take all the room.
const leastWeight = 0.01

// shareTolerance is by how much a sum of shares may exceed 1, for fractions that are not exact.
const shareTolerance = 1e-9

// ErrShares is the error of shares that don't add up.
var ErrShares = errors.New("shares don't add up")

// Kind is a kind of work in the division of the room.
type Kind struct {
	Service string  // kinds of different services share no room
	Urgency int     // 0 is the most urgent
	Share   float64 // of the room, guaranteed while the kind has work; 0 if the operator sets none
}

// CheckShares returns an error unless each share is a number from 0 to 1 and their sum is 1 at most.
func CheckShares(shares []float64) error {
	sum := 0.0
	for _, s := range shares {
		if !(s >= 0 && s <= 1) {
			return fmt.Errorf("%w: a share is %v, want 0 to 1", ErrShares, s)
		}
		sum += s
	}
	if sum > 1+shareTolerance {
		return fmt.Errorf("%w: their sum is %.4g, want 1 at most", ErrShares, sum)
	}
	return nil
}

// Weights returns the weights of the kinds in the division of the room. Shares are weights as they are, and the
// kinds of the service without one divide the rest.
func Weights(kinds []Kind) []float64 {
	most := math.MaxInt
	for _, k := range kinds {
		most = min(most, k.Urgency)
	}
	shares, rest := make(map[string]float64), make(map[string]float64)
	weights := make([]float64, len(kinds))
	for i, k := range kinds {
		if weights[i] = 1; k.Urgency == most {
			weights[i] = urgentWeight
		}
		if shares[k.Service] += k.Share; k.Share == 0 {
			rest[k.Service] += weights[i]
		}
	}
	for i, k := range kinds {
		switch {
		case k.Share > 0:
			weights[i] = k.Share
		case shares[k.Service] > 0:
			weights[i] = max(weights[i]*(1-shares[k.Service])/rest[k.Service], leastWeight)
		}
	}
	return weights
}

// Claim is what a kind with waiting work brings to the choice of who gets the next room.
type Claim struct {
	Use     float64 // of the room by its runs
	Weight  float64 // in the division
	Urgency int
	// Guarantee is the room that the operator's share guarantees, 0 if there is none.
	Guarantee float64
}

// below reports whether the kind uses less than it is guaranteed.
func (c Claim) below() bool { return c.Use < c.Guarantee }

// Before reports whether the kind gets the next room before another one: a kind below its guarantee first, so that a
// flood of another kind leaves it its room. Of kinds with a guarantee that they use up, the more urgent one gets what
// is spare. Otherwise the kind goes first that uses the least for its weight.
func (c Claim) Before(o Claim) bool {
	if c.below() != o.below() {
		return c.below()
	}
	if !c.below() && c.Guarantee > 0 && o.Guarantee > 0 && c.Urgency != o.Urgency {
		return c.Urgency < o.Urgency
	}
	return c.Use/c.Weight < o.Use/o.Weight
}
