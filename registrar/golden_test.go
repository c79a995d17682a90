package registrar

import (
	"testing"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against incompatible JSON: renaming a Go field without a tag changes the JSON that other versions send or have
// stored.
func TestGoldenJSON(t *testing.T) {
	goldentester.CheckJSON(t, "announcement.json", goldentester.Fill[announcement]())
	goldentester.CheckJSON(t, "lease.json", goldentester.Fill[leaseResponse]())
}
