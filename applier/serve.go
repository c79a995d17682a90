package applier

import "sycamorevane.example/sycamorevane"

// serve records the version that serves a service outside of rollouts. Args.Counterpart is the version that the control
// leader believes to be recorded; another one makes the command a no-op.
func serve(s *sycamorevane.State, c Command) verdict {
	service, to := c.Args.Service, c.Args.ToVersion
	if s.Config.Service(service) == nil {
		return refuse("unknown service %q", service)
	}
	if to == "" {
		return refuse("no version given")
	}
	if s.ServingVersions[service] != c.Args.Counterpart {
		return verdict{result: ResultStale, reason: "another version is recorded"}
	}
	if r, ok := s.Rollouts[service]; ok && !r.Phase.Terminal() {
		return refuse("service %q has a rollout in phase %s", service, r.Phase)
	}
	if s.ServingVersions[service] == to {
		return unchanged("version %q already serves", to)
	}
	next := *s
	next.ServingVersions = with(s.ServingVersions, service, to)
	return applied(&next)
}

// servingAfter is the version that serves after a step of a rollout.
func servingAfter(r sycamorevane.Rollout, before string) string {
	switch r.Phase {
	case sycamorevane.RolloutDone:
		return r.ToVersion
	case sycamorevane.RolloutReverting, sycamorevane.RolloutReverted:
		return r.FromVersion
	}
	if before == "" {
		return r.FromVersion
	}
	return before
}
