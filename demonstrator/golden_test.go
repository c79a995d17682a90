package demonstrator

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against JSON that its readers no longer understand: renaming a Go field that has no tag changes the bytes that
// other versions and stored files hold.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "result.json", pinner.Fill[Result]())
}
