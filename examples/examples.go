// Package examples holds the example manifests.
package examples

import _ "embed" // for the manifest

// Muscat is the manifest that the embedded command serves if no other is named.
//
//go:embed muscat.json
var Muscat []byte

// MuscatName is the file name of Muscat.
const MuscatName = "examples/muscat.json"
