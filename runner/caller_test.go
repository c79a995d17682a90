package runner

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/inspector"
)

// Guards against a command that is taken although its caller has given it up: it has waited too long, or the connection is closed.
func TestCallerWaits(t *testing.T) {
	results := make(chan error, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			time.Sleep(maxCallerWait)
		}
		results <- callerWaits(context.WithoutCancel(r.Context()))
	}))
	server.Config.ConnContext = inspector.ConnContext
	server.Start()
	defer server.Close()
	for name, c := range map[string]struct {
		path  string
		close bool
		want  error
	}{
		"waits":          {path: "/"},
		"waits too long": {path: "/late", want: errCallerLate},
		"closed":         {path: "/", close: true, want: errCallerClosed},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte("POST " + c.path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
			require.NoError(t, err)
			if c.close {
				require.NoError(t, conn.Close())
			}
			require.Equal(t, c.want, <-results)
		})
	}
	require.NoError(t, callerWaits(t.Context()), "a caller that is not on a connection")
}
