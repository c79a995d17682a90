// Package cataloger keeps what backend servers say of themselves where they may report to any control host: a catalog
// that merges reports in any order, its copies on the control hosts, and its push to entries.
package cataloger

import (
	"cmp"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// Report is what one server said of itself, or what another host knows of it.
type Report struct {
	Server sycamorevane.Server
	// StartedAt is the start of the server in Unix ms by its own clock; 0 when unknown.
	StartedAt int64
	// Sequence grows with each report of a start.
	Sequence uint64
	// Draining is set when the server takes no new work, Ended when it has said that it is gone.
	Draining bool
	Ended    bool
	// ColdRemaining is how long the server stays cold from now on.
	ColdRemaining time.Duration
	// Age is how old the report is.
	Age time.Duration
	// LeaseExpired is set by a control leader that has not heard the server within its lease.
	LeaseExpired bool
}

// ServerRecord is a server in the catalog.
type ServerRecord struct {
	Report
	// ReportedAt is when the last report was made, ColdUntil when the server is warm; by this host's monotonic clock.
	ReportedAt time.Time
	ColdUntil  time.Time
	// revision is the catalog's revision at the last change that others have to know.
	revision uint64
}

// Leaving reports whether the server gets no new work because of what it said.
func (e *ServerRecord) Leaving() bool { return e.Draining || e.Ended }

// Catalog merges reports. It is not safe for concurrent use.
type Catalog struct {
	entries map[string]*ServerRecord
	// addrs maps an address to the id of the server that has it now.
	addrs    map[string]string
	revision uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{entries: make(map[string]*ServerRecord), addrs: make(map[string]string)}
}

// Revision grows with each change that others have to know.
func (c *Catalog) Revision() uint64 { return c.revision }

// Merge takes a report and returns whether it was news: a later report of a start, or a later start. ReportedAt moves
// with each later report; the revision only with what placement depends on.
func (c *Catalog) Merge(r Report, now time.Time) bool {
	if r.Server.ID == "" {
		return false
	}
	old, known := c.entries[r.Server.ID]
	if known && !c.later(old, &r) {
		return false
	}
	if !known && !c.takeAddr(&r, now) {
		return false
	}
	e := &ServerRecord{Report: r, ReportedAt: now.Add(-r.Age), ColdUntil: now.Add(r.ColdRemaining)}
	e.Age, e.ColdRemaining = 0, 0
	if known {
		e.revision = old.revision
		e.Draining = e.Draining || old.Draining
		e.Ended = e.Ended || old.Ended
		if e.ReportedAt.Before(old.ReportedAt) {
			e.ReportedAt = old.ReportedAt
		}
	}
	if !known || differs(old, e) {
		c.revision++
		e.revision = c.revision
	}
	c.entries[r.Server.ID] = e
	return true
}

// later reports whether r adds to what is known. The end of a server carries no sequence of its own.
func (c *Catalog) later(old *ServerRecord, r *Report) bool {
	if r.Ended && !old.Ended || r.Draining && !old.Draining {
		return true
	}
	return r.Sequence > old.Sequence || r.Sequence == old.Sequence && r.LeaseExpired != old.LeaseExpired
}

// coldSlack is the change of a cold time that is not passed on: the delays of reports.
const coldSlack = 300 * time.Millisecond

func differs(a, b *ServerRecord) bool {
	cold := b.ColdUntil.Sub(a.ColdUntil).Abs() > coldSlack && (b.ColdUntil.After(b.ReportedAt) || a.ColdUntil.After(b.ReportedAt))
	return a.Server != b.Server || a.Draining != b.Draining || a.Ended != b.Ended || a.LeaseExpired != b.LeaseExpired || cold
}

// takeAddr gives a server that was unknown its address, and reports false when a later start has it: the report was
// delayed. The former holder of the address has ended.
func (c *Catalog) takeAddr(r *Report, now time.Time) bool {
	holder := c.entries[c.addrs[r.Server.Addr]]
	if holder != nil && holder.Server.Addr == r.Server.Addr {
		if r.StartedAt != 0 && holder.StartedAt != 0 && r.StartedAt < holder.StartedAt {
			return false
		}
		if !holder.Ended {
			holder.Ended = true
			c.revision++
			holder.revision = c.revision
		}
	}
	c.addrs[r.Server.Addr] = r.Server.ID
	return true
}

// Lapse marks servers silent that were not heard for lease and returns how many are new.
func (c *Catalog) Lapse(now time.Time, lease time.Duration) int {
	n := 0
	for _, e := range c.entries {
		if !e.LeaseExpired && now.Sub(e.ReportedAt) > lease {
			e.LeaseExpired = true
			c.revision++
			e.revision = c.revision
			n++
		}
	}
	return n
}

// Forget drops servers that have not been heard for life and returns their ids.
func (c *Catalog) Forget(now time.Time, life time.Duration) []string {
	var gone []string
	for id, e := range c.entries {
		if now.Sub(e.ReportedAt) <= life {
			continue
		}
		gone = append(gone, id)
		delete(c.entries, id)
		if c.addrs[e.Server.Addr] == id {
			delete(c.addrs, e.Server.Addr)
		}
	}
	slices.Sort(gone)
	return gone
}

// Get returns a server by its id.
func (c *Catalog) Get(id string) (ServerRecord, bool) {
	e, ok := c.entries[id]
	if !ok {
		return ServerRecord{}, false
	}
	return *e, true
}

// Since lists the servers that changed after the revision, in the order of their ids, with ages as of now.
func (c *Catalog) Since(revision uint64, now time.Time) []Report {
	var list []Report
	for _, e := range c.entries {
		if e.revision > revision && e.Server.Addr != "" { // Ends without a start name no server.
			list = append(list, e.report(now))
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return list
}

func (e *ServerRecord) report(now time.Time) Report {
	r := e.Report
	r.Age = max(0, now.Sub(e.ReportedAt))
	r.ColdRemaining = max(0, e.ColdUntil.Sub(now))
	return r
}

// All lists the servers in the order of their ids.
func (c *Catalog) All() []ServerRecord {
	list := make([]ServerRecord, 0, len(c.entries))
	for _, e := range c.entries {
		list = append(list, *e)
	}
	slices.SortFunc(list, func(a, b ServerRecord) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return list
}
