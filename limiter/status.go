package limiter

import (
	"maps"
	"slices"
	"time"
)

// ServerStatus is one server of a pool as its owner sees it.
type ServerStatus struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Slots int    `json:"slots"`
	// Limit is the ramp limit in slots, over all entries.
	Limit float64 `json:"limit"`
	// Lent is the number of slots lent; Busy is the number in use.
	Lent int `json:"lent"`
	Busy int `json:"busy"`
	// Reason is why the server is in its state.
	Reason string `json:"reason"`
	// Failing is the smoothed share of failed answers; Ratio is the smoothed latency relative to the usual.
	Failing float64 `json:"failing"`
	Ratio   float64 `json:"ratio"`
	// Probes is the number of measurement requests sent by this owner.
	Probes uint64 `json:"probes"`
}

// PoolStatus is one version of a service in a data centre, as its owner sees it.
type PoolStatus struct {
	Service string `json:"service"`
	DC      string `json:"dc"`
	Version string `json:"version"`
	// Slots is the sum over servers; Limit is what may be lent of them.
	Slots int `json:"slots"`
	Limit int `json:"limit"`
	Lent  int `json:"lent"`
	// Busy and Waiting are requests per workspace as borrowers last reported them.
	Busy    map[string]int `json:"busy"`
	Waiting map[string]int `json:"waiting"`
	// Probes is the number of measurement requests sent; Budget is the remaining allowance in requests.
	Probes uint64  `json:"probes"`
	Budget float64 `json:"budget"`
	// Rebuilding is true while a new owner waits for reports.
	Rebuilding bool           `json:"rebuilding"`
	Servers    []ServerStatus `json:"servers"`
}

// Pools returns the pools that this entry owns, by service and version.
func (l *Limiter) Pools() []PoolStatus { return l.owners.status() }

func (o *owners) status() []PoolStatus {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []PoolStatus
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		list = append(list, o.pools[service].Status(now)...)
	}
	return list
}

// Status describes the pool, one part per version.
func (o *Owner) Status(now time.Time) []PoolStatus {
	parts := make(map[string]*PoolStatus)
	for _, s := range o.servers.list {
		p, ok := parts[s.Version]
		if !ok {
			p = &PoolStatus{
				Service: o.service, DC: o.dc, Version: s.Version, Rebuilding: now.Before(o.ready), Budget: o.budget.Left(),
				Busy: make(map[string]int), Waiting: make(map[string]int),
			}
			parts[s.Version] = p
		}
		limit, lent := o.limit(now, s), s.charged()
		p.Slots += s.Slots
		p.Limit += limit
		p.Lent += lent
		p.Probes += s.probes
		p.Servers = append(p.Servers, ServerStatus{
			ID: s.ID, Addr: s.Addr, Slots: s.Slots, Limit: s.ramp.limit, Lent: lent, Busy: s.busy(),
			Reason: o.reason(s), Failing: s.ramp.failing, Ratio: s.ramp.ratio, Probes: s.probes,
		})
	}
	if len(parts) == 0 {
		return nil
	}
	largest := ""
	for version, p := range parts {
		if largest == "" || p.Slots > parts[largest].Slots || p.Slots == parts[largest].Slots && version < largest {
			largest = version
		}
	}
	for _, b := range o.borrowers.list {
		for _, d := range b.demand {
			p, ok := parts[d.Version]
			if !ok {
				p = parts[largest] // Requests for any version.
			}
			p.Busy[d.Firm] += int(d.Running)
			p.Waiting[d.Firm] += int(d.Waiting)
		}
	}
	list := make([]PoolStatus, 0, len(parts))
	for _, version := range slices.Sorted(maps.Keys(parts)) {
		list = append(list, *parts[version])
	}
	return list
}

// reason says why the server has its limit.
func (o *Owner) reason(s *ownedServer) string {
	switch {
	case o.rules.DCs.Has(s.DC):
		return "data centre is drained"
	case o.rules.Servers.Has(s.ID):
		return "drained by an operator"
	case !o.rules.allows(&s.Server) && s.State != "draining":
		return "version has no share"
	case s.State == "draining":
		return reasonDraining
	}
	return s.ramp.reason
}
