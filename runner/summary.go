package runner

import (
	"maps"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/limiter"
	"sycamorevane.example/sycamorevane/prober"
	"sycamorevane.example/sycamorevane/summarizer"
)

// summaryInterval is the interval at which an entry reports its load to the control leader.
const summaryInterval = time.Second

func (e *entry) summaryLoop() {
	t := time.NewTicker(summaryInterval)
	defer t.Stop()
	lastProbeCounts := make(map[string]uint64)
	lastSent := time.Now()
	for {
		select {
		case <-t.C:
			now := time.Now()
			e.sendSummary(now, e.ownedServers(lastProbeCounts, now.Sub(lastSent)))
			lastSent = now
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *entry) sendSummary(now time.Time, owned []summarizer.OwnedServer) {
	summary := e.summarizer.Summary(now, owned)
	e.loadReporter.Add(now, summary.Window, summary.Loads)
	summary.Entry, summary.DC = e.p.cfg.Settings.Name, e.p.cfg.Settings.DC
	summary.ShuttingDown = e.subscriber.Leaving()
	if st := e.subscriber.State(); st != nil {
		summary.Version = st.Version
	}
	if leader := e.subscriber.Leader(); leader != "" {
		_ = e.p.mesh.Send(leader, e.loadReporter.Next(now, summary)) // A lost summary is superseded by the next one.
	}
}

// ownedServers combines the servers of the pools that this entry owns with their announcements. lastProbeCounts holds the
// number of probes per server at the last call, from which the probe rates are computed; the call updates it.
func (e *entry) ownedServers(lastProbeCounts map[string]uint64, window time.Duration) []summarizer.OwnedServer {
	servers := make(map[string]sycamorevane.Server)
	for _, srv := range e.registrar.Servers() {
		servers[srv.ID] = srv
	}
	maps.DeleteFunc(lastProbeCounts, func(id string, _ uint64) bool { return servers[id].ID == "" })
	var list []summarizer.OwnedServer
	for _, pool := range e.limiter.Pools() {
		for _, status := range pool.Servers {
			srv, ok := servers[status.ID]
			if !ok {
				continue
			}
			probesSent := status.Probes - min(lastProbeCounts[status.ID], status.Probes)
			lastProbeCounts[status.ID] = status.Probes
			list = append(list, summarizer.OwnedServer{
				Server: srv, UsableSlots: int(status.Limit), State: displayState(status, srv.Slots), Reason: status.Reason,
				ProbeRate: float64(probesSent) / window.Seconds(), MaxProbeRate: e.maxProbeRate(pool.Service, srv.Slots),
			})
		}
	}
	return list
}

// maxProbeRate returns how many probes of one server are allowed per second.
func (e *entry) maxProbeRate(service string, slots int) float64 {
	st := e.subscriber.State()
	if st == nil {
		return 0
	}
	s := st.Config.Service(service)
	if s == nil {
		return 0
	}
	return s.ProbeRatio * float64(slots) / prober.InitialProbeCost.Seconds()
}

// displayState returns the state that is shown to operators for a server with the given number of slots.
func displayState(s limiter.ServerStatus, slots int) string {
	switch s.Reason {
	case "failing", "slow", "draining":
		return s.Reason
	}
	if s.Limit < float64(slots) {
		return "cold"
	}
	return "ready"
}
