package applier

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against quarantines that are lost in a snapshot, that do not end, and that accumulate without bound.
func TestQuarantinedRequests(t *testing.T) {
	tm := &testMachine{machine: New()}
	change := func(at int64, quarantined, released []string) Outcome {
		return tm.apply(Command{Op: OpQuarantine, AcceptedAt: at, Args: Args{Quarantined: quarantined, Released: released}})
	}
	a, b := sycamorevane.FormatFingerprint(10), sycamorevane.FormatFingerprint(11)
	expectResult(t, change(1, []string{a}, nil), ResultApplied)
	expectResult(t, change(2, []string{a}, nil), ResultUnchanged)
	expectResult(t, change(3, []string{b}, nil), ResultApplied)
	expectResult(t, change(4, []string{"request"}, nil), ResultRefused)
	require.Equal(t, map[string]int64{a: 1, b: 3}, tm.machine.State().Quarantined)

	data, err := tm.machine.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, tm.machine.State(), restored.State())

	expectResult(t, change(5, nil, []string{a}), ResultApplied)
	require.Equal(t, map[string]int64{b: 3}, tm.machine.State().Quarantined)
	for i := range MaxQuarantined {
		change(int64(10+i), []string{sycamorevane.FormatFingerprint(uint64(1000 + i))}, nil)
	}
	require.Len(t, tm.machine.State().Quarantined, MaxQuarantined)
	require.NotContains(t, tm.machine.State().Quarantined, b, "the oldest")
}
