package renderer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// SummaryLimit bounds an entry's summary in bytes, at a little over half of the 7 KB per second that control may
	// take of a daemon. The rows of the entry's own pools are sent in any case.
	SummaryLimit = 4 << 10
	// RowLife is how long the leader keeps a row that the entry does not renew. At the limit above, the 1,330 pools of
	// two years take about 20 s to be sent in turn.
	RowLife = time.Minute
)

// rowKey identifies the traffic of an entry on a pool that another entry owns.
type rowKey struct{ service, dc, version string }

func keyOf(l LoadRow) rowKey { return rowKey{l.Service, l.DC, l.Version} }

// Reporter makes an entry's summaries. It sends all rows of owned pools each time and the others in turn, those
// first that have waited longest; their counts add up until they are sent. It is used by one goroutine.
type Reporter struct {
	limit int
	owned []LoadRow
	rows  map[rowKey]*waiting
}

// waiting is a row that is not owned, with the counts since it was last sent.
type waiting struct {
	LoadRow
	since time.Time
	// idle is true when the last counts had no traffic; the row is dropped once a row without counts has been sent.
	idle bool
}

// NewReporter returns a Reporter whose summaries stay within limit bytes; zero means SummaryLimit.
func NewReporter(limit int) *Reporter {
	return &Reporter{limit: cmp.Or(limit, SummaryLimit), rows: map[rowKey]*waiting{}}
}

// Add takes the counts of the window that ends at now.
func (r *Reporter) Add(now time.Time, window time.Duration, loads []LoadRow) {
	r.owned = r.owned[:0]
	for _, row := range r.rows {
		row.idle = true
		row.BusySlots = 0
	}
	for _, l := range loads {
		if l.Owner {
			r.owned = append(r.owned, l)
			continue
		}
		l.Server, l.Addr = "", ""
		row := at(r.rows, keyOf(l), func() *waiting { return &waiting{LoadRow: emptied(l), since: now.Add(-window)} })
		row.merge(l)
	}
}

// emptied returns the row without figures.
func emptied(l LoadRow) LoadRow { return LoadRow{Service: l.Service, DC: l.DC, Version: l.Version} }

func (w *waiting) merge(l LoadRow) {
	if calls := w.Calls + l.Calls; calls > 0 && l.P50 > 0 {
		w.P50 = time.Duration((float64(w.P50)*float64(w.Calls) + float64(l.P50)*float64(l.Calls)) / float64(calls))
	}
	w.P99 = max(w.P99, l.P99)
	w.Calls += l.Calls
	w.Failures += l.Failures
	w.BusySlots += l.BusySlots
	w.idle = l.Calls == 0 && l.BusySlots == 0
}

// Next returns the summary to send at now. The head gives what concerns the entry as a whole.
func (r *Reporter) Next(now time.Time, head Summary) *encoder.LoadSummary {
	head.Loads = slices.Clone(r.owned)
	size := proto.Size(EncodeSummary(head))
	keys := slices.SortedFunc(maps.Keys(r.rows), func(a, b rowKey) int {
		return cmp.Or(r.rows[a].since.Compare(r.rows[b].since), cmp.Compare(a.service, b.service), cmp.Compare(a.dc, b.dc), cmp.Compare(a.version, b.version))
	})
	head.Full = true
	for _, key := range keys {
		row := r.rows[key]
		l := row.LoadRow
		l.Window = now.Sub(row.since)
		size += rowSize(l)
		if size > r.limit {
			head.Full = false
			break
		}
		head.Loads = append(head.Loads, l)
		// The receiver drops a pool when it gets a row without traffic.
		if row.idle && l.Calls == 0 {
			delete(r.rows, key)
			continue
		}
		row.LoadRow = emptied(l)
		row.BusySlots = l.BusySlots
		row.since = now
	}
	return EncodeSummary(head)
}

// rowSize is the size of a row that is alone in its pool message.
func rowSize(l LoadRow) int {
	return proto.Size(&encoder.LoadSummary{Pools: []*encoder.LoadPool{{
		Service: l.Service, Dc: l.DC, Version: l.Version, Traffic: encodeTraffic(l),
	}}})
}

// Board keeps what the entries have reported, on the control leader. It is used by one goroutine.
type Board struct{ entries map[string]*reported }

type reported struct {
	// Summary holds the owned rows.
	Summary
	rows map[rowKey]kept
}

type kept struct {
	LoadRow
	heard time.Time
}

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{entries: map[string]*reported{}} }

// Merge adds a summary.
func (b *Board) Merge(s Summary) {
	e := at(b.entries, s.Entry, func() *reported { return &reported{rows: map[rowKey]kept{}} })
	if s.Full {
		clear(e.rows)
	}
	loads := s.Loads
	s.Loads = nil
	for _, l := range loads {
		switch {
		case l.Owner:
			s.Loads = append(s.Loads, l)
		case l.Calls == 0 && l.BusySlots == 0:
			delete(e.rows, keyOf(l))
		default:
			l.Window = cmp.Or(l.Window, s.Window)
			e.rows[keyOf(l)] = kept{l, s.ReceivedAt}
		}
	}
	e.Summary = s
}

// Forget removes an entry that has left the configuration.
func (b *Board) Forget(entry string) { delete(b.entries, entry) }

// Summaries returns what is known at now, sorted by entry. An entry that has become silent stays listed without
// its rows until Forget.
func (b *Board) Summaries(now time.Time) []Summary {
	var list []Summary
	for _, name := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[name]
		if now.Sub(e.ReceivedAt) > StaleAfter {
			clear(e.rows)
			e.Loads = nil
		}
		s := e.Summary
		s.Loads = slices.Clone(s.Loads)
		for key, row := range e.rows {
			if now.Sub(row.heard) > RowLife {
				delete(e.rows, key)
				continue
			}
			s.Loads = append(s.Loads, row.LoadRow)
		}
		list = append(list, s)
	}
	return list
}
