// Package summarizer counts what each backend server does for one entry and reports it to the control leader.
package summarizer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/renderer"
)

const (
	// Latencies of pools are kept in microseconds from 10 µs to one minute with two significant digits.
	lowest  = 10
	highest = 60_000_000
	digits  = 2
)

// OwnedServer is what the owner entry knows about one of its servers.
type OwnedServer struct {
	sycamorevane.Server
	// Limit is how many slots are usable now.
	Limit  int
	State  string
	Reason string
	// Probes and Budget are requests a second.
	Probes float64
	Budget float64
}

type poolKey struct{ service, dc, version string }

type pool struct {
	latency  *hdrhistogram.Histogram
	calls    uint64
	failures uint64
	// listed are the calls that appear in the rows of owned servers.
	listed         uint64
	listedFailures uint64
}

type serverCount struct {
	sycamorevane.Server
	calls    uint64
	failures uint64
	use      int
	// latency is nil for servers that this entry does not own, to bound memory.
	latency *hdrhistogram.Histogram
}

// Summarizer is a Limiter that counts what passes through the one it wraps.
type Summarizer struct {
	sycamorevane.Limiter

	mu      sync.Mutex
	since   time.Time
	pools   map[poolKey]*pool
	servers map[string]*serverCount
}

// New wraps a limiter.
func New(next sycamorevane.Limiter, now time.Time) *Summarizer {
	return &Summarizer{
		Limiter: next, since: now, pools: make(map[poolKey]*pool), servers: make(map[string]*serverCount),
	}
}

// Acquire implements sycamorevane.Limiter.
func (s *Summarizer) Acquire(ctx context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	g, err := s.Limiter.Acquire(ctx, req)
	if err == nil {
		s.mu.Lock()
		s.count(&g.Server).use++
		s.mu.Unlock()
	}
	return g, err
}

// Release implements sycamorevane.Limiter.
func (s *Summarizer) Release(g sycamorevane.Grant, o sycamorevane.Outcome) {
	s.Limiter.Release(g, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count(&g.Server)
	c.use--
	if o.Kind == sycamorevane.OutcomeCancelled {
		return // It says nothing about the server.
	}
	p := s.pool(&g.Server)
	c.calls++
	p.calls++
	if o.Kind != sycamorevane.OutcomeOK {
		c.failures++
		p.failures++
		return
	}
	us := min(max(o.Latency.Microseconds(), lowest), highest)
	_ = p.latency.RecordValue(us)
	if c.latency != nil {
		_ = c.latency.RecordValue(us)
	}
}

func (s *Summarizer) count(server *sycamorevane.Server) *serverCount {
	c, ok := s.servers[server.ID]
	if !ok {
		c = &serverCount{Server: *server}
		s.servers[server.ID] = c
	}
	return c
}

func (s *Summarizer) pool(server *sycamorevane.Server) *pool {
	key := poolKey{server.Service, server.DC, server.Version}
	p, ok := s.pools[key]
	if !ok {
		p = &pool{latency: hdrhistogram.New(lowest, highest, digits)}
		s.pools[key] = p
	}
	return p
}

// Summary returns the counts since the last call, joined with what this entry knows as the owner of servers, and
// starts a new window. Servers and pools without traffic are forgotten.
func (s *Summarizer) Summary(now time.Time, owned []OwnedServer) renderer.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := renderer.Summary{Window: now.Sub(s.since)}
	s.since = now
	for i := range owned {
		sum.Loads = append(sum.Loads, s.ownedRow(&owned[i]))
	}
	maps.DeleteFunc(s.servers, func(_ string, c *serverCount) bool {
		idle := c.calls == 0 && c.use == 0
		c.calls, c.failures = 0, 0
		return idle
	})
	sum.Loads = append(sum.Loads, s.poolRows()...)
	return sum
}

// ownedRow is the row of a server that this entry owns; its calls are not counted in the row of the pool.
func (s *Summarizer) ownedRow(o *OwnedServer) renderer.LoadRow {
	c := s.count(&o.Server)
	row := renderer.LoadRow{
		Service: o.Service, DC: o.DC, Version: o.Version, Server: o.ID, Addr: o.Addr,
		Calls: c.calls, Failures: c.failures, BusySlots: max(c.use, 0),
		Owner: true, Slots: o.Slots, Limit: o.Limit, State: o.State, Reason: o.Reason, Probes: o.Probes, Budget: o.Budget,
	}
	p := s.pool(&o.Server)
	p.listed += c.calls
	p.listedFailures += c.failures
	if c.latency == nil {
		c.latency = hdrhistogram.New(lowest, highest, digits)
	}
	row.P50, row.P99 = quantiles(c.latency)
	c.latency.Reset()
	return row
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99 time.Duration) {
	if h.TotalCount() == 0 {
		return 0, 0
	}
	p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	return p50, time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// poolRows has a row for each pool with calls on servers that this entry does not own.
func (s *Summarizer) poolRows() []renderer.LoadRow {
	var rows []renderer.LoadRow
	for key, p := range s.pools {
		if p.calls == 0 && p.listed == 0 {
			delete(s.pools, key)
			continue
		}
		if rest := p.calls - p.listed; rest > 0 {
			row := renderer.LoadRow{
				Service: key.service, DC: key.dc, Version: key.version, Calls: rest, Failures: p.failures - p.listedFailures,
			}
			row.P50, row.P99 = quantiles(p.latency)
			rows = append(rows, row)
		}
		p.calls, p.failures, p.listed, p.listedFailures = 0, 0, 0, 0
		p.latency.Reset()
	}
	return rows
}
