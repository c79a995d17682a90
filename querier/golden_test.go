package querier

import (
	"testing"

	"sycamorevane.example/sycamorevane/goldentester"
)

// Guards against responses that clients of another version cannot decode, for example because a renamed Go field
// changed its key.
func TestGoldenJSON(t *testing.T) {
	goldentester.CheckJSON(t, "config.json", goldentester.Fill[ConfigResponse]())
	goldentester.CheckJSON(t, "rollouts.json", goldentester.Fill[RolloutsResponse]())
	goldentester.CheckJSON(t, "members.json", goldentester.Fill[MembersResponse]())
	goldentester.CheckJSON(t, "health.json", goldentester.Fill[Health]())
}
