package applier

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
)

// MinRollout is the shortest time a rollout may be given. Evidence arrives in windows of one second, and the trial
// needs several of them before the share may grow.
const MinRollout = 5 * time.Second

// MaxDrained bounds the drain records of servers, at twice the servers expected in two years.
const MaxDrained = 4400

// verdict is a decision about a command; next is set when the state changes.
type verdict struct {
	result Result
	reason string
	next   *sycamorevane.State
}

func refuse(format string, args ...any) verdict {
	return verdict{result: ResultRefused, reason: fmt.Sprintf(format, args...)}
}

func unchanged(format string, args ...any) verdict {
	return verdict{result: ResultUnchanged, reason: fmt.Sprintf(format, args...)}
}

func applied(next *sycamorevane.State) verdict { return verdict{result: ResultApplied, next: next} }

// decide must depend only on the machine's state and the command.
func (m *Machine) decide(c Command, index uint64) verdict {
	s := m.State()
	if c.ExpectedVersion != nil && *c.ExpectedVersion != s.Version {
		return verdict{result: ResultConflict, reason: fmt.Sprintf("version %d was expected", *c.ExpectedVersion)}
	}
	switch c.Op {
	case OpApply:
		return m.apply(s, c)
	case OpDrain:
		return m.drain(s, c)
	case OpUndrain:
		return m.undrain(s, c)
	case OpRollout:
		return rollout(s, c)
	case OpRollback:
		return rollback(s, c)
	case OpReplace:
		return replace(s, c)
	case OpStep:
		return step(s, c)
	case OpForget:
		return m.forget(s, c)
	case OpServe:
		return serve(s, c)
	case OpConfigure:
		return configure(s, c)
	case OpLeave:
		return leave(s, c)
	}
	return refuse("unknown op %q", c.Op)
}

func (m *Machine) apply(s *sycamorevane.State, c Command) verdict {
	cfg := c.Args.Config
	if cfg == nil {
		return refuse("no configuration given")
	}
	if reason := checkConfig(cfg); reason != "" {
		return refuse("%s", reason)
	}
	for name, r := range s.Rollouts {
		if cfg.Service(name) == nil && !r.Phase.Terminal() {
			return refuse("service %q has a rollout in phase %s", name, r.Phase)
		}
	}
	next := *s
	next.Config = *cfg
	known := sycamorevane.NewSet(cfg.DCs...)
	next.DrainedDCs = keep(s.DrainedDCs, known.Has)
	next.UndrainedDCs = keep(s.UndrainedDCs, known.Has)
	next.Rollouts = keep(s.Rollouts, func(name string) bool { return cfg.Service(name) != nil })
	next.ServingVersions = keep(s.ServingVersions, func(name string) bool { return cfg.Service(name) != nil })
	if len(next.DrainedDCs) >= len(cfg.DCs) && !c.Force {
		return refuse("every data centre of the new configuration is drained")
	}
	return applied(&next)
}

// keep copies the entries whose key is wanted.
func keep[V any](m map[string]V, want func(string) bool) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		if want(k) {
			out[k] = v
		}
	}
	return out
}

func (m *Machine) drain(s *sycamorevane.State, c Command) verdict {
	switch {
	case c.Args.DC != "" && c.Args.Server != "":
		return refuse("drain names both a data centre and a server")
	case c.Args.DC != "":
		return m.drainDC(s, c)
	case c.Args.Server != "":
		return m.drainServer(s, c)
	}
	return refuse("drain names neither a data centre nor a server")
}

func (m *Machine) drainDC(s *sycamorevane.State, c Command) verdict {
	dc := c.Args.DC
	if !slices.Contains(s.Config.DCs, dc) {
		return refuse("unknown data centre %q", dc)
	}
	if at, ok := s.DrainedDCs[dc]; ok {
		return unchanged("data centre %q is drained since %s", dc, stamp(at))
	}
	if len(s.DrainedDCs)+1 >= len(s.Config.DCs) && !c.Force {
		return refuse("data centre %q is the last one that takes traffic; force is needed", dc)
	}
	if short := m.shortage(s, c.Args.Capacity, dc, nil); short != "" && !c.Force {
		return refuse("%s; force is needed", short)
	}
	next := *s
	next.DrainedDCs = with(s.DrainedDCs, dc, c.AcceptedAt)
	next.UndrainedDCs = without(s.UndrainedDCs, dc)
	return applied(&next)
}

