package forwarder

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deadlineConn records the last read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *deadlineConn) Read([]byte) (int, error) { return 0, nil }

// Guards against responses that are cut off, or not limited, when the wall clock of the host jumps.
func TestBodyDeadlineFollowsTheMonotonicClock(t *testing.T) {
	raw := &deadlineConn{}
	c := &serverConn{Conn: raw, headerRemaining: -1, progressTimeout: time.Hour}
	end := time.Now().Add(time.Minute)
	c.setBodyDeadline(end)
	_, _ = (*connReader)(c).Read(nil)
	require.Equal(t, end, raw.deadline)
	require.NotEqual(t, end.Round(0), raw.deadline, "without a monotonic clock reading")
	c.setBodyDeadline(time.Time{})
	_, _ = (*connReader)(c).Read(nil)
	require.Greater(t, time.Until(raw.deadline), 30*time.Minute)
}
