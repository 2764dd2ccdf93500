// Package examples embeds the example manifests of the first two users.
package examples

import _ "embed"

// Example manifests, in YAML.
var (
	//go:embed kelpfire.yaml
	Kelpfire []byte
	//go:embed office.yaml
	Office []byte
)
