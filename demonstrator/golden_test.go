package demonstrator

import (
	"testing"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against JSON that its readers no longer understand: renaming a Go field that has no tag changes the bytes that
// other versions and stored files hold.
func TestGoldenJSON(t *testing.T) {
	goldentester.CheckJSON(t, "result.json", goldentester.Fill[Result]())
}
