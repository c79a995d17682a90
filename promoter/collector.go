// Package promoter decides how a rollout proceeds. Entries collect evidence on the old and the new version,
// the control leader compares them with a sequential test and moves the share of calls.
package promoter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// latencyUnit is the resolution of latency histograms.
	latencyUnit = 10 * time.Microsecond
	// latencyMax is the largest latency recorded; longer ones count as this.
	latencyMax = time.Minute
	// latencyDigits gives bins of at most 1/16 of their value and a histogram of 2.5 KB.
	latencyDigits = 1
	// maxRoutes bounds the cells per version; calls of further routes are counted under otherRoutes.
	maxRoutes   = 256
	otherRoutes = "(other)"
	// maxPending bounds the unacknowledged windows. When it is reached the current window stays open, so
	// that evidence is delayed and not lost.
	maxPending = 8
	kinds      = int(sycamorevane.OutcomeCancelled) + 1
)

func newHistogram() *hdr.Histogram {
	return hdr.New(1, int64(latencyMax/latencyUnit), latencyDigits)
}

// Collector counts outcomes per service, version and route at one entry, and tells whether the entry's own
// Guard has blocked a trial version. All methods may be called concurrently.
type Collector struct {
	clock   sycamorevane.Clock
	boot    uint64
	watches atomic.Pointer[map[string]*watch]

	mu       sync.Mutex
	sequence uint64
	pending  []*encoder.EvidenceWindow
}

// watch is the collected evidence of one rollout.
type watch struct {
	id       string
	from, to string
	guard    Guard
	// done is when the rollout was first seen as done; zero before.
	done   time.Time
	period time.Duration
	mu     sync.Mutex
	cells  [2]atomic.Pointer[map[string]*cell]
}

// cell counts one route of one version in the current window.
type cell struct {
	mu      sync.Mutex
	counts  [kinds]uint32
	latency *hdr.Histogram
}

// NewCollector returns a collector without watched services.
func NewCollector(clock sycamorevane.Clock) *Collector {
	c := &Collector{clock: clock, boot: rand.Uint64() | 1}
	c.watches.Store(&map[string]*watch{})
	return c
}

// Update sets the rollouts to watch, as committed. It is called for each new State.
func (c *Collector) Update(rollouts map[string]sycamorevane.Rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	old := *c.watches.Load()
	next := make(map[string]*watch, len(rollouts))
	for service, r := range rollouts {
		if r.Phase == sycamorevane.RolloutReverted || r.Phase == sycamorevane.RolloutDone && r.Irreversible {
			continue
		}
		w := old[service]
		if w == nil || w.id != r.ID {
			w = newWatch(r)
		}
		if r.Phase != sycamorevane.RolloutDone {
			w.done = time.Time{}
		} else if w.done.IsZero() {
			w.done = now
		}
		if w.over(now) {
			continue
		}
		w.guard.setOff(r.Phase == sycamorevane.RolloutDone)
		next[service] = w
	}
	c.watches.Store(&next)
}

func newWatch(r sycamorevane.Rollout) *watch {
	w := &watch{id: r.ID, from: r.FromVersion, to: r.ToVersion, period: WatchPeriod(r)}
	for i := range w.cells {
		w.cells[i].Store(&map[string]*cell{})
	}
	return w
}

func (w *watch) over(now time.Time) bool {
	return !w.done.IsZero() && now.Sub(w.done) > w.period
}

// Observe counts one outcome. It costs little for services without a rollout and does not allocate except for
// the first call of a route.
func (c *Collector) Observe(service, version, route string, o sycamorevane.Outcome) {
	w := (*c.watches.Load())[service]
	if w == nil || int(o.Kind) >= kinds {
		return
	}
	side := 0
	switch version {
	case w.to:
		side = 1
	case w.from:
	default:
		return
	}
	w.guard.observe(c.clock, side == 1, o.Kind)
	l := (*w.cells[side].Load())[route]
	if l == nil {
		l = w.add(side, route)
	}
	l.observe(o)
}

