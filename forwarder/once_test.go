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

// wire passes connections to a server and cuts them at a chosen point.
type wire struct {
	*script
	mu   sync.Mutex
	mode string
}

func newWire(t *testing.T, backend *faker.Server) (*wire, sycamorevane.Server) {
	w := &wire{}
	s, server := newScript(t, func(_ *script, _ int, c net.Conn) { w.serve(c, backend.Addr()) })
	w.script = s
	server.ID = "wired"
	return w, server
}

func (w *wire) set(mode string) {
	w.mu.Lock()
	w.mode = mode
	w.mu.Unlock()
}

func (w *wire) get() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mode
}

// serve carries one request and its answer per connection, so that each request meets the present mode.
func (w *wire) serve(c net.Conn, addr string) {
	mode := w.get()
	if mode == "before" {
		return
	}
	if mode == "silent" {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	up, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	var in io.Reader = c
	if mode == "during" {
		in = io.LimitReader(c, 400) // The header and a part of the body.
	}
	_ = up.SetDeadline(time.Now().Add(5 * time.Second))
	if mode == "during" {
		_, _ = io.Copy(up, in)
		return
	}
	go func() { _, _ = io.Copy(up, in) }()
	resp, err := http.ReadResponse(bufio.NewReader(up), nil)
	if err != nil || mode == "lost" {
		return
	}
	resp.Close = true
	_ = resp.Write(c)
}

// system is several entries that share servers, with claims over an in-memory mesh.
type system struct {
	t       *testing.T
	mesh    *faker.Mesh
	names   []string
	rigs    map[string]*rig
	dedups  map[string]*deduplicator.Deduplicator
	backend *faker.Server
	wire    *wire
	wired   sycamorevane.Server
	refused sycamorevane.Server
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, mesh: faker.NewMesh(), rigs: make(map[string]*rig), dedups: make(map[string]*deduplicator.Deduplicator)}
	s.backend, _ = newBackend(t, faker.Behaviour{Latency: 20 * time.Millisecond})
	s.wire, s.wired = newWire(t, s.backend)
	gone, refused := newBackend(t, faker.Behaviour{})
	gone.Close()
	s.refused = refused
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
		s.rigs[name] = newRig(t, func(c *Config, st *sycamorevane.State) {
			c.Self = name
			c.Dedup = d
			st.Config.Services[0].Timeout = 400 * time.Millisecond
		}, s.wired)
	}
	for _, d := range s.dedups {
		require.Eventually(t, d.Ready, 10*time.Second, 5*time.Millisecond)
	}
	return s
}

// send makes one call and checks a "not run" against the server's own record.
func (s *system) send(entry, id, key string) *http.Response {
	header := []string{faker.HeaderCall, id}
	if key != "" {
		header = append(header, headerKey, key)
	}
	resp, _, err := s.rigs[entry].do("POST", "/raise", strings.Repeat("r", 2000), header...)
	if err != nil {
		return nil
	}
	if resp.StatusCode >= 500 {
		assert.NotEmpty(s.t, resp.Header.Get(headerRetry), "an answer that gives up says when to retry")
	}
	if resp.Header.Get(headerNotRun) == "true" {
		assert.Zero(s.t, s.ran(id), "%s was answered as not run", id)
	}
	return resp
}

// ran counts the runs of a call by the server's own record, also those that broke off.
func (s *system) ran(id string) int {
	n := 0
	for _, run := range s.backend.Runs() {
		if run.Call == id {
			n++
		}
	}
	return n
}

// Guards against a second run of a request that must run at most once, and against a false "not run", whatever
// happens to the connection, the entries and the mesh.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	for _, c := range []struct {
		name string
		mode string
		// before and between run before the first request and before its resend.
		before, between func()
		// first is the status of the first request; resend that of a resend with the key through another entry.
		first, resend int
		// runs is the number of runs that the server has seen after both; with cut it may also be none, since
		// the server may lose the connection before it notes the request.
		runs int
		cut  bool
	}{
		{name: "no fault", first: 200, resend: 200, runs: 1},
		{name: "connection refused", before: func() { s.use(s.refused) }, between: func() { s.use(s.wired) }, first: 503, resend: 200, runs: 1},
		{name: "closed before the request", mode: "before", first: 502, resend: 502, runs: 0},
		{name: "closed during the body", mode: "during", first: 502, resend: 502, runs: 1, cut: true},
		{name: "closed after the body", mode: "lost", first: 502, resend: 502, runs: 1},
		{name: "silent", mode: "silent", first: 504, resend: 502, runs: 0},
		{name: "answer lost, then a good wire", mode: "lost", between: func() { s.wire.set("") }, first: 502, resend: 502, runs: 1},
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
				continue // Without a key these are calls like any other.
			}
			t.Run(fmt.Sprintf("%s, key %t", c.name, keyed), func(t *testing.T) {
				entry := "e0"
				if c.name == "no fault" || c.name == "mesh split" || !keyed {
					entry = "e1"
				}
				if c.name == "mesh split" {
					entry = "e0"
				}
				s.expectOnce(t, entry, c.mode, c.before, c.between, c.first, c.resend, c.runs, c.cut, keyed)
			})
		}
	}
}

func (s *system) use(server sycamorevane.Server) {
	for _, r := range s.rigs {
		r.limiter.mu.Lock()
		r.limiter.servers = []sycamorevane.Server{server}
		r.limiter.mu.Unlock()
	}
}

