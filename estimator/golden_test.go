package estimator

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against a change of the JSON format of stored measurements; a renamed Go field without a tag changes the JSON.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "slopes.json", pinner.Fill[[]*Series]())
}
