package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sequentialLimiter grants its servers in order and checks that each grant is released exactly once.
type sequentialLimiter struct {
	mu          sync.Mutex
	servers     []sycamorevane.Server
	nextServer  int
	lastGrantID uint64
	openGrants  map[uint64]bool
	violations  []string
	outcomes    []sycamorevane.OutcomeKind
	refusal     *sycamorevane.RefusedError
}

func (l *sequentialLimiter) Acquire(_ context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The deadline may pass between the forwarder's check and this one, but only by a little.
	if time.Since(req.Deadline) > 100*time.Millisecond {
		l.violations = append(l.violations, "a slot was requested after the deadline")
	}
	if l.refusal != nil {
		return sycamorevane.Grant{}, l.refusal
	}
	for range l.servers {
		s := l.servers[l.nextServer%len(l.servers)]
		l.nextServer++
		if slices.Contains(req.ExcludedServers, s.ID) {
			continue
		}
		l.lastGrantID++
		l.openGrants[l.lastGrantID] = true
		return sycamorevane.Grant{ID: l.lastGrantID, Server: s}, nil
	}
	return sycamorevane.Grant{}, &sycamorevane.RefusedError{Service: req.Service, Reason: "no server left", RetryAfter: time.Second}
}

func (l *sequentialLimiter) Release(g sycamorevane.Grant, o sycamorevane.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.openGrants[g.ID] {
		l.violations = append(l.violations, "a grant was released that was not open")
	}
	delete(l.openGrants, g.ID)
	l.outcomes = append(l.outcomes, o.Kind)
}

// startWith makes the next grant that of server n.
func (l *sequentialLimiter) startWith(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextServer = n
}

func (l *sequentialLimiter) addServer(s sycamorevane.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, s)
}

func (l *sequentialLimiter) kinds() []sycamorevane.OutcomeKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.outcomes)
}

// testRig is a Forwarder behind a real listener.
type testRig struct {
	t          *testing.T
	limiter    *sequentialLimiter
	f          *Forwarder
	httpServer *httptest.Server
	state      *sycamorevane.State
	client     *http.Client
}

