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

// control stands in for the control process.
type control struct {
	mu     sync.Mutex
	now    time.Time
	view   *renderer.View
	leader string
	fail   error
	index  uint64
}

func (c *control) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *control) View() *renderer.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *control) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *control) ReadIndex(context.Context) (uint64, error) { return c.index, c.fail }
func (c *control) Leader() string                            { return c.leader }
func (c *control) Members() []renderer.Control {
	return []renderer.Control{{Name: "h1", DC: "a", Role: "leader", Alive: true}}
}

type desk struct {
	*control
	machine *applier.Machine
	server  *httptest.Server
}

func newDesk(t *testing.T) *desk {
	d := &desk{control: &control{now: time.UnixMilli(1_800_000_000_000), leader: "h1"}, machine: applier.New()}
	sum := sha256.Sum256([]byte(token))
	auth, err := authenticator.New(map[string]string{hex.EncodeToString(sum[:]): "ann"}, logr.Discard())
	require.NoError(t, err)
	q := New(Config{
		Machine: d.machine, Reader: d.control, Cluster: d.control, Auth: auth, Clock: d.control, Log: logr.Discard(),
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "up 1") }),
		Timeout: 50 * time.Millisecond,
	})
	mux := http.NewServeMux()
	q.Register(mux)
	d.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		q.Close()
		d.server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	d.do(t, applier.Command{ID: "first", Op: applier.OpApply, Args: applier.Args{Config: &sycamorevane.Config{
		DCs: []string{"a", "b"}, Services: []sycamorevane.Service{{Name: "flagboard", Timeout: 2 * time.Second}},
	}}})
	return d
}

func (d *desk) do(t *testing.T, c applier.Command) {
	c.Actor = "ann"
	data, err := applier.Encode(c)
	require.NoError(t, err)
	d.index++
	d.machine.Apply(sycamorevane.LogEntry{Index: d.index, Data: data})
}

func (d *desk) publish(seq uint64) {
	d.set(func() {
		d.view = renderer.Render(renderer.Input{Term: 2, Seq: seq, Now: d.now, Leader: "h1", State: d.machine.State()})
	})
}

func (d *desk) open(t *testing.T, path, token string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), "GET", d.server.URL+path, nil)
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// expectJSON reads an answer of the wanted status into v.
func (d *desk) expectJSON(t *testing.T, path string, status int, v any) *http.Response {
	t.Helper()
	res := d.open(t, path, token)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, status, res.StatusCode, string(body))
	if v != nil {
		require.NoError(t, json.Unmarshal(body, v))
	}
	return res
}

// TestTokens guards against endpoints that answer without a token; only / and /healthz may.
func TestTokens(t *testing.T) {
	d := newDesk(t)
	for _, path := range []string{"/v1/status", "/v1/status/stream", "/v1/audit", "/v1/config", "/v1/rollouts", "/v1/members", "/metrics"} {
		for _, bad := range []string{"", "wrong"} {
			require.Equal(t, 401, d.open(t, path, bad).StatusCode, path)
		}
	}
	require.Equal(t, 200, d.open(t, "/", "").StatusCode)
	require.Equal(t, 200, d.open(t, "/healthz", "").StatusCode)
	require.Equal(t, 200, d.open(t, "/metrics", token).StatusCode)
	require.Equal(t, 404, d.open(t, "/none", token).StatusCode)
}

// TestStatusRow is the contract of /v1/status: one view per number, marked when stale.
func TestStatusRow(t *testing.T) {
	d := newDesk(t)
	res := d.expectJSON(t, "/v1/status", 503, nil)
	require.Equal(t, "1", res.Header.Get("Retry-After"))
	d.publish(7)
	var v renderer.View
	res = d.expectJSON(t, "/v1/status", 200, &v)
	require.Equal(t, "2.7", v.Number)
	require.Empty(t, res.Header.Get("X-Stale"))
	d.set(func() { d.now = d.now.Add(renderer.StaleAfter + time.Millisecond) })
	res = d.expectJSON(t, "/v1/status", 200, &v)
	require.Equal(t, "true", res.Header.Get("X-Stale"))
	require.Equal(t, "3001", res.Header.Get("X-Age-Ms"))
}

// nextEvent reads events until one of the wanted kind and returns its data.
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

