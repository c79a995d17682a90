package forwarder

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new connection for each request: the deadline of the last exchange passes while the connection is
// idle, which must not make it look closed.
func TestIdleConnectionOutlivesTheDeadlineOfItsExchange(t *testing.T) {
	_, server := newScriptedServer(t, func(_ *scriptedServer, _ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	var ps connPools
	ps.init(time.Second)
	t.Cleanup(ps.close)
	p := ps.get(&server, 1, time.Now())
	deadline := time.Now().Add(30 * time.Millisecond)
	first, err := p.get(context.Background(), maxIdle, deadline)
	require.NoError(t, err)
	require.NoError(t, first.SetReadDeadline(deadline))
	p.put(first, time.Now())
	time.Sleep(2 * time.Until(deadline))
	second, err := p.get(context.Background(), maxIdle, time.Now().Add(time.Second))
	require.NoError(t, err)
	require.Same(t, first, second)
	p.discard(second)
}
