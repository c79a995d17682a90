package resolver

import (
	"testing"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against incompatible JSON: renaming a Go field without a tag changes the JSON that other versions send or have
// stored.
func TestGoldenJSON(t *testing.T) {
	goldentester.CheckJSON(t, "answer.json", goldentester.Fill[EntriesResponse]())
}
