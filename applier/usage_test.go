package applier

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func usageCommand(windows []int64, delivered ...int64) Command {
	change := &UsageChange{Delivered: delivered}
	for _, n := range windows {
		change.Windows = append(change.Windows, UsageWindow{Number: n, Counts: map[string]uint64{"w": uint64(n)}})
	}
	return Command{Op: OpUsage, Args: Args{Usage: change}}
}

// Guards against two different counts for one window, also after the window was dropped and after a restart, and against
// windows that are kept for ever.
func TestUsageWindowsAreCountedOnce(t *testing.T) {
	tm := newTestMachine(t)
	version := tm.machine.State().Version
	expectResult(t, tm.apply(Command{Op: OpUsage}), ResultRefused)
	expectResult(t, tm.apply(usageCommand([]int64{7, 8})), ResultApplied)
	expectResult(t, tm.apply(usageCommand([]int64{8, 9})), ResultRefused)
	expectResult(t, tm.apply(usageCommand([]int64{10, 10})), ResultRefused)
	require.Len(t, tm.machine.Usage().Windows, 2)
	require.EqualValues(t, 8, tm.machine.Usage().Last, "a refused command changes nothing")
	expectResult(t, tm.apply(usageCommand([]int64{9}, 7, 8)), ResultApplied)
	require.True(t, tm.machine.Usage().Windows[1].Delivered)
	require.False(t, tm.machine.Usage().Windows[2].Delivered)

	for n := int64(10); n < 60; n++ {
		expectResult(t, tm.apply(usageCommand([]int64{n}, n)), ResultApplied)
	}
	kept := tm.machine.Usage().Windows
	require.Len(t, kept, keptDeliveredWindows+1)
	require.EqualValues(t, 9, kept[0].Number, "a window that was not delivered is kept")
	data, err := tm.machine.Snapshot()
	require.NoError(t, err)
	require.NoError(t, tm.machine.Restore(data))
	require.Equal(t, kept, tm.machine.Usage().Windows)
	expectResult(t, tm.apply(usageCommand([]int64{20})), ResultRefused)

	for n := int64(60); n < 60+2*MaxUsageWindows; n++ {
		expectResult(t, tm.apply(usageCommand([]int64{n})), ResultApplied)
	}
	require.Len(t, tm.machine.Usage().Windows, MaxUsageWindows)
	require.Equal(t, version, tm.machine.State().Version, "usage is not a change of what entries receive")
}
