package limiter

import (
	"maps"
	"slices"
	"time"
)

// ServerStatus is the owner's view of one server.
type ServerStatus struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Slots int    `json:"slots"`
	// Limit is the ramp limit in slots, over all entries.
	Limit float64 `json:"limit"`
	// LentSlots counts the slots that are taken, BusySlots those on which requests or probes run.
	LentSlots int `json:"lent"`
	BusySlots int `json:"busy"`
	// Reason explains the limit. It is one of the reason constants or a text for drains and version shares.
	Reason string `json:"reason"`
	// FailureRate is the smoothed share of failed responses. LatencyRatio is the smoothed latency relative to the
	// baseline latency.
	FailureRate  float64 `json:"failing"`
	LatencyRatio float64 `json:"ratio"`
	// Probes is the number of probes that this owner has sent.
	Probes uint64 `json:"probes"`
}

// PoolStatus is the owner's view of one version of a service in a data centre.
type PoolStatus struct {
	Service string `json:"service"`
	DC      string `json:"dc"`
	Version string `json:"version"`
	// Slots is the number of slots of all servers, Limit the number of these that may be lent.
	Slots     int `json:"slots"`
	Limit     int `json:"limit"`
	LentSlots int `json:"lent"`
	// Running and Waiting count the requests per workspace that borrowers last reported.
	Running map[string]int `json:"busy"`
	Waiting map[string]int `json:"waiting"`
	// Probes is the number of probes sent. ProbeAllowance is the number of probes that the budget allows now.
	Probes         uint64  `json:"probes"`
	ProbeAllowance float64 `json:"budget"`
	// Rebuilding is true while a new owner waits for the borrowers' reports.
	Rebuilding bool           `json:"rebuilding"`
	Servers    []ServerStatus `json:"servers"`
}

// Pools returns the pools that this entry owns, by service and version.
func (l *Limiter) Pools() []PoolStatus { return l.owned.status() }

func (o *ownedPools) status() []PoolStatus {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []PoolStatus
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		list = append(list, o.pools[service].Status(now)...)
	}
	return list
}

// Status returns the status of the pool, one element per version.
func (o *Owner) Status(now time.Time) []PoolStatus {
	versions := make(map[string]*PoolStatus)
	for _, s := range o.servers.list {
		p, ok := versions[s.Version]
		if !ok {
			p = &PoolStatus{
				Service: o.service, DC: o.dc, Version: s.Version, Rebuilding: now.Before(o.readyAt),
				ProbeAllowance: o.budget.Remaining(),
				Running:        make(map[string]int), Waiting: make(map[string]int),
			}
			versions[s.Version] = p
		}
		limit, lentSlots := o.slotLimit(now, s), s.chargedSlots()
		p.Slots += s.Slots
		p.Limit += limit
		p.LentSlots += lentSlots
		p.Probes += s.probesSent
		p.Servers = append(p.Servers, ServerStatus{
			ID: s.ID, Addr: s.Addr, Slots: s.Slots, Limit: s.ramp.limit, LentSlots: lentSlots, BusySlots: s.busySlots(),
			Reason: o.limitReason(s), FailureRate: s.ramp.failureRate, LatencyRatio: s.ramp.latencyRatio, Probes: s.probesSent,
		})
	}
	if len(versions) == 0 {
		return nil
	}
	largest := ""
	for version, p := range versions {
		if largest == "" || p.Slots > versions[largest].Slots || p.Slots == versions[largest].Slots && version < largest {
			largest = version
		}
	}
	for _, b := range o.borrowers.list {
		for _, d := range b.demand {
			p, ok := versions[d.Version]
			if !ok {
				p = versions[largest] // Demand for any version.
			}
			p.Running[d.Firm] += int(d.Running)
			p.Waiting[d.Firm] += int(d.Waiting)
		}
	}
	list := make([]PoolStatus, 0, len(versions))
	for _, version := range slices.Sorted(maps.Keys(versions)) {
		list = append(list, *versions[version])
	}
	return list
}

// limitReason explains the limit of the server.
func (o *Owner) limitReason(s *ownedServer) string {
	switch {
	case o.rules.DrainedDCs.Has(s.DC):
		return "data centre is drained"
	case o.rules.DrainedServers.Has(s.ID):
		return "drained by an operator"
	case !o.rules.allowsNewWork(&s.Server) && s.State != "draining":
		return "version has no share"
	case s.State == "draining":
		return reasonDraining
	}
	return s.ramp.reason
}
