package applier

import "sycamorevane.example/sycamorevane"

// serve records the version that handles a service's requests outside of rollouts. Args.Counterpart is the version that
// the control leader expects to be recorded; if another one is, the command has no effect.
func serve(s *sycamorevane.State, c Command) decision {
	service, to := c.Args.Service, c.Args.ToVersion
	if s.Config.Service(service) == nil {
		return refuse("unknown service %q", service)
	}
	if to == "" {
		return refuse("no version given")
	}
	if s.ServingVersions[service] != c.Args.Counterpart {
		return decision{result: ResultStale, reason: "another version is recorded"}
	}
	if r, ok := s.Rollouts[service]; ok && !r.Phase.Terminal() {
		return refuse("service %q has a rollout in phase %s", service, r.Phase)
	}
	if s.ServingVersions[service] == to {
		return unchanged("version %q already serves", to)
	}
	next := *s
	next.ServingVersions = withEntry(s.ServingVersions, service, to)
	return applied(&next)
}

// servingVersionAfter returns the version to record as serving after a step of a rollout.
func servingVersionAfter(r sycamorevane.Rollout, recorded string) string {
	switch r.Phase {
	case sycamorevane.RolloutDone:
		return r.ToVersion
	case sycamorevane.RolloutReverting, sycamorevane.RolloutReverted:
		return r.FromVersion
	}
	if recorded == "" {
		return r.FromVersion
	}
	return recorded
}
