// Package cataloger keeps a catalog of the backend servers in deployments where a server may report to any control host.
// The catalog merges reports in any order; it is replicated to all control hosts and pushed to the entries.
package cataloger

import (
	"cmp"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// Report is the state of one server, as sent by the server itself or passed on by another host.
type Report struct {
	Server sycamorevane.Server
	// StartedAt is the start time of the server by its own clock, in Unix ms; 0 if unknown.
	StartedAt int64
	// Sequence increases with each report of one start of a server.
	Sequence uint64
	// Draining is set when the server accepts no new requests, Ended when it has reported that it stops.
	Draining bool
	Ended    bool
	// ColdRemaining is the remaining time until the server is warm.
	ColdRemaining time.Duration
	// Age is the time since the server made the report.
	Age time.Duration
	// LeaseExpired is set by a control host that has received no report within the lease of the server.
	LeaseExpired bool
	// Limit is the last statement of the server about its request limit; nil when none is known. It comes from entries and
	// not from the server's own reports, so that Sequence says nothing about it.
	Limit *LimitReport
}

// LimitReport is what a server has stated in a response about its request limit.
type LimitReport struct {
	sycamorevane.RequestLimit
	// Server is the ID of the server; empty in a Report.
	Server string
	// Age is the time since the response.
	Age time.Duration
}

// ServerRecord is a server in the catalog.
type ServerRecord struct {
	Report
	// ReportedAt is when the last report was made, ColdUntil when the server will be warm, both by this host's monotonic
	// clock.
	ReportedAt time.Time
	ColdUntil  time.Time
	// LimitStatedAt is when the server stated its Limit, by this host's monotonic clock.
	LimitStatedAt time.Time
	// revision is the catalog's revision at the last change of this record that had to be pushed.
	revision uint64
}

// Leaving reports whether the server gets no new requests because it has reported that it drains or stops.
func (rec *ServerRecord) Leaving() bool { return rec.Draining || rec.Ended }

// Catalog merges reports. It is not safe for concurrent use.
type Catalog struct {
	servers map[string]*ServerRecord
	// addrs maps an address to the id of the server that uses it now.
	addrs    map[string]string
	revision uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{servers: make(map[string]*ServerRecord), addrs: make(map[string]string)}
}

// Revision increases with each change that has to be pushed to other hosts.
func (c *Catalog) Revision() uint64 { return c.revision }

// Merge adds a report to the catalog. It returns false and changes nothing if the report is invalid or not newer than what
// is known. A newer report always updates ReportedAt, but the revision only if a value changes on which the choice of servers
// depends.
func (c *Catalog) Merge(r Report, now time.Time) bool {
	if r.validate() != nil {
		return false
	}
	old, known := c.servers[r.Server.ID]
	if known && r.Limit != nil {
		c.mergeLimit(old, *r.Limit, now)
	}
	if known && !c.addsInformation(old, &r) {
		return false
	}
	if !known && !c.assignAddr(&r, now) {
		return false
	}
	rec := &ServerRecord{Report: r, ReportedAt: now.Add(-r.Age), ColdUntil: now.Add(r.ColdRemaining)}
	rec.Age, rec.ColdRemaining = 0, 0
	if r.Limit != nil {
		rec.Limit, rec.LimitStatedAt = &LimitReport{RequestLimit: r.Limit.RequestLimit}, now.Add(-r.Limit.Age)
	}
	if known {
		rec.revision = old.revision
		rec.Limit, rec.LimitStatedAt = old.Limit, old.LimitStatedAt
		rec.Draining = rec.Draining || old.Draining
		rec.Ended = rec.Ended || old.Ended
		if rec.ReportedAt.Before(old.ReportedAt) {
			rec.ReportedAt = old.ReportedAt
		}
	}
	if !known || needsPush(old, rec) {
		c.revision++
		rec.revision = c.revision
	}
	c.servers[r.Server.ID] = rec
	return true
}

// addsInformation reports whether r is newer than the known record. A report that a server drains or ends counts whatever
// its sequence, since the end of a server carries no sequence of its own.
func (c *Catalog) addsInformation(old *ServerRecord, r *Report) bool {
	if r.Ended && !old.Ended || r.Draining && !old.Draining {
		return true
	}
	return r.Sequence > old.Sequence || r.Sequence == old.Sequence && r.LeaseExpired != old.LeaseExpired
}

// MergeLimit adds a statement about a server's request limit unless a later one is known. It ignores servers that are
// not in the catalog.
func (c *Catalog) MergeLimit(l LimitReport, now time.Time) {
	if rec := c.servers[l.Server]; rec != nil {
		c.mergeLimit(rec, l, now)
	}
}

// forgetLimit drops what is known of a server's request limit.
func (c *Catalog) forgetLimit(id string) {
	if rec := c.servers[id]; rec != nil {
		rec.Limit, rec.LimitStatedAt = nil, time.Time{}
	}
}

func (c *Catalog) mergeLimit(rec *ServerRecord, l LimitReport, now time.Time) {
	statedAt := now.Add(-l.Age)
	if rec.Limit != nil && !statedAt.After(rec.LimitStatedAt) {
		return
	}
	changed := rec.Limit == nil || rec.Limit.RequestLimit != l.RequestLimit
	rec.Limit, rec.LimitStatedAt = &LimitReport{RequestLimit: l.RequestLimit}, statedAt
	if changed {
		c.revision++
		rec.revision = c.revision
	}
}

// minColdChange is the change of ColdUntil up to which a record is not pushed again. Smaller changes come from the varying
// delays of reports.
const minColdChange = 300 * time.Millisecond

func needsPush(old, updated *ServerRecord) bool {
	coldChanged := updated.ColdUntil.Sub(old.ColdUntil).Abs() > minColdChange && (updated.ColdUntil.After(updated.ReportedAt) || old.ColdUntil.After(updated.ReportedAt))
	return old.Server != updated.Server || old.Draining != updated.Draining || old.Ended != updated.Ended || old.LeaseExpired != updated.LeaseExpired || coldChanged
}

// assignAddr records the address of a server that is new to the catalog. It returns false if a server with a later start
// already uses the address, because then the report was delayed. Otherwise the former server at the address has ended.
func (c *Catalog) assignAddr(r *Report, now time.Time) bool {
	existing := c.servers[c.addrs[r.Server.Addr]]
	if existing != nil && existing.Server.Addr == r.Server.Addr {
		if r.StartedAt != 0 && existing.StartedAt != 0 && r.StartedAt < existing.StartedAt {
			return false
		}
		if !existing.Ended {
			existing.Ended = true
			c.revision++
			existing.revision = c.revision
		}
	}
	c.addrs[r.Server.Addr] = r.Server.ID
	return true
}

// ExpireLeases sets LeaseExpired on servers that have not reported for the duration of the lease. It returns how many
// servers it has newly marked.
func (c *Catalog) ExpireLeases(now time.Time, lease time.Duration) int {
	expired := 0
	for _, rec := range c.servers {
		if !rec.LeaseExpired && now.Sub(rec.ReportedAt) > lease {
			rec.LeaseExpired = true
			c.revision++
			rec.revision = c.revision
			expired++
		}
	}
	return expired
}

// RemoveUnreported removes servers that have not reported for longer than retention and returns their ids.
func (c *Catalog) RemoveUnreported(now time.Time, retention time.Duration) []string {
	var removed []string
	for id, rec := range c.servers {
		if now.Sub(rec.ReportedAt) <= retention {
			continue
		}
		removed = append(removed, id)
		delete(c.servers, id)
		if c.addrs[rec.Server.Addr] == id {
			delete(c.addrs, rec.Server.Addr)
		}
	}
	slices.Sort(removed)
	return removed
}

// Get returns a server by its id.
func (c *Catalog) Get(id string) (ServerRecord, bool) {
	rec, ok := c.servers[id]
	if !ok {
		return ServerRecord{}, false
	}
	return *rec, true
}

// ChangedSince lists the servers that changed after the revision, sorted by id, with ages relative to now.
func (c *Catalog) ChangedSince(revision uint64, now time.Time) []Report {
	var list []Report
	for _, rec := range c.servers {
		// A record of an end that names no start has no address and is not a server.
		if rec.revision > revision && rec.Server.Addr != "" {
			list = append(list, rec.currentReport(now))
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return list
}

func (rec *ServerRecord) currentReport(now time.Time) Report {
	r := rec.Report
	r.Age = max(0, now.Sub(rec.ReportedAt))
	r.ColdRemaining = max(0, rec.ColdUntil.Sub(now))
	if rec.Limit != nil {
		r.Limit = &LimitReport{RequestLimit: rec.Limit.RequestLimit, Age: max(0, now.Sub(rec.LimitStatedAt))}
	}
	return r
}

// All lists the servers, sorted by id.
func (c *Catalog) All() []ServerRecord {
	list := make([]ServerRecord, 0, len(c.servers))
	for _, rec := range c.servers {
		list = append(list, *rec)
	}
	slices.SortFunc(list, func(a, b ServerRecord) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return list
}
