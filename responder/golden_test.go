package responder

import (
	"testing"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against a change of the JSON format, which clients of other versions rely on; a renamed Go field without a tag
// changes the JSON.
func TestGoldenJSON(t *testing.T) {
	goldentester.CheckJSON(t, "fault.json", goldentester.Fill[ErrorResponse]())
}
