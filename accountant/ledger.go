package accountant

import (
	"math"
	"time"

	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// maxSources limits the entry processes of which the leader holds counts, maxLedgerPairs the pairs of cell and workspace
	// of all of them, about 40 MB. 111 entries with 8 requests per second have 9,000 pairs in 10 s.
	maxSources     = 1024
	maxLedgerPairs = 1 << 17
	// delaySampleAge is for how long the fastest report of an entry determines the difference between its clock and that of
	// this host. Reports that were held up, for example while one of the two hosts was frozen, would make the entry's
	// requests appear later than they were.
	delaySampleAge = 10 * time.Second
	// expectedAge is how long after its last report an entry is expected to report again.
	expectedAge = 15 * time.Second
	// forgetAge is how long after its last report the counts of an entry are kept.
	forgetAge = 10 * time.Minute
	// maxMicroseconds limits times in messages, so that they fit in a time.Duration.
	maxMicroseconds = math.MaxInt64 / 4096
)

// ledger holds the cells of all entries that are not in a committed window. Its times are those of the monotonic clock of
// this host.
type ledger struct {
	sources map[sourceID]*source
	pairs   int
}

type sourceID struct {
	host string
	boot uint64
}

type source struct {
	width time.Duration
	cells map[int64]map[string]uint64
	// until is the index up to which the cells are complete.
	until int64
	// closed is the index of the first cell that is in no committed window.
	closed int64
	// delays are the differences between this host's clock at the arrival of a report and the entry's when it was sent.
	delays []delaySample
	heard  time.Duration
	final  bool
}

type delaySample struct {
	at, delay time.Duration
}

// add takes a report in. It returns false for a report that is malformed or exceeds the limits.
func (l *ledger) add(now time.Duration, from string, m *encoder.UsageReport) bool {
	if !validReport(m) {
		return false
	}
	id := sourceID{from, m.Boot}
	s, known := l.sources[id]
	if !known {
		if len(l.sources) >= maxSources {
			return false
		}
		if l.sources == nil {
			l.sources = make(map[sourceID]*source)
		}
		for old, other := range l.sources {
			other.final = other.final || old.host == from // A process that has been replaced reports nothing more.
		}
		s = &source{cells: make(map[int64]map[string]uint64)}
		l.sources[id] = s
	}
	s.width = time.Duration(m.Width) * time.Microsecond
	s.recordDelay(now, now-time.Duration(m.Sent)*time.Microsecond)
	s.heard, s.final = now, s.final || m.Final
	s.until = max(s.until, int64(m.Until))
	for index, counts := range s.cells {
		if index >= int64(m.First) && index < int64(m.Until) {
			l.pairs -= len(counts)
			delete(s.cells, index)
		}
	}
	for _, cell := range m.Cells {
		counts := make(map[string]uint64, len(cell.Counts)/2)
		for i := 0; i+1 < len(cell.Counts); i += 2 {
			counts[m.Workspaces[cell.Counts[i]]] += uint64(cell.Counts[i+1])
		}
		if index := int64(cell.Index); index >= s.closed {
			s.cells[index] = counts
			l.pairs += len(counts)
		}
	}
	return true
}

func validReport(m *encoder.UsageReport) bool {
	if m.Width < 1000 || m.Width > maxMicroseconds || m.Sent > maxMicroseconds || m.Until > maxMicroseconds/m.Width || m.First > m.Until {
		return false
	}
	previous := int64(m.First) - 1
	for _, cell := range m.Cells {
		if int64(cell.Index) <= previous || cell.Index >= m.Until || len(cell.Counts)%2 != 0 {
			return false
		}
		previous = int64(cell.Index)
		for i := 0; i < len(cell.Counts); i += 2 {
			if int(cell.Counts[i]) >= len(m.Workspaces) {
				return false
			}
		}
	}
	return true
}

func (s *source) recordDelay(now, delay time.Duration) {
	kept := s.delays[:0]
	for _, d := range s.delays {
		if now-d.at <= delaySampleAge {
			kept = append(kept, d)
		}
	}
	s.delays = append(kept, delaySample{now, delay})
}

// offset returns the difference between this host's clock and that of the entry.
func (s *source) offset() time.Duration {
	smallest := s.delays[0].delay
	for _, d := range s.delays[1:] {
		smallest = min(smallest, d.delay)
	}
	return smallest
}

// indexAt returns the index of the first cell whose middle is not before the given time of this host.
func (s *source) indexAt(t time.Duration) int64 {
	local := t - s.offset() - s.width/2
	if local <= 0 {
		return 0
	}
	return int64((local + s.width - 1) / s.width)
}

// close records that all cells before the given time are in committed windows, and drops what is no longer needed.
func (l *ledger) close(now, t time.Duration) {
	for id, s := range l.sources {
		s.closed = max(s.closed, s.indexAt(t))
		for index, counts := range s.cells {
			if index < s.closed {
				l.pairs -= len(counts)
				delete(s.cells, index)
			}
		}
		if now-s.heard > forgetAge || now-s.heard > expectedAge && len(s.cells) == 0 {
			for _, counts := range s.cells {
				l.pairs -= len(counts)
			}
			delete(l.sources, id)
		}
	}
}

// settled returns the time of the entry's clock, in microseconds, that corresponds to the given time of this host.
func (l *ledger) settled(from string, boot uint64, t time.Duration) uint64 {
	s := l.sources[sourceID{from, boot}]
	return uint64(max(0, t-s.offset()).Microseconds())
}

// sum returns the counts of the cells before the given time that are in no committed window.
func (l *ledger) sum(t time.Duration) map[string]uint64 {
	total := make(map[string]uint64)
	for _, s := range l.sources {
		end := s.indexAt(t)
		for index, counts := range s.cells {
			if index < s.closed || index >= end {
				continue
			}
			for workspace, n := range counts {
				if n > 0 {
					total[workspace] += n
				}
			}
		}
	}
	return total
}

// coverage returns the number of entries that are expected to report, and of those that have reported everything before the
// given time. Entries that have shut down are not counted.
func (l *ledger) coverage(now, t time.Duration) (expected, complete int) {
	for _, s := range l.sources {
		if s.final || now-s.heard > expectedAge {
			continue
		}
		expected++
		if s.until >= s.indexAt(t) {
			complete++
		}
	}
	return expected, complete
}

// endedHosts returns the number of entries that have shut down. One whose process has been replaced goes on reporting.
func (l *ledger) endedHosts() int {
	ended := make(map[string]bool)
	for id, s := range l.sources {
		if isEnded, known := ended[id.host]; !known || isEnded {
			ended[id.host] = s.final
		}
	}
	n := 0
	for _, isEnded := range ended {
		if isEnded {
			n++
		}
	}
	return n
}

// oldest returns the start of the oldest cell.
func (l *ledger) oldest() (time.Duration, bool) {
	oldest, found := time.Duration(0), false
	for _, s := range l.sources {
		for index := range s.cells {
			if t := time.Duration(index)*s.width + s.offset(); !found || t < oldest {
				oldest, found = t, true
			}
		}
	}
	return oldest, found
}
