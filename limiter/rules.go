package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// rulesFor extracts what lending of the service depends on.
func rulesFor(state *sycamorevane.State, service string) Rules {
	r := Rules{
		Weights: make(map[string]float64, len(state.Config.Workspaces)),
		Share:   state.VersionShares(service),
		DCs:     make(sycamorevane.Set[string]),
		Servers: make(sycamorevane.Set[string]),
	}
	for _, f := range state.Config.Workspaces {
		r.Weights[f.Name] = float64(f.Weight)
	}
	for dc := range state.DrainedDCs {
		r.DCs.Add(dc)
	}
	for id := range state.DrainedServers {
		r.Servers.Add(id)
	}
	if move, ok := state.Rollouts[service]; ok {
		if move.Phase == sycamorevane.RolloutTrial || move.Phase == sycamorevane.RolloutMoving {
			r.Trial, r.Old = move.ToVersion, move.FromVersion
		}
	}
	return r
}

func settingsFor(state *sycamorevane.State, service, dc string, peers []sycamorevane.Peer) Settings {
	s := Settings{Queue: 256, Timeout: time.Second, Distance: make(map[string]time.Duration)}
	if cfg := state.Config.Service(service); cfg != nil {
		if cfg.MaxQueued > 0 {
			s.Queue = cfg.MaxQueued
		}
		if cfg.Timeout > 0 {
			s.Timeout = cfg.Timeout
		}
	}
	for _, p := range peers {
		if p.DC == dc || p.RTT == 0 {
			continue
		}
		if d, ok := s.Distance[p.DC]; !ok || p.RTT/2 < d {
			s.Distance[p.DC] = p.RTT / 2
		}
	}
	return s
}

// liveEntries are the configured entries of the data centre that this host hears, with itself.
func liveEntries(cfg Config, dc string, peers []sycamorevane.Peer) []string {
	var live []string
	if cfg.DC == dc {
		live = append(live, cfg.Self)
	}
	configured := sycamorevane.NewSet(cfg.Entries()...)
	for _, p := range peers {
		if p.Alive && p.DC == dc && p.Roles.Has(sycamorevane.RoleEntry) && configured.Has(p.Name) {
			live = append(live, p.Name)
		}
	}
	return live
}
