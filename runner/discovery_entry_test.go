package runner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

// Guards against a server that is taken for replaced at each change of the catalog, because the one that used its address before
// is still listed.
func TestCurrentServers(t *testing.T) {
	record := func(id, addr string, startedAt int64, ended bool) cataloger.ServerRecord {
		return cataloger.ServerRecord{Report: cataloger.Report{
			Server: sycamorevane.Server{ID: id, Addr: addr, State: sycamorevane.ServerReady}, StartedAt: startedAt, Ended: ended,
		}}
	}
	servers := currentServers([]cataloger.ServerRecord{
		record("new", "a", 2, false), record("old", "a", 1, true), record("other", "b", 1, false), record("stopped", "c", 1, true),
	})
	states := make(map[string]sycamorevane.ServerState)
	for _, s := range servers {
		states[s.ID] = s.State
	}
	require.Equal(t, map[string]sycamorevane.ServerState{
		"new": sycamorevane.ServerReady, "other": sycamorevane.ServerReady, "stopped": sycamorevane.ServerDraining,
	}, states)
}
