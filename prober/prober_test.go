package prober

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane/seeder"
)

var start = time.Unix(1_000_000_000, 0)

func target(id string, answered time.Time) Target {
	return Target{ID: id, Slots: 4, Answered: answered, Free: true}
}

// Guards against measuring above the budget, whatever the calls, durations and ownership changes.
func TestBudgetHoldsInTotal(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.1).Draw(t, "share")
		b, now := NewBudget(start, share), start
		spent := map[string]time.Duration{}
		pending := map[string]int{}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				b = NewBudget(now, share) // Ownership has moved.
			case 1:
				b.Pause(now) // No majority until here.
			default:
				id := b.Next(now, []Target{target("a", time.Time{}), target("b", start)})
				if id == "" {
					continue
				}
				pending[id]++
				took := time.Duration(rapid.IntRange(1, 12).Draw(t, "took")) * time.Millisecond
				b.Done(id, took)
				spent[id] += took
			}
		}
		for id, took := range spent {
			// A single request may take longer than expected before its real cost is known.
			allowed := time.Duration(share*4*float64(now.Sub(start))) + 12*time.Millisecond
			if took > allowed {
				t.Fatalf("server %s spent %v of %v in %d requests", id, took, allowed, pending[id])
			}
		}
	})
}

// Guards against requests that real answers make needless, and against servers that are never measured.
func TestNext(t *testing.T) {
	now := start.Add(time.Minute)
	busy := target("busy", start)
	busy.Free = false
	cases := []struct {
		name    string
		share   float64
		targets []Target
		want    string
	}{
		{"no server", 0.01, nil, ""},
		{"no budget", 0, []Target{target("a", start)}, ""},
		{"recent answer", 0.01, []Target{target("a", now.Add(-recent/2))}, ""},
		{"no free slot", 0.01, []Target{busy}, ""},
		{"longest silence first", 0.01, []Target{target("a", start.Add(time.Second)), target("b", start)}, "b"},
		{"never answered first", 0.01, []Target{target("a", start), target("b", time.Time{})}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(start, c.share)
			b.Next(now.Add(-recent), []Target{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}, {ID: "busy", Slots: 4}})
			require.Equal(t, c.want, b.Next(now, c.targets))
		})
	}
}

// Guards against a new owner that spends an allowance it has not accrued.
func TestNewOwnerStartsEmpty(t *testing.T) {
	b := NewBudget(start, 0.01)
	require.Empty(t, b.Next(start, []Target{target("a", time.Time{})}))
	require.Zero(t, b.Left())
}

// Guards against a request's real duration being left out of the count.
func TestSlowRequestsCostMore(t *testing.T) {
	count := func(took time.Duration) int {
		b, n := NewBudget(start, 0.01), 0
		for i := range 1000 {
			if id := b.Next(start.Add(time.Duration(i)*10*time.Millisecond), []Target{target("a", time.Time{})}); id != "" {
				b.Done(id, took)
				n++
			}
		}
		return n
	}
	require.Greater(t, count(6*time.Millisecond), 3*count(60*time.Millisecond))
}
