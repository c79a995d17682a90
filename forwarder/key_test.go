package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/acceptor"
)

// keyRig is a Forwarder whose configuration contains workspaces with keys, and a server that records what it receives.
type keyRig struct {
	*testRig
	state atomic.Pointer[sycamorevane.State]
	// hold blocks the responses of the server until it is closed; started receives the requests that the server begins.
	hold    chan struct{}
	started chan *http.Request
	// onAcquire is called before each acquisition of a server.
	onAcquire func(sycamorevane.Request)

	mu   sync.Mutex
	logs strings.Builder
}

func (r *keyRig) Acquire(ctx context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	if r.onAcquire != nil {
		r.onAcquire(req)
	}
	return r.limiter.Acquire(ctx, req)
}

func (r *keyRig) Release(g sycamorevane.Grant, o sycamorevane.Outcome) { r.limiter.Release(g, o) }

func workspaceWithKeys(name string, priority *int, keys ...string) sycamorevane.Workspace {
	w := sycamorevane.Workspace{Name: name, Weight: 1, Priority: priority}
	for _, key := range keys {
		w.Credentials = append(w.Credentials, sycamorevane.CredentialDigest(key))
	}
	return w
}

func newKeyRig(t *testing.T, workspaces ...sycamorevane.Workspace) *keyRig {
	r := &keyRig{hold: make(chan struct{}), started: make(chan *http.Request, 100)}
	close(r.hold)
	_, server := newScriptedServer(t, func(s *scriptedServer, _ int, c net.Conn) {
		for reader := bufio.NewReader(c); ; {
			req, ok := s.readRequest(reader)
			if !ok {
				return
			}
			r.started <- req
			<-r.hold
			_, _ = io.WriteString(c, strings.ReplaceAll(provenResponse, "ID", req.Header.Get("X-Request-Id")))
		}
	})
	r.testRig = newTestRig(t, withRules(func(cfg *Config, st *sycamorevane.State) {
		cfg.Dialect.Key, cfg.Dialect.Workspace = "Caller-Key", "Workspace-Name"
		cfg.State, cfg.Limiter = r.state.Load, r
		cfg.Log = funcr.New(func(prefix, args string) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.logs.WriteString(prefix + args + "\n")
		}, funcr.Options{Verbosity: 9})
		for i := range st.Config.Rules {
			st.Config.Rules[i].Priority, st.Config.Rules[i].Timeout = 2, 5*time.Second
		}
		st.Config.Rules = append(st.Config.Rules, sycamorevane.Rule{
			Name: "open", Host: "flagboard.test", Prefix: "/open/", Idempotent: true, Public: true, Priority: 2,
			Timeout: 5 * time.Second, Destinations: st.Config.Rules[0].Destinations,
		})
		st.Config.Workspaces = workspaces
		r.state.Store(st)
	}), server)
	t.Cleanup(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		require.NotContains(t, r.logs.String(), "k-", "a key in the log")
		require.NotContains(t, r.logs.String(), sycamorevane.CredentialDigest("k-mefi")[:8], "a digest in the log")
	})
	return r
}

// configure puts another set of workspaces into effect.
func (r *keyRig) configure(workspaces ...sycamorevane.Workspace) {
	st := *r.state.Load()
	st.Version++
	st.Config.Workspaces = workspaces
	r.state.Store(&st)
}

