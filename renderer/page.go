package renderer

import _ "embed"

// Page is the status page for large screens: one HTML file without external assets.
//
//go:embed page.html
var Page []byte
