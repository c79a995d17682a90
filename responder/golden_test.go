package responder

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against a change of the JSON format, which clients of other versions rely on; a renamed Go field without a tag
// changes the JSON.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "fault.json", pinner.Fill[ErrorResponse]())
}
