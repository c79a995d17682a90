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
	// MaxSummaryBytes limits an entry's summary to a little over half of the 7 KB per second that all control traffic of
	// one process may use. The rows of owned pools are sent even above this limit.
	MaxSummaryBytes = 4 << 10
	// RowTTL is how long the leader keeps a row that the entry does not send again. With MaxSummaryBytes it takes about
	// 20 s to send the rows of all 1,330 pools, which is the number expected in two years.
	RowTTL = time.Minute
)

// rowKey identifies a row about the servers of one version in a pool that another entry owns.
type rowKey struct{ service, dc, version string }

func rowKeyOf(l LoadRow) rowKey { return rowKey{l.Service, l.DC, l.Version} }

// Reporter builds the summaries of an entry. Each summary contains all rows of owned pools and as many other rows as
// fit, starting with those not sent for the longest time; counts accumulate until their row is sent. It is not safe for
// concurrent use.
type Reporter struct {
	maxBytes int
	owned    []LoadRow
	rows     map[rowKey]*pendingRow
}

// pendingRow is a row of a pool that is not owned, with the counts since the row was last sent.
type pendingRow struct {
	LoadRow
	countedSince time.Time
	// idle is true when the last window had no traffic. The row is deleted once it has been sent without counts.
	idle bool
}

// NewReporter returns a Reporter that adds rows of other pools up to maxBytes bytes; zero means MaxSummaryBytes.
func NewReporter(maxBytes int) *Reporter {
	return &Reporter{maxBytes: cmp.Or(maxBytes, MaxSummaryBytes), rows: map[rowKey]*pendingRow{}}
}

// Add adds the counts of the window that ends at now.
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
		row := getOrCreate(r.rows, rowKeyOf(l), func() *pendingRow { return &pendingRow{LoadRow: withoutCounts(l), countedSince: now.Add(-window)} })
		row.merge(l)
	}
}

// withoutCounts returns a row for the same pool and version without counts.
func withoutCounts(l LoadRow) LoadRow {
	return LoadRow{Service: l.Service, DC: l.DC, Version: l.Version}
}

func (row *pendingRow) merge(l LoadRow) {
	if calls := row.Calls + l.Calls; calls > 0 && l.P50 > 0 {
		row.P50 = time.Duration((float64(row.P50)*float64(row.Calls) + float64(l.P50)*float64(l.Calls)) / float64(calls))
	}
	row.P99 = max(row.P99, l.P99)
	row.Calls += l.Calls
	row.Failures += l.Failures
	row.BusySlots += l.BusySlots
	row.idle = l.Calls == 0 && l.BusySlots == 0
}

// Next returns the summary to send at now. header contains the fields that describe the entry itself.
func (r *Reporter) Next(now time.Time, header Summary) *encoder.LoadSummary {
	header.Loads = slices.Clone(r.owned)
	size := proto.Size(EncodeSummary(header))
	keys := slices.SortedFunc(maps.Keys(r.rows), func(a, b rowKey) int {
		return cmp.Or(r.rows[a].countedSince.Compare(r.rows[b].countedSince), cmp.Compare(a.service, b.service), cmp.Compare(a.dc, b.dc), cmp.Compare(a.version, b.version))
	})
	header.Full = true
	for _, key := range keys {
		row := r.rows[key]
		l := row.LoadRow
		l.Window = now.Sub(row.countedSince)
		size += encodedRowSize(l)
		if size > r.maxBytes {
			header.Full = false
			break
		}
		header.Loads = append(header.Loads, l)
		// The receiver deletes its row on receiving one without traffic.
		if row.idle && l.Calls == 0 {
			delete(r.rows, key)
			continue
		}
		row.LoadRow = withoutCounts(l)
		row.BusySlots = l.BusySlots
		row.countedSince = now
	}
	return EncodeSummary(header)
}

// encodedRowSize returns the encoded size of a row in a LoadPool message of its own.
func encodedRowSize(l LoadRow) int {
	return proto.Size(&encoder.LoadSummary{Pools: []*encoder.LoadPool{{
		Service: l.Service, Dc: l.DC, Version: l.Version, Traffic: encodeTraffic(l),
	}}})
}

// SummaryStore stores the reports of the entries on the control leader. It is not safe for concurrent use.
type SummaryStore struct{ entries map[string]*entryReport }

type entryReport struct {
	// Summary is the last summary; its Loads are the rows of owned pools only.
	Summary
	rows map[rowKey]receivedRow
}

type receivedRow struct {
	LoadRow
	receivedAt time.Time
}

// NewSummaryStore returns an empty SummaryStore.
func NewSummaryStore() *SummaryStore { return &SummaryStore{entries: map[string]*entryReport{}} }

// Merge stores the rows of a summary. A full summary replaces all rows of its entry.
func (store *SummaryStore) Merge(s Summary) {
	e := getOrCreate(store.entries, s.Entry, func() *entryReport { return &entryReport{rows: map[rowKey]receivedRow{}} })
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
			delete(e.rows, rowKeyOf(l))
		default:
			l.Window = cmp.Or(l.Window, s.Window)
			e.rows[rowKeyOf(l)] = receivedRow{l, s.ReceivedAt}
		}
	}
	e.Summary = s
}

// Forget removes an entry that is no longer configured.
func (store *SummaryStore) Forget(entry string) { delete(store.entries, entry) }

// Summaries returns the current summaries, sorted by entry. An entry whose last report is stale stays in the list
// without rows until Forget is called.
func (store *SummaryStore) Summaries(now time.Time) []Summary {
	var list []Summary
	for _, name := range slices.Sorted(maps.Keys(store.entries)) {
		e := store.entries[name]
		if now.Sub(e.ReceivedAt) > StaleAfter {
			clear(e.rows)
			e.Loads = nil
		}
		s := e.Summary
		s.Loads = slices.Clone(s.Loads)
		for key, row := range e.rows {
			if now.Sub(row.receivedAt) > RowTTL {
				delete(e.rows, key)
				continue
			}
			s.Loads = append(s.Loads, row.LoadRow)
		}
		list = append(list, s)
	}
	return list
}