func (m *Machine) drainServer(s *sycamorevane.State, c Command) verdict {
	id := c.Args.Server
	if at, ok := s.DrainedServers[id]; ok {
		return unchanged("server %q is drained since %s", id, stamp(at))
	}
	t := c.Args.Target
	if t == nil && !c.Force {
		return refuse("unknown server %q", id)
	}
	if len(s.DrainedServers) >= MaxDrained {
		return refuse("%d servers are drained, which is the limit", MaxDrained)
	}
	if short := m.shortage(s, c.Args.Capacity, "", t); short != "" && !c.Force {
		return refuse("%s; force is needed", short)
	}
	next := *s
	next.DrainedServers = with(s.DrainedServers, id, c.AcceptedAt)
	if t != nil {
		m.targets[id] = *t
	}
	return applied(&next)
}

// shortage names the service that could not carry its current use without the data centre or server, and what
// would be missing. Slots of data centres and servers that are drained already do not count.
func (m *Machine) shortage(s *sycamorevane.State, rows []Capacity, dc string, t *Target) string {
	use := map[string]int{}
	rest := map[string]int{}
	hit := sycamorevane.Set[string]{}
	for _, r := range rows {
		use[r.Service] += r.BusySlots
		if r.DC == dc {
			if r.Slots > 0 || r.BusySlots > 0 {
				hit.Add(r.Service)
			}
			continue
		}
		if _, drained := s.DrainedDCs[r.DC]; !drained {
			rest[r.Service] += r.Slots
		}
	}
	for id, d := range m.targets {
		_, drained := s.DrainedDCs[d.DC]
		if _, current := s.DrainedServers[id]; current && !drained && d.DC != dc {
			rest[d.Service] -= d.Slots
		}
	}
	if t != nil {
		hit.Add(t.Service)
		rest[t.Service] -= t.Slots
	}
	for _, service := range hit.Sorted() {
		left := max(0, rest[service])
		if left < use[service] {
			return fmt.Sprintf("service %q uses %d slots and would have %d, %d short", service, use[service], left, use[service]-left)
		}
		if left == 0 {
			return fmt.Sprintf("service %q would have no slots left", service)
		}
	}
	return ""
}

func (m *Machine) undrain(s *sycamorevane.State, c Command) verdict {
	switch {
	case c.Args.DC != "" && c.Args.Server != "":
		return refuse("undrain names both a data centre and a server")
	case c.Args.DC != "":
		return undrainDC(s, c)
	case c.Args.Server != "":
		return m.undrainServer(s, c)
	}
	return refuse("undrain names neither a data centre nor a server")
}

func undrainDC(s *sycamorevane.State, c Command) verdict {
	dc := c.Args.DC
	if !slices.Contains(s.Config.DCs, dc) {
		return refuse("unknown data centre %q", dc)
	}
	if _, ok := s.DrainedDCs[dc]; !ok {
		return unchanged("data centre %q is not drained", dc)
	}
	next := *s
	next.DrainedDCs = without(s.DrainedDCs, dc)
	next.UndrainedDCs = with(s.UndrainedDCs, dc, c.AcceptedAt)
	return applied(&next)
}

func (m *Machine) undrainServer(s *sycamorevane.State, c Command) verdict {
	id := c.Args.Server
	if _, ok := s.DrainedServers[id]; !ok {
		if c.Args.Target == nil {
			return refuse("unknown server %q", id)
		}
		return unchanged("server %q is not drained", id)
	}
	next := *s
	next.DrainedServers = without(s.DrainedServers, id)
	delete(m.targets, id)
	return applied(&next)
}

