package requester

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/authenticator"
	"sycamorevane.example/sycamorevane/commander"
	"sycamorevane.example/sycamorevane/renderer"
)

const applied = `{"id":"1","op":"drain","what":"dc=a","outcome":"applied","was":1,"version":2,"by":"ann","at":5,"entries":{"have":3,"total":4}}`

// startHosts starts a control host per handler. For a nil handler it returns an address where nothing listens.
func startHosts(t *testing.T, handlers ...http.HandlerFunc) []string {
	var addrs []string
	for _, handler := range handlers {
		server := httptest.NewServer(handler)
		addrs = append(addrs, server.URL)
		if handler == nil {
			server.Close()
			continue
		}
		t.Cleanup(server.Close)
	}
	return addrs
}

func newClient(t *testing.T, timeout time.Duration, addrs []string) *Client {
	c, err := New(Config{Addrs: addrs, Token: "quarry-lantern", Timeout: timeout})
	require.NoError(t, err)
	return c
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// TestResends guards against a resend with a new id, which could apply a command twice, and against giving up while
// another control host could answer.
func TestResends(t *testing.T) {
	var mu sync.Mutex
	var ids []string
	record := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var c Command
			decoded := json.NewDecoder(r.Body).Decode(&c) == nil
			mu.Lock()
			defer mu.Unlock()
			if decoded {
				ids = append(ids, c.ID)
			}
			next(w, r)
		}
	}
	breakConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	firstCall := true
	succeedLater := func(w http.ResponseWriter, r *http.Request) {
		if firstCall {
			firstCall = false
			respondWith(503, `{"error":"no leader"}`)(w, r)
			return
		}
		respondWith(200, applied)(w, r)
	}
	c := newClient(t, 10*time.Second, startHosts(
		t, nil, record(breakConnection), record(respondWith(504, `{"error":"outcome unknown"}`)), record(respondWith(200, `{"id":`)), record(succeedLater),
	))
	resp, err := c.Send(t.Context(), Command{Op: "drain", Args: map[string]string{"dc": "a"}})
	require.NoError(t, err)
	require.Equal(t, applier.ResultApplied, resp.Result)
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, ids, 8, "each live host twice")
	for _, id := range ids {
		require.Equal(t, ids[0], id)
	}
	require.Len(t, ids[0], 26)
}

// fakeLog replaces the replicated log of a control host.
type fakeLog struct {
	mu      sync.Mutex
	machine *applier.Machine
	index   uint64
}

func (l *fakeLog) Now() time.Time                             { return time.UnixMilli(1_800_000_000_000) }
func (l *fakeLog) ReadIndex(context.Context) (uint64, error)  { return 0, nil }
func (l *fakeLog) CountAcknowledged(uint64) (have, total int) { return 0, 0 }
func (l *fakeLog) View() *renderer.View                       { return nil }

func (l *fakeLog) Propose(_ context.Context, data []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(sycamorevane.LogEntry{Index: l.index, Data: data}), nil
}

// TestSixteenOperators guards against resends after lost responses that apply a command twice. 8 operators drain and 8
// undrain the same data centre. Both control hosts break the connection for a third of the requests after applying the
// command, and reject another third.
func TestSixteenOperators(t *testing.T) {
	log := &fakeLog{machine: applier.New()}
	sum := sha256.Sum256([]byte("quarry-lantern"))
	auth, err := authenticator.New(map[string]string{hex.EncodeToString(sum[:]): "ann"}, logr.Discard())
	require.NoError(t, err)
	mux := http.NewServeMux()
	commander.New(commander.Config{Machine: log.machine, Proposer: log, Reader: log, Cluster: log, Auth: auth, Clock: log, Log: logr.Discard()}).Register(mux)
	var requests atomic.Uint32
	flaky := func(w http.ResponseWriter, r *http.Request) {
		switch requests.Add(1) % 3 {
		case 0:
			mux.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case 1:
			respondWith(503, `{"error":"no leader"}`)(w, r)
		default:
			mux.ServeHTTP(w, r)
		}
	}
	addrs := startHosts(t, flaky, flaky)
	first := newClient(t, 10*time.Second, addrs)
	require.NoError(t, first.Apply(t.Context(), io.Discard, &sycamorevane.Config{
		DCs: []string{"a", "b"}, Services: []sycamorevane.Service{{Name: "flagboard"}},
	}, Options{}))
	outcomes := make([]applier.Outcome, 16)
	var wg sync.WaitGroup
	for op := range outcomes {
		c := newClient(t, 20*time.Second, addrs)
		wg.Go(func() {
			cmd := Command{Op: applier.OpDrain, Args: map[string]any{"dc": "a", "force": true}}
			if op >= 8 {
				cmd = Command{Op: applier.OpUndrain, Args: map[string]any{"dc": "a"}}
			}
			resp, err := c.Send(t.Context(), cmd)
			if err == nil {
				outcomes[op] = resp.Outcome
			}
		})
	}
	wg.Wait()
	records := log.machine.Audit(applier.Query{Description: "dc=a"}).Records
	require.Len(t, records, 16)
	drained := false
	for _, r := range slices.Backward(records) {
		require.Contains(t, outcomes, r.Outcome, "the operator has learned this outcome")
		changes := (r.Outcome.Op == applier.OpDrain) != drained
		require.Equal(t, changes, r.Outcome.Result == applier.ResultApplied)
		drained = drained != changes
	}
}

