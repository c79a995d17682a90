package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// groupConditions are callers with 3.5 s and callers with 1.5 s, which send the given share of the requests to a few servers
// of steady speed.
func groupConditions(shortShare, load float64, design Design) DiscoveryConditions {
	o := DiscoveryConditions{
		Entries: 4, DCs: 1, Servers: 3, Slots: 6, MaxQueued: 12, KneeShare: 0.8, KneeSlowdown: 1.7,
		WarmUp: 4 * time.Second, Duration: 20 * time.Second, Seed: 1, Design: design,
	}
	for name, k := range map[string]RequestKind{
		"long":  {Rate: 1 - shortShare, Timeout: 3500 * time.Millisecond},
		"short": {Rate: shortShare, Timeout: 1500 * time.Millisecond},
	} {
		k.Name, k.MeanServiceTime, k.MaxRetries = name, 150*time.Millisecond, 1
		o.Kinds = append(o.Kinds, k)
	}
	o.SetLoad(load)
	return o
}

// Guards against callers that are refused nearly always because others have more time than they, or less, and against
// refusals of those that can be served.
func TestGroupsOfCallers(t *testing.T) {
	t.Parallel()
	for _, design := range []Design{OwnView, SchedulerPerDC} {
		for _, load := range []float64{0.5, 1.5, 3} {
			for _, shortShare := range []float64{0.2, 0.8} {
				t.Run(fmt.Sprintf("%v/%v/%v", design, load, shortShare), func(t *testing.T) {
					t.Parallel()
					r := runInBubble(t, groupConditions(shortShare, load, design))
					for name, k := range r.Kinds {
						require.GreaterOrEqual(t, k.Share(), 0.8*r.ServedShare, name)
						require.LessOrEqual(t, float64(k.Late), 0.01*float64(k.Requests), name)
					}
					require.GreaterOrEqual(t, load*r.ServedShare, 0.9*min(load, 1))
				})
			}
		}
	}
}

// Guards against callers of a scheduler that wait for a refusal.
func TestSchedulerRefusesOnArrival(t *testing.T) {
	const target = 20 * time.Millisecond
	for _, load := range []float64{1.1, 1.5, 3} {
		r := runInBubble(t, groupConditions(0.5, load, SchedulerPerDC))
		require.LessOrEqual(t, r.RefusalTime.ValueAtPercentile(99), target.Microseconds(), "at %v times the capacity", load)
	}
}
