// Package key defines the identity of a request or submission. A key contains
// its home data centre and the time at which it was minted, so that an expired
// key can be refused without any record of it.
package key

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key is <data centre>/<UUIDv7>. It is comparable and may be a map key.
type Key struct {
	DC string    `cbor:"1,keyasint"`
	ID uuid.UUID `cbor:"2,keyasint"`
}

// maxNameLen is the longest name of a data centre, kind, team or VM, in bytes.
const maxNameLen = 32

// New mints a key whose home is the data centre dc, with the current time.
func New(dc string) (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return Key{}, fmt.Errorf("mint key: %w", err)
	}
	return Key{DC: dc, ID: id}, nil
}

// Parse decodes the text form. It returns an error unless the name of the data
// centre is valid and the identifier is a UUID of version 7 in canonical form.
func Parse(s string) (Key, error) {
	dc, rest, ok := strings.Cut(s, "/")
	if !ok {
		return Key{}, fmt.Errorf("key %.80q is not <data centre>/<UUIDv7>", s)
	}
	if !ValidName(dc) {
		return Key{}, fmt.Errorf("key %.80q has no valid data centre name", s)
	}
	id, err := uuid.Parse(rest)
	if err != nil || len(rest) != 36 {
		return Key{}, fmt.Errorf("key %.80q has no UUID in canonical form", s)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, fmt.Errorf("key %.80q has a UUID of version %d, want version 7", s, id.Version())
	}
	return Key{DC: dc, ID: id}, nil
}

// ValidName reports whether s may name a data centre, kind, team or VM: 1 to
// 32 bytes of lower-case letters, digits, '-', '_' and '.'.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLen {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// String returns the text form.
func (k Key) String() string { return k.DC + "/" + k.ID.String() }

// IsZero reports whether k is the zero Key, which names nothing.
func (k Key) IsZero() bool { return k == Key{} }

// MintedAt returns the time at which the key was minted, at a resolution of 1 ms.
func (k Key) MintedAt() time.Time {
	var ms int64
	for _, b := range k.ID[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Hash returns a 64-bit hash of the key's identifier.
func (k Key) Hash() uint64 { return xxhash.Sum64(k.ID[:]) }

// MarshalText encodes the text form.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes the text form. It returns the error of Parse.
func (k *Key) UnmarshalText(b []byte) error {
	p, err := Parse(string(b))
	if err != nil {
		return err
	}
	*k = p
	return nil
}
