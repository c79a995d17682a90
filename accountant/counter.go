package accountant

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// maxPairs limits the pairs of cell and workspace that an entry holds, about 9 MB. An entry with 8 requests per second
	// reaches it after an hour without a leader.
	maxPairs = 32768
	// maxReportPairs limits the pairs in one report, about 60 kB. Cells beyond it follow when earlier ones are settled.
	maxReportPairs = 8192
	// settledMargin is how much longer than settled a cell is kept. A new leader maps cells to windows with another estimate
	// of the clocks, and must still have the cells at the boundary.
	settledMargin = time.Second
)

// Counter counts the started requests of an entry. It is safe for concurrent use.
type Counter struct {
	start time.Time
	boot  uint64

	mu sync.Mutex
	// cells are in ascending order of index.
	cells []counterCell
	pairs int
	// first is the lowest index that is not dropped.
	first   int64
	dropped int64
}

type counterCell struct {
	index  int64
	counts map[string]uint32
}

// NewCounter returns a Counter; start must include a monotonic clock reading and be no later than the first request.
func NewCounter(start time.Time) *Counter { return &Counter{start: start, boot: rand.Uint64()} }

func (c *Counter) index(at time.Time) int64 { return int64(max(0, at.Sub(c.start)) / CellWidth) }

func (c *Counter) find(index int64) (int, bool) {
	return slices.BinarySearchFunc(c.cells, index, func(cell counterCell, i int64) int { return cmp.Compare(cell.index, i) })
}

// Started counts a request of the workspace that a server may have begun to run at the given time.
func (c *Counter) Started(workspace string, at time.Time) {
	if workspace == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	index := max(c.first, c.index(at))
	i, found := c.find(index)
	if !found {
		c.cells = slices.Insert(c.cells, i, counterCell{index: index, counts: make(map[string]uint32)})
	}
	counts := c.cells[i].counts
	if _, known := counts[workspace]; !known {
		c.pairs++
	}
	counts[workspace]++
	for c.pairs > maxPairs {
		for _, n := range c.cells[0].counts {
			c.dropped += int64(n)
		}
		c.dropBefore(c.cells[0].index + 1)
	}
}

// Rejected takes back a call of Started with the same arguments: the server has not run the request.
func (c *Counter) Rejected(workspace string, at time.Time) {
	if workspace == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i, found := c.find(c.index(at)); found && c.cells[i].counts[workspace] > 0 {
		c.cells[i].counts[workspace]--
	}
}

func (c *Counter) dropBefore(index int64) {
	c.first = max(c.first, index)
	n, _ := c.find(index)
	for _, cell := range c.cells[:n] {
		c.pairs -= len(cell.counts)
	}
	c.cells = slices.Delete(c.cells, 0, n)
}

// Dropped returns the number of counted requests that were dropped because there were too many cells.
func (c *Counter) Dropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Report returns all cells before the current one that are not settled, up to maxReportPairs. A final report includes the
// current cell.
func (c *Counter) Report(now time.Time, final bool) *encoder.UsageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.index(now)
	if final {
		until++
	}
	m := &encoder.UsageReport{
		Boot: c.boot, Sent: uint64(max(0, now.Sub(c.start)).Microseconds()), Width: uint64(CellWidth.Microseconds()),
		First: uint64(c.first), Until: uint64(max(c.first, until)), Final: final,
	}
	numbers := make(map[string]uint32)
	pairs := 0
	for _, cell := range c.cells {
		if cell.index >= until {
			break
		}
		if pairs += len(cell.counts); pairs > maxReportPairs {
			m.Until = uint64(cell.index)
			break
		}
		m.Cells = append(m.Cells, encodeCell(cell, m, numbers))
	}
	return m
}

func encodeCell(cell counterCell, m *encoder.UsageReport, numbers map[string]uint32) *encoder.UsageCell {
	out := &encoder.UsageCell{Index: uint64(cell.index)}
	for _, workspace := range slices.Sorted(maps.Keys(cell.counts)) {
		number, known := numbers[workspace]
		if !known {
			number = uint32(len(m.Workspaces))
			numbers[workspace] = number
			m.Workspaces = append(m.Workspaces, workspace)
		}
		out.Counts = append(out.Counts, number, cell.counts[workspace])
	}
	return out
}

// Acknowledge drops the cells that are settled.
func (c *Counter) Acknowledge(a *encoder.UsageAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settled := time.Duration(min(a.Settled, maxMicroseconds))*time.Microsecond - settledMargin
	if a.Boot == c.boot && settled > 0 {
		c.dropBefore(int64(settled / CellWidth))
	}
}
