package quarantiner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/forwarder"
	"sycamorevane.example/sycamorevane/seeder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// world has entries with a quarantine each, servers, and requests of callers that resend after a failure.
type world struct {
	t       rapid.TB
	mesh    *faker.Mesh
	entries []*Quarantiner
	names   []string
	dead    map[string]bool
	servers int
	flight  []*flying
	lost    map[uint64]int
}

type flying struct {
	fingerprint uint64
	server      sycamorevane.Server
	permit      forwarder.Permit
}

func newWorld(t rapid.TB, n int) *world {
	w := &world{t: t, mesh: faker.NewMesh(), dead: make(map[string]bool), lost: make(map[uint64]int)}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("e%d", i))
	}
	for _, name := range w.names {
		w.entries = append(w.entries, w.newEntry(name))
	}
	return w
}

func (w *world) newEntry(name string) *Quarantiner {
	q := New(Config{
		Self: name, Transport: w.mesh.AddPeer(name), Entries: func() []string { return w.names }, Log: logr.Discard(),
	})
	q.wait = 0
	q.dead = func(addr string) bool { return w.dead[addr] }
	return q
}

func (w *world) close() {
	for _, q := range w.entries {
		q.Close()
	}
}

func server(n int) sycamorevane.Server {
	id := fmt.Sprintf("s%d", n)
	return sycamorevane.Server{ID: id, Addr: id, Version: "1"}
}

// send tries to run the request and reports whether it is in flight.
func (w *world) send(entry int, fingerprint uint64, s sycamorevane.Server) bool {
	p, err := w.entries[entry].Admit(context.Background(), fingerprint)
	if err != nil {
		return false
	}
	if !p.Start(s) {
		p.Done()
		return false
	}
	w.flight = append(w.flight, &flying{fingerprint, s, p})
	return true
}

func (w *world) running(fingerprint uint64) bool {
	return slices.ContainsFunc(w.flight, func(f *flying) bool { return f.fingerprint == fingerprint })
}

// end finishes one request: broken when its server is dead, else answered.
func (w *world) end(i int) {
	f := w.flight[i]
	w.flight = slices.Delete(w.flight, i, i+1)
	kind := sycamorevane.OutcomeOK
	if w.dead[f.server.ID] {
		kind = sycamorevane.OutcomeIncomplete
	}
	f.permit.End(f.server, kind)
	f.permit.Done()
}

func (w *world) expectNotQuarantined(fingerprints ...uint64) {
	for _, q := range w.entries {
		for _, fingerprint := range fingerprints {
			if q.status(fingerprint) == quarantined {
				w.t.Fatalf("innocent request %d is quarantined on %s", fingerprint, q.cfg.Self)
			}
		}
	}
}

const (
	poison  = uint64(1000)
	popular = uint64(500)
)

// Guards against innocent requests that are quarantined for having run beside one that crashes servers, and
// against more than two servers lost to one request over all entries.
func TestOnlyTheCulpritIsQuarantined(t *testing.T) {
	seeder.FixSeed(t, 500)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.IntRange(1, 4).Draw(rt, "entries"))
		defer w.close()
		culprit := poison
		innocents := []uint64{1, 2, 3, 4, 5, 6, popular}
		for range 120 {
			entry := rapid.IntRange(0, len(w.entries)-1).Draw(rt, "entry")
			s := server(w.servers + rapid.IntRange(0, 3).Draw(rt, "server"))
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1, 2:
				fingerprint := rapid.SampledFrom(innocents).Draw(rt, "innocent")
				if !w.dead[s.ID] && (fingerprint == popular || !w.running(fingerprint)) {
					w.send(entry, fingerprint, s)
				}
			case 3, 4:
				if !w.dead[s.ID] && !w.running(culprit) {
					w.send(entry, culprit, s)
				}
			case 5:
				for _, f := range w.flight {
					if f.fingerprint == culprit && !w.dead[f.server.ID] {
						w.dead[f.server.ID] = true
						w.lost[culprit]++
					}
				}
			case 6, 7, 8:
				if len(w.flight) > 0 {
					i := rapid.IntRange(0, len(w.flight)-1).Draw(rt, "end")
					if w.flight[i].fingerprint != culprit || w.dead[w.flight[i].server.ID] {
						w.end(i)
					}
				}
			case 9:
				w.servers = rapid.IntRange(w.servers, w.servers+1).Draw(rt, "new servers")
			}
			if w.lost[culprit] > limit {
				rt.Fatalf("request %d has taken down %d servers", culprit, w.lost[culprit])
			}
			w.expectNotQuarantined(innocents...)
			if w.lost[culprit] == limit && !w.running(culprit) && len(w.flight) == 0 {
				culprit++ // The next culprit comes when the first is known.
			}
		}
	})
}

