package commander

import (
	"testing"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against responses that clients of another version cannot decode, for example because a renamed Go field
// changed its key.
func TestGoldenJSON(t *testing.T) {
	goldentester.CheckJSON(t, "answer.json", goldentester.Fill[CommandResponse]())
}
