package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
)

type testRunCounter struct {
	mu     sync.Mutex
	counts map[string]int
	starts map[time.Time]bool
}

func (c *testRunCounter) Started(workspace string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[workspace]++
	c.starts[at] = true
}

func (c *testRunCounter) Rejected(workspace string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.starts[at] {
		c.counts[workspace]--
	}
}

// silentServer accepts connections, reads a complete request and closes the connection without a response.
func silentServer(t *testing.T) sycamorevane.Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_ = conn.Close()
		}
	}()
	return sycamorevane.Server{Service: "flagboard", Version: "1", ID: "silent", Addr: l.Addr().String(), Slots: 4, MaxConns: 240}
}

// Guards against usage reports with attempts that no server ran, or without attempts that a server began to run.
func TestAttemptsThatServersRunAreCounted(t *testing.T) {
	_, running := newBackend(t, faker.Behaviour{})
	_, failing := newBackend(t, faker.Behaviour{FailFast: true})
	_, shedding := newBackend(t, faker.Behaviour{Shed: true})
	closed := sycamorevane.Server{Service: "flagboard", Version: "1", ID: "closed", Addr: "127.0.0.1:1", Slots: 4, MaxConns: 240}
	for name, c := range map[string]struct {
		servers []sycamorevane.Server
		body    string
		count   int
	}{
		"runs":                              {[]sycamorevane.Server{running}, "", 1},
		"runs with a body":                  {[]sycamorevane.Server{running}, "raise", 1},
		"fails":                             {[]sycamorevane.Server{failing}, "", 1},
		"rejected":                          {[]sycamorevane.Server{shedding}, "", 0},
		"rejected with a body":              {[]sycamorevane.Server{shedding}, "raise", 0},
		"rejected, then run":                {[]sycamorevane.Server{shedding, running}, "", 1},
		"no connection":                     {[]sycamorevane.Server{closed}, "", 0},
		"ends without a response":           {[]sycamorevane.Server{silentServer(t)}, "", 1},
		"rejected, then without a response": {[]sycamorevane.Server{shedding, silentServer(t)}, "raise", 1},
	} {
		t.Run(name, func(t *testing.T) {
			counter := &testRunCounter{counts: make(map[string]int), starts: make(map[time.Time]bool)}
			r := newTestRig(t, func(cfg *Config, _ *sycamorevane.State) { cfg.Runs = counter }, c.servers...)
			_, _, _ = r.do("POST", "/pond/4", c.body, "X-Firm", "open")
			r.f.hedges.Wait()
			counter.mu.Lock()
			defer counter.mu.Unlock()
			require.Equal(t, c.count, counter.counts["open"])
			require.LessOrEqual(t, len(counter.counts), 1)
		})
	}
}
