// Package strictjson decodes JSON and refuses input that it would have to ignore
// in part.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Decode decodes one JSON value into v. It refuses unknown fields, wrong types
// and trailing bytes.
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
