// Package registrar manages the leases of backend servers: announcement, renewal, draining, leaving and expiry. It
// replicates them to the entries of a data centre.
package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
)

const (
	// MaxServers limits the table of a data centre, so that a flood of announcements cannot exhaust memory. The
	// largest data centre planned has about 700 servers.
	MaxServers = 8192
	// tombstoneRetention is how long the record of a server without a lease is kept, so that a delayed copy of an older
	// record does not restore the server.
	tombstoneRetention = 30 * time.Second
)

// Record is the lease of one server.
type Record struct {
	Server sycamorevane.Server
	// Change increases with each change of the record, but not with a renewal that changes nothing else. In a merge the
	// record with the higher number wins.
	Change uint64
	// Expires is when the lease ends, or when the record is removed if LeaseEnded is set.
	Expires time.Time
	// LeaseEnded is set for a server without a lease. It gets no requests.
	LeaseEnded bool
	// HasLeft is set when the server has reported that it leaves, or a new process has announced the same address. Such an
	// id cannot announce again, whereas one whose lease has expired can.
	HasLeft bool
}

// LeftError is returned for an announcement with the id of a server that has left.
type LeftError struct{ ID string }

func (e *LeftError) Error() string {
	return "server " + e.ID + " has left; a new process announces with a new id"
}

// Table holds the leases of one data centre. It does not read the clock; callers pass the time. It is not safe for
// concurrent use.
type Table struct {
	records map[string]*Record
	// byAddr maps an address to the server id that uses it, to find the former process of a restarted server.
	byAddr map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]*Record), byAddr: make(map[string]string)}
}

// Renew registers the server or extends its lease. It returns the records that have changed, which are none if only the
// lease is extended. Errors: *QueueFullError if the table is full, *LeftError if the server has left.
func (t *Table) Renew(now time.Time, s sycamorevane.Server, lease time.Duration) ([]Record, error) {
	r, known := t.records[s.ID]
	if !known && len(t.records) >= MaxServers {
		return nil, &sycamorevane.QueueFullError{Queue: "server table", Size: MaxServers}
	}
	if known && r.HasLeft {
		return nil, &LeftError{ID: s.ID} // A delayed renewal must not restore the server.
	}
	var changed []Record
	if !known {
		changed = t.endFormerProcess(now, s)
		r = &Record{}
		t.records[s.ID] = r
		t.byAddr[s.Addr] = s.ID
	}
	r.Expires = now.Add(lease)
	load := s.Load
	s.Load = r.Server.Load
	if r.Server != s || r.LeaseEnded {
		r.Server = s
		r.LeaseEnded = false
		r.Change++
		changed = append(changed, *r)
	}
	r.Server.Load = load // A change of Load alone is not replicated: it changes with every renewal.
	return changed, nil
}

// endFormerProcess ends the lease of a former process with the same address.
func (t *Table) endFormerProcess(now time.Time, s sycamorevane.Server) []Record {
	former, ok := t.byAddr[s.Addr]
	if !ok || former == s.ID {
		return nil
	}
	return t.Leave(now, former)
}

// Leave ends the lease permanently and returns the changed record, if any.
func (t *Table) Leave(now time.Time, id string) []Record {
	r, ok := t.records[id]
	if !ok || r.HasLeft {
		return nil
	}
	r.HasLeft = true
	return t.makeTombstone(now, id, r)
}

func (t *Table) makeTombstone(now time.Time, id string, r *Record) []Record {
	r.LeaseEnded = true
	r.Change++
	r.Expires = now.Add(tombstoneRetention)
	if t.byAddr[r.Server.Addr] == id {
		delete(t.byAddr, r.Server.Addr)
	}
	return []Record{*r}
}

// Merge merges records of another entry and reports whether the table has changed.
func (t *Table) Merge(now time.Time, records []Record) bool {
	changed := false
	for _, remote := range records {
		local, known := t.records[remote.Server.ID]
		if known && (remote.Change < local.Change || remote.Change == local.Change && (local.LeaseEnded || !remote.LeaseEnded)) {
			continue
		}
		if !known && len(t.records) >= MaxServers {
			continue
		}
		t.store(now, remote)
		changed = true
	}
	return changed
}

func (t *Table) store(now time.Time, remote Record) {
	id := remote.Server.ID
	if remote.LeaseEnded {
		remote.Expires = now.Add(tombstoneRetention)
		if t.byAddr[remote.Server.Addr] == id {
			delete(t.byAddr, remote.Server.Addr)
		}
	} else {
		t.byAddr[remote.Server.Addr] = id
	}
	t.records[id] = &remote
}

// Extend sets the expiry of matching records with a lease to at least now+lease.
func (t *Table) Extend(now time.Time, lease time.Duration, match func(sycamorevane.Server) bool) {
	until := now.Add(lease)
	for _, r := range t.records {
		if !r.LeaseEnded && match(r.Server) && r.Expires.Before(until) {
			r.Expires = until
		}
	}
}

// Expire ends leases that have expired and removes old tombstones. It returns the expired records of servers for which
// owned returns true, which must be sent to the other entries, and the number of all expired leases. An expired record that
// another entry owns is only removed from this table, since its owner may have renewed it.
func (t *Table) Expire(now time.Time, owned func(sycamorevane.Server) bool) (changed []Record, expired int) {
	for id, r := range t.records {
		if now.Before(r.Expires) {
			continue
		}
		if !r.LeaseEnded {
			expired++
		}
		if r.LeaseEnded || !owned(r.Server) {
			t.remove(id, r)
			continue
		}
		changed = append(changed, t.makeTombstone(now, id, r)...)
	}
	return changed, expired
}

func (t *Table) remove(id string, r *Record) {
	delete(t.records, id)
	if t.byAddr[r.Server.Addr] == id {
		delete(t.byAddr, r.Server.Addr)
	}
}

// Live returns the servers that have a lease, sorted by id.
func (t *Table) Live() []sycamorevane.Server {
	list := make([]sycamorevane.Server, 0, len(t.records))
	for _, r := range t.records {
		if !r.LeaseEnded {
			list = append(list, r.Server)
		}
	}
	slices.SortFunc(list, func(a, b sycamorevane.Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// All returns all records, including tombstones.
func (t *Table) All() []Record {
	list := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		list = append(list, *r)
	}
	return list
}

// Digest returns a checksum and the number of the matching records that have a lease. It does not depend on their order, so
// that two tables can be compared by their digests.
func (t *Table) Digest(match func(sycamorevane.Server) bool) (sum uint64, count int) {
	for id, r := range t.records {
		if r.LeaseEnded || !match(r.Server) {
			continue
		}
		sum ^= xxhash.Sum64String(id) * (r.Change + 1)
		count++
	}
	return sum, count
}
