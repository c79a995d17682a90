package faker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	cfg.Service, cfg.Version = "s", "1"
	s, err := NewServer(cfg)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func newCaller(t *testing.T, cfg CallerConfig) *Caller {
	t.Helper()
	c := NewCaller(cfg)
	t.Cleanup(c.Close)
	return c
}

// Guards against a fake server whose refusals, failures or records differ from what other tests assume.
func TestBehaviours(t *testing.T) {
	load := 7
	for _, c := range []struct {
		name      string
		behaviour Behaviour
		header    http.Header
		status    int
		notRun    bool
		runs      int
	}{
		{"good", Behaviour{}, nil, 200, false, 1},
		{"shed", Behaviour{Shed: true}, nil, 503, true, 0},
		{"draining", Behaviour{Draining: true}, nil, 503, true, 0},
		{"fails fast", Behaviour{FailFast: true, Latency: time.Minute}, nil, 500, false, 1},
		{"one bad route", Behaviour{Routes: map[string]Behaviour{"/a": {FailShare: 1}}}, nil, 500, false, 1},
		{"false load", Behaviour{ReportedLoad: &load}, nil, 200, false, 1},
		{"crash not marked", Behaviour{CrashOnHeader: true}, nil, 200, false, 1},
		{"crash", Behaviour{CrashOnHeader: true}, http.Header{HeaderCrash: {"1"}}, 0, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, ServerConfig{Behaviour: c.behaviour})
			caller := newCaller(t, CallerConfig{Host: "s.test"})
			res := caller.Do(context.Background(), Call{
				ID: "x", Method: "POST", Path: "/a/b", Body: strings.NewReader("hello"), EntryAddr: s.Addr(), Header: c.header,
			})
			assert.Equal(t, c.status, res.Status)
			assert.Equal(t, c.notRun, res.NotRun())
			require.Len(t, s.Runs(), c.runs)
			if c.runs == 0 {
				return
			}
			run := s.Runs()[0]
			assert.Equal(t, "x", run.CallID)
			assert.Equal(t, c.status != 0, run.Complete)
			if run.Complete {
				assert.Equal(t, run.BodyDigest, res.Header.Get(HeaderBodyDigest))
				assert.Equal(t, int64(5), run.BodyBytes)
			}
			assert.Equal(t, c.status == 0, s.Stopped())
			if c.behaviour.ReportedLoad != nil {
				assert.Equal(t, load, s.announcement().Load)
			}
		})
	}
}

// Guards against a cold server that handles full load, which would hide faults of the slow start.
func TestColdServerCollapses(t *testing.T) {
	s := newServer(t, ServerConfig{Slots: 4, Behaviour: Behaviour{Latency: 5 * time.Millisecond, WarmupAnswers: 3, ColdSlots: 1}})
	caller := newCaller(t, CallerConfig{})
	assert.Equal(t, "cold", s.announcement().State)
	var wg sync.WaitGroup
	began := time.Now()
	for range 4 {
		wg.Go(func() { caller.Do(context.Background(), Call{Path: "/", EntryAddr: s.Addr()}) })
	}
	wg.Wait()
	assert.Greater(t, time.Since(began), 5*time.Millisecond*collapseSlowdown)
	for range 4 {
		caller.Do(context.Background(), Call{Path: "/", EntryAddr: s.Addr()})
	}
	assert.Equal(t, "ready", s.announcement().State)
	require.NoError(t, s.Restart())
	assert.Equal(t, "cold", s.announcement().State, "a restart is cold again")
}

// Guards against announcements that are not renewed at the entry named in the response, and against restarts that reuse
// the server ID.
func TestAnnouncesAndFollowsTheNamedEntry(t *testing.T) {
	var mu sync.Mutex
	received := make(map[string][]Announcement)
	deleted := ""
	var second *httptest.Server
	entry := func(name string) *httptest.Server {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if r.Method == http.MethodDelete {
				deleted = r.URL.Path
				return
			}
			var a Announcement
			_ = json.NewDecoder(r.Body).Decode(&a)
			received[name] = append(received[name], a)
			_ = json.NewEncoder(w).Encode(map[string]any{"lease": 30, "entry": second.Listener.Addr().String()})
		}))
		t.Cleanup(srv.Close)
		return srv
	}
	second = entry("second")
	first := entry("first")
	s := newServer(t, ServerConfig{AnnounceAddrs: []string{first.Listener.Addr().String()}})
	count := func(name string) int {
		mu.Lock()
		defer mu.Unlock()
		return len(received[name])
	}
	require.Eventually(t, func() bool { return count("second") >= 2 }, 3*time.Second, time.Millisecond)
	assert.Equal(t, 1, count("first"))
	id := s.ID()
	s.Leave()
	mu.Lock()
	assert.Equal(t, "/.vane/announce/"+id, deleted)
	mu.Unlock()
	require.NoError(t, s.Restart())
	assert.NotEqual(t, id, s.ID())
}

// Guards against callers that ignore the TTL of the list of entries, or that give up when one seed does not respond.
func TestCallerKeepsEntriesForTheirTTL(t *testing.T) {
	var mu sync.Mutex
	requests := 0
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/.vane/entries" {
			mu.Lock()
			requests++
			mu.Unlock()
			_ = json.NewEncoder(w).Encode(map[string]any{
				"entries": []Entry{{Addr: srv.Listener.Addr().String(), Weight: 1}}, "ttl": 400, "version": 1,
			})
		}
	}))
	t.Cleanup(srv.Close)
	c := newCaller(t, CallerConfig{Service: "s", Seeds: []string{"127.0.0.1:1", srv.Listener.Addr().String()}})
	for range 3 {
		res := c.Do(context.Background(), Call{Path: "/x"})
		require.NoError(t, res.Err)
	}
	mu.Lock()
	assert.Equal(t, 1, requests)
	mu.Unlock()
	time.Sleep(450 * time.Millisecond)
	c.Do(context.Background(), Call{Path: "/x"})
	mu.Lock()
	assert.Equal(t, 2, requests)
	mu.Unlock()
}
