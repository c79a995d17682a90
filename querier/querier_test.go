package querier

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/authenticator"
	"sycamorevane.example/sycamorevane/renderer"
	"sycamorevane.example/sycamorevane/responder"
)

const token = "quarry-lantern"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeControl is a fake control process.
type fakeControl struct {
	mu      sync.Mutex
	now     time.Time
	view    *renderer.View
	leader  string
	readErr error
	index   uint64
}

func (c *fakeControl) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeControl) View() *renderer.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *fakeControl) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *fakeControl) ReadIndex(context.Context) (uint64, error) { return c.index, c.readErr }
func (c *fakeControl) Leader() string                            { return c.leader }
func (c *fakeControl) Members() []renderer.Control {
	return []renderer.Control{{Name: "h1", DC: "a", Role: "leader", Alive: true}}
}

type testServer struct {
	*fakeControl
	machine *applier.Machine
	server  *httptest.Server
}

func newTestServer(t *testing.T) *testServer {
	srv := &testServer{fakeControl: &fakeControl{now: time.UnixMilli(1_800_000_000_000), leader: "h1"}, machine: applier.New()}
	sum := sha256.Sum256([]byte(token))
	auth, err := authenticator.New(map[string]string{hex.EncodeToString(sum[:]): "ann"}, logr.Discard())
	require.NoError(t, err)
	q := New(Config{
		Machine: srv.machine, Reader: srv.fakeControl, Cluster: srv.fakeControl, Auth: auth, Clock: srv.fakeControl, Log: logr.Discard(),
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "up 1") }),
		Timeout: 50 * time.Millisecond,
	})
	mux := http.NewServeMux()
	q.Register(mux)
	srv.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		q.Close()
		srv.server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	srv.apply(t, applier.Command{ID: "first", Op: applier.OpApply, Args: applier.Args{Config: &sycamorevane.Config{
		DCs: []string{"a", "b"}, Services: []sycamorevane.Service{{Name: "flagboard", Timeout: 2 * time.Second}},
	}}})
	return srv
}

func (srv *testServer) apply(t *testing.T, c applier.Command) {
	c.Actor = "ann"
	data, err := applier.Encode(c)
	require.NoError(t, err)
	srv.index++
	srv.machine.Apply(sycamorevane.LogEntry{Index: srv.index, Data: data})
}

func (srv *testServer) renderView(seq uint64) {
	srv.set(func() {
		srv.view = renderer.Render(renderer.Input{Term: 2, Seq: seq, Now: srv.now, Leader: "h1", State: srv.machine.State()})
	})
}

func (srv *testServer) get(t *testing.T, path, token string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), "GET", srv.server.URL+path, nil)
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// expectJSON checks the status of a response and decodes its body into v.
func (srv *testServer) expectJSON(t *testing.T, path string, status int, v any) *http.Response {
	t.Helper()
	res := srv.get(t, path, token)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, status, res.StatusCode, string(body))
	if v != nil {
		require.NoError(t, json.Unmarshal(body, v))
	}
	return res
}

// TestTokens guards against endpoints other than / and /healthz that respond without a valid token.
func TestTokens(t *testing.T) {
	srv := newTestServer(t)
	for _, path := range []string{"/v1/status", "/v1/status/stream", "/v1/audit", "/v1/config", "/v1/rollouts", "/v1/members", "/metrics"} {
		for _, bad := range []string{"", "wrong"} {
			require.Equal(t, 401, srv.get(t, path, bad).StatusCode, path)
		}
	}
	require.Equal(t, 200, srv.get(t, "/", "").StatusCode)
	require.Equal(t, 200, srv.get(t, "/healthz", "").StatusCode)
	require.Equal(t, 200, srv.get(t, "/metrics", token).StatusCode)
	require.Equal(t, 404, srv.get(t, "/none", token).StatusCode)
}

// TestStatusRow checks the responses of /v1/status: the numbered view, and the headers for its age and staleness.
func TestStatusRow(t *testing.T) {
	srv := newTestServer(t)
	res := srv.expectJSON(t, "/v1/status", 503, nil)
	require.Equal(t, "1", res.Header.Get("Retry-After"))
	srv.renderView(7)
	var v renderer.View
	res = srv.expectJSON(t, "/v1/status", 200, &v)
	require.Equal(t, "2.7", v.Number)
	require.Empty(t, res.Header.Get("X-Stale"))
	srv.set(func() { srv.now = srv.now.Add(renderer.StaleAfter + time.Millisecond) })
	res = srv.expectJSON(t, "/v1/status", 200, &v)
	require.Equal(t, "true", res.Header.Get("X-Stale"))
	require.Equal(t, "3001", res.Header.Get("X-Age-Ms"))
}

// nextEvent reads events up to the next one of the given kind and returns its data.
func nextEvent(t *testing.T, r *bufio.Scanner, kind string) string {
	t.Helper()
	for r.Scan() {
		if r.Text() != "event: "+kind {
			continue
		}
		for r.Scan() {
			if data, ok := strings.CutPrefix(r.Text(), "data: "); ok {
				return data
			}
		}
	}
	t.Fatalf("stream ended before event %q: %v", kind, r.Err())
	return ""
}

