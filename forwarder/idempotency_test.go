package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/deduplicator"
	"sycamorevane.example/sycamorevane/faker"
)

// faultProxy forwards connections to a server and cuts them at a chosen point.
type faultProxy struct {
	*scriptedServer
	mu   sync.Mutex
	mode string
}

func newFaultProxy(t *testing.T, backend *faker.Server) (*faultProxy, sycamorevane.Server) {
	proxy := &faultProxy{}
	s, server := newScriptedServer(t, func(_ *scriptedServer, _ int, c net.Conn) { proxy.serve(c, backend.Addr()) })
	proxy.scriptedServer = s
	server.ID = "wired"
	return proxy, server
}

func (p *faultProxy) setMode(mode string) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
}

func (p *faultProxy) getMode() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// serve forwards one request and its response per connection, so that each request is handled in the current mode.
func (p *faultProxy) serve(c net.Conn, addr string) {
	mode := p.getMode()
	if mode == "before" {
		return
	}
	if mode == "silent" {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	upstream, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	var in io.Reader = c
	if mode == "during" {
		in = io.LimitReader(c, 400) // The header and a part of the body.
	}
	_ = upstream.SetDeadline(time.Now().Add(5 * time.Second))
	if mode == "during" {
		_, _ = io.Copy(upstream, in)
		return
	}
	go func() { _, _ = io.Copy(upstream, in) }()
	resp, err := http.ReadResponse(bufio.NewReader(upstream), nil)
	if err != nil || mode == "lost" {
		return
	}
	resp.Close = true
	_ = resp.Write(c)
}

// testCluster consists of several entries that share servers and exchange claims over an in-memory mesh.
type testCluster struct {
	t             *testing.T
	mesh          *faker.Mesh
	names         []string
	rigs          map[string]*testRig
	dedups        map[string]*deduplicator.Deduplicator
	backend       *faker.Server
	proxy         *faultProxy
	proxiedServer sycamorevane.Server
	deadServer    sycamorevane.Server
}

func newTestCluster(t *testing.T) *testCluster {
	s := &testCluster{t: t, mesh: faker.NewMesh(), rigs: make(map[string]*testRig), dedups: make(map[string]*deduplicator.Deduplicator)}
	s.backend, _ = newBackend(t, faker.Behaviour{Latency: 20 * time.Millisecond})
	s.proxy, s.proxiedServer = newFaultProxy(t, s.backend)
	closedBackend, deadServer := newBackend(t, faker.Behaviour{})
	closedBackend.Close()
	s.deadServer = deadServer
	for i := range 5 {
		s.names = append(s.names, fmt.Sprintf("e%d", i))
	}
	for _, name := range s.names {
		d := deduplicator.New(deduplicator.Config{
			Self: name, Transport: s.mesh.AddPeer(name), EntryHosts: func() []string { return s.names }, Log: logr.Discard(),
		})
		d.Start()
		t.Cleanup(d.Close)
		s.dedups[name] = d
		s.rigs[name] = newTestRig(t, func(c *Config, st *sycamorevane.State) {
			c.Self = name
			c.Dedup = d
			st.Config.Services[0].Timeout = 400 * time.Millisecond
		}, s.proxiedServer)
	}
	for _, d := range s.dedups {
		require.Eventually(t, d.Ready, 10*time.Second, 5*time.Millisecond)
	}
	return s
}

// sendRequest makes one call. If the response states that it has not run, it checks that against the server's record.
func (s *testCluster) sendRequest(entry, id, key string) *http.Response {
	header := []string{faker.HeaderCallID, id}
	if key != "" {
		header = append(header, headerIdempotencyKey, key)
	}
	resp, _, err := s.rigs[entry].do("POST", "/raise", strings.Repeat("r", 2000), header...)
	if err != nil {
		return nil
	}
	if resp.StatusCode >= 500 {
		assert.NotEmpty(s.t, resp.Header.Get(headerRetryAfter), "an error response says when to retry")
	}
	if resp.Header.Get(headerNotRun) == "true" {
		assert.Zero(s.t, s.runCount(id), "%s has run, but the response states that it has not", id)
	}
	return resp
}

// runCount counts the runs of a call in the server's record, including those that broke off.
func (s *testCluster) runCount(id string) int {
	n := 0
	for _, run := range s.backend.Runs() {
		if run.CallID == id {
			n++
		}
	}
	return n
}

// Guards against a second run of a request that must run at most once, and against a false "not run", under faults of
// the connection, the entries and the mesh.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	for _, c := range []struct {
		name string
		mode string
		// before is called before the first request, between before the resend.
		before, between func()
		// first is the status of the first request, resend that of the same request with its key through another entry.
		first, resend int
		// runs is the number of runs in the server's record after both. With mayBeZero there may also be none, since the
		// server may lose the connection before it records the request.
		runs      int
		mayBeZero bool
	}{
		{name: "no fault", first: 200, resend: 200, runs: 1},
		{name: "connection refused", before: func() { s.useServer(s.deadServer) }, between: func() { s.useServer(s.proxiedServer) }, first: 503, resend: 200, runs: 1},
		{name: "closed before the request", mode: "before", first: 502, resend: 502, runs: 0},
		{name: "closed during the body", mode: "during", first: 502, resend: 502, runs: 1, mayBeZero: true},
		{name: "closed after the body", mode: "lost", first: 502, resend: 502, runs: 1},
		{name: "silent", mode: "silent", first: 504, resend: 502, runs: 0},
		{name: "answer lost, then a good wire", mode: "lost", between: func() { s.proxy.setMode("") }, first: 502, resend: 502, runs: 1},
		{
			name: "entry killed", between: func() { s.mesh.Kill("e0"); s.dedups["e0"].Close() },
			first: 200, resend: 200, runs: 1,
		},
		{name: "mesh split", before: func() { s.mesh.Partition(1, "e0") }, between: func() { s.mesh.Partition(0, "e0") }, first: 503, resend: 200, runs: 1},
		{
			name: "shed by the server", before: func() { s.backend.SetBehaviour(faker.Behaviour{Shed: true}) },
			between: func() { s.backend.SetBehaviour(faker.Behaviour{}) }, first: 503, resend: 200, runs: 1,
		},
	} {
		for _, keyed := range []bool{true, false} {
			if !keyed && (c.name == "entry killed" || c.name == "mesh split") {
				continue // Without a key, these cases do not differ from other calls.
			}
			t.Run(fmt.Sprintf("%s, key %t", c.name, keyed), func(t *testing.T) {
				entry := "e0"
				if c.name == "no fault" || c.name == "mesh split" || !keyed {
					entry = "e1"
				}
				if c.name == "mesh split" {
					entry = "e0"
				}
				s.checkAtMostOnce(t, entry, c.mode, c.before, c.between, c.first, c.resend, c.runs, c.mayBeZero, keyed)
			})
		}
	}
}