// TestFinalAnswers guards against resending a command whose outcome is known, and against errors without the outcome.
func TestFinalAnswers(t *testing.T) {
	var calls atomic.Int32
	count := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			next(w, r)
		}
	}
	tests := []struct {
		status int
		body   string
		check  func(t *testing.T, err error)
	}{
		{409, `{"id":"1","outcome":"conflict","version":7,"by":"bob","at":5}`, func(t *testing.T, err error) {
			var conflict *sycamorevane.VersionConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, uint64(7), conflict.Version)
			require.Equal(t, "bob", conflict.Actor)
		}},
		{422, `{"id":"1","outcome":"refused","reason":"last one"}`, func(t *testing.T, err error) {
			var notApplied *NotAppliedError
			require.ErrorAs(t, err, &notApplied)
			require.ErrorContains(t, err, "last one")
		}},
		{400, `{"error":"unknown field","field":"args.x"}`, func(t *testing.T, err error) {
			var rejected *RejectedError
			require.ErrorAs(t, err, &rejected)
			require.ErrorContains(t, err, "args.x")
		}},
		{401, `{"error":"missing or unknown token"}`, func(t *testing.T, err error) { require.ErrorContains(t, err, "401") }},
		{413, `too large`, func(t *testing.T, err error) { require.ErrorContains(t, err, "413") }},
	}
	for _, tt := range tests {
		calls.Store(0)
		c := newClient(t, 5*time.Second, startHosts(t, count(respondWith(tt.status, tt.body)), count(respondWith(tt.status, tt.body))))
		_, err := c.Send(t.Context(), Command{ID: "1", Op: "drain", Args: 1})
		tt.check(t, err)
		require.EqualValues(t, 1, calls.Load())
	}
}

// TestUnknownOutcome guards against reporting a command as failed although it may have been applied.
func TestUnknownOutcome(t *testing.T) {
	c := newClient(t, 300*time.Millisecond, startHosts(t, respondWith(504, `{"error":"outcome unknown"}`), nil))
	_, err := c.Send(t.Context(), Command{ID: "abc", Op: "drain", Args: 1})
	var unknown *UnknownOutcomeError
	require.ErrorAs(t, err, &unknown)
	require.ErrorContains(t, err, "-id abc")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Send(ctx, Command{ID: "abc", Op: "drain", Args: 1})
	require.ErrorAs(t, err, &unknown)
}

// TestTables guards against topics that print nothing or fail on the responses of control hosts.
func TestTables(t *testing.T) {
	bodies := map[string]string{
		"/v1/status": `{"number":"2.7","version":9,"leader":"h1","dcs":[{"name":"a","state":"drained","reason":"taken out","share":0.25}],` +
			`"services":[{"name":"flagboard","rate":10,"versions":[{"name":"v1","share":1}],"dcs":[{"dc":"a","state":"drained","servers":[{"id":"s1","state":"slow","reason":"p99"}]}]}],` +
			`"entries":[{"name":"e1","dc":"a","state":"silent","reason":"lost"}]}`,
		"/v1/rollouts": `{"rollouts":[{"service":"flagboard","to":"v2","phase":"trial","share":0.05,"late":true}]}`,
		"/v1/audit":    `{"records":[{"seq":4,"actor":"ann","result":{"op":"drain","what":"dc=a","outcome":"applied","was":1,"version":2}}],"next":4}`,
		"/v1/config":   `{"version":9,"config":{"dcs":["a"],"services":[{"name":"flagboard","timeout":1500}],"hosts":[{"name":"e1","roles":["entry"]}],"firms":[{"name":"firm","weight":2}]},"drained":{"dcs":{"a":5}}}`,
		"/v1/members":  `{"leader":"h1","members":[{"name":"h1","role":"leader","alive":true}]}`,
	}
	c := newClient(t, time.Second, startHosts(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/audit" && r.URL.Query().Get("op") != "drain" {
			w.WriteHeader(400)
		}
		_, _ = io.WriteString(w, bodies[r.URL.Path])
	}))
	want := map[string][]string{
		"status":   {"view 2.7", "a            drained", "25.0%", "v1 100.0%", "s1", "p99"},
		"entries":  {"e1", "silent", "lost"},
		"rollouts": {"flagboard", "trial", "5.0%", "true"},
		"audit":    {"ann", "dc=a", "applied", "-before 4"},
		"config":   {"state version 9", "1.5s", "1970-01-01T00:00:00Z", "entry", "firm"},
		"members":  {"h1", "leader", "true"},
	}
	for _, topic := range Topics {
		var out bytes.Buffer
		require.NoError(t, c.Show(t.Context(), &out, topic, url.Values{"op": {"drain"}}, false))
		for _, part := range want[topic] {
			require.Contains(t, out.String(), part, topic)
		}
		out.Reset()
		require.NoError(t, c.Show(t.Context(), &out, topic, url.Values{"op": {"drain"}}, true))
		require.True(t, json.Valid(out.Bytes()))
	}
	require.Error(t, c.Show(t.Context(), io.Discard, "secrets", nil, false))
}
