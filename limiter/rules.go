package limiter

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// rulesFor extracts the part of the state that lending of the service's slots depends on.
func rulesFor(state *sycamorevane.State, service string) Rules {
	r := Rules{
		Weights:        make(map[string]float64, len(state.Config.Workspaces)),
		VersionShares:  state.VersionShares(service),
		DrainedDCs:     make(sycamorevane.Set[string]),
		DrainedServers: make(sycamorevane.Set[string]),
	}
	for _, workspace := range state.Config.Workspaces {
		r.Weights[workspace.Name] = float64(workspace.Weight)
	}
	for dc := range state.DrainedDCs {
		r.DrainedDCs.Add(dc)
	}
	for id := range state.DrainedServers {
		r.DrainedServers.Add(id)
	}
	if rollout, ok := state.Rollouts[service]; ok {
		if rollout.Phase == sycamorevane.RolloutTrial || rollout.Phase == sycamorevane.RolloutMoving {
			r.TrialVersion, r.OldVersion = rollout.ToVersion, rollout.FromVersion
		}
	}
	return r
}

func settingsFor(state *sycamorevane.State, service, dc string, peers []sycamorevane.Peer) Settings {
	s := Settings{MaxQueued: 256, Timeout: time.Second, NetworkDelay: make(map[string]time.Duration)}
	if cfg := state.Config.Service(service); cfg != nil {
		if cfg.MaxQueued > 0 {
			s.MaxQueued = cfg.MaxQueued
		}
		if cfg.Timeout > 0 {
			s.Timeout = cfg.Timeout
		}
	}
	for _, p := range peers {
		if p.DC == dc || p.RTT == 0 {
			continue
		}
		if delay, ok := s.NetworkDelay[p.DC]; !ok || p.RTT/2 < delay {
			s.NetworkDelay[p.DC] = p.RTT / 2
		}
	}
	return s
}

// liveEntries returns the configured entries of the data centre that are alive as seen from this host, including this
// host itself.
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
