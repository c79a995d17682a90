package runner

import (
	"maps"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/limiter"
	"sycamorevane.example/sycamorevane/prober"
	"sycamorevane.example/sycamorevane/summarizer"
)

// summaryInterval is how often an entry reports its load to the control leader.
const summaryInterval = time.Second

func (e *entry) summaryLoop() {
	t := time.NewTicker(summaryInterval)
	defer t.Stop()
	rates := make(map[string]uint64)
	last := time.Now()
	for {
		select {
		case <-t.C:
			now := time.Now()
			e.sendSummary(now, e.owned(rates, now.Sub(last)))
			last = now
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *entry) sendSummary(now time.Time, owned []summarizer.OwnedServer) {
	m := e.sum.Summary(now, owned)
	e.report.Add(now, m.Window, m.Loads)
	m.Entry, m.DC = e.p.cfg.Settings.Name, e.p.cfg.Settings.DC
	m.ShuttingDown = e.sub.Leaving()
	if st := e.sub.State(); st != nil {
		m.Version = st.Version
	}
	if leader := e.sub.Leader(); leader != "" {
		_ = e.p.mesh.Send(leader, e.report.Next(now, m)) // The next summary replaces a lost one.
	}
}

// owned joins the pools that this entry owns with the announced servers. probes holds the probe counts of the
// last call, from which the rates follow.
func (e *entry) owned(probes map[string]uint64, window time.Duration) []summarizer.OwnedServer {
	servers := make(map[string]sycamorevane.Server)
	for _, srv := range e.reg.Servers() {
		servers[srv.ID] = srv
	}
	maps.DeleteFunc(probes, func(id string, _ uint64) bool { return servers[id].ID == "" })
	var list []summarizer.OwnedServer
	for _, pool := range e.lim.Pools() {
		for _, status := range pool.Servers {
			srv, ok := servers[status.ID]
			if !ok {
				continue
			}
			sent := status.Probes - min(probes[status.ID], status.Probes)
			probes[status.ID] = status.Probes
			list = append(list, summarizer.OwnedServer{
				Server: srv, UsableSlots: int(status.Limit), State: stateWord(status, srv.Slots), Reason: status.Reason,
				ProbeRate: float64(sent) / window.Seconds(), MaxProbeRate: e.probeBudget(pool.Service, srv.Slots),
			})
		}
	}
	return list
}

// probeBudget is the largest allowed rate of probes of one server, per second.
func (e *entry) probeBudget(service string, slots int) float64 {
	st := e.sub.State()
	if st == nil {
		return 0
	}
	s := st.Config.Service(service)
	if s == nil {
		return 0
	}
	return s.ProbeRatio * float64(slots) / prober.InitialProbeCost.Seconds()
}

// stateWord is the state shown for a server with the given slots.
func stateWord(s limiter.ServerStatus, slots int) string {
	switch s.Reason {
	case "failing", "slow", "draining":
		return s.Reason
	}
	if s.Limit < float64(slots) {
		return "cold"
	}
	return "ready"
}
