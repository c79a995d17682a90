package summarizer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// fixedLimiter grants its servers in turn.
type fixedLimiter struct {
	servers []sycamorevane.Server
	n       int
}

func (l *fixedLimiter) Acquire(context.Context, sycamorevane.Request) (sycamorevane.Grant, error) {
	if len(l.servers) == 0 {
		return sycamorevane.Grant{}, &sycamorevane.RefusedError{Reason: "no server"}
	}
	g := sycamorevane.Grant{Server: l.servers[l.n%len(l.servers)]}
	l.n++
	return g, nil
}

func (l *fixedLimiter) Release(sycamorevane.Grant, sycamorevane.Outcome) {}

func server(id string) sycamorevane.Server {
	return sycamorevane.Server{Service: "s", DC: "a", Version: "1", ID: id, Slots: 4}
}

func call(t *testing.T, s *Summarizer, kind sycamorevane.OutcomeKind) {
	t.Helper()
	g, err := s.Acquire(t.Context(), sycamorevane.Request{Service: "s"})
	require.NoError(t, err)
	s.Release(g, sycamorevane.Outcome{Kind: kind, Latency: 10 * time.Millisecond})
}

// Guards against calls that are missing, or counted both in the row of the server and in the row of its pool.
func TestEveryCallIsCountedOnce(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(&fixedLimiter{servers: []sycamorevane.Server{server("own"), server("other")}}, now)
	for range 3 {
		call(t, s, sycamorevane.OutcomeOK)
		call(t, s, sycamorevane.OutcomeFailed)
	}
	sum := s.Summary(now.Add(time.Second), []OwnedServer{{Server: server("own"), UsableSlots: 2, State: "cold"}})
	require.Equal(t, time.Second, sum.Window)
	require.Len(t, sum.Loads, 2)
	own, pool := sum.Loads[0], sum.Loads[1]
	require.True(t, own.Owner)
	require.EqualValues(t, 3, own.Calls)
	require.Equal(t, 2, own.UsableSlots)
	require.Empty(t, pool.Server)
	require.EqualValues(t, 3, pool.Calls)
	require.EqualValues(t, 3, own.Failures+pool.Failures)
	require.InDelta(t, 10, float64(pool.P99.Milliseconds()), 1)
	again := s.Summary(now.Add(2*time.Second), nil)
	require.Empty(t, again.Loads, "a new window starts empty")
}

func TestCancelledCallSaysNothingAboutTheServer(t *testing.T) {
	now := time.Unix(100, 0)
	s := New(&fixedLimiter{servers: []sycamorevane.Server{server("other")}}, now)
	call(t, s, sycamorevane.OutcomeCancelled)
	require.Empty(t, s.Summary(now.Add(time.Second), nil).Loads)
}

func TestRefusalIsPassedOn(t *testing.T) {
	_, err := New(&fixedLimiter{}, time.Now()).Acquire(t.Context(), sycamorevane.Request{})
	var refused *sycamorevane.RefusedError
	require.ErrorAs(t, err, &refused)
}
