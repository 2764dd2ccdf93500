package manifest

import (
	"bytes"
	"errors"
	"io"

	"github.com/goccy/go-yaml"

	"currantstall/internal/strictjson"
	"currantstall/internal/verdict"
)

// MaxBytes is the largest text of a manifest that Decode accepts.
const MaxBytes = 32 << 20

// Decode reads a manifest from YAML, or from JSON if the text starts with a
// brace, and returns its canonical form after Check. It refuses unknown and
// repeated fields. The error is a *verdict.Error with reason ManifestInvalid.
func Decode(text []byte) (*Manifest, error) {
	if len(text) > MaxBytes {
		return nil, invalidError(errors.New("text exceeds 32 MiB"))
	}
	var m Manifest
	decode := decodeYAML
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] == '{' {
		decode = decodeJSON
	}
	if err := decode(text, &m); err != nil {
		return nil, invalidError(err)
	}
	c := m.Canonical()
	if err := c.Check(); err != nil {
		return nil, err
	}
	return c, nil
}

// markBytes is the memory that it takes to decode what one mark of the text separates, and textFactor
// that of each of its bytes.
const (
	markBytes  = 1 << 10
	textFactor = 8
)

// DecodeBytes returns about how much memory Decode takes for a text at most, in bytes. It counts the marks that
// separate keys, values and items.
func DecodeBytes(text []byte) int64 {
	marks := int64(0)
	for _, b := range text {
		switch b {
		case '\n', ',', ':', '[', '{', '-':
			marks++
		}
	}
	return marks*markBytes + textFactor*int64(len(text))
}

// EncodeYAML returns the manifest as text for Decode. It leaves out the version,
// which is assigned when a manifest is accepted.
func (m *Manifest) EncodeYAML() ([]byte, error) {
	c := *m
	c.Version = 0
	return yaml.Marshal(&c)
}

func invalidError(err error) error {
	return verdict.New(verdict.NotRun, verdict.ManifestInvalid, "manifest is invalid: %w", err)
}

func decodeYAML(text []byte, m *Manifest) error {
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := dec.Decode(m); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.New("text is empty")
		}
		return err
	}
	if err := dec.Decode(new(any)); !errors.Is(err, io.EOF) {
		return errors.New("text has more than one document")
	}
	return nil
}

func decodeJSON(text []byte, m *Manifest) error { return strictjson.Decode(text, m) }
