package registrar

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against incompatible JSON: renaming a Go field without a tag changes the JSON that other versions send or have
// stored.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "announcement.json", pinner.Fill[announcement]())
	pinner.CheckJSON(t, "lease.json", pinner.Fill[leaseResponse]())
}