// Guards against a culprit that is never caught, which would make the checks above empty, and against a refusal
// that differs between entries.
func TestCulpritIsRefusedEverywhereAfterTwoDeaths(t *testing.T) {
	w := newWorld(t, 3)
	defer w.close()
	for n := range 2 {
		s := server(n)
		require.True(t, w.send(n, poison, s))
		require.True(t, w.send(2, uint64(n+1), s))
		w.dead[s.ID] = true
		w.end(0)
		w.end(0)
	}
	for i := range w.entries {
		assert.False(t, w.send(i, poison, server(9)), "entry %d", i)
	}
	w.expectNotQuarantined(1, 2)
	assert.Equal(t, free, w.entries[2].status(1), "the culprit explains the death")

	// A restarted entry learns it from the others.
	w.entries[0].Close()
	w.entries[0] = w.newEntry("e0")
	w.entries[0].Start()
	assert.Eventually(t, func() bool { return w.entries[0].status(poison) == quarantined }, 3*time.Second, 5*time.Millisecond)
}

// Guards against two suspects on one server, one suspect on two, and a suspect that runs without a majority.
func TestSuspectsRunApart(t *testing.T) {
	w := newWorld(t, 3)
	defer w.close()
	for _, fingerprint := range []uint64{1, 2} {
		require.True(t, w.send(0, fingerprint, server(0)))
	}
	w.dead["s0"] = true
	w.end(0)
	w.end(0)
	require.Equal(t, suspect, w.entries[1].status(1))
	require.True(t, w.send(1, 1, server(1)))
	assert.False(t, w.send(2, 1, server(2)), "it runs already")
	assert.False(t, w.send(2, 2, server(1)), "another suspect runs there")
	require.True(t, w.send(2, 2, server(2)))
	w.end(0)
	assert.Equal(t, free, w.entries[2].status(1), "it was answered")
	w.end(0)

	require.True(t, w.send(0, 3, server(3)))
	w.dead["s3"] = true
	w.end(0)
	w.mesh.Partition(1, "e0")
	assert.False(t, w.send(0, 3, server(4)), "no majority")
	assert.True(t, w.send(1, 3, server(4)))
	w.end(0)
}

// Guards against the quarantine of popular requests when several servers die at once for another reason.
func TestPopularRequestSurvivesLossOfARack(t *testing.T) {
	r := NewRecord(time.Minute)
	now := time.Unix(0, 0)
	for n := range 5 {
		r.Start(popular, server(n))
	}
	r.Start(popular, server(9))
	r.End(now, popular, server(9), sycamorevane.OutcomeOK)
	for n := range 5 {
		r.End(now, popular, server(n), sycamorevane.OutcomeIncomplete)
		r.Died(now, server(n))
	}
	s, _ := r.Status(now, popular)
	assert.Equal(t, free, s)
}

// Guards against records that never expire or grow without bound.
func TestRecordIsBounded(t *testing.T) {
	r := NewRecord(time.Minute)
	now := time.Unix(0, 0)
	for n := range maxDeaths + 10 {
		r.Learn(now.Add(time.Duration(n)), &encoder.Death{Server: fmt.Sprint(n), Running: []uint64{uint64(n + 1)}, Left: 60_000})
	}
	deaths, _ := r.Counts(now)
	assert.Equal(t, maxDeaths, deaths)
	r.Sweep(now.Add(2 * time.Minute))
	assert.Empty(t, r.deaths)
	assert.Empty(t, r.of)
}