func (m *Machine) forget(s *sycamorevane.State, c Command) verdict {
	gone := sycamorevane.NewSet(c.Args.RemovedServers...)
	left := keep(s.DrainedServers, func(id string) bool { return !gone.Has(id) })
	if len(left) == len(s.DrainedServers) {
		return unchanged("none of the servers is drained")
	}
	for id := range gone {
		delete(m.targets, id)
	}
	next := *s
	next.DrainedServers = left
	return applied(&next)
}

// serving is the version that the service's calls go to without a rollout: the result of the last one, or the
// version with the most slots other than the new one.
func serving(s *sycamorevane.State, service, to string, versions map[string]int) string {
	if v, ok := s.ServingVersions[service]; ok {
		return v
	}
	if last, ok := s.Rollouts[service]; ok {
		if last.Phase == sycamorevane.RolloutDone {
			return last.ToVersion
		}
		return last.FromVersion
	}
	best := ""
	for _, v := range slices.Sorted(maps.Keys(versions)) {
		if v != to && (best == "" || versions[v] > versions[best]) {
			best = v
		}
	}
	return best
}

func rollout(s *sycamorevane.State, c Command) verdict {
	service, to := c.Args.Service, c.Args.ToVersion
	if s.Config.Service(service) == nil {
		return refuse("unknown service %q", service)
	}
	if to == "" {
		return refuse("no version given")
	}
	if last, ok := s.Rollouts[service]; ok && !last.Phase.Terminal() && last.ToVersion == to && c.Force {
		return unchanged("service %q moves to %q already", service, to) // The same order was sent twice at once.
	}
	if last, ok := s.Rollouts[service]; ok && !last.Phase.Terminal() {
		return refuse("service %q already has a rollout to %q in phase %s", service, last.ToVersion, last.Phase)
	}
	if _, ok := c.Args.Versions[to]; !ok && !c.Force {
		return refuse("unknown version %q of service %q: no server has announced it", to, service)
	}
	left := time.Duration(c.Args.Deadline-c.AcceptedAt) * time.Millisecond
	if left <= 0 {
		return refuse("deadline %s is in the past", stamp(c.Args.Deadline))
	}
	if left < MinRollout && !c.Force {
		return refuse("deadline is in %v; evidence needs at least %v", left, MinRollout)
	}
	if shortest := time.Duration(c.Args.MinEvidenceTime) * time.Millisecond; left < shortest {
		return refuse("deadline is in %v; at the present rate of calls the evidence needs at least %v", left, shortest)
	}
	from := serving(s, service, to, c.Args.Versions)
	if from == to {
		return refuse("service %q already runs version %q", service, to)
	}
	if from == "" {
		return refuse("service %q has no other version to move from", service)
	}
	next := *s
	next.Rollouts = with(s.Rollouts, service, sycamorevane.Rollout{
		ID: c.ID, Service: service, FromVersion: from, ToVersion: to, Phase: sycamorevane.RolloutWaiting,
		Reason: "accepted", StartedAt: c.AcceptedAt, Deadline: c.Args.Deadline, ChangedAt: c.AcceptedAt, Actor: c.Actor, Irreversible: c.Args.Irreversible,
	})
	return applied(&next)
}

func rollback(s *sycamorevane.State, c Command) verdict {
	service := c.Args.Service
	if s.Config.Service(service) == nil {
		return refuse("unknown service %q", service)
	}
	r, ok := s.Rollouts[service]
	if !ok || r.FromVersion == r.ToVersion {
		return refuse("service %q has no rollout", service)
	}
	switch r.Phase {
	case sycamorevane.RolloutReverted, sycamorevane.RolloutReverting:
		return unchanged("rollout of %q to %q is %s", service, r.ToVersion, r.Phase)
	case sycamorevane.RolloutDone:
		if _, runs := c.Args.Versions[r.FromVersion]; !runs && !c.Force {
			return refuse("no server is known to run the old version %q of service %q; force is needed", r.FromVersion, service)
		}
	}
	r.Phase = sycamorevane.RolloutReverting
	r.Share = 0
	r.DeadlineAtRisk = false
	r.Reason = fmt.Sprintf("rolled back by %s", c.Actor)
	r.ChangedAt = c.AcceptedAt
	next := *s
	next.Rollouts = with(s.Rollouts, service, r)
	return applied(&next)
}

