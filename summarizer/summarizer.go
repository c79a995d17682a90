// Package summarizer counts the calls of one entry per backend server and pool, for the reports to the control leader.
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
	// Latency histograms cover 10 µs to 1 minute in microseconds, with two significant digits.
	minLatencyMicros  = 10
	maxLatencyMicros  = 60_000_000
	significantDigits = 2
)

// OwnedServer is the state of a server as known to the entry that owns its pool.
type OwnedServer struct {
	sycamorevane.Server
	// UsableSlots is the number of slots that may be used now.
	UsableSlots int
	State       string
	Reason      string
	// ProbeRate is the number of probes per second, MaxProbeRate the largest allowed number.
	ProbeRate    float64
	MaxProbeRate float64
}

// rowKey identifies the servers of one version in a pool, which share a row.
type rowKey struct{ service, dc, version string }

type poolCounts struct {
	latency  *hdrhistogram.Histogram
	calls    uint64
	failures uint64
	// ownedCalls and ownedFailures are those parts of calls and failures that the rows of owned servers contain.
	ownedCalls    uint64
	ownedFailures uint64
}

type serverCounts struct {
	sycamorevane.Server
	calls    uint64
	failures uint64
	running  int
	// latency is nil for servers that this entry does not own, to limit memory use.
	latency *hdrhistogram.Histogram
}

// Summarizer wraps a Limiter and counts its grants and their outcomes.
type Summarizer struct {
	sycamorevane.Limiter

	mu          sync.Mutex
	windowStart time.Time
	pools       map[rowKey]*poolCounts
	servers     map[string]*serverCounts
}

// New returns a Summarizer around next, whose first window starts at now.
func New(next sycamorevane.Limiter, now time.Time) *Summarizer {
	return &Summarizer{
		Limiter: next, windowStart: now, pools: make(map[rowKey]*poolCounts), servers: make(map[string]*serverCounts),
	}
}

// Acquire implements sycamorevane.Limiter.
func (s *Summarizer) Acquire(ctx context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	g, err := s.Limiter.Acquire(ctx, req)
	if err == nil {
		s.mu.Lock()
		s.serverCountsOf(&g.Server).running++
		s.mu.Unlock()
	}
	return g, err
}

// Release implements sycamorevane.Limiter.
func (s *Summarizer) Release(g sycamorevane.Grant, o sycamorevane.Outcome) {
	s.Limiter.Release(g, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.serverCountsOf(&g.Server)
	c.running--
	if o.Kind == sycamorevane.OutcomeCancelled {
		return // The caller cancelled, which is no evidence about the server.
	}
	p := s.poolCountsOf(&g.Server)
	c.calls++
	p.calls++
	if o.Kind != sycamorevane.OutcomeOK {
		c.failures++
		p.failures++
		return
	}
	micros := min(max(o.Latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = p.latency.RecordValue(micros)
	if c.latency != nil {
		_ = c.latency.RecordValue(micros)
	}
}

func (s *Summarizer) serverCountsOf(server *sycamorevane.Server) *serverCounts {
	c, ok := s.servers[server.ID]
	if !ok {
		c = &serverCounts{Server: *server}
		s.servers[server.ID] = c
	}
	return c
}

func (s *Summarizer) poolCountsOf(server *sycamorevane.Server) *poolCounts {
	key := rowKey{server.Service, server.DC, server.Version}
	p, ok := s.pools[key]
	if !ok {
		p = &poolCounts{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
		s.pools[key] = p
	}
	return p
}

// Summary returns the counts since the last call of Summary and starts a new window. There is a row for each owned server
// and for each version of a pool with calls to other servers. Servers and pools without traffic are deleted.
func (s *Summarizer) Summary(now time.Time, owned []OwnedServer) renderer.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	summary := renderer.Summary{Window: now.Sub(s.windowStart)}
	s.windowStart = now
	for i := range owned {
		summary.Loads = append(summary.Loads, s.ownedRow(&owned[i]))
	}
	maps.DeleteFunc(s.servers, func(_ string, c *serverCounts) bool {
		idle := c.calls == 0 && c.running == 0
		c.calls, c.failures = 0, 0
		return idle
	})
	summary.Loads = append(summary.Loads, s.poolRows()...)
	return summary
}

// ownedRow returns the row of a server that this entry owns. The row of its pool leaves out these calls.
func (s *Summarizer) ownedRow(o *OwnedServer) renderer.LoadRow {
	c := s.serverCountsOf(&o.Server)
	row := renderer.LoadRow{
		Service: o.Service, DC: o.DC, Version: o.Version, Server: o.ID, Addr: o.Addr,
		Calls: c.calls, Failures: c.failures, BusySlots: max(c.running, 0),
		Owner: true, Slots: o.Slots, UsableSlots: o.UsableSlots, State: o.State, Reason: o.Reason, ProbeRate: o.ProbeRate, MaxProbeRate: o.MaxProbeRate,
	}
	p := s.poolCountsOf(&o.Server)
	p.ownedCalls += c.calls
	p.ownedFailures += c.failures
	if c.latency == nil {
		c.latency = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
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

// poolRows returns a row for each version of a pool with calls to servers that this entry does not own. It resets the
// counts.
func (s *Summarizer) poolRows() []renderer.LoadRow {
	var rows []renderer.LoadRow
	for key, counts := range s.pools {
		if counts.calls == 0 && counts.ownedCalls == 0 {
			delete(s.pools, key)
			continue
		}
		if otherCalls := counts.calls - counts.ownedCalls; otherCalls > 0 {
			row := renderer.LoadRow{
				Service: key.service, DC: key.dc, Version: key.version, Calls: otherCalls, Failures: counts.failures - counts.ownedFailures,
			}
			row.P50, row.P99 = quantiles(counts.latency)
			rows = append(rows, row)
		}
		counts.calls, counts.failures, counts.ownedCalls, counts.ownedFailures = 0, 0, 0, 0
		counts.latency.Reset()
	}
	return rows
}