func (s *testCluster) useServer(server sycamorevane.Server) {
	for _, r := range s.rigs {
		r.limiter.mu.Lock()
		r.limiter.servers = []sycamorevane.Server{server}
		r.limiter.mu.Unlock()
	}
}

func (s *testCluster) checkAtMostOnce(t *testing.T, entry, mode string, before, between func(), first, resend, runs int, mayBeZero, keyed bool) {
	id := strings.ReplaceAll(t.Name(), " ", "-")
	key := ""
	if keyed {
		key = id
	}
	defer s.proxy.setMode("")
	s.proxy.setMode(mode)
	if before != nil {
		before()
	}
	resp := s.sendRequest(entry, id, key)
	require.NotNil(t, resp)
	assert.Equal(t, first, resp.StatusCode)
	if between != nil {
		between()
	}
	if keyed {
		resent := s.sendRequest("e2", id, key)
		require.NotNil(t, resent)
		assert.Equal(t, resend, resent.StatusCode)
		if first == 200 {
			assert.Equal(t, resp.Header.Get("X-Request-Id"), resent.Header.Get("X-Request-Id"), "the resend gets the recorded response")
		}
		if !mayBeZero {
			assert.Equal(t, runs, s.runCount(id))
		}
	}
	assert.LessOrEqual(t, s.runCount(id), 1)
}

