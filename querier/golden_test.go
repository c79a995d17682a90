package querier

import (
	"testing"

	"sycamorevane.example/sycamorevane/pinner"
)

// Guards against responses that clients of another version cannot decode, for example because a renamed Go field
// changed its key.
func TestGoldenJSON(t *testing.T) {
	pinner.CheckJSON(t, "config.json", pinner.Fill[ConfigResponse]())
	pinner.CheckJSON(t, "rollouts.json", pinner.Fill[RolloutsResponse]())
	pinner.CheckJSON(t, "members.json", pinner.Fill[MembersResponse]())
	pinner.CheckJSON(t, "health.json", pinner.Fill[Health]())
}
