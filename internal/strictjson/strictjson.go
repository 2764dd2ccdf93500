// Package strictjson decodes JSON of which every part must be understood.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Decode reads one JSON value into v. Unknown fields, wrong types and bytes
// after the value are errors.
func Decode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}