// TestStreamRow is the contract of /v1/status/stream: each new view at once, and the age of the last one when no
// new view arrives.
func TestStreamRow(t *testing.T) {
	d := newDesk(t)
	res := d.open(t, "/v1/status/stream", token)
	require.Equal(t, "text/event-stream", res.Header.Get("Content-Type"))
	lines := bufio.NewScanner(res.Body)
	require.JSONEq(t, `{"age":-1,"stale":true}`, nextEvent(t, lines, "age"))
	for seq := range uint64(3) {
		d.publish(seq)
		var v renderer.View
		require.NoError(t, json.Unmarshal([]byte(nextEvent(t, lines, "view")), &v))
		require.Equal(t, fmt.Sprintf("2.%d", seq), v.Number)
		require.JSONEq(t, `{"age":0,"stale":false}`, nextEvent(t, lines, "age"))
	}
	d.set(func() { d.now = d.now.Add(4 * time.Second) })
	require.JSONEq(t, `{"age":4000,"stale":true}`, nextEvent(t, lines, "age"))
}

// TestStreamLimit guards against streams without bound.
func TestStreamLimit(t *testing.T) {
	d := newDesk(t)
	for range MaxStreams {
		require.Equal(t, 200, d.open(t, "/v1/status/stream", token).StatusCode)
	}
	require.Equal(t, 503, d.open(t, "/v1/status/stream", token).StatusCode)
}

// TestAuditRow is the contract of /v1/audit: filtered, paged, parameters checked by name.
func TestAuditRow(t *testing.T) {
	d := newDesk(t)
	for i := range 5 {
		d.do(t, applier.Command{ID: fmt.Sprint(i), Op: applier.OpDrain, Args: applier.Args{DC: "a"}})
	}
	var p applier.Page
	d.expectJSON(t, "/v1/audit?op=drain&limit=2", 200, &p)
	require.Len(t, p.Records, 2)
	require.Equal(t, "4", p.Records[0].Outcome.ID)
	var next applier.Page
	d.expectJSON(t, fmt.Sprintf("/v1/audit?op=drain&limit=9&before=%d", p.Next), 200, &next)
	require.Len(t, next.Records, 3)
	require.Zero(t, next.Next)
	d.expectJSON(t, "/v1/audit?outcome=applied&actor=ann&what=dc%3Da", 200, &p)
	require.Len(t, p.Records, 1)
	for query, field := range map[string]string{"opp=x": "opp", "limit=many": "limit", "since=-1": "since"} {
		var f responder.ErrorResponse
		d.expectJSON(t, "/v1/audit?"+query, 400, &f)
		require.Equal(t, field, f.Field)
	}
}

// TestConfigRow is the contract of /v1/config, /v1/rollouts and /v1/members.
func TestConfigRow(t *testing.T) {
	d := newDesk(t)
	var cfg ConfigResponse
	d.expectJSON(t, "/v1/config", 200, &cfg)
	require.Equal(t, uint64(1), cfg.Version)
	require.Contains(t, string(cfg.Config), `"dcs":["a","b"]`)
	require.Contains(t, string(cfg.Config), `"timeout":2000`)
	d.do(t, applier.Command{ID: "2", Op: applier.OpRollout, Args: applier.Args{
		Service: "flagboard", ToVersion: "v2", Deadline: 60_000, Versions: map[string]int{"v1": 1, "v2": 1},
	}})
	var moves RolloutsResponse
	d.expectJSON(t, "/v1/rollouts", 200, &moves)
	require.Equal(t, "waiting", moves.Rollouts[0].Phase)
	var members MembersResponse
	d.expectJSON(t, "/v1/members", 200, &members)
	require.Equal(t, "h1", members.Leader)
	require.Equal(t, "leader", members.Members[0].Role)
}

// TestNoQuorum guards against old data served as current by a control host that is cut off or behind.
func TestNoQuorum(t *testing.T) {
	faults := map[string]func(*desk){
		"no quorum":  func(d *desk) { d.fail = context.DeadlineExceeded },
		"not leader": func(d *desk) { d.fail = &sycamorevane.NotLeaderError{} },
		"behind":     func(d *desk) { d.index += 10 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t)
			fault(d)
			for _, path := range []string{"/v1/audit", "/v1/config", "/v1/rollouts"} {
				res := d.expectJSON(t, path, 503, nil)
				require.Equal(t, "1", res.Header.Get("Retry-After"))
			}
		})
	}
}

// TestHealth guards against a host that looks healthy while it knows no leader.
func TestHealth(t *testing.T) {
	d := newDesk(t)
	var h Health
	d.expectJSON(t, "/healthz", 200, &h)
	require.Equal(t, Health{State: "ok", Leader: "h1"}, h)
	d.leader = ""
	d.expectJSON(t, "/healthz", 503, &h)
}
