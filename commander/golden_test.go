package commander

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against responses that clients of another version cannot decode, for example because a renamed Go field
// changed its key.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "answer.json", pinner.Fill[CommandResponse]())
}