// add copies the map of cells, since readers use it without a lock.
func (w *watch) add(side int, route string) *cell {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := *w.cells[side].Load()
	if len(old) >= maxRoutes {
		route = otherRoutes
	}
	if l := old[route]; l != nil {
		return l
	}
	next := make(map[string]*cell, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	l := &cell{latency: newHistogram()}
	next[route] = l
	w.cells[side].Store(&next)
	return l
}

func (l *cell) observe(o sycamorevane.Outcome) {
	v := min(int64(o.Latency/latencyUnit), int64(latencyMax/latencyUnit))
	l.mu.Lock()
	l.counts[o.Kind]++
	// A cancelled call lasted at least this long; leaving it out would hide a version that is so slow that
	// callers give up.
	if o.Kind == sycamorevane.OutcomeOK || o.Kind == sycamorevane.OutcomeCancelled {
		_ = l.latency.RecordValue(max(v, 0))
	}
	l.mu.Unlock()
}

// Blocked reports whether calls of the service must not be sent to the version from this entry.
func (c *Collector) Blocked(service, version string) bool {
	w := (*c.watches.Load())[service]
	return w != nil && version == w.to && w.guard.Blocked(c.clock.Now())
}

// Summary closes the current window and returns all windows that are not acknowledged, or nil when there are
// none. It is called once a second.
func (c *Collector) Summary() *encoder.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	if len(c.pending) < maxPending {
		c.closeWindow()
	}
	if len(c.pending) == 0 {
		return nil
	}
	// A copy, since an acknowledgement may arrive while the message is encoded. Windows do not change.
	return &encoder.Evidence{Boot: c.boot, Windows: append([]*encoder.EvidenceWindow(nil), c.pending...)}
}

func (c *Collector) expire() {
	now := c.clock.Now()
	next := make(map[string]*watch)
	old := *c.watches.Load()
	for service, w := range old {
		if !w.over(now) {
			next[service] = w
		}
	}
	if len(next) != len(old) {
		c.watches.Store(&next)
	}
}

func (c *Collector) closeWindow() {
	now := c.clock.Now()
	var moves []*encoder.EvidenceMove
	for service, w := range *c.watches.Load() {
		m := &encoder.EvidenceMove{Service: service, Rollout: w.id, Blocked: w.guard.Blocked(now)}
		for side := range w.cells {
			for route, l := range *w.cells[side].Load() {
				if e := l.take(); e != nil {
					e.To = side == 1
					e.Route = route
					m.Cells = append(m.Cells, e)
				}
			}
		}
		if len(m.Cells) > 0 || m.Blocked {
			moves = append(moves, m)
		}
	}
	if len(moves) == 0 {
		return
	}
	c.sequence++
	c.pending = append(c.pending, &encoder.EvidenceWindow{Sequence: c.sequence, Moves: moves})
}

// take returns the counts since the last take, or nil when there are none.
func (l *cell) take() *encoder.EvidenceCell {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == [kinds]uint32{} {
		return nil
	}
	e := &encoder.EvidenceCell{Counts: append([]uint32(nil), l.counts[:]...), Bins: packBins(l.latency)}
	l.counts = [kinds]uint32{}
	l.latency.Reset()
	return e
}

// Acknowledge drops the windows that control has counted.
func (c *Collector) Acknowledge(a *encoder.EvidenceAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.GetBoot() != c.boot {
		return
	}
	n := 0
	for n < len(c.pending) && c.pending[n].Sequence <= a.GetSequence() {
		n++
	}
	c.pending = append([]*encoder.EvidenceWindow(nil), c.pending[n:]...)
}

func packBins(h *hdr.Histogram) []uint32 {
	if h.TotalCount() == 0 {
		return nil
	}
	var bins []uint32
	last := 0
	for i, n := range h.Export().Counts {
		if n > 0 {
			bins = append(bins, uint32(i-last), uint32(n))
			last = i
		}
	}
	return bins
}

// unpackBins adds the packed bins to counts by histogram index. It ignores indexes out of range.
func unpackBins(bins []uint32, counts []float64) {
	at := 0
	for i := 0; i+1 < len(bins); i += 2 {
		at += int(bins[i])
		if at >= len(counts) {
			return
		}
		counts[at] += float64(bins[i+1])
	}
}
