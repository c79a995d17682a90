package commander

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/authenticator"
	"sycamorevane.example/sycamorevane/renderer"
)

const token = "quarry-lantern"

var now = time.UnixMilli(1_800_000_000_000)

// fakeControl is a fake of the replicated log and the rest of the control process.
type fakeControl struct {
	mu       sync.Mutex
	machine  *applier.Machine
	index    uint64
	failWith error
	view     *renderer.View
	replaced []string
	proposed int
}

func (c *fakeControl) Now() time.Time { return now }

func (c *fakeControl) Propose(_ context.Context, data []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposed++
	if c.failWith != nil {
		return nil, c.failWith
	}
	c.index++
	return c.machine.Apply(sycamorevane.LogEntry{Index: c.index, Data: data}), nil
}

func (c *fakeControl) ReadIndex(context.Context) (uint64, error)  { return c.index, c.failWith }
func (c *fakeControl) CountAcknowledged(uint64) (have, total int) { return 3, 4 }
func (c *fakeControl) View() *renderer.View                       { return c.view }

func (c *fakeControl) Replace(_ context.Context, old, next string) error {
	c.replaced = append(c.replaced, old+" "+next)
	return c.failWith
}

// testServer is a commander with a fake control process and its log output.
type testServer struct {
	*fakeControl
	server *httptest.Server
	log    strings.Builder
}

func digest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func newTestServer(t *testing.T) *testServer {
	srv := &testServer{fakeControl: &fakeControl{machine: applier.New()}}
	log := funcr.New(func(_, args string) { fmt.Fprintln(&srv.log, args) }, funcr.Options{})
	auth, err := authenticator.New(map[string]string{digest(token): "ann", digest("other"): "bob"}, log)
	require.NoError(t, err)
	c := New(Config{
		Machine: srv.machine, Proposer: srv.fakeControl, Reader: srv.fakeControl, Cluster: srv.fakeControl, Replacer: srv.fakeControl,
		Auth: auth, Clock: srv.fakeControl, Log: log,
	})
	mux := http.NewServeMux()
	c.Register(mux)
	srv.server = httptest.NewServer(mux)
	t.Cleanup(srv.server.Close)
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, applyBody), 200)
	require.Equal(t, 1500*time.Millisecond, srv.machine.State().Config.Services[0].Timeout)
	srv.view = srv.render(now)
	return srv
}

const applyBody = `{"id":"first","op":"apply","args":{"config":{"dcs":["a","b","c"],"services":[{"name":"flagboard","timeout":1500}],` +
	`"hosts":[{"name":"h1","dc":"a"},{"name":"h2","dc":"b"}]}}}`

func (srv *testServer) render(at time.Time) *renderer.View {
	var loads []renderer.LoadRow
	for i, dc := range []string{"a", "b", "c"} {
		loads = append(loads, renderer.LoadRow{
			Service: "flagboard", DC: dc, Version: fmt.Sprintf("v%d", i%2+1), Server: "s" + dc, Owner: true, Slots: 4, BusySlots: 2, State: "ready",
		})
	}
	return renderer.Render(renderer.Input{
		Now: at, State: srv.machine.State(),
		Entries: []renderer.Summary{{Entry: "e1", ReceivedAt: at, Window: time.Second, Loads: loads}},
	})
}

type reply struct {
	status int
	header http.Header
	body   map[string]any
}

