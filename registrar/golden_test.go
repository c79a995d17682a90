package registrar

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against JSON that its readers do not know any more: a renamed Go field changes the bytes that another version
// or a stored file holds.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "announcement.json", pinner.Fill[announcement]())
	pinner.CheckJSON(t, "lease.json", pinner.Fill[leaseAnswer]())
}