// replace only records the order; the replicator changes the membership.
func replace(s *sycamorevane.State, c Command) verdict {
	for _, name := range []string{c.Args.Host, c.Args.Counterpart} {
		if s.Config.Host(name) == nil {
			return refuse("unknown host %q", name)
		}
	}
	if c.Args.Host == c.Args.Counterpart {
		return refuse("host %q cannot replace itself", c.Args.Host)
	}
	return verdict{result: ResultApplied}
}

// nextPhases are the phases that may follow each phase; a phase may always be kept.
var nextPhases = map[sycamorevane.RolloutPhase][]sycamorevane.RolloutPhase{
	sycamorevane.RolloutWaiting:   {sycamorevane.RolloutTrial, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutTrial:     {sycamorevane.RolloutMoving, sycamorevane.RolloutDone, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutMoving:    {sycamorevane.RolloutDone, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutDone:      {sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutReverting: {sycamorevane.RolloutReverted},
	sycamorevane.RolloutReverted:  {},
}

func step(s *sycamorevane.State, c Command) verdict {
	d := c.Args.Step
	if d == nil {
		return refuse("no step given")
	}
	r, ok := s.Rollouts[c.Args.Service]
	if !ok || r.ID != d.Rollout {
		return verdict{result: ResultStale, reason: "another rollout is current"}
	}
	if r.Phase != d.FromPhase || d.FromShare != nil && *d.FromShare != r.Share {
		return verdict{result: ResultStale, reason: fmt.Sprintf("rollout is in phase %s at share %g", r.Phase, r.Share)}
	}
	if d.Phase != r.Phase && !slices.Contains(nextPhases[r.Phase], d.Phase) {
		return refuse("phase %q cannot follow %q", d.Phase, r.Phase)
	}
	if !(d.Share >= 0 && d.Share <= 1) {
		return refuse("share %g is outside 0 to 1", d.Share)
	}
	moved := r
	moved.Share = d.Share
	moved.Reason = clip(d.Reason)
	moved.DeadlineAtRisk = d.DeadlineAtRisk
	if moved.Phase != d.Phase {
		moved.Phase = d.Phase
		moved.ChangedAt = c.AcceptedAt
	}
	if moved == r {
		return unchanged("rollout is as the step wants it")
	}
	next := *s
	next.Rollouts = with(s.Rollouts, c.Args.Service, moved)
	next.ServingVersions = with(s.ServingVersions, c.Args.Service, servingAfter(moved, s.ServingVersions[c.Args.Service]))
	return applied(&next)
}

// with returns a copy of the map with the value set.
func with[V any](m map[string]V, k string, v V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[k] = v
	return out
}

// without returns a copy of the map without the key.
func without[V any](m map[string]V, k string) map[string]V {
	return keep(m, func(key string) bool { return key != k })
}

func stamp(ms int64) string { return timeOf(ms).UTC().Format(time.RFC3339) }

// Describe is the audit trail's text for what a command names. It never contains credentials.
func Describe(c Command) string {
	a := c.Args
	var parts []string
	add := func(k, v string) {
		if v != "" {
			parts = append(parts, k+"="+v)
		}
	}
	add("dc", a.DC)
	add("server", a.Server)
	add("service", a.Service)
	add("to", a.ToVersion)
	if a.Deadline != 0 {
		add("deadline", stamp(a.Deadline))
	}
	add("host", a.Host)
	add("with", a.Counterpart)
	if cfg := a.Config; cfg != nil {
		data, err := json.Marshal(cfg)
		if err == nil {
			add("digest", fmt.Sprintf("%016x", xxhash.Sum64(data)))
		}
		add("services", fmt.Sprint(len(cfg.Services)))
		add("dcs", fmt.Sprint(len(cfg.DCs)))
		add("hosts", fmt.Sprint(len(cfg.Hosts)))
	}
	if a.Step != nil {
		add("phase", string(a.Step.Phase))
		add("reason", a.Step.Reason)
	}
	if c.Force {
		add("force", "true")
	}
	return clip(strings.Join(parts, " "))
}