func (srv *testServer) send(t *testing.T, method, path, token, body string) reply {
	req, err := http.NewRequest(method, srv.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	r := reply{status: res.StatusCode, header: res.Header}
	require.NoError(t, json.NewDecoder(res.Body).Decode(&r.body))
	return r
}

func expectStatus(t *testing.T, r reply, want int) {
	t.Helper()
	require.Equal(t, want, r.status, r.body)
}

// TestCommandRow checks the responses of POST /v1/commands: applied, unchanged, conflict, refused, and a resent id.
func TestCommandRow(t *testing.T) {
	srv := newTestServer(t)
	r := srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"drain","args":{"dc":"a"},"if":1}`)
	expectStatus(t, r, 200)
	require.Equal(t, "applied", r.body["outcome"])
	require.EqualValues(t, 2, r.body["version"])
	require.Equal(t, map[string]any{"have": 3.0, "total": 4.0}, r.body["entries"])

	again := srv.send(t, "POST", "/v1/commands", "other", `{"id":"1","op":"undrain","args":{"dc":"a"}}`)
	require.Equal(t, r.body, again.body, "a repeated id returns the first answer")

	r = srv.send(t, "POST", "/v1/commands", "other", `{"id":"2","op":"drain","args":{"dc":"b"},"if":1}`)
	expectStatus(t, r, 409)
	require.EqualValues(t, 2, r.body["version"])
	require.Equal(t, "ann", r.body["by"])
	require.EqualValues(t, now.UnixMilli(), r.body["at"])

	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"3","op":"drain","args":{"dc":"a"}}`), 200)
	r = srv.send(t, "POST", "/v1/commands", token, `{"id":"4","op":"drain","args":{"dc":"b"}}`)
	expectStatus(t, r, 422)
	require.Contains(t, r.body["reason"], "uses 6 slots and would have 4, 2 short")
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"5","op":"drain","args":{"dc":"b","force":true}}`), 200)
}

// TestOutcomeRow checks the responses of GET /v1/commands/{id}.
func TestOutcomeRow(t *testing.T) {
	srv := newTestServer(t)
	srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"drain","args":{"dc":"a"}}`)
	r := srv.send(t, "GET", "/v1/commands/1", token, "")
	expectStatus(t, r, 200)
	require.Equal(t, "applied", r.body["outcome"])
	require.Equal(t, map[string]any{"have": 3.0, "total": 4.0}, r.body["entries"])
	expectStatus(t, srv.send(t, "GET", "/v1/commands/none", token, ""), 404)
	srv.failWith = &sycamorevane.NotLeaderError{}
	r = srv.send(t, "GET", "/v1/commands/none", token, "")
	expectStatus(t, r, 503)
	require.Equal(t, "1", r.header.Get("Retry-After"))
}

// TestMalformed guards against accepting invalid requests, and against an error response that does not name the field.
func TestMalformed(t *testing.T) {
	srv := newTestServer(t)
	tests := []struct{ body, field string }{
		{``, "body"},
		{`{`, "body"},
		{`{"id":"1","op":"drain","args":{"dc":"a"}} x`, "body"},
		{`{"op":"drain","args":{"dc":"a"}}`, "id"},
		{`{"id":"a b","op":"drain","args":{"dc":"a"}}`, "id"},
		{`{"id":"` + strings.Repeat("x", applier.MaxIDBytes+1) + `","op":"drain","args":{"dc":"a"}}`, "id"},
		{`{"id":1,"op":"drain","args":{"dc":"a"}}`, "id"},
		{`{"id":"1","args":{"dc":"a"}}`, "op"},
		{`{"id":"1","op":"rollout step","args":{}}`, "op"},
		{`{"id":"1","op":"drain"}`, "args"},
		{`{"id":"1","op":"drain","args":{"dc":"a"},"by":"root"}`, "by"},
		{`{"id":"1","op":"drain","args":{"dc":"a"},"if":-1}`, "if"},
		{`{"id":"1","op":"drain","args":{"rack":"a"}}`, "args.rack"},
		{`{"id":"1","op":"drain","args":{"dc":"a","server":"s"}}`, "args.dc"},
		{`{"id":"1","op":"drain","args":{"dc":"a","capacity":[]}}`, "args.capacity"},
		{`{"id":"1","op":"rollout","args":{"service":"flagboard","to":"v2"}}`, "args.by"},
		{`{"id":"1","op":"rollout","args":{"service":"flagboard","to":"v2","by":"soon"}}`, "args.by"},
		{`{"id":"1","op":"rollout","args":{"to":"v2","by":1}}`, "args.service"},
		{`{"id":"1","op":"apply","args":{"config":{"services":[{"nam":"x"}]}}}`, "args.config.nam"},
		{`{"id":"1","op":"apply","args":{"config":{"limits":{"lease":"3s"}}}}`, "args.config.lease"},
		{`{"id":"1","op":"apply","args":{"config":{"limits":{"lease":-1}}}}`, "args.config.lease"},
		{`{"id":"1","op":"apply","args":{"config":null}}`, "args.config"},
		{`{"id":"1","op":"apply","args":{"config":{"dcs":"a"}}}`, "args.config.dcs"},
		{`{"id":"1","op":"replace","args":{"host":"h1"}}`, "args.with"},
	}
	proposed := srv.proposed
	for _, tt := range tests {
		r := srv.send(t, "POST", "/v1/commands", token, tt.body)
		expectStatus(t, r, 400)
		require.Equal(t, tt.field, r.body["field"], tt.body)
	}
	large := `{"id":"1","op":"drain","args":{"dc":"` + strings.Repeat("a", MaxBodyBytes) + `"}}`
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, large), 413)
	require.Equal(t, proposed, srv.proposed, "no malformed command reaches the log")
}