func newTestRig(t *testing.T, edit func(*Config, *sycamorevane.State), servers ...sycamorevane.Server) *testRig {
	t.Helper()
	r := &testRig{t: t, limiter: &sequentialLimiter{servers: servers, openGrants: make(map[uint64]bool)}}
	r.state = &sycamorevane.State{Version: 1, Config: sycamorevane.Config{
		Services: []sycamorevane.Service{{
			Name: "flagboard", Hosts: []string{"flagboard.test"}, Prefix: "/flag", Timeout: 2 * time.Second,
			ProgressTimeout: time.Second, RetryRatio: 1, MaxBodyBytes: 8 << 20,
		}},
		Workspaces: []sycamorevane.Workspace{
			{Name: "open", Weight: 1},
			// The digest of the token "secret".
			{Name: "closed", Weight: 1, Credentials: []string{"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}},
		},
		Hosts:  []sycamorevane.Host{{Name: "a", Roles: sycamorevane.NewSet(sycamorevane.RoleEntry)}},
		Limits: sycamorevane.Limits{MaxHeaderBytes: 8 << 10},
	}}
	cfg := Config{Self: "a", Limiter: r.limiter, State: func() *sycamorevane.State { return r.state }, Log: logr.Discard()}
	if edit != nil {
		edit(&cfg, r.state)
	}
	r.f = New(cfg)
	r.httpServer = httptest.NewUnstartedServer(r.f)
	r.httpServer.Listener = RejectAmbiguousFraming(r.httpServer.Listener)
	r.httpServer.Start()
	r.client = r.httpServer.Client()
	t.Cleanup(r.close)
	return r
}

func (r *testRig) close() {
	r.client.CloseIdleConnections()
	r.httpServer.Close()
	r.f.Close()
	for id, p := range r.f.pools.byID {
		assert.Zero(r.t, p.open, "open connections to %s", id)
		assert.Empty(r.t, p.waiters)
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	assert.Empty(r.t, r.limiter.openGrants, "every grant must be released")
	assert.Empty(r.t, r.limiter.violations)
}

func (r *testRig) do(method, path, body string, header ...string) (*http.Response, string, error) {
	r.t.Helper()
	req, err := http.NewRequest(method, r.httpServer.URL+path, io.NopCloser(strings.NewReader(body)))
	require.NoError(r.t, err)
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = "flagboard.test"
	for i := 0; i+1 < len(header); i += 2 {
		req.Header[header[i]] = []string{header[i+1]}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

func newBackend(t *testing.T, b faker.Behaviour) (*faker.Server, sycamorevane.Server) {
	t.Helper()
	s, err := faker.NewServer(faker.ServerConfig{Service: "flagboard", Version: "1", Behaviour: b})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s, sycamorevane.Server{Service: "flagboard", Version: "1", ID: s.ID(), Addr: s.Addr(), Slots: 4, MaxConns: 240}
}

func TestForwardsRequestAndAnswer(t *testing.T) {
	backend, server := newBackend(t, faker.Behaviour{})
	r := newTestRig(t, nil, server)
	resp, body, err := r.do("POST", "/pond/4?x=1", "raise", "X-Firm", "open")
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	assert.Contains(t, body, server.ID)
	assert.Equal(t, server.ID, resp.Header.Get("X-Backend-Server"))
	assert.Equal(t, "1", resp.Header.Get("X-Version"))
	assert.Equal(t, "1", resp.Header.Get("X-Attempts"))
	runs := backend.Runs()
	require.Len(t, runs, 1)
	assert.Equal(t, resp.Header.Get("X-Request-Id"), runs[0].RequestID)
	assert.Equal(t, "open", runs[0].Workspace)
	assert.Equal(t, int64(5), runs[0].BodyBytes)
	assert.Positive(t, runs[0].Timeout)
	assert.Equal(t, []sycamorevane.OutcomeKind{sycamorevane.OutcomeOK}, r.limiter.kinds())
}

// Guards against slots that are acquired for a caller who has disconnected or whose deadline has passed.
func TestDeadWorkIsNotAskedFor(t *testing.T) {
	_, server := newBackend(t, faker.Behaviour{})
	r := newTestRig(t, nil, server)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, method := range []string{"GET", "POST"} {
		req := httptest.NewRequest(method, "/x", nil).WithContext(ctx)
		req.Host = "flagboard.test"
		assert.Panics(t, func() { r.f.ServeHTTP(httptest.NewRecorder(), req) }, "the connection must be cut")
	}
	body, w := io.Pipe()
	time.AfterFunc(30*time.Millisecond, func() { _ = w.Close() })
	req := httptest.NewRequest("POST", "/x", body)
	req.Host = "flagboard.test"
	req.Header.Set("X-Timeout-Ms", "5")
	resp := httptest.NewRecorder()
	r.f.ServeHTTP(resp, req)
	assert.Equal(t, 503, resp.Code)
	assert.Equal(t, "true", resp.Header().Get("X-Not-Run"))
	assert.Zero(t, r.limiter.lastGrantID)
}

// Guards against responses that reach the wrong caller, miscounted connections and slots that are not released. There
// are more callers than connections, and the servers shed, fail, slow down and restart.
func TestManyCallersFewConnections(t *testing.T) {
	t.Parallel()
	good, one := newBackend(t, faker.Behaviour{Latency: time.Millisecond})
	bad, two := newBackend(t, faker.Behaviour{Latency: time.Millisecond, FailShare: 0.1})
	one.MaxConns, two.MaxConns = 3, 3
	r := newTestRig(t, func(_ *Config, s *sycamorevane.State) {
		s.Config.Services[0].RetryRatio = 0.2
		s.Config.Services[0].Timeout = 500 * time.Millisecond
	}, one, two)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for n := range 12 {
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("call-%d-%d", n, i)
				method, body := "GET", ""
				if i%3 == 0 {
					method, body = "POST", strings.Repeat("b", 1000*i)
				}
				resp, got, err := r.do(method, "/x", body, faker.HeaderCallID, id)
				if !assert.NoError(t, err) {
					return
				}
				mu.Lock()
				statuses[resp.StatusCode]++
				mu.Unlock()
				if resp.StatusCode == 200 {
					assert.Contains(t, got, `"`+id+`"`)
				}
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	bad.UpdateBehaviour(func(b *faker.Behaviour) { b.Shed = true })
	time.Sleep(10 * time.Millisecond)
	bad.UpdateBehaviour(func(b *faker.Behaviour) { b.Shed, b.SlowdownFactor = false, 50 })
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, bad.Restart())
	wg.Wait()
	assert.Greater(t, statuses[200], 240, "%v", statuses)
	runs := make(map[string]int)
	for _, run := range append(good.Runs(), bad.Runs()...) {
		if run.Method == "POST" {
			runs[run.CallID]++
			assert.Equal(t, 1, runs[run.CallID], "a request that must not run twice")
		}
	}
}
