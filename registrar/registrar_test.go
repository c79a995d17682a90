package registrar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/seeder"
)

const lease = 3 * time.Second

var start = time.Unix(1000, 0)

func server(id, addr string) sycamorevane.Server {
	return sycamorevane.Server{
		Service: "flagboard", Version: "1", ID: id, Addr: addr, DC: "dc-a", Slots: 4, MaxConns: 240,
		State: sycamorevane.ServerReady,
	}
}

func matchAll(sycamorevane.Server) bool  { return true }
func matchNone(sycamorevane.Server) bool { return false }

func expectLive(t require.TestingT, table *Table, ids ...string) {
	var got []string
	for _, s := range table.Live() {
		got = append(got, s.ID)
	}
	require.Equal(t, ids, got)
}

func renew(t *testing.T, table *Table, now time.Time, s sycamorevane.Server) []Record {
	t.Helper()
	changed, err := table.Renew(now, s, lease)
	require.NoError(t, err)
	return changed
}

func TestPlainRenewalIsNotSpread(t *testing.T) {
	table := NewTable()
	require.Len(t, renew(t, table, start, server("s1", "127.0.0.1:1")), 1)
	s := server("s1", "127.0.0.1:1")
	s.Load = 3
	require.Empty(t, renew(t, table, start.Add(time.Second), s))
	require.Equal(t, 3, table.Live()[0].Load)
}

func TestLeaseExpires(t *testing.T) {
	table := NewTable()
	renew(t, table, start, server("s1", "127.0.0.1:1"))
	changed, _ := table.Expire(start.Add(lease-1), matchAll)
	require.Empty(t, changed)
	changed, ended := table.Expire(start.Add(lease), matchAll)
	require.Len(t, changed, 1)
	require.Equal(t, 1, ended)
	expectLive(t, table)
}

// Guards against a server that cannot register again after its lease has expired.
func TestExpiredServerComesBack(t *testing.T) {
	owner, other := NewTable(), NewTable()
	other.Merge(start, renew(t, owner, start, server("s1", "127.0.0.1:1")))
	changed, _ := owner.Expire(start.Add(lease), matchAll)
	require.True(t, other.Merge(start.Add(lease), changed))
	expectLive(t, other)
	other.Merge(start.Add(lease), renew(t, owner, start.Add(lease), server("s1", "127.0.0.1:1")))
	expectLive(t, other, "s1")
}

// Guards against an entry that ends a lease on all other entries although it does not own the lease.
func TestExpiryElsewhereIsNotSpread(t *testing.T) {
	table := NewTable()
	renew(t, table, start, server("s1", "127.0.0.1:1"))
	changed, ended := table.Expire(start.Add(lease), matchNone)
	require.Empty(t, changed)
	require.Equal(t, 1, ended)
}

func TestRestartUnderTheSameAddress(t *testing.T) {
	table := NewTable()
	renew(t, table, start, server("s1", "127.0.0.1:1"))
	changed := renew(t, table, start, server("s2", "127.0.0.1:1"))
	require.Len(t, changed, 2)
	expectLive(t, table, "s2")
	_, err := table.Renew(start, server("s1", "127.0.0.1:1"), lease)
	require.Error(t, err)
	expectLive(t, table, "s2")
}

func TestFloodIsBounded(t *testing.T) {
	table := NewTable()
	for i := range MaxServers {
		s := server("s", "127.0.0.1:1")
		s.ID += string(rune('a'+i%26)) + time.Duration(i).String()
		s.Addr = s.ID
		renew(t, table, start, s)
	}
	_, err := table.Renew(start, server("one more", "127.0.0.1:9"), lease)
	var queueFull *sycamorevane.QueueFullError
	require.ErrorAs(t, err, &queueFull)
}

// Guards against tables that differ between entries after changes have arrived in a different order or more than once.
func TestTablesConverge(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		owner, other := NewTable(), NewTable()
		var changes []Record
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			id := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "id")
			s := server(id, "127.0.0.1:"+id[1:])
			s.State = rapid.SampledFrom([]sycamorevane.ServerState{sycamorevane.ServerCold, sycamorevane.ServerReady, sycamorevane.ServerDraining}).Draw(t, "state")
			if rapid.Bool().Draw(t, "leave") && rapid.Bool().Draw(t, "really") {
				changes = append(changes, owner.Leave(start, id)...)
				continue
			}
			changed, _ := owner.Renew(start, s, lease)
			changes = append(changes, changed...)
		}
		for range 2 * len(changes) {
			i := rapid.IntRange(0, len(changes)-1).Draw(t, "record")
			other.Merge(start, changes[i:i+1])
		}
		other.Merge(start, owner.All())
		require.Equal(t, owner.Live(), other.Live())
		sum, count := owner.Digest(matchAll)
		otherSum, otherCount := other.Digest(matchAll)
		require.Equal(t, sum, otherSum)
		require.Equal(t, count, otherCount)
	})
}

type testEntry struct {
	*Registrar
	mesh *messenger.Messenger
}

