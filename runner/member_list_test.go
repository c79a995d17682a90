package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against entries that keep sessions with the first few members of a group that is being formed, and against entries that
// do not learn of later members.
func TestEntriesGetTheSettledMembers(t *testing.T) {
	start := time.Unix(100, 0)
	l := &memberList{startedAt: start}
	few, all := []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	require.Nil(t, l.settled(start.Add(500*time.Millisecond), few))
	require.Nil(t, l.settled(start.Add(time.Second), all))
	require.Nil(t, l.settled(start.Add(1500*time.Millisecond), all))
	require.Equal(t, all, l.settled(start.Add(time.Second+membersSettleTime), all))
	require.Equal(t, few, l.settled(start.Add(formingPeriod), few), "a host has been lost")

	restarted := &memberList{}
	require.Equal(t, all, restarted.settled(start, all), "the group exists, and entries wait for it")
}
