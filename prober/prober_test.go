package prober

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane/seeder"
)

var startTime = time.Unix(1_000_000_000, 0)

func newTarget(id string, lastResponse time.Time) Target {
	return Target{ID: id, Slots: 4, LastResponse: lastResponse, HasFreeSlot: true}
}

// Guards against probes that use more slot time than the budget, for any sequence of calls, durations and ownership
// changes.
func TestBudgetHoldsInTotal(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.1).Draw(t, "share")
		b, now := NewBudget(startTime, ratio), startTime
		spentTime := map[string]time.Duration{}
		sent := map[string]int{}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				b = NewBudget(now, ratio) // Ownership has moved.
			case 1:
				b.Pause(now) // There was no majority until now.
			default:
				id := b.Next(now, []Target{newTarget("a", time.Time{}), newTarget("b", startTime)})
				if id == "" {
					continue
				}
				sent[id]++
				took := time.Duration(rapid.IntRange(1, 12).Draw(t, "took")) * time.Millisecond
				b.Complete(id, took)
				spentTime[id] += took
			}
		}
		for id, took := range spentTime {
			// A single probe may exceed the expected duration before its actual duration is known.
			allowed := time.Duration(ratio*4*float64(now.Sub(startTime))) + 12*time.Millisecond
			if took > allowed {
				t.Fatalf("server %s spent %v of %v in %d requests", id, took, allowed, sent[id])
			}
		}
	})
}

// Guards against probes that recent responses make unnecessary, and against servers that are never probed.
func TestNext(t *testing.T) {
	now := startTime.Add(time.Minute)
	noFreeSlot := newTarget("busy", startTime)
	noFreeSlot.HasFreeSlot = false
	cases := []struct {
		name    string
		ratio   float64
		targets []Target
		want    string
	}{
		{"no server", 0.01, nil, ""},
		{"no budget", 0, []Target{newTarget("a", startTime)}, ""},
		{"recent answer", 0.01, []Target{newTarget("a", now.Add(-minSilence/2))}, ""},
		{"no free slot", 0.01, []Target{noFreeSlot}, ""},
		{"longest silence first", 0.01, []Target{newTarget("a", startTime.Add(time.Second)), newTarget("b", startTime)}, "b"},
		{"never answered first", 0.01, []Target{newTarget("a", startTime), newTarget("b", time.Time{})}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(startTime, c.ratio)
			b.Next(now.Add(-minSilence), []Target{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}, {ID: "busy", Slots: 4}})
			require.Equal(t, c.want, b.Next(now, c.targets))
		})
	}
}

// Guards against a new owner that spends allowance it has not accrued.
func TestNewOwnerStartsEmpty(t *testing.T) {
	b := NewBudget(startTime, 0.01)
	require.Empty(t, b.Next(startTime, []Target{newTarget("a", time.Time{})}))
	require.Zero(t, b.Remaining())
}

// Guards against a budget that ignores the actual duration of probes.
func TestSlowRequestsCostMore(t *testing.T) {
	count := func(took time.Duration) int {
		b, n := NewBudget(startTime, 0.01), 0
		for i := range 1000 {
			if id := b.Next(startTime.Add(time.Duration(i)*10*time.Millisecond), []Target{newTarget("a", time.Time{})}); id != "" {
				b.Complete(id, took)
				n++
			}
		}
		return n
	}
	require.Greater(t, count(6*time.Millisecond), 3*count(60*time.Millisecond))
}
