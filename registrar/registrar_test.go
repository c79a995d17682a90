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

func all(sycamorevane.Server) bool  { return true }
func none(sycamorevane.Server) bool { return false }

func expectLive(t require.TestingT, tab *Table, ids ...string) {
	var got []string
	for _, s := range tab.Live() {
		got = append(got, s.ID)
	}
	require.Equal(t, ids, got)
}

func renew(t *testing.T, tab *Table, now time.Time, s sycamorevane.Server) []Record {
	t.Helper()
	changed, err := tab.Renew(now, s, lease)
	require.NoError(t, err)
	return changed
}

func TestPlainRenewalIsNotSpread(t *testing.T) {
	tab := NewTable()
	require.Len(t, renew(t, tab, start, server("s1", "127.0.0.1:1")), 1)
	s := server("s1", "127.0.0.1:1")
	s.Load = 3
	require.Empty(t, renew(t, tab, start.Add(time.Second), s))
	require.Equal(t, 3, tab.Live()[0].Load)
}

func TestLeaseExpires(t *testing.T) {
	tab := NewTable()
	renew(t, tab, start, server("s1", "127.0.0.1:1"))
	changed, _ := tab.Expire(start.Add(lease-1), all)
	require.Empty(t, changed)
	changed, ended := tab.Expire(start.Add(lease), all)
	require.Len(t, changed, 1)
	require.Equal(t, 1, ended)
	expectLive(t, tab)
}

// Guards against a server that was silent for a while staying out for good.
func TestExpiredServerComesBack(t *testing.T) {
	owner, other := NewTable(), NewTable()
	other.Merge(start, renew(t, owner, start, server("s1", "127.0.0.1:1")))
	changed, _ := owner.Expire(start.Add(lease), all)
	require.True(t, other.Merge(start.Add(lease), changed))
	expectLive(t, other)
	other.Merge(start.Add(lease), renew(t, owner, start.Add(lease), server("s1", "127.0.0.1:1")))
	expectLive(t, other, "s1")
}

// Guards against an entry that does not own a lease ending it for all others.
func TestExpiryElsewhereIsNotSpread(t *testing.T) {
	tab := NewTable()
	renew(t, tab, start, server("s1", "127.0.0.1:1"))
	changed, ended := tab.Expire(start.Add(lease), none)
	require.Empty(t, changed)
	require.Equal(t, 1, ended)
}

func TestRestartUnderTheSameAddress(t *testing.T) {
	tab := NewTable()
	renew(t, tab, start, server("s1", "127.0.0.1:1"))
	changed := renew(t, tab, start, server("s2", "127.0.0.1:1"))
	require.Len(t, changed, 2)
	expectLive(t, tab, "s2")
	_, err := tab.Renew(start, server("s1", "127.0.0.1:1"), lease)
	require.Error(t, err)
	expectLive(t, tab, "s2")
}

func TestFloodIsBounded(t *testing.T) {
	tab := NewTable()
	for i := range MaxServers {
		s := server("s", "127.0.0.1:1")
		s.ID += string(rune('a'+i%26)) + time.Duration(i).String()
		s.Addr = s.ID
		renew(t, tab, start, s)
	}
	_, err := tab.Renew(start, server("one more", "127.0.0.1:9"), lease)
	var busy *sycamorevane.QueueFullError
	require.ErrorAs(t, err, &busy)
}

// Guards against entries that end up with different tables when changes arrive in different orders or twice.
func TestTablesConverge(t *testing.T) {
	seeder.FixSeed(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		owner, other := NewTable(), NewTable()
		var log []Record
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			id := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "id")
			s := server(id, "127.0.0.1:"+id[1:])
			s.State = rapid.SampledFrom([]sycamorevane.ServerState{sycamorevane.ServerCold, sycamorevane.ServerReady, sycamorevane.ServerDraining}).Draw(t, "state")
			if rapid.Bool().Draw(t, "leave") && rapid.Bool().Draw(t, "really") {
				log = append(log, owner.Leave(start, id)...)
				continue
			}
			changed, _ := owner.Renew(start, s, lease)
			log = append(log, changed...)
		}
		for range 2 * len(log) {
			i := rapid.IntRange(0, len(log)-1).Draw(t, "record")
			other.Merge(start, log[i:i+1])
		}
		other.Merge(start, owner.All())
		require.Equal(t, owner.Live(), other.Live())
		sum, n := owner.Digest(all)
		otherSum, otherN := other.Digest(all)
		require.Equal(t, sum, otherSum)
		require.Equal(t, n, otherN)
	})
}

