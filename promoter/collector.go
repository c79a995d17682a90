// Package promoter decides how a rollout proceeds. Entries collect evidence on the old and the new version. The
// control leader compares the two with a sequential test and sets the new version's share of calls.
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
	// maxLatency is the largest latency recorded; longer ones are recorded as this.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of the histograms. One digit gives bins of at most 1/16 of
	// their value and a histogram of 2.5 KB.
	latencyDigits = 1
	// maxRoutes bounds the cells per version; calls of further routes are counted under otherRoutes.
	maxRoutes   = 256
	otherRoutes = "(other)"
	// maxPending bounds the unacknowledged windows. When it is reached the current window stays open, so that
	// evidence is delayed but not lost.
	maxPending = 8
	// alarmFailures is the number of failures of a new version, since the last window was closed, that the control leader
	// is told of at once.
	alarmFailures = 2
	outcomeKinds  = int(sycamorevane.OutcomeCancelled) + 1
)

func newHistogram() *hdr.Histogram {
	return hdr.New(1, int64(maxLatency/latencyUnit), latencyDigits)
}

// Collector counts outcomes per service, version and route on one entry, and reports whether the entry's own Guard
// has blocked a trial version. All methods may be called concurrently.
type Collector struct {
	clock       sycamorevane.Clock
	incarnation uint64
	collectors  atomic.Pointer[map[string]*rolloutCollector]
	alarm       chan struct{}

	mu       sync.Mutex
	sequence uint64
	pending  []*encoder.EvidenceWindow
}

// rolloutCollector collects the evidence on one rollout until the end of its watch period.
type rolloutCollector struct {
	id                     string
	fromVersion, toVersion string
	guard                  Guard
	// failures counts the failures of the new version in the current window.
	failures atomic.Int32
	// doneAt is when the rollout was first seen as done; zero before.
	doneAt      time.Time
	watchPeriod time.Duration
	mu          sync.Mutex
	cells       [2]atomic.Pointer[map[string]*routeCell]
}

// routeCell counts the calls of one route of one version in the current window.
type routeCell struct {
	mu      sync.Mutex
	counts  [outcomeKinds]uint32
	latency *hdr.Histogram
}

// NewCollector returns a Collector without rollouts.
func NewCollector(clock sycamorevane.Clock) *Collector {
	c := &Collector{clock: clock, incarnation: rand.Uint64() | 1, alarm: make(chan struct{}, 1)}
	c.collectors.Store(&map[string]*rolloutCollector{})
	return c
}

// Update sets the committed rollouts to collect evidence on. It is called for each new State.
func (c *Collector) Update(rollouts map[string]sycamorevane.Rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	old := *c.collectors.Load()
	next := make(map[string]*rolloutCollector, len(rollouts))
	for service, r := range rollouts {
		if r.Phase == sycamorevane.RolloutReverted || r.Phase == sycamorevane.RolloutDone && r.Irreversible {
			continue
		}
		rc := old[service]
		if rc == nil || rc.id != r.ID {
			rc = newRolloutCollector(r)
		}
		if r.Phase != sycamorevane.RolloutDone {
			rc.doneAt = time.Time{}
		} else if rc.doneAt.IsZero() {
			rc.doneAt = now
		}
		if rc.ended(now) {
			continue
		}
		rc.guard.setDisabled(r.Phase == sycamorevane.RolloutDone)
		next[service] = rc
	}
	c.collectors.Store(&next)
}

func newRolloutCollector(r sycamorevane.Rollout) *rolloutCollector {
	rc := &rolloutCollector{id: r.ID, fromVersion: r.FromVersion, toVersion: r.ToVersion, watchPeriod: WatchPeriod(r)}
	for i := range rc.cells {
		rc.cells[i].Store(&map[string]*routeCell{})
	}
	return rc
}

func (rc *rolloutCollector) ended(now time.Time) bool {
	return !rc.doneAt.IsZero() && now.Sub(rc.doneAt) > rc.watchPeriod
}

// Observe counts one outcome. It is cheap for services without a rollout, and allocates only on the first call of a
// route.
func (c *Collector) Observe(service, version, route string, o sycamorevane.Outcome) {
	rc := (*c.collectors.Load())[service]
	if rc == nil || int(o.Kind) >= outcomeKinds {
		return
	}
	side := 0
	switch version {
	case rc.toVersion:
		side = 1
	case rc.fromVersion:
	default:
		return
	}
	rc.guard.observe(c.clock, side == 1, o.Kind)
	if side == 1 && o.Kind == sycamorevane.OutcomeFailed && rc.failures.Add(1) == alarmFailures {
		c.raiseAlarm()
	}
	cell := (*rc.cells[side].Load())[route]
	if cell == nil {
		cell = rc.addCell(side, route)
	}
	cell.observe(o)
}