func startEntry(t *testing.T, name, dc string) *testEntry {
	t.Helper()
	m, err := messenger.New(messenger.Config{
		Self: name, DC: dc, Roles: sycamorevane.NewSet(sycamorevane.RoleEntry), ListenAddr: "127.0.0.1:0",
		ClusterKey: "a cluster key for tests", Log: logr.Discard(),
	})
	require.NoError(t, err)
	st := &sycamorevane.State{Config: sycamorevane.Config{
		DCs: []string{"dc-a", "dc-b"}, Services: []sycamorevane.Service{{Name: "flagboard"}},
		Limits: sycamorevane.Limits{ServerLease: lease},
	}}
	r := New(Config{
		Self: name, DC: dc, Transport: m, State: func() *sycamorevane.State { return st },
		OnChange: func([]sycamorevane.Server) {}, AnnounceAddr: name, Log: logr.Discard(), Metrics: tally.NoopScope,
	})
	m.Start()
	r.Start()
	t.Cleanup(func() { r.Close(); m.Close() })
	return &testEntry{Registrar: r, mesh: m}
}

func connect(t *testing.T, entries ...*testEntry) {
	t.Helper()
	for i, e := range entries {
		for _, peer := range entries[i+1:] {
			e.mesh.Connect(peer.mesh.Self(), peer.cfg.DC, peer.mesh.Addr())
		}
	}
	for _, e := range entries {
		require.Eventually(t, func() bool {
			alive := 0
			for _, p := range e.mesh.Peers() {
				if p.Alive {
					alive++
				}
			}
			return alive == len(entries)-1
		}, 5*time.Second, 5*time.Millisecond)
	}
}

func post(e *testEntry, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/.vane/announce", strings.NewReader(body)))
	return w
}

const validBody = `{"service":"flagboard","version":"1","id":"s1","addr":"127.0.0.1:1","dc":"dc-a","slots":4,"conns":240,"state":"ready","load":0}`

// Any entry accepts an announcement. All entries of the server's data centre receive it, and also the end of the lease.
func TestAnnounceSpreads(t *testing.T) {
	a1, a2, b := startEntry(t, "a1", "dc-a"), startEntry(t, "a2", "dc-a"), startEntry(t, "b1", "dc-b")
	connect(t, a1, a2, b)
	w := post(b, validBody)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	require.Contains(t, w.Body.String(), `"lease":3000`)
	for _, e := range []*testEntry{a1, a2} {
		require.Eventually(t, func() bool { return len(e.Servers()) == 1 }, 2*time.Second, 5*time.Millisecond)
	}
	require.Empty(t, b.Servers())
	deleted := httptest.NewRecorder()
	b.Handler().ServeHTTP(deleted, httptest.NewRequest(http.MethodDelete, "/.vane/announce/s1", nil))
	require.Equal(t, http.StatusNoContent, deleted.Code)
	for _, e := range []*testEntry{a1, a2} {
		require.Eventually(t, func() bool { return len(e.Servers()) == 0 }, 2*time.Second, 5*time.Millisecond)
	}
	require.Equal(t, http.StatusGone, post(b, validBody).Code)
}

// Guards against an entry that never receives the servers that were announced before its start.
func TestLateEntryLearns(t *testing.T) {
	a1 := startEntry(t, "a1", "dc-a")
	require.Equal(t, http.StatusOK, post(a1, validBody).Code)
	a2 := startEntry(t, "a2", "dc-a")
	connect(t, a1, a2)
	require.Eventually(t, func() bool { return len(a2.Servers()) == 1 }, 4*time.Second, 10*time.Millisecond)
}

// Each case guards against accepting one kind of malformed announcement.
func TestMalformedAnnouncements(t *testing.T) {
	e := startEntry(t, "a1", "dc-a")
	tests := []struct {
		name, from, to string
		status         int
		text           string
	}{
		{"not JSON", `{`, `[`, 400, "malformed JSON"},
		{"unknown field", `"load"`, `"laod"`, 400, "laod"},
		{"wrong type", `"slots":4`, `"slots":"4"`, 400, "slots"},
		{"unknown service", `"flagboard"`, `"flagbord"`, 400, "flagbord"},
		{"unknown data centre", `"dc-a"`, `"dc-z"`, 400, "dc-z"},
		{"no version", `"version":"1"`, `"version":""`, 400, "version"},
		{"id with a line break", `"s1"`, `"s\n1"`, 400, "id"},
		{"host name", `127.0.0.1:1`, `localhost:1`, 400, "addr"},
		{"no slots", `"slots":4`, `"slots":0`, 400, "slots"},
		{"fewer conns than slots", `"conns":240`, `"conns":3`, 400, "conns"},
		{"unknown state", `"ready"`, `"warm"`, 400, "state"},
		{"too large", `"s1"`, `"` + strings.Repeat("s", maxBodyBytes) + `"`, 413, "larger"},
		{"no entry in its data centre", `"dc-a"`, `"dc-b"`, 503, "no session"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := post(e, strings.Replace(validBody, tt.from, tt.to, 1))
			require.Equal(t, tt.status, w.Code, w.Body.String())
			require.Contains(t, w.Body.String(), tt.text)
		})
	}
	require.Empty(t, e.Servers())
}

// Guards against a server that keeps renewing at a disconnected entry, so that it is unknown to all other entries.
func TestCutOffEntryTakesNoAnnouncements(t *testing.T) {
	e := startEntry(t, "a1", "dc-a")
	connected := true
	e.cfg.Connected = func() bool { return connected }
	require.Equal(t, http.StatusOK, post(e, validBody).Code)
	connected = false
	w := post(e, validBody)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), "another")
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}
