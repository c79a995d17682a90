package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

// The bound of the users' rule: from limitGrace after a server has named its limit, it gets in each limitWindow at most
// limitFactor times what the limit allows, plus limitSlack, from entries that have received such a response at least
// limitToldFor before.
const (
	limitGrace   = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitToldFor = 500 * time.Millisecond
)

// limitArrival is a request or a health check that reached a server.
type limitArrival struct {
	at time.Time
	// told is when the entry first received the limit; zero if it had not.
	told  time.Time
	probe bool
}

// limitServer is a server whose request limit can be set.
type limitServer struct {
	record   cataloger.ServerRecord
	running  int
	arrivals []limitArrival
	// limits holds the changes of the limit in order; a negative rate means none.
	limits []limitChange
	told   map[int]time.Time
}

type limitChange struct {
	at   time.Time
	rate float64
}

// limitFleet plays entries against servers in virtual time; it must run in a testing/synctest bubble.
type limitFleet struct {
	t       *testing.T
	mu      sync.Mutex
	rand    *rand.Rand
	servers []*limitServer
	entries []*limitEntry
	// active is the number of entries that callers are sent to, cutOff how many of them are cut off from the control hosts.
	active, cutOff int
	// requestTime is how long a server takes for a request.
	requestTime time.Duration
	// uploadShare is the share of requests that reach their server only uploadTime after they were sent.
	uploadShare float64
	// hedgeShare is the share of requests that are hedged, shedShare the share that servers shed.
	hedgeShare, shedShare float64
	// urgentShare is the share of requests with a higher priority than the others.
	urgentShare float64
	ctx         context.Context
	wg          sync.WaitGroup
	result      limitResult
}

type limitEntry struct {
	index      int
	dispatcher *Dispatcher
	stop       context.CancelFunc
	// cutOff is set while the entry has no contact with control hosts.
	cutOff bool
	// rank and entries are what the entry was last told.
	rank, entries int
}

// uploadTime is how long slow uploads take.
const uploadTime = 2 * time.Second

// promptRefusal is the time within which a request that cannot be served should be refused.
const promptRefusal = 20 * time.Millisecond

// limitResult counts what callers got.
type limitResult struct {
	requests, served, refused int
	// urgent counts the urgent requests at their first attempt, urgentServed those that were served at any.
	urgent, urgentServed int
	// lateRefusals counts the refusals that came later than promptRefusal.
	lateRefusals int
}

func newLimitFleet(t *testing.T, entries, active, servers int) *limitFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &limitFleet{
		t: t, rand: rand.New(rand.NewPCG(1, 2)), active: active, requestTime: 200 * time.Millisecond, hedgeShare: 0.05, shedShare: 0.01, ctx: ctx,
	}
	for i := range servers {
		record := newRecord(fmt.Sprintf("s%d", i), string(rune('a'+i%3)), "v1")
		record.ReportedAt = time.Now()
		f.servers = append(f.servers, &limitServer{record: record, told: make(map[int]time.Time)})
	}
	f.entries = make([]*limitEntry, entries)
	for i := range f.entries {
		f.entries[i] = f.startEntry(i)
	}
	f.wg.Go(f.shareLoop)
	t.Cleanup(func() {
		cancel()
		f.wg.Wait()
	})
	return f
}

func (f *limitFleet) startEntry(i int) *limitEntry {
	st := newState()
	st.Config.DCs = []string{"a", "b", "c"}
	e := &limitEntry{index: i}
	ctx, stop := context.WithCancel(f.ctx)
	e.stop = stop
	e.dispatcher = New(Config{
		DC: string(rune('a' + i%3)), Bounds: Bounds{ColdFactor: 1.5, ColdSlack: 5}, Servers: f.catalog,
		State: func() *sycamorevane.State { return st }, EntryRank: func() (int, int) { return f.rank(e) },
		Isolated:  func() bool { return f.isCutOff(e) },
		SendProbe: func(p Probe) { f.wg.Go(func() { f.probe(e, p) }) }, Log: logr.Discard(),
	})
	e.dispatcher.Update()
	f.wg.Go(func() { f.probeLoop(ctx, e) })
	return e
}