// TestStreamRow checks /v1/status/stream: it sends each new view immediately, and the age of the latest view while no
// new one arrives.
func TestStreamRow(t *testing.T) {
	srv := newTestServer(t)
	res := srv.get(t, "/v1/status/stream", token)
	require.Equal(t, "text/event-stream", res.Header.Get("Content-Type"))
	lines := bufio.NewScanner(res.Body)
	require.JSONEq(t, `{"age":-1,"stale":true}`, nextEvent(t, lines, "age"))
	for seq := range uint64(3) {
		srv.renderView(seq)
		var v renderer.View
		require.NoError(t, json.Unmarshal([]byte(nextEvent(t, lines, "view")), &v))
		require.Equal(t, fmt.Sprintf("2.%d", seq), v.Number)
		require.JSONEq(t, `{"age":0,"stale":false}`, nextEvent(t, lines, "age"))
	}
	srv.set(func() { srv.now = srv.now.Add(4 * time.Second) })
	require.JSONEq(t, `{"age":4000,"stale":true}`, nextEvent(t, lines, "age"))
}

// TestStreamLimit guards against an unlimited number of streams.
func TestStreamLimit(t *testing.T) {
	srv := newTestServer(t)
	for range MaxStreams {
		require.Equal(t, 200, srv.get(t, "/v1/status/stream", token).StatusCode)
	}
	require.Equal(t, 503, srv.get(t, "/v1/status/stream", token).StatusCode)
}

// TestAuditRow checks /v1/audit: filters, paging, and error responses that name the invalid parameter.
func TestAuditRow(t *testing.T) {
	srv := newTestServer(t)
	for i := range 5 {
		srv.apply(t, applier.Command{ID: fmt.Sprint(i), Op: applier.OpDrain, Args: applier.Args{DC: "a"}})
	}
	var p applier.Page
	srv.expectJSON(t, "/v1/audit?op=drain&limit=2", 200, &p)
	require.Len(t, p.Records, 2)
	require.Equal(t, "4", p.Records[0].Outcome.ID)
	var next applier.Page
	srv.expectJSON(t, fmt.Sprintf("/v1/audit?op=drain&limit=9&before=%d", p.Next), 200, &next)
	require.Len(t, next.Records, 3)
	require.Zero(t, next.Next)
	srv.expectJSON(t, "/v1/audit?outcome=applied&actor=ann&what=dc%3Da", 200, &p)
	require.Len(t, p.Records, 1)
	for query, field := range map[string]string{"opp=x": "opp", "limit=many": "limit", "since=-1": "since"} {
		var f responder.ErrorResponse
		srv.expectJSON(t, "/v1/audit?"+query, 400, &f)
		require.Equal(t, field, f.Field)
	}
}

// TestConfigRow checks the responses of /v1/config, /v1/rollouts and /v1/members.
func TestConfigRow(t *testing.T) {
	srv := newTestServer(t)
	var cfg ConfigResponse
	srv.expectJSON(t, "/v1/config", 200, &cfg)
	require.Equal(t, uint64(1), cfg.Version)
	require.Contains(t, string(cfg.Config), `"dcs":["a","b"]`)
	require.Contains(t, string(cfg.Config), `"timeout":2000`)
	srv.apply(t, applier.Command{ID: "2", Op: applier.OpRollout, Args: applier.Args{
		Service: "flagboard", ToVersion: "v2", Deadline: 60_000, Versions: map[string]int{"v1": 1, "v2": 1},
	}})
	var rollouts RolloutsResponse
	srv.expectJSON(t, "/v1/rollouts", 200, &rollouts)
	require.Equal(t, "waiting", rollouts.Rollouts[0].Phase)
	var members MembersResponse
	srv.expectJSON(t, "/v1/members", 200, &members)
	require.Equal(t, "h1", members.Leader)
	require.Equal(t, "leader", members.Members[0].Role)
}

// TestNoQuorum guards against a control host without a quorum, or behind it, that returns outdated data as current.
func TestNoQuorum(t *testing.T) {
	faults := map[string]func(*testServer){
		"no quorum":  func(srv *testServer) { srv.readErr = context.DeadlineExceeded },
		"not leader": func(srv *testServer) { srv.readErr = &sycamorevane.NotLeaderError{} },
		"behind":     func(srv *testServer) { srv.index += 10 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			srv := newTestServer(t)
			fault(srv)
			for _, path := range []string{"/v1/audit", "/v1/config", "/v1/rollouts"} {
				res := srv.expectJSON(t, path, 503, nil)
				require.Equal(t, "1", res.Header.Get("Retry-After"))
			}
		})
	}
}

// TestHealth guards against a host that reports itself healthy although it knows no leader.
func TestHealth(t *testing.T) {
	srv := newTestServer(t)
	var h Health
	srv.expectJSON(t, "/healthz", 200, &h)
	require.Equal(t, Health{State: "ok", Leader: "h1"}, h)
	srv.leader = ""
	srv.expectJSON(t, "/healthz", 503, &h)
}