// TestTokens guards against accepting commands without a valid token and against secrets in the log output.
func TestTokens(t *testing.T) {
	srv := newTestServer(t)
	for _, bad := range []string{"", "wrong-secret", token + "x", digest(token)} {
		r := srv.send(t, "POST", "/v1/commands", bad, `{"id":"1","op":"drain","args":{"dc":"a"}}`)
		expectStatus(t, r, 401)
		expectStatus(t, srv.send(t, "GET", "/v1/commands/first", bad, ""), 401)
	}
	require.Equal(t, 8, strings.Count(srv.log.String(), "without a valid token"))
	for _, secret := range []string{token, "wrong-secret", digest(token)} {
		require.NotContains(t, srv.log.String(), secret)
	}
}

// TestProposeFailures guards against responses that report a command as failed although it may have been committed.
func TestProposeFailures(t *testing.T) {
	tests := []struct {
		err  error
		want int
	}{
		{&sycamorevane.NotLeaderError{Leader: "h2"}, 503},
		{errors.Trace(&sycamorevane.QueueFullError{Queue: "proposals", Size: 1}), 503},
		{context.DeadlineExceeded, 504},
		{&sycamorevane.UnreachableError{Peer: "h2"}, 504},
		{errors.New("leader changed"), 504},
	}
	for _, tt := range tests {
		srv := newTestServer(t)
		srv.failWith = tt.err
		r := srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"drain","args":{"dc":"a"}}`)
		expectStatus(t, r, tt.want)
		require.Equal(t, "1", r.header.Get("Retry-After"))
		require.Equal(t, true, r.body["resend"])
		srv.failWith = nil
		expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"drain","args":{"dc":"a"}}`), 200)
	}
}

// TestStaleView guards against checking drains and rollouts against outdated capacity.
func TestStaleView(t *testing.T) {
	srv := newTestServer(t)
	withoutReports := renderer.Render(renderer.Input{Now: now, State: srv.machine.State()})
	for _, view := range []*renderer.View{nil, srv.render(now.Add(-time.Minute)), withoutReports} {
		srv.view = view
		expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"drain","args":{"dc":"a"}}`), 503)
		expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"rollout","args":{"service":"flagboard","to":"v2","by":60000}}`), 503)
	}
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"drain","args":{"dc":"a","force":true}}`), 200)
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"drain","args":{"dc":"a"}}`), 200)
}

