package querier

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against JSON that its readers do not know any more: a renamed Go field changes the bytes that another version
// or a stored file holds.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "config.json", pinner.Fill[ConfigResponse]())
	pinner.CheckJSON(t, "rollouts.json", pinner.Fill[RolloutsResponse]())
	pinner.CheckJSON(t, "members.json", pinner.Fill[MembersResponse]())
	pinner.CheckJSON(t, "health.json", pinner.Fill[Health]())
}
