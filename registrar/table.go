// Package registrar keeps the leases of backend servers: announcements, renewals, drains, departures, expiry, and
// their spread to the entries of a data centre.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
)

const (
	// MaxServers bounds the table of a data centre, so that a flood of announcements cannot exhaust memory. The
	// largest data centre planned has about 700 servers.
	MaxServers = 8192
	// tombstoneLife is how long a departure is remembered, so that a late copy of the old record is not revived.
	tombstoneLife = 30 * time.Second
)

// Record is the lease of one server.
type Record struct {
	Server sycamorevane.Server
	// Change grows with every change of the record, not with plain renewals; the higher number wins a merge.
	Change uint64
	// Expires is when the lease ends; for a departed server, when the record is dropped.
	Expires time.Time
	// Gone is true for a server without a lease; it gets no work.
	Gone bool
	// Left is true when the server said so or its address was taken by a new process. Such an id never comes back,
	// while one whose lease ran out may announce again.
	Left bool
}

// LeftError says that a server id has left for good.
type LeftError struct{ ID string }

func (e *LeftError) Error() string {
	return "server " + e.ID + " has left; a new process announces with a new id"
}

// Table holds the leases of one data centre. It is a pure core: callers pass the time and guard it.
type Table struct {
	records map[string]*Record
	// byAddr finds the former process of a restarted server.
	byAddr map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*Record), byAddr: make(map[string]string)}
}

// Renew registers the server or extends its lease. It returns the records that changed, which is none for a plain
// renewal, and an error when the table is full.
func (t *Table) Renew(now time.Time, s sycamorevane.Server, lease time.Duration) ([]Record, error) {
	r, known := t.records[s.ID]
	if !known && len(t.records) >= MaxServers {
		return nil, &sycamorevane.QueueFullError{Queue: "server table", Size: MaxServers}
	}
	if known && r.Left {
		return nil, &LeftError{ID: s.ID} // A delayed renewal must not revive it.
	}
	var changed []Record
	if !known {
		changed = t.replace(now, s)
		r = &Record{}
		t.records[s.ID] = r
		t.byAddr[s.Addr] = s.ID
	}
	r.Expires = now.Add(lease)
	load := s.Load
	s.Load = r.Server.Load
	if r.Server != s || r.Gone {
		r.Server = s
		r.Gone = false
		r.Change++
		changed = append(changed, *r)
	}
	r.Server.Load = load // Load changes with every renewal and is not worth a message to all entries.
	return changed, nil
}

// replace ends the lease of a former process at the same address.
func (t *Table) replace(now time.Time, s sycamorevane.Server) []Record {
	former, ok := t.byAddr[s.Addr]
	if !ok || former == s.ID {
		return nil
	}
	return t.Leave(now, former)
}

// Leave ends the lease for good and returns the changed record, if any.
func (t *Table) Leave(now time.Time, id string) []Record {
	r, ok := t.records[id]
	if !ok || r.Left {
		return nil
	}
	r.Left = true
	return t.end(now, id, r)
}

func (t *Table) end(now time.Time, id string, r *Record) []Record {
	r.Gone = true
	r.Change++
	r.Expires = now.Add(tombstoneLife)
	if t.byAddr[r.Server.Addr] == id {
		delete(t.byAddr, r.Server.Addr)
	}
	return []Record{*r}
}

// Merge takes over records of another entry and reports whether any was new here.
func (t *Table) Merge(now time.Time, records []Record) bool {
	changed := false
	for _, in := range records {
		r, known := t.records[in.Server.ID]
		if known && (in.Change < r.Change || in.Change == r.Change && (r.Gone || !in.Gone)) {
			continue
		}
		if !known && len(t.records) >= MaxServers {
			continue
		}
		t.put(now, in)
		changed = true
	}
	return changed
}

func (t *Table) put(now time.Time, in Record) {
	id := in.Server.ID
	if in.Gone {
		in.Expires = now.Add(tombstoneLife)
		if t.byAddr[in.Server.Addr] == id {
			delete(t.byAddr, in.Server.Addr)
		}
	} else {
		t.byAddr[in.Server.Addr] = id
	}
	t.records[id] = &in
}

// Extend moves the expiry of the live records that match to at least now+lease.
func (t *Table) Extend(now time.Time, lease time.Duration, match func(sycamorevane.Server) bool) {
	until := now.Add(lease)
	for _, r := range t.records {
		if !r.Gone && match(r.Server) && r.Expires.Before(until) {
			r.Expires = until
		}
	}
}

// Expire ends leases that ran out and drops old tombstones. It returns the ended records of servers that match
// owned, which others must learn of, and the number of all that ended. Another entry's record is only forgotten
// here, since its owner may have renewed it.
func (t *Table) Expire(now time.Time, owned func(sycamorevane.Server) bool) (changed []Record, ended int) {
	for id, r := range t.records {
		if now.Before(r.Expires) {
			continue
		}
		if !r.Gone {
			ended++
		}
		if r.Gone || !owned(r.Server) {
			t.drop(id, r)
			continue
		}
		changed = append(changed, t.end(now, id, r)...)
	}
	return changed, ended
}

func (t *Table) drop(id string, r *Record) {
	delete(t.records, id)
	if t.byAddr[r.Server.Addr] == id {
		delete(t.byAddr, r.Server.Addr)
	}
}

// Live returns the servers with a lease, sorted by id.
func (t *Table) Live() []sycamorevane.Server {
	list := make([]sycamorevane.Server, 0, len(t.records))
	for _, r := range t.records {
		if !r.Gone {
			list = append(list, r.Server)
		}
	}
	slices.SortFunc(list, func(a, b sycamorevane.Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// All returns every record, tombstones included.
func (t *Table) All() []Record {
	list := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, *r)
	}
	return list
}

// Digest summarises the records that match; equal digests mean equal records, whatever the order.
func (t *Table) Digest(match func(sycamorevane.Server) bool) (sum uint64, count int) {
	for id, r := range t.records {
		if r.Gone || !match(r.Server) {
			continue
		}
		sum ^= xxhash.Sum64String(id) * (r.Change + 1)
		count++
	}
	return sum, count
}
