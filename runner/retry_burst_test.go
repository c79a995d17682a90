package runner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/parser"
)

// Guards against a retry budget of the whole system that entries on standby, which also get some requests, or entries that
// have just started use in addition to the others.
func TestRetryBurstsOfAllEntries(t *testing.T) {
	const slack = 60.0
	sum := func(entries, active int) float64 {
		total := 0.0
		for i := range entries {
			settings := &parser.DiscoverySettings{}
			settings.Bounds.RetrySlack = slack
			e := &discoveryEntry{p: &DiscoveryProcess{cfg: DiscoveryConfig{Settings: settings}}}
			e.rank.Store(int64(min(i, active)))
			e.entryCount.Store(int64(active))
			total += e.retryBurst()
		}
		return total
	}
	require.LessOrEqual(t, sum(16, 16), slack)
	require.LessOrEqual(t, sum(16, 3), slack, "13 entries are on standby")
	require.LessOrEqual(t, sum(16, 0), slack, "no entry knows its rank")
}
