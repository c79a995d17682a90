package cataloger

import "time"

// maxParked limits the reports that are kept aside, so that another writer cannot fill the memory of the host.
const maxParked = 4096

// parkedReport is a report of a server whose service the configuration does not name. Such a server gets no requests and
// takes no address from another one. It is merged once the configuration names the service.
type parkedReport struct {
	Report
	receivedAt time.Time
}

// namesService reports whether the server may be added to the catalog. A server that is known keeps its service while the
// configuration is not known, as after a restart. c.mu must be held.
func (c *ControlCatalog) namesService(r *Report) bool {
	if c.cfg.NamesService == nil || r.Server.Addr == "" || c.cfg.NamesService(r.Server.Service) {
		return true
	}
	old, known := c.catalog.Get(r.Server.ID)
	return known && old.Server == r.Server
}

// park keeps a report aside. It reports false if there is no room. c.mu must be held.
func (c *ControlCatalog) park(r Report, now time.Time) bool {
	if _, known := c.parked[r.Server.ID]; !known && len(c.parked) >= maxParked {
		return false
	}
	c.parked[r.Server.ID] = parkedReport{r, now}
	return true
}

// mergeParked merges the reports whose service the configuration names now, and drops those that are older than a lease.
// c.mu must be held.
func (c *ControlCatalog) mergeParked(now time.Time) {
	for id, p := range c.parked {
		age := now.Sub(p.receivedAt)
		switch {
		case c.namesService(&p.Report):
			p.Age += age
			p.ColdRemaining = max(0, p.ColdRemaining-age)
			if c.catalog.Merge(p.Report, now) {
				c.pending[id] = p.Report
			}
		case age <= c.lease():
			continue
		}
		delete(c.parked, id)
	}
}