// Guards against concurrent runs when a caller resends through several entries at once, and against a lost claim when an
// entry dies while its request runs.
func TestResendsWhileRunning(t *testing.T) {
	t.Parallel()
	s := newTestCluster(t)
	s.backend.UpdateBehaviour(func(b *faker.Behaviour) { b.Latency = 100 * time.Millisecond })
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for _, entry := range s.names {
		wg.Go(func() {
			resp := s.sendRequest(entry, "parallel", "parallel")
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	wg.Wait()
	assert.LessOrEqual(t, s.runCount("parallel"), 1)
	assert.Equal(t, len(s.names), statuses[200]+statuses[409], "%v", statuses)

	// The entry dies while a server runs the request. The claim must survive.
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", s.rigs["e0"].httpServer.URL+"/raise", strings.NewReader("x"))
	require.NoError(t, err)
	req.Host = "flagboard.test"
	req.Header.Set(headerIdempotencyKey, "orphan")
	req.Header.Set(faker.HeaderCallID, "orphan")
	wg.Go(func() {
		if resp, err := s.rigs["e0"].client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	})
	require.Eventually(t, func() bool { return s.runCount("orphan") == 1 }, 5*time.Second, time.Millisecond)
	s.mesh.Kill("e0")
	cancel()
	wg.Wait()
	entry1 := s.rigs["e1"]
	resp, _, err := entry1.do("POST", "/raise", "x", headerIdempotencyKey, "orphan", faker.HeaderCallID, "orphan")
	require.NoError(t, err)
	assert.Contains(t, []int{409, 502}, resp.StatusCode, "the request may have run")
	assert.Equal(t, "false", resp.Header.Get(headerNotRun))
	assert.Equal(t, 1, s.runCount("orphan"))

	// Another body with the same key.
	resp, _, err = entry1.do("POST", "/raise", "y", headerIdempotencyKey, "orphan")
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)
}

// Guards against a panic that affects other requests, keeps a slot or leads to a false "not run".
func TestPanicStaysWithItsRequest(t *testing.T) {
	_, server := newBackend(t, faker.Behaviour{})
	fail := true
	r := newTestRig(t, func(c *Config, _ *sycamorevane.State) {
		c.Observe = func(string, string, string, sycamorevane.Outcome) {
			if fail {
				panic("observer failed")
			}
		}
	}, server)
	resp, _, err := r.do("POST", "/x", "a")
	require.NoError(t, err)
	assert.Equal(t, 502, resp.StatusCode)
	assert.Equal(t, "false", resp.Header.Get(headerNotRun))
	fail = false
	resp, _, err = r.do("POST", "/x", "a")
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
}

// Guards against trusting headers that only the load balancer or the next hop may set.
func TestHeadersThatStayHere(t *testing.T) {
	var received http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("X-Attempts", "9")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusCreated)
	}))
	defer s.Close()
	r := newTestRig(t, nil, sycamorevane.Server{Service: "flagboard", Version: "1", ID: "h", Addr: s.Listener.Addr().String(), MaxConns: 9})
	resp, _, err := r.do("POST", "/x", "a", "Connection", "X-Hop", "X-Hop", "1", "X-Not-Run", "true", "X-Request-Id", "mine",
		"X-Version", "9", "Proxy-Authorization", "p", "Authorization", "Bearer secret", "X-Firm", "open", "X-Timeout-Ms", "1000", "X-Kept", "k")
	require.NoError(t, err)
	assert.Equal(t, http.StatusCreated, resp.StatusCode)
	for _, name := range []string{"X-Hop", "X-Not-Run", "X-Version", "Proxy-Authorization", "Authorization"} {
		assert.Empty(t, received.Get(name), name)
	}
	assert.NotEqual(t, "mine", received.Get("X-Request-Id"))
	assert.Equal(t, "closed", received.Get("X-Firm"), "the credential takes precedence over the header")
	assert.Equal(t, "k", received.Get("X-Kept"))
	var ms int
	_, _ = fmt.Sscan(received.Get("X-Timeout-Ms"), &ms)
	assert.LessOrEqual(t, ms, 1000)
	assert.Positive(t, ms)
	assert.Empty(t, resp.Header.Get("X-Not-Run"))
	assert.Empty(t, resp.Header.Get("Keep-Alive"))
	assert.Equal(t, "1", resp.Header.Get("X-Attempts"))
}

// Guards against retries and hedges that multiply the load on servers that already fail.
func TestRetryBudget(t *testing.T) {
	backend, server := newBackend(t, faker.Behaviour{FailFast: true})
	twin := server
	twin.ID, twin.Addr = "twin", strings.Replace(server.Addr, "127.0.0.1", "localhost", 1)
	r := newTestRig(t, func(_ *Config, s *sycamorevane.State) { s.Config.Services[0].RetryRatio = 0.1 }, server, twin)
	const calls = 200
	for range calls {
		resp, _, err := r.do("GET", "/x", "")
		require.NoError(t, err)
		require.Equal(t, 500, resp.StatusCode)
	}
	assert.LessOrEqual(t, len(backend.Runs()), calls+calls/10+initialTokens)
	assert.Greater(t, len(backend.Runs()), calls, "the budget must be used")
}