// shareLoop passes the limits that servers have stated to one entry on to the others, as control hosts do, except from and
// to those that are cut off.
func (f *limitFleet) shareLoop() {
	for f.ctx.Err() == nil {
		time.Sleep(time.Second)
		f.mu.Lock()
		entries := slices.DeleteFunc(slices.Clone(f.entries), func(e *limitEntry) bool { return e.cutOff })
		f.mu.Unlock()
		var list []cataloger.LimitReport
		for _, e := range entries {
			list = append(list, e.dispatcher.StatedLimits()...)
		}
		f.mu.Lock()
		for _, l := range list {
			record, statedAt := &f.find(l.Server).record, time.Now().Add(-l.Age)
			if record.Limit == nil || statedAt.After(record.LimitStatedAt) {
				record.Limit, record.LimitStatedAt = &l, statedAt
			}
		}
		f.mu.Unlock()
		for _, e := range entries {
			e.dispatcher.Update()
		}
	}
}

func (f *limitFleet) catalog() []cataloger.ServerRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []cataloger.ServerRecord
	for _, s := range f.servers {
		list = append(list, s.record)
	}
	return list
}

// rank returns the entry's rank among the active entries. An entry that is cut off keeps its former one.
func (f *limitFleet) rank(e *limitEntry) (int, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.cutOff {
		return e.rank, e.entries
	}
	e.rank, e.entries = 0, f.active-f.cutOff
	for i := range min(e.index, f.active) {
		if f.entries[i] == nil || !f.entries[i].cutOff {
			e.rank++
		}
	}
	if e.index >= f.active {
		e.rank = e.entries
	}
	return e.rank, e.entries
}

func (f *limitFleet) isCutOff(e *limitEntry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return e.cutOff
}

// cutOffEntries cuts the first n entries off from the control hosts.
func (f *limitFleet) cutOffEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff = n
	for i, e := range f.entries {
		e.cutOff = i < n
	}
}

func (f *limitFleet) setActive(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = n
}

// restart replaces an entry by one that knows nothing.
func (f *limitFleet) restart(i int) {
	f.entries[i].stop()
	f.mu.Lock()
	for _, s := range f.servers {
		delete(s.told, i)
	}
	f.mu.Unlock()
	e := f.startEntry(i)
	f.mu.Lock()
	f.entries[i] = e
	f.mu.Unlock()
}

// setLimit sets the limit of the server; a negative rate ends it.
func (f *limitFleet) setLimit(server int, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[server]
	s.limits = append(s.limits, limitChange{time.Now(), rate})
}

// arrive records an arrival. It returns the server's statement about its limit and its load.
func (f *limitFleet) arrive(e *limitEntry, id string, probe bool) (*limitServer, *sycamorevane.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.find(id)
	s.arrivals = append(s.arrivals, limitArrival{at: time.Now(), told: s.told[e.index], probe: probe})
	if !probe {
		s.running++
	}
	return s, &sycamorevane.LoadReport{Running: s.running, Slots: s.record.Server.Slots, Slowdown: 1}
}

func (f *limitFleet) find(id string) *limitServer {
	for _, s := range f.servers {
		if s.record.Server.ID == id {
			return s
		}
	}
	return nil
}

// answer passes on what the server states in a response, and records that the entry was told.
func (f *limitFleet) answer(e *limitEntry, s *limitServer, probe bool, requestedAt time.Time) {
	f.mu.Lock()
	statement := &sycamorevane.LimitStatement{RequestedAt: requestedAt}
	if n := len(s.limits); n > 0 && s.limits[n-1].rate >= 0 {
		statement.Limited, statement.Rate = true, s.limits[n-1].rate
		if _, ok := s.told[e.index]; !ok {
			s.told[e.index] = time.Now()
		}
	}
	f.mu.Unlock()
	if statement.Limited || !probe {
		e.dispatcher.HandleDirective(s.record.Server.ID, sycamorevane.ServerDirective{Limit: statement})
	}
}

