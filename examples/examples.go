// Package examples embeds the example manifests of the first two users.
package examples

import _ "embed"

// The manifests as YAML.
var (
	//go:embed kelpfire.yaml
	Kelpfire []byte
	//go:embed office.yaml
	Office []byte
)