// Guards against requests that are served without a valid key, against keys that reach a server, and against servers that
// receive a workspace that the caller has chosen.
func TestKeySelectsTheWorkspace(t *testing.T) {
	urgent := 0
	r := newKeyRig(t, workspaceWithKeys("vopu11", &urgent, "k-mefi", "k-lasu"), workspaceWithKeys("kaje80", nil, "k-jubo"))
	var acquired sycamorevane.Request
	r.onAcquire = func(req sycamorevane.Request) { acquired = req }
	cases := []struct {
		path, keys string
		status     int
		workspace  string
		priority   int
	}{
		{"/x", "k-mefi", 200, "vopu11", 0},
		{"/x", "k-lasu", 200, "vopu11", 0},
		{"/x", "k-jubo", 200, "kaje80", 2},
		{"/x", "", 401, "", 0},
		{"/x", "k-other", 401, "", 0},
		{"/x", "K-MEFI", 401, "", 0},
		{"/x", "Bearer k-mefi", 401, "", 0},
		{"/x", "k-mefi,k-jubo", 401, "", 0},
		{"/open/x", "", 200, "", 2},
		{"/open/x", "k-mefi", 200, "vopu11", 0},
		{"/open/x", "k-other", 200, "", 2},
	}
	for _, tc := range cases {
		name := fmt.Sprintf("%s %q", tc.path, tc.keys)
		req, err := http.NewRequest("GET", r.httpServer.URL+tc.path, nil)
		require.NoError(t, err)
		req.Host = "flagboard.test"
		req.Header["Workspace-Name"] = []string{"kaje80", "forged"}
		req.Header["Authorization"] = []string{"Bearer k-mefi"}
		if tc.keys != "" {
			req.Header["Caller-Key"] = strings.Split(tc.keys, ",")
		}
		resp, err := r.client.Do(req)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, tc.status, resp.StatusCode, name)
		if tc.status != http.StatusOK {
			require.NotEmpty(t, resp.Header.Get("WWW-Authenticate"))
			require.Empty(t, r.started, name)
			continue
		}
		got := <-r.started
		require.NotContains(t, got.Header, "Caller-Key", name)
		require.Equal(t, "Bearer k-mefi", got.Header.Get("Authorization"), "this header belongs to the servers")
		var want []string
		if tc.workspace != "" {
			want = []string{tc.workspace}
		}
		require.Equal(t, want, got.Header["Workspace-Name"], name)
		require.Equal(t, tc.workspace, acquired.Workspace, name)
		require.Equal(t, tc.priority, acquired.Priority, name)
	}
	r.mu.Lock()
	require.Contains(t, r.logs.String(), "workspaces changed")
	r.mu.Unlock()

	t.Run("without workspaces the headers are like any other", func(t *testing.T) {
		r.configure()
		resp, _, err := r.do("GET", "/x", "", "Caller-Key", "k-mefi", "Workspace-Name", "anything")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		got := <-r.started
		require.Equal(t, []string{"k-mefi"}, got.Header["Caller-Key"])
		require.Equal(t, []string{"anything"}, got.Header["Workspace-Name"])
		require.Equal(t, sycamorevane.Request{Workspace: "", Priority: 2}, sycamorevane.Request{Workspace: acquired.Workspace, Priority: acquired.Priority})
	})
	t.Run("without a configuration nothing is served", func(t *testing.T) {
		r.state.Store(nil)
		resp, _, err := r.do("GET", "/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	})
}

// Guards against requests without a valid key that shift the shares of weighted destinations.
func TestRejectedKeyTakesNoTurn(t *testing.T) {
	r := newKeyRig(t, workspaceWithKeys("vopu11", nil, "k-mefi"))
	st := *r.state.Load()
	st.Version++
	st.Config.Rules = []sycamorevane.Rule{{
		Name: "reads", Host: "flagboard.test", Prefix: "/", Timeout: time.Second,
		Destinations: []sycamorevane.Destination{{Service: "flagboard", Weight: 1}, {Service: "gone", Weight: 1}},
	}}
	r.state.Store(&st)
	statuses := make(map[int]int)
	for range 4 {
		for _, key := range []string{"k-mefi", "k-other"} {
			resp, _, err := r.do("GET", "/x", "", "Caller-Key", key)
			require.NoError(t, err)
			statuses[resp.StatusCode]++
		}
	}
	require.Equal(t, map[int]int{200: 2, 404: 2, 401: 4}, statuses)
}

// serveEntry serves the handler through the listener of an entry and returns a connection to it.
func serveEntry(t *testing.T, h http.Handler) (net.Conn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	entry := acceptor.New(acceptor.Config{
		Handler: h, Log: logr.Discard(),
		Limits: func() acceptor.Limits {
			return acceptor.Limits{MaxHeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
		},
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = entry.Serve(RejectAmbiguousFraming(l))
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() {
		_ = c.Close()
		_ = entry.Close()
		<-ended
	})
	return c, bufio.NewReader(c)
}

func keyRequest(method, key string, bodyBytes int) string {
	return fmt.Sprintf("%s /set/x HTTP/1.1\r\nHost: flagboard.test\r\nCaller-Key: %s\r\nContent-Length: %d\r\n\r\n", method, key, bodyBytes)
}

func expectStatuses(t *testing.T, r *bufio.Reader, want ...int) {
	t.Helper()
	var got []int
	for range want {
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		got = append(got, resp.StatusCode)
	}
	require.Equal(t, want, got)
}

// Guards against a key that stays valid on an open connection, and for requests that the entry had received, but not yet
// handled, when the key was revoked.
func TestRevokedKeyOnAnOpenConnection(t *testing.T) {
	kept, revoked := workspaceWithKeys("kaje80", nil, "k-jubo"), workspaceWithKeys("vopu11", nil, "k-mefi", "k-lasu")
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			r := newKeyRig(t, kept, revoked)
			r.hold = make(chan struct{})
			c, responses := serveEntry(t, r.f)
			// Up to 8 requests without a body are handled concurrently; requests behind a POST wait for its response.
			running := 8
			if method == "POST" {
				running = 1
			}
			const pipelined = 12
			_, err := io.WriteString(c, strings.Repeat(keyRequest(method, "k-mefi", 0), pipelined)+keyRequest(method, "k-lasu", 0)+keyRequest(method, "k-jubo", 0))
			require.NoError(t, err)
			for range running {
				<-r.started
			}
			r.configure(kept, workspaceWithKeys("vopu11", nil, "k-lasu"))
			close(r.hold)
			want := make([]int, 0, pipelined+2)
			for i := range pipelined {
				want = append(want, map[bool]int{true: 200, false: 401}[i < running])
			}
			expectStatuses(t, responses, append(want, 200, 200)...)
			_, err = io.WriteString(c, keyRequest(method, "k-mefi", 0)+keyRequest(method, "k-jubo", 0))
			require.NoError(t, err)
			expectStatuses(t, responses, 401, 200)
			require.Len(t, r.started, 3, "only requests with a valid key reach the server")

			r.configure(kept, revoked)
			_, err = io.WriteString(c, keyRequest(method, "k-mefi", 0))
			require.NoError(t, err)
			expectStatuses(t, responses, 200)
		})
	}
}

// Guards against requests that start on a server after their key was revoked, because they were admitted before: during
// an upload or while waiting for a server.
func TestKeyRevokedBeforeTheRequestStarts(t *testing.T) {
	kept, revoked := workspaceWithKeys("kaje80", nil, "k-jubo"), workspaceWithKeys("vopu11", nil, "k-mefi")
	t.Run("during an upload", func(t *testing.T) {
		r := newKeyRig(t, kept, revoked)
		c, responses := serveEntry(t, r.f)
		_, err := io.WriteString(c, keyRequest("POST", "k-mefi", 10)+"12345")
		require.NoError(t, err)
		time.Sleep(30 * time.Millisecond)
		r.configure(kept)
		_, err = io.WriteString(c, "67890"+keyRequest("POST", "k-jubo", 0))
		require.NoError(t, err)
		expectStatuses(t, responses, 401, 200)
		require.Len(t, r.started, 1)
	})
	for name, tc := range map[string]struct {
		next   []sycamorevane.Workspace
		status int
	}{
		"revoked":                      {[]sycamorevane.Workspace{kept}, 401},
		"moved to another workspace":   {[]sycamorevane.Workspace{workspaceWithKeys("kaje80", nil, "k-mefi")}, 503},
		"still valid in another state": {[]sycamorevane.Workspace{revoked}, 200},
	} {
		t.Run("while waiting for a server: "+name, func(t *testing.T) {
			r := newKeyRig(t, kept, revoked)
			r.onAcquire = func(sycamorevane.Request) { r.configure(tc.next...) }
			resp, _, err := r.do("POST", "/set/x", "", "Caller-Key", "k-mefi")
			require.NoError(t, err)
			assert.Equal(t, tc.status, resp.StatusCode)
			assert.Len(t, r.started, map[bool]int{true: 1, false: 0}[tc.status == 200])
		})
	}
	t.Run("while the first workspaces are configured", func(t *testing.T) {
		r := newKeyRig(t)
		r.onAcquire = func(sycamorevane.Request) { r.configure(kept) }
		resp, _, err := r.do("POST", "/set/x", "", "Caller-Key", "k-jubo")
		require.NoError(t, err)
		assert.Equal(t, 503, resp.StatusCode)
		assert.Empty(t, r.started)
	})
}
