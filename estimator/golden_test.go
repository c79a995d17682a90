package estimator

import (
	"testing"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against a change of the JSON format of stored measurements; a renamed Go field without a tag changes the JSON.
func TestGoldenJSON(t *testing.T) {
	goldentester.CheckJSON(t, "slopes.json", goldentester.Fill[[]*Series]())
}
