package assembler

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/parser"
)

func start(t *testing.T, controls, entries int) *System {
	t.Helper()
	flagboard := parser.DefaultService("flagboard")
	s, err := New(Config{
		DCs: []string{"dc-a", "dc-b", "dc-c"}, ControlCount: controls, EntryCount: entries, Dir: t.TempDir(),
		Services: []sycamorevane.Service{flagboard}, Log: logr.Discard(),
		Limits: sycamorevane.Limits{ServerLease: 2 * time.Second, EntriesTTL: 500 * time.Millisecond, MaxHeaderBytes: 32 << 10, ClaimRetention: time.Minute},
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.ApplyAndWait(t.Context()))
	return s
}

func startServer(t *testing.T, s *System, dc, version string) *faker.Server {
	t.Helper()
	srv, err := faker.NewServer(faker.ServerConfig{
		Service: "flagboard", Version: version, DC: dc, Slots: 4, MaxConns: 240, AnnounceAddrs: s.AnnounceAddrs(dc),
		RenewInterval: 200 * time.Millisecond, Behaviour: faker.Behaviour{Latency: 2 * time.Millisecond},
	})
	require.NoError(t, err)
	t.Cleanup(srv.Close)
	return srv
}

// Guards against components that work alone but not together: announcement, lease, slot acquisition, forwarding, response.
func TestCallThroughTheWholeSystem(t *testing.T) {
	s := start(t, 3, 3)
	for _, dc := range s.Config.DCs {
		startServer(t, s, dc, "1")
	}
	c := faker.NewCaller(faker.CallerConfig{Service: "flagboard", Host: "flagboard", Seeds: s.CallerAddrs()})
	t.Cleanup(c.Close)
	require.Eventually(t, func() bool {
		r := c.Do(t.Context(), faker.Call{Method: http.MethodGet, Path: "/pond"})
		return r.Err == nil && r.Status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var status map[string]any
	require.Eventually(t, func() bool { return s.Query(ctx, "/v1/status", &status) == nil }, 5*time.Second, 100*time.Millisecond)
}

// Guards against a caller listener without the check for requests with both Content-Length and Transfer-Encoding.
func TestBothLengthHeadersAreRefused(t *testing.T) {
	s := start(t, 1, 1)
	conn, err := net.Dial("tcp", s.CallerAddrs()[0])
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: flagboard\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "400")
}
