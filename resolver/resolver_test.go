package resolver

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/messenger"
)

func newState(drained ...string) *sycamorevane.State {
	entry := func(name, dc string) sycamorevane.Host {
		return sycamorevane.Host{Name: name, DC: dc, CallerAddr: "127.0.0.1:" + name[1:], Roles: sycamorevane.NewSet(sycamorevane.RoleEntry)}
	}
	st := &sycamorevane.State{Version: 4, DrainedDCs: map[string]int64{}, Config: sycamorevane.Config{
		Limits:   sycamorevane.Limits{EntriesTTL: 5 * time.Second},
		Services: []sycamorevane.Service{{Name: "flagboard"}},
		Hosts:    []sycamorevane.Host{entry("e1", "dc-a"), entry("e2", "dc-a"), entry("e3", "dc-b")},
	}}
	for _, dc := range drained {
		st.DrainedDCs[dc] = 1
	}
	return st
}

func expectAddrs(t *testing.T, a EntriesResponse, addrs ...string) {
	t.Helper()
	var got []string
	for _, e := range a.Entries {
		got = append(got, e.Addr)
	}
	require.Equal(t, addrs, got)
}

func TestBuild(t *testing.T) {
	yes := func(string) bool { return true }
	t.Run("all", func(t *testing.T) {
		expectAddrs(t, BuildResponse(newState(), yes), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	})
	t.Run("one does not accept", func(t *testing.T) {
		expectAddrs(t, BuildResponse(newState(), func(n string) bool { return n != "e2" }), "127.0.0.1:1", "127.0.0.1:3")
	})
	t.Run("drained data centre", func(t *testing.T) { expectAddrs(t, BuildResponse(newState("dc-a"), yes), "127.0.0.1:3") })
	t.Run("all drained", func(t *testing.T) {
		expectAddrs(t, BuildResponse(newState("dc-a", "dc-b"), yes), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	})
}

func TestServe(t *testing.T) {
	m, err := messenger.New(messenger.Config{Self: "e1", ListenAddr: "127.0.0.1:0", ClusterKey: "a cluster key for tests", Log: logr.Discard()})
	require.NoError(t, err)
	t.Cleanup(m.Close)
	st, leaving := newState(), false
	r := New(Config{
		Transport: m, State: func() *sycamorevane.State { return st },
		Accepting: func() bool { return true }, Leaving: func() bool { return leaving },
	})
	get := func(method, query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(method, "/.vane/entries"+query, nil))
		return w
	}
	require.JSONEq(t, `{"entries":[{"addr":"127.0.0.1:1","dc":"dc-a","weight":1}],"ttl":5000,"version":4}`, get("GET", "?service=flagboard").Body.String())
	require.Equal(t, http.StatusNotFound, get("GET", "?service=x").Code)
	require.Equal(t, http.StatusMethodNotAllowed, get("POST", "").Code)
	r.onPresence("e3", &encoder.Presence{Accepting: true})
	require.Contains(t, get("GET", "").Body.String(), "dc-b")
	// Guards against sending callers to an entry that is leaving.
	r.onPresence("e3", &encoder.Presence{Accepting: true, Leaving: true})
	require.NotContains(t, get("GET", "").Body.String(), "dc-b")
	leaving = true
	w := get("GET", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	st = nil
	require.Equal(t, http.StatusServiceUnavailable, get("GET", "").Code)
}