type node struct {
	*Registrar
	net *messenger.Messenger
}

func startNode(t *testing.T, name, dc string) *node {
	t.Helper()
	m, err := messenger.New(messenger.Config{
		Self: name, DC: dc, Roles: sycamorevane.NewSet(sycamorevane.RoleEntry), Listen: "127.0.0.1:0",
		Key: "a cluster key for tests", Log: logr.Discard(),
	})
	require.NoError(t, err)
	st := &sycamorevane.State{Config: sycamorevane.Config{
		DCs: []string{"dc-a", "dc-b"}, Services: []sycamorevane.Service{{Name: "flagboard"}},
		Limits: sycamorevane.Limits{ServerLease: lease},
	}}
	r := New(Config{
		Self: name, DC: dc, Transport: m, State: func() *sycamorevane.State { return st },
		Changed: func([]sycamorevane.Server) {}, Listener: name, Log: logr.Discard(), Metrics: tally.NoopScope,
	})
	m.Start()
	r.Start()
	t.Cleanup(func() { r.Close(); m.Close() })
	return &node{Registrar: r, net: m}
}

func connect(t *testing.T, nodes ...*node) {
	t.Helper()
	for i, n := range nodes {
		for _, peer := range nodes[i+1:] {
			n.net.Connect(peer.net.Self(), peer.cfg.DC, peer.net.Addr())
		}
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool {
			alive := 0
			for _, p := range n.net.Peers() {
				if p.Alive {
					alive++
				}
			}
			return alive == len(nodes)-1
		}, 5*time.Second, 5*time.Millisecond)
	}
}

func post(n *node, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/.vane/announce", strings.NewReader(body)))
	return w
}

const goodBody = `{"service":"flagboard","version":"1","id":"s1","addr":"127.0.0.1:1","dc":"dc-a","slots":4,"conns":240,"state":"ready","load":0}`

// Contract: any entry takes an announcement, all entries of the data centre learn of it, and of the departure.
func TestAnnounceSpreads(t *testing.T) {
	a1, a2, b := startNode(t, "a1", "dc-a"), startNode(t, "a2", "dc-a"), startNode(t, "b1", "dc-b")
	connect(t, a1, a2, b)
	w := post(b, goodBody)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
	require.Contains(t, w.Body.String(), `"lease":3000`)
	for _, n := range []*node{a1, a2} {
		require.Eventually(t, func() bool { return len(n.Servers()) == 1 }, 2*time.Second, 5*time.Millisecond)
	}
	require.Empty(t, b.Servers())
	gone := httptest.NewRecorder()
	b.Handler().ServeHTTP(gone, httptest.NewRequest(http.MethodDelete, "/.vane/announce/s1", nil))
	require.Equal(t, http.StatusNoContent, gone.Code)
	for _, n := range []*node{a1, a2} {
		require.Eventually(t, func() bool { return len(n.Servers()) == 0 }, 2*time.Second, 5*time.Millisecond)
	}
	require.Equal(t, http.StatusGone, post(b, goodBody).Code)
}

// Guards against an entry that starts later never learning of servers announced before.
func TestLateEntryLearns(t *testing.T) {
	a1 := startNode(t, "a1", "dc-a")
	require.Equal(t, http.StatusOK, post(a1, goodBody).Code)
	a2 := startNode(t, "a2", "dc-a")
	connect(t, a1, a2)
	require.Eventually(t, func() bool { return len(a2.Servers()) == 1 }, 4*time.Second, 10*time.Millisecond)
}

// Each row guards against one kind of malformed announcement being taken.
func TestMalformedAnnouncements(t *testing.T) {
	n := startNode(t, "a1", "dc-a")
	rows := []struct {
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
		{"too large", `"s1"`, `"` + strings.Repeat("s", bodyLimit) + `"`, 413, "larger"},
		{"no entry in its data centre", `"dc-a"`, `"dc-b"`, 503, "no session"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w := post(n, strings.Replace(goodBody, row.from, row.to, 1))
			require.Equal(t, row.status, w.Code, w.Body.String())
			require.Contains(t, w.Body.String(), row.text)
		})
	}
	require.Empty(t, n.Servers())
}

// Guards against a server that keeps renewing at an entry that is cut off, where no other entry learns of it.
func TestCutOffEntryTakesNoAnnouncements(t *testing.T) {
	n := startNode(t, "a1", "dc-a")
	connected := true
	n.cfg.Connected = func() bool { return connected }
	require.Equal(t, http.StatusOK, post(n, goodBody).Code)
	connected = false
	w := post(n, goodBody)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), "another")
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}
