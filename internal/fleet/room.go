package fleet

import (
	"fmt"

	"currantstall/internal/structs"
)

// Room is a room that targets of a service with a label were listed with.
type Room struct {
	Service  string            `cbor:"1,keyasint"`
	Label    string            `cbor:"2,keyasint,omitempty"` // "" for all targets of the service
	Capacity structs.Resources `cbor:"3,keyasint"`
}

// Validate returns an error for a room that no valid target has.
func (r *Room) Validate() error {
	if len(r.Service) > MaxNameBytes || len(r.Label) > MaxNameBytes || !r.Capacity.Valid() {
		return fmt.Errorf("room of service %.40q, label %.40q: capacity %v: %w", r.Service, r.Label, r.Capacity, errOutOfRange)
	}
	return nil
}
