package resolver

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against incompatible JSON: renaming a Go field without a tag changes the JSON that other versions send or have
// stored.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "answer.json", pinner.Fill[EntriesResponse]())
}