// TestRollbackWithoutView guards against a running rollout that cannot be rolled back while the status view is missing.
func TestRollbackWithoutView(t *testing.T) {
	srv := newTestServer(t)
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"rollout","args":{"service":"flagboard","to":"v2","by":60000}}`), 200)
	srv.view = nil
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"2","op":"rollback","args":{"service":"flagboard"}}`), 200)
	srv.view = srv.render(now)
	srv.step(t, "1", sycamorevane.RolloutReverting, sycamorevane.RolloutReverted)
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"3","op":"rollout","args":{"service":"flagboard","to":"v2","by":60000}}`), 200)
	srv.step(t, "3", sycamorevane.RolloutWaiting, sycamorevane.RolloutTrial)
	srv.step(t, "3", sycamorevane.RolloutTrial, sycamorevane.RolloutDone)
	srv.view = nil
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"4","op":"rollback","args":{"service":"flagboard"}}`), 503)
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"5","op":"rollback","args":{"service":"flagboard","force":true}}`), 200)
}

func (srv *testServer) step(t *testing.T, rollout string, fromPhase, phase sycamorevane.RolloutPhase) {
	data, err := applier.Encode(applier.Command{Op: applier.OpStep, Actor: "h1", Args: applier.Args{
		Service: "flagboard", Step: &applier.Step{Rollout: rollout, FromPhase: fromPhase, Phase: phase},
	}})
	require.NoError(t, err)
	reply, err := srv.Propose(t.Context(), data)
	require.NoError(t, err)
	o, err := applier.DecodeOutcome(reply)
	require.NoError(t, err)
	require.Equal(t, applier.ResultApplied, o.Result, o.Reason)
}

// TestRollout guards against checking rollouts without the versions that servers have announced.
func TestRollout(t *testing.T) {
	srv := newTestServer(t)
	r := srv.send(t, "POST", "/v1/commands", token, `{"id":"1","op":"rollout","args":{"service":"flagboard","to":"v9","by":60000}}`)
	expectStatus(t, r, 422)
	require.Contains(t, r.body["reason"], "unknown version")
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, `{"id":"2","op":"rollout","args":{"service":"flagboard","to":"v2","by":60000}}`), 200)
	rollout := srv.machine.State().Rollouts["flagboard"]
	require.Equal(t, "v1", rollout.FromVersion)
	require.Equal(t, now.Add(time.Minute).UnixMilli(), rollout.Deadline)
	r = srv.send(t, "POST", "/v1/commands", token, `{"id":"3","op":"rollout","args":{"service":"flagboard","to":"v2","deadline":1}}`)
	expectStatus(t, r, 422)
}

// TestReplace guards against a recorded replacement that resending the command does not complete, and against a reused
// id that changes the membership without a committed command.
func TestReplace(t *testing.T) {
	srv := newTestServer(t)
	const body = `{"id":"1","op":"replace","args":{"host":"h1","with":"h2"}}`
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, body), 200)
	require.Equal(t, []string{"h1 h2"}, srv.replaced)
	srv.failWith = errors.New("learner is behind")
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, body), 503)
	srv.failWith = nil
	expectStatus(t, srv.send(t, "POST", "/v1/commands", token, body), 200)
	require.Len(t, srv.replaced, 3)
	r := srv.send(t, "POST", "/v1/commands", token, `{"id":"first","op":"replace","args":{"host":"h2","with":"h1"}}`)
	require.Equal(t, "apply", r.body["op"])
	require.Len(t, srv.replaced, 3)
}

// FuzzParse guards against bodies that make the decoder panic or that it accepts without an id and op.
func FuzzParse(f *testing.F) {
	f.Add([]byte(applyBody))
	f.Add([]byte(`{"id":"1","op":"rollout","args":{"service":"s","to":"v","by":1},"if":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, reqErr := parse(data)
		if reqErr != nil {
			require.NotEmpty(t, reqErr.field)
			require.NotEmpty(t, reqErr.reason)
			return
		}
		require.NotEmpty(t, r.ID)
		require.NotEmpty(t, r.Op)
		encoded, err := applier.Encode(r.Command)
		require.NoError(t, err)
		_, err = applier.Decode(encoded)
		require.NoError(t, err)
	})
}
