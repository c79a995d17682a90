package quarantiner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDeadlyShareOfRequests guards against servers that are lost for as long as a small share of the requests of many
// callers crashes them.
func TestDeadlyShareOfRequests(t *testing.T) {
	const entries, requests, share = 4, 600, 0.03
	for name, tc := range map[string]struct {
		deadly     []uint64
		leaderEnds bool
	}{
		"one path":                         {deadly: []uint64{poisonRequest}},
		"two paths":                        {deadly: []uint64{poisonRequest, poisonRequest + 1}},
		"leader ends after the first loss": {deadly: []uint64{poisonRequest}, leaderEnds: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newControlGroup(t, entries, time.Minute)
			r := rand.New(rand.NewPCG(1, 2))
			for range requests {
				entry := r.IntN(entries)
				if r.Float64() >= share {
					require.True(t, g.send(entry, popularRequest, testServer(1)), "an innocent request is refused")
					g.endRequest(len(g.inFlight) - 1)
					continue
				}
				fingerprint := tc.deadly[r.IntN(len(tc.deadly))]
				if !g.crash(entry, fingerprint) {
					continue
				}
				if g.serversCrashed[fingerprint] == quarantineThreshold {
					g.expectRefused(fingerprint)
				} else if tc.leaderEnds {
					g.changeLeader()
				}
			}
			for _, fingerprint := range tc.deadly {
				require.Equal(t, quarantineThreshold, g.serversCrashed[fingerprint], "lost servers")
			}
		})
	}
}