func (f *limitFleet) probe(e *limitEntry, p Probe) {
	requestedAt := time.Now()
	time.Sleep(time.Millisecond)
	s, load := f.arrive(e, p.Server.ID, true)
	time.Sleep(time.Millisecond)
	f.answer(e, s, true, requestedAt)
	e.dispatcher.HandleProbeResult(time.Now(), p.Server.ID, ProbeResult{Answered: true, Load: load, ColdRemaining: -1})
}

func (f *limitFleet) probeLoop(ctx context.Context, e *limitEntry) {
	for ctx.Err() == nil {
		for _, p := range e.dispatcher.DueProbes(time.Now()) {
			f.wg.Go(func() { f.probe(e, p) })
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// attempt sends a request to the server of the grant and reports whether it ran.
func (f *limitFleet) attempt(e *limitEntry, g sycamorevane.Grant, shed bool) bool {
	requestedAt := time.Now()
	f.mu.Lock()
	upload := f.rand.Float64() < f.uploadShare
	f.mu.Unlock()
	if upload {
		time.Sleep(uploadTime)
	}
	time.Sleep(time.Millisecond)
	s, load := f.arrive(e, g.Server.ID, false)
	o := sycamorevane.Outcome{Kind: sycamorevane.OutcomeShed, Load: load}
	if !shed {
		time.Sleep(f.requestTime)
		o = sycamorevane.Outcome{Kind: sycamorevane.OutcomeOK, Route: "r", Latency: f.requestTime, Load: load}
	}
	f.mu.Lock()
	s.running--
	f.mu.Unlock()
	f.answer(e, s, false, requestedAt)
	e.dispatcher.Release(g, o)
	return !shed
}

// drawPriority draws the priority of a request.
func (f *limitFleet) drawPriority() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rand.Float64() >= f.urgentShare {
		return 1
	}
	f.result.urgent++
	return 0
}

// call sends one request of a caller, with one retry and a possible hedge.
func (f *limitFleet) call(e *limitEntry) (served bool, refused *sycamorevane.RefusedError) {
	return f.callWithPriority(e, f.drawPriority())
}

func (f *limitFleet) callWithPriority(e *limitEntry, priority int) (served bool, refused *sycamorevane.RefusedError) {
	began := time.Now()
	req := sycamorevane.Request{
		Service: "s", Route: "r", Priority: priority, Deadline: began.Add(2500 * time.Millisecond),
	}
	f.mu.Lock()
	hedged, shed := f.rand.Float64() < f.hedgeShare, f.rand.Float64() < f.shedShare
	f.mu.Unlock()
	for range 2 {
		g, err := e.dispatcher.Acquire(f.ctx, req)
		if err != nil {
			errors.As(err, &refused)
			f.countRefusal(time.Since(began))
			return false, refused
		}
		req.ExcludedServers = append(req.ExcludedServers, g.Server.ID)
		if hedged {
			hedge := req
			hedge.ExcludedServers = slices.Clone(req.ExcludedServers)
			f.wg.Go(func() { f.hedge(e, hedge) })
		}
		if f.attempt(e, g, shed) {
			f.mu.Lock()
			f.result.served++
			if priority == 0 {
				f.result.urgentServed++
			}
			f.mu.Unlock()
			return true, nil
		}
		shed = false
	}
	return false, nil
}

func (f *limitFleet) hedge(e *limitEntry, req sycamorevane.Request) {
	time.Sleep(f.requestTime / 4)
	req.Hedge, req.Deadline = true, time.Now().Add(25*time.Millisecond)
	ctx, cancel := context.WithDeadline(f.ctx, req.Deadline)
	defer cancel()
	if g, err := e.dispatcher.Acquire(ctx, req); err == nil {
		f.attempt(e, g, false)
	}
}

func (f *limitFleet) countRefusal(after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.refused++
	if after > promptRefusal {
		f.result.lateRefusals++
	}
}

// strayShare is the share of callers that go to any entry, not only to those that callers are sent to.
const strayShare = 0.1

// play sends requests at the rate to random entries for a time.
func (f *limitFleet) play(rate float64, d time.Duration) {
	end := time.Now().Add(d)
	for {
		f.mu.Lock()
		gap, i := f.rand.ExpFloat64()/rate, f.rand.IntN(min(f.active, len(f.entries)))
		if f.rand.Float64() < strayShare {
			i = f.rand.IntN(len(f.entries))
		}
		f.mu.Unlock()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		e := f.entries[i]
		f.mu.Lock()
		f.result.requests++
		f.mu.Unlock()
		f.wg.Go(func() { f.call(e) })
	}
}

// expectServed waits for the running requests and checks that the share of the requests since takeResult was served. Of the
// requests before, those that were then running count as well.
func (f *limitFleet) expectServed(share float64) {
	f.t.Helper()
	time.Sleep(3 * time.Second)
	r := f.takeResult()
	require.GreaterOrEqual(f.t, r.served+r.refused, r.requests, "each request ends")
	require.LessOrEqual(f.t, float64(r.refused), (1-share)*float64(r.requests), "the other servers have room")
}

// takeResult returns what callers got since the last call.
func (f *limitFleet) takeResult() limitResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.result
	f.result = limitResult{}
	return r
}

// rateAt is the highest rate that the server has named within limitGrace before at, or the first that it names after; a
// negative rate means that it had no limit at some moment of that time.
func (s *limitServer) rateAt(at time.Time) float64 {
	rate := s.limits[0].rate
	for i, c := range s.limits {
		ended := i+1 < len(s.limits) && s.limits[i+1].at.Before(at.Add(-limitGrace))
		if c.at.After(at) || ended {
			continue
		}
		if c.rate < 0 {
			return -1
		}
		rate = max(rate, c.rate)
	}
	return rate
}

// allowedUntil is the number of requests that the server allows in the window that ends at the time; false without a limit.
func (s *limitServer) allowedUntil(end time.Time) (float64, bool) {
	const step = 100 * time.Millisecond
	if len(s.limits) == 0 || end.Sub(s.limits[0].at) < limitGrace {
		return 0, false
	}
	allowed := 0.0
	for back := time.Duration(0); back < limitWindow; back += step {
		rate := s.rateAt(end.Add(-back))
		if rate < 0 {
			return 0, false
		}
		allowed += limitFactor * rate * step.Seconds()
	}
	return allowed + limitSlack, true
}

// expectLimitsKept checks each window that ends with an arrival.
func (f *limitFleet) expectLimitsKept() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		var window []limitArrival
		for _, a := range s.arrivals {
			if a.told.IsZero() || a.at.Sub(a.told) < limitToldFor {
				continue
			}
			window = append(window, a)
			for a.at.Sub(window[0].at) > limitWindow {
				window = window[1:]
			}
			allowed, limited := s.allowedUntil(a.at)
			if !limited || float64(len(window)) <= allowed+1e-6 {
				continue
			}
			probes := 0
			for _, b := range window {
				if b.probe {
					probes++
				}
			}
			require.Fail(f.t, "limit exceeded", "%s: %d requests (%d of them health checks) in %v, allowed %.1f, %v after the limit was named",
				s.record.Server.ID, len(window), probes, limitWindow, allowed, a.at.Sub(s.limits[0].at))
		}
	}
}

// arrivalsSince counts the requests that reached the server after at, without health checks.
func (f *limitFleet) arrivalsSince(server int, at time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.servers[server].arrivals {
		if a.at.After(at) && !a.probe {
			n++
		}
	}
	return n
}

// playReturning sends requests like play. A refused caller returns once, at the time that it was told, to any entry.
func (f *limitFleet) playReturning(rate float64, d time.Duration) (returned, servedThen int) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		f.mu.Lock()
		gap := f.rand.ExpFloat64() / rate
		first, second := f.entries[f.rand.IntN(f.active)], f.entries[f.rand.IntN(f.active)]
		f.result.requests++
		f.mu.Unlock()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		f.wg.Go(func() {
			priority := f.drawPriority()
			served, refused := f.callWithPriority(first, priority)
			if served || refused == nil || f.ctx.Err() != nil {
				return
			}
			time.Sleep(refused.RetryAfter)
			if !time.Now().Before(end) {
				return
			}
			served, _ = f.callWithPriority(second, priority)
			f.mu.Lock()
			defer f.mu.Unlock()
			returned++
			if served {
				servedThen++
			}
		})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return returned, servedThen
}