// raiseAlarm asks for a report of the current window, unless one is due already.
func (c *Collector) raiseAlarm() {
	select {
	case c.alarm <- struct{}{}:
	default:
	}
}

// Alarm signals that the control leader should be told of the current window at once.
func (c *Collector) Alarm() <-chan struct{} { return c.alarm }

// addCell replaces the map of cells by a copy with the new cell, since readers use the map without a lock.
func (rc *rolloutCollector) addCell(side int, route string) *routeCell {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	old := *rc.cells[side].Load()
	if len(old) >= maxRoutes {
		route = otherRoutes
	}
	if cell := old[route]; cell != nil {
		return cell
	}
	next := make(map[string]*routeCell, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	cell := &routeCell{latency: newHistogram()}
	next[route] = cell
	rc.cells[side].Store(&next)
	return cell
}

func (cell *routeCell) observe(o sycamorevane.Outcome) {
	v := min(int64(o.Latency/latencyUnit), int64(maxLatency/latencyUnit))
	cell.mu.Lock()
	cell.counts[o.Kind]++
	// A cancelled call would have taken at least this long. Leaving it out would hide a version so slow that callers
	// give up. The latency of a cold server says nothing about its version.
	if !o.Cold && (o.Kind == sycamorevane.OutcomeOK || o.Kind == sycamorevane.OutcomeCancelled) {
		_ = cell.latency.RecordValue(max(v, 0))
	}
	cell.mu.Unlock()
}

// Blocked reports whether this entry must not send calls of the service to the version.
func (c *Collector) Blocked(service, version string) bool {
	rc := (*c.collectors.Load())[service]
	return rc != nil && version == rc.toVersion && rc.guard.Blocked(c.clock.Now())
}

// Summary closes the current window and returns all unacknowledged windows, or nil when there are none. It is called
// once a second.
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
	// Windows do not change, but an acknowledgement may arrive while the message is encoded, so the list is copied.
	return &encoder.Evidence{Boot: c.incarnation, Windows: append([]*encoder.EvidenceWindow(nil), c.pending...)}
}

func (c *Collector) expire() {
	now := c.clock.Now()
	next := make(map[string]*rolloutCollector)
	old := *c.collectors.Load()
	for service, rc := range old {
		if !rc.ended(now) {
			next[service] = rc
		}
	}
	if len(next) != len(old) {
		c.collectors.Store(&next)
	}
}

func (c *Collector) closeWindow() {
	now := c.clock.Now()
	var moves []*encoder.EvidenceMove
	for service, rc := range *c.collectors.Load() {
		rc.failures.Store(0)
		move := &encoder.EvidenceMove{Service: service, Rollout: rc.id, Blocked: rc.guard.Blocked(now)}
		for side := range rc.cells {
			for route, cell := range *rc.cells[side].Load() {
				if packed := cell.take(); packed != nil {
					packed.To = side == 1
					packed.Route = route
					move.Cells = append(move.Cells, packed)
				}
			}
		}
		if len(move.Cells) > 0 || move.Blocked {
			moves = append(moves, move)
		}
	}
	if len(moves) == 0 {
		return
	}
	c.sequence++
	c.pending = append(c.pending, &encoder.EvidenceWindow{Sequence: c.sequence, Moves: moves})
}

// take returns the counts since the last call of take and resets them. It returns nil when there are none.
func (cell *routeCell) take() *encoder.EvidenceCell {
	cell.mu.Lock()
	defer cell.mu.Unlock()
	if cell.counts == [outcomeKinds]uint32{} {
		return nil
	}
	e := &encoder.EvidenceCell{Counts: append([]uint32(nil), cell.counts[:]...), Bins: packBins(cell.latency)}
	cell.counts = [outcomeKinds]uint32{}
	cell.latency.Reset()
	return e
}

// Acknowledge removes the windows that the control leader has counted.
func (c *Collector) Acknowledge(a *encoder.EvidenceAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.GetBoot() != c.incarnation {
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
	previous := 0
	for i, n := range h.Export().Counts {
		if n > 0 {
			bins = append(bins, uint32(i-previous), uint32(n))
			previous = i
		}
	}
	return bins
}

// unpackBins adds packed bins to the counts by histogram index. Indexes out of range are ignored.
func unpackBins(bins []uint32, counts []float64) {
	index := 0
	for i := 0; i+1 < len(bins); i += 2 {
		index += int(bins[i])
		if index >= len(counts) {
			return
		}
		counts[index] += float64(bins[i+1])
	}
}
