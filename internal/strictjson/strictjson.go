// Package strictjson decodes JSON and refuses input that it would have to ignore
// in part.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Decode decodes one JSON value into v. It refuses unknown fields, wrong types
// and trailing bytes.
func Decode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return ShortError(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// maxErrorBytes bounds the text of an error.
const maxErrorBytes = 256

// ShortError returns err, or an error with the start of its text if that is long: encoding/json
// repeats names and numbers of its input, which a refusal is not to send back whole.
func ShortError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(strings.ToValidUTF8(strings.Clone(text[:maxErrorBytes]), "") + "...")
}

// DecodeList decodes a JSON list that json.Unmarshal has found to be valid. It stops after
// one item more than most, so that a list that is too long takes little memory and is still
// seen to be too long.
func DecodeList[T any](b []byte, most int) ([]T, error) {
	var list []T
	err := EachItem(b, func(item []byte) (more bool, err error) {
		var v T
		if err := json.Unmarshal(item, &v); err != nil {
			return false, fmt.Errorf("item %d: %w", len(list), err)
		}
		list = append(list, v)
		return len(list) <= most, nil
	})
	return list, err
}

// EachItem calls f with the items of a JSON list that json.Unmarshal has found to be valid,
// until f returns false or an error. The items are parts of b. It treats null as an empty list.
func EachItem(b []byte, f func(item []byte) (more bool, err error)) error {
	b = bytes.TrimSpace(b)
	if string(b) == "null" {
		return nil
	}
	if len(b) < 2 || b[0] != '[' {
		return errNoList
	}
	rest := bytes.TrimSpace(b[1 : len(b)-1])
	for len(rest) > 0 {
		end := itemEnd(rest)
		more, err := f(bytes.TrimSpace(rest[:end]))
		if err != nil || !more {
			return err
		}
		rest = rest[min(end+1, len(rest)):]
	}
	return nil
}

var errNoList = errors.New("another value in place of a list")

// itemEnd returns the index of the comma after the first item of a valid list without its
// brackets, and the length of b if there is none.
func itemEnd(b []byte) int {
	depth := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			for i++; i < len(b) && b[i] != '"'; i++ {
				if b[i] == '\\' {
					i++
				}
			}
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	return len(b)
}
