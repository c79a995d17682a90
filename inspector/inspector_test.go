package inspector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newConn returns a connection that has not been read yet, the side of the caller, and when the caller has written to it.
func newConn(t *testing.T, data string) (*Conn, net.Conn, time.Time) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	_, err = caller.Write([]byte(data))
	require.NoError(t, err)
	sentAt := time.Now()
	time.Sleep(200 * time.Millisecond) // The time in which the process does not read.
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	conn := FromContext(ConnContext(t.Context(), accepted))
	require.NotNil(t, conn)
	return conn, caller, sentAt
}

// expectReceivedAt checks when the last byte arrived, within the steps of the kernel's timer.
func expectReceivedAt(t *testing.T, want time.Time, c *Conn) {
	t.Helper()
	status, err := c.Status()
	require.NoError(t, err)
	assert.WithinDuration(t, want, status.ReceivedAt, 50*time.Millisecond)
	assert.False(t, status.Closed)
}

// Guards against a request that counts as new because the process has just read it.
func TestReceivedAt(t *testing.T) {
	c, caller, sentAt := newConn(t, "first")
	expectReceivedAt(t, sentAt, c)
	_, err := caller.Write([]byte("second"))
	require.NoError(t, err)
	expectReceivedAt(t, time.Now(), c)
}

// Guards against a caller that counts as waiting although it has closed the connection, with or without unread data.
func TestClosed(t *testing.T) {
	for name, data := range map[string]string{"with unread data": "order", "without data": ""} {
		t.Run(name, func(t *testing.T) {
			c, caller, _ := newConn(t, data)
			require.NoError(t, caller.Close())
			require.Eventually(t, func() bool {
				status, err := c.Status()
				return err == nil && status.Closed
			}, time.Second, time.Millisecond)
		})
	}
}

func TestServerSetsTheConnection(t *testing.T) {
	var conn *Conn
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { conn = FromContext(r.Context()) }))
	server.Config.ConnContext = ConnContext
	server.Start()
	defer server.Close()
	resp, err := server.Client().Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NotNil(t, conn)
	require.Nil(t, FromContext(context.Background()))
}
