package forwarder

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/inspector"
)

// Guards against a listener of callers that hides whether they have closed their side.
func TestRejectAmbiguousFramingShowsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := RejectAmbiguousFraming(l).Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	conn := inspector.FromContext(inspector.ConnContext(t.Context(), accepted))
	require.NotNil(t, conn)
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool {
		status, err := conn.Status()
		return err == nil && status.Closed
	}, time.Second, time.Millisecond)
}