func (s *system) expectOnce(t *testing.T, entry, mode string, before, between func(), first, resend, runs int, cut, keyed bool) {
	id := strings.ReplaceAll(t.Name(), " ", "-")
	key := ""
	if keyed {
		key = id
	}
	defer s.wire.set("")
	s.wire.set(mode)
	if before != nil {
		before()
	}
	resp := s.send(entry, id, key)
	require.NotNil(t, resp)
	assert.Equal(t, first, resp.StatusCode)
	if between != nil {
		between()
	}
	if keyed {
		again := s.send("e2", id, key)
		require.NotNil(t, again)
		assert.Equal(t, resend, again.StatusCode)
		if first == 200 {
			assert.Equal(t, resp.Header.Get("X-Request-Id"), again.Header.Get("X-Request-Id"), "the recorded answer")
		}
		if !cut {
			assert.Equal(t, runs, s.ran(id))
		}
	}
	assert.LessOrEqual(t, s.ran(id), 1)
}

// Guards against copies that run side by side when a caller resends through several entries at once, and
// against an entry that dies while its request runs.
func TestResendsWhileRunning(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.backend.UpdateBehaviour(func(b *faker.Behaviour) { b.Latency = 100 * time.Millisecond })
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for _, entry := range s.names {
		wg.Go(func() {
			resp := s.send(entry, "parallel", "parallel")
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
		})
	}
	wg.Wait()
	assert.LessOrEqual(t, s.ran("parallel"), 1)
	assert.Equal(t, len(s.names), statuses[200]+statuses[409], "%v", statuses)

	// The entry dies with the request on a server. Its claim must outlive it.
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", s.rigs["e0"].front.URL+"/raise", strings.NewReader("x"))
	require.NoError(t, err)
	req.Host = "flagboard.test"
	req.Header.Set(headerKey, "orphan")
	req.Header.Set(faker.HeaderCall, "orphan")
	wg.Go(func() {
		if resp, err := s.rigs["e0"].client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	})
	require.Eventually(t, func() bool { return s.ran("orphan") == 1 }, 5*time.Second, time.Millisecond)
	s.mesh.Kill("e0")
	cancel()
	wg.Wait()
	req2 := s.rigs["e1"]
	resp, _, err := req2.do("POST", "/raise", "x", headerKey, "orphan", faker.HeaderCall, "orphan")
	require.NoError(t, err)
	assert.Contains(t, []int{409, 502}, resp.StatusCode, "it may have run")
	assert.Equal(t, "false", resp.Header.Get(headerNotRun))
	assert.Equal(t, 1, s.ran("orphan"))

	// Another body under the same key.
	resp, _, err = req2.do("POST", "/raise", "y", headerKey, "orphan")
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)
}

// Guards against a panic that ends more than its own request, keeps a slot or says "not run".
func TestPanicStaysWithItsRequest(t *testing.T) {
	_, server := newBackend(t, faker.Behaviour{})
	fail := true
	r := newRig(t, func(c *Config, _ *sycamorevane.State) {
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

// Guards against trust in headers that only the system or the next hop may set.
func TestHeadersThatStayHere(t *testing.T) {
	var seen http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("X-Attempts", "9")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusCreated)
	}))
	defer s.Close()
	r := newRig(t, nil, sycamorevane.Server{Service: "flagboard", Version: "1", ID: "h", Addr: s.Listener.Addr().String(), MaxConns: 9})
	resp, _, err := r.do("POST", "/x", "a", "Connection", "X-Hop", "X-Hop", "1", "X-Not-Run", "true", "X-Request-Id", "mine",
		"X-Version", "9", "Proxy-Authorization", "p", "Authorization", "Bearer secret", "X-Firm", "open", "X-Timeout-Ms", "1000", "X-Kept", "k")
	require.NoError(t, err)
	assert.Equal(t, http.StatusCreated, resp.StatusCode)
	for _, name := range []string{"X-Hop", "X-Not-Run", "X-Version", "Proxy-Authorization", "Authorization"} {
		assert.Empty(t, seen.Get(name), name)
	}
	assert.NotEqual(t, "mine", seen.Get("X-Request-Id"))
	assert.Equal(t, "closed", seen.Get("X-Firm"), "the credential decides")
	assert.Equal(t, "k", seen.Get("X-Kept"))
	var ms int
	_, _ = fmt.Sscan(seen.Get("X-Timeout-Ms"), &ms)
	assert.LessOrEqual(t, ms, 1000)
	assert.Positive(t, ms)
	assert.Empty(t, resp.Header.Get("X-Not-Run"))
	assert.Empty(t, resp.Header.Get("Keep-Alive"))
	assert.Equal(t, "1", resp.Header.Get("X-Attempts"))
}

// Guards against retries and hedges that multiply the load of servers that already fail.
func TestRetryBudget(t *testing.T) {
	backend, server := newBackend(t, faker.Behaviour{FailFast: true})
	twin := server
	twin.ID, twin.Addr = "twin", strings.Replace(server.Addr, "127.0.0.1", "localhost", 1)
	r := newRig(t, func(_ *Config, s *sycamorevane.State) { s.Config.Services[0].RetryRatio = 0.1 }, server, twin)
	const calls = 200
	for range calls {
		resp, _, err := r.do("GET", "/x", "")
		require.NoError(t, err)
		require.Equal(t, 500, resp.StatusCode)
	}
	assert.LessOrEqual(t, len(backend.Runs()), calls+calls/10+initialTokens)
	assert.Greater(t, len(backend.Runs()), calls, "the budget must be used")
}
