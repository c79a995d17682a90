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

// MinRolloutTime is the least time between the acceptance and the deadline of a rollout. Evidence arrives in windows of
// one second, and the trial phase needs several of them before the share may grow.
const MinRolloutTime = 5 * time.Second

// MaxDrainedServers is the maximum number of drained servers, twice the number of servers expected in two years.
const MaxDrainedServers = 4400

// decision is the result of a command before it takes effect. newState is set if the command changes the state.
type decision struct {
	result   Result
	reason   string
	newState *sycamorevane.State
}

func refuse(format string, args ...any) decision {
	return decision{result: ResultRefused, reason: fmt.Sprintf(format, args...)}
}

func unchanged(format string, args ...any) decision {
	return decision{result: ResultUnchanged, reason: fmt.Sprintf(format, args...)}
}

func applied(newState *sycamorevane.State) decision {
	return decision{result: ResultApplied, newState: newState}
}

// decide determines the result of a command. It must depend only on the machine's state and the command, so that all
// control hosts come to the same result.
func (m *Machine) decide(c Command, index uint64) decision {
	s := m.State()
	if c.ExpectedVersion != nil && *c.ExpectedVersion != s.Version {
		return decision{result: ResultConflict, reason: fmt.Sprintf("version %d was expected", *c.ExpectedVersion)}
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
	case OpUsage:
		return m.recordUsage(c)
	case OpQuarantine:
		return quarantine(s, c)
	}
	return refuse("unknown op %q", c.Op)
}

func (m *Machine) apply(s *sycamorevane.State, c Command) decision {
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
	dcs := sycamorevane.NewSet(cfg.DCs...)
	next.DrainedDCs = filterKeys(s.DrainedDCs, dcs.Has)
	next.UndrainedDCs = filterKeys(s.UndrainedDCs, dcs.Has)
	next.Rollouts = filterKeys(s.Rollouts, func(name string) bool { return cfg.Service(name) != nil })
	next.ServingVersions = filterKeys(s.ServingVersions, func(name string) bool { return cfg.Service(name) != nil })
	if len(next.DrainedDCs) >= len(cfg.DCs) && !c.Force {
		return refuse("every data centre of the new configuration is drained")
	}
	return applied(&next)
}

// filterKeys returns a copy of the map with the entries for whose key keepKey returns true.
func filterKeys[V any](m map[string]V, keepKey func(string) bool) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		if keepKey(k) {
			out[k] = v
		}
	}
	return out
}

func (m *Machine) drain(s *sycamorevane.State, c Command) decision {
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

func (m *Machine) drainDC(s *sycamorevane.State, c Command) decision {
	dc := c.Args.DC
	if !slices.Contains(s.Config.DCs, dc) {
		return refuse("unknown data centre %q", dc)
	}
	if at, ok := s.DrainedDCs[dc]; ok {
		return unchanged("data centre %q is drained since %s", dc, formatTime(at))
	}
	if len(s.DrainedDCs)+1 >= len(s.Config.DCs) && !c.Force {
		return refuse("data centre %q is the last one that takes traffic; force is needed", dc)
	}
	if shortage := m.capacityShortage(s, c.Args.Capacity, dc, nil); shortage != "" && !c.Force {
		return refuse("%s; force is needed", shortage)
	}
	next := *s
	next.DrainedDCs = withEntry(s.DrainedDCs, dc, c.AcceptedAt)
	next.UndrainedDCs = withoutKey(s.UndrainedDCs, dc)
	return applied(&next)
}

func (m *Machine) drainServer(s *sycamorevane.State, c Command) decision {
	id := c.Args.Server
	if at, ok := s.DrainedServers[id]; ok {
		return unchanged("server %q is drained since %s", id, formatTime(at))
	}
	target := c.Args.Target
	if target == nil && !c.Force {
		return refuse("unknown server %q", id)
	}
	if len(s.DrainedServers) >= MaxDrainedServers {
		return refuse("%d servers are drained, which is the limit", MaxDrainedServers)
	}
	if shortage := m.capacityShortage(s, c.Args.Capacity, "", target); shortage != "" && !c.Force {
		return refuse("%s; force is needed", shortage)
	}
	next := *s
	next.DrainedServers = withEntry(s.DrainedServers, id, c.AcceptedAt)
	if target != nil {
		m.targets[id] = *target
	}
	return applied(&next)
}

// capacityShortage checks whether each service that uses the given data centre or server still has enough slots for its
// current requests without it. It returns "" or a text that names the first service with a shortage and the missing
// slots. Slots of data centres and servers that are already drained do not count.
func (m *Machine) capacityShortage(s *sycamorevane.State, rows []Capacity, dc string, server *Target) string {
	busySlots := map[string]int{}
	availableSlots := map[string]int{}
	affected := sycamorevane.Set[string]{}
	for _, r := range rows {
		busySlots[r.Service] += r.BusySlots
		if r.DC == dc {
			if r.Slots > 0 || r.BusySlots > 0 {
				affected.Add(r.Service)
			}
			continue
		}
		if _, drained := s.DrainedDCs[r.DC]; !drained {
			availableSlots[r.Service] += r.Slots
		}
	}
	for id, target := range m.targets {
		_, drained := s.DrainedDCs[target.DC]
		if _, current := s.DrainedServers[id]; current && !drained && target.DC != dc {
			availableSlots[target.Service] -= target.Slots
		}
	}
	if server != nil {
		affected.Add(server.Service)
		availableSlots[server.Service] -= server.Slots
	}
	for _, service := range affected.Sorted() {
		available := max(0, availableSlots[service])
		if available < busySlots[service] {
			return fmt.Sprintf("service %q uses %d slots and would have %d, %d short",
				service, busySlots[service], available, busySlots[service]-available)
		}
		if available == 0 {
			return fmt.Sprintf("service %q would have no slots left", service)
		}
	}
	return ""
}

func (m *Machine) undrain(s *sycamorevane.State, c Command) decision {
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

func undrainDC(s *sycamorevane.State, c Command) decision {
	dc := c.Args.DC
	if !slices.Contains(s.Config.DCs, dc) {
		return refuse("unknown data centre %q", dc)
	}
	if _, ok := s.DrainedDCs[dc]; !ok {
		return unchanged("data centre %q is not drained", dc)
	}
	next := *s
	next.DrainedDCs = withoutKey(s.DrainedDCs, dc)
	next.UndrainedDCs = withEntry(s.UndrainedDCs, dc, c.AcceptedAt)
	return applied(&next)
}

func (m *Machine) undrainServer(s *sycamorevane.State, c Command) decision {
	id := c.Args.Server
	if _, ok := s.DrainedServers[id]; !ok {
		if c.Args.Target == nil {
			return refuse("unknown server %q", id)
		}
		return unchanged("server %q is not drained", id)
	}
	next := *s
	next.DrainedServers = withoutKey(s.DrainedServers, id)
	delete(m.targets, id)
	return applied(&next)
}

func (m *Machine) forget(s *sycamorevane.State, c Command) decision {
	removed := sycamorevane.NewSet(c.Args.RemovedServers...)
	remaining := filterKeys(s.DrainedServers, func(id string) bool { return !removed.Has(id) })
	if len(remaining) == len(s.DrainedServers) {
		return unchanged("none of the servers is drained")
	}
	for id := range removed {
		delete(m.targets, id)
	}
	next := *s
	next.DrainedServers = remaining
	return applied(&next)
}

// servingVersion returns the version that receives the service's requests outside of rollouts: the recorded one, else
// the result of the last rollout, else the version with the most slots other than the new one.
func servingVersion(s *sycamorevane.State, service, to string, versions map[string]int) string {
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

func rollout(s *sycamorevane.State, c Command) decision {
	service, to := c.Args.Service, c.Args.ToVersion
	if s.Config.Service(service) == nil {
		return refuse("unknown service %q", service)
	}
	if to == "" {
		return refuse("no version given")
	}
	if last, ok := s.Rollouts[service]; ok && !last.Phase.Terminal() && last.ToVersion == to && c.Force {
		return unchanged("service %q moves to %q already", service, to) // The same command was sent twice concurrently.
	}
	if last, ok := s.Rollouts[service]; ok && !last.Phase.Terminal() {
		return refuse("service %q already has a rollout to %q in phase %s", service, last.ToVersion, last.Phase)
	}
	if _, ok := c.Args.Versions[to]; !ok && !c.Force {
		return refuse("unknown version %q of service %q: no server has announced it", to, service)
	}
	timeLeft := time.Duration(c.Args.Deadline-c.AcceptedAt) * time.Millisecond
	if timeLeft <= 0 {
		return refuse("deadline %s is in the past", formatTime(c.Args.Deadline))
	}
	if timeLeft < MinRolloutTime && !c.Force {
		return refuse("deadline is in %v; evidence needs at least %v", timeLeft, MinRolloutTime)
	}
	if minTime := time.Duration(c.Args.MinEvidenceTime) * time.Millisecond; timeLeft < minTime {
		return refuse("deadline is in %v; at the present rate of calls the evidence needs at least %v", timeLeft, minTime)
	}
	from := servingVersion(s, service, to, c.Args.Versions)
	if from == to {
		return refuse("service %q already runs version %q", service, to)
	}
	if from == "" {
		return refuse("service %q has no other version to move from", service)
	}
	next := *s
	next.Rollouts = withEntry(s.Rollouts, service, sycamorevane.Rollout{
		ID: c.ID, Service: service, FromVersion: from, ToVersion: to, Phase: sycamorevane.RolloutWaiting,
		Reason: "accepted", StartedAt: c.AcceptedAt, Deadline: c.Args.Deadline, ChangedAt: c.AcceptedAt, Actor: c.Actor, Irreversible: c.Args.Irreversible,
	})
	return applied(&next)
}

func rollback(s *sycamorevane.State, c Command) decision {
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
	next.Rollouts = withEntry(s.Rollouts, service, r)
	return applied(&next)
}

// replace only records the command; the commander has the replicator change the membership.
func replace(s *sycamorevane.State, c Command) decision {
	for _, name := range []string{c.Args.Host, c.Args.Counterpart} {
		if s.Config.Host(name) == nil {
			return refuse("unknown host %q", name)
		}
	}
	if c.Args.Host == c.Args.Counterpart {
		return refuse("host %q cannot replace itself", c.Args.Host)
	}
	return decision{result: ResultApplied}
}

// nextPhases lists the phases that may follow each phase. A step may also leave the phase unchanged.
var nextPhases = map[sycamorevane.RolloutPhase][]sycamorevane.RolloutPhase{
	sycamorevane.RolloutWaiting:   {sycamorevane.RolloutTrial, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutTrial:     {sycamorevane.RolloutMoving, sycamorevane.RolloutDone, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutMoving:    {sycamorevane.RolloutDone, sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutDone:      {sycamorevane.RolloutReverting, sycamorevane.RolloutReverted},
	sycamorevane.RolloutReverting: {sycamorevane.RolloutReverted},
	sycamorevane.RolloutReverted:  {},
}

func step(s *sycamorevane.State, c Command) decision {
	d := c.Args.Step
	if d == nil {
		return refuse("no step given")
	}
	r, ok := s.Rollouts[c.Args.Service]
	if !ok || r.ID != d.Rollout {
		return decision{result: ResultStale, reason: "another rollout is current"}
	}
	if r.Phase != d.FromPhase || d.FromShare != nil && *d.FromShare != r.Share {
		return decision{result: ResultStale, reason: fmt.Sprintf("rollout is in phase %s at share %g", r.Phase, r.Share)}
	}
	if d.Phase != r.Phase && !slices.Contains(nextPhases[r.Phase], d.Phase) {
		return refuse("phase %q cannot follow %q", d.Phase, r.Phase)
	}
	if !(d.Share >= 0 && d.Share <= 1) {
		return refuse("share %g is outside 0 to 1", d.Share)
	}
	updated := r
	updated.Share = d.Share
	updated.Reason = truncateText(d.Reason)
	updated.DeadlineAtRisk = d.DeadlineAtRisk
	if updated.Phase != d.Phase {
		updated.Phase = d.Phase
		updated.ChangedAt = c.AcceptedAt
	}
	if updated == r {
		return unchanged("rollout is as the step wants it")
	}
	next := *s
	next.Rollouts = withEntry(s.Rollouts, c.Args.Service, updated)
	next.ServingVersions = withEntry(s.ServingVersions, c.Args.Service, servingVersionAfter(updated, s.ServingVersions[c.Args.Service]))
	return applied(&next)
}

// withEntry returns a copy of the map in which k is set to v.
func withEntry[V any](m map[string]V, k string, v V) map[string]V {
	out := make(map[string]V, len(m)+1)
	maps.Copy(out, m)
	out[k] = v
	return out
}

// withoutKey returns a copy of the map without k.
func withoutKey[V any](m map[string]V, k string) map[string]V {
	return filterKeys(m, func(key string) bool { return key != k })
}

func formatTime(ms int64) string { return timeOf(ms).UTC().Format(time.RFC3339) }

// Describe returns the text that describes a command's arguments in the audit trail. It never contains credentials.
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
		add("deadline", formatTime(a.Deadline))
	}
	add("host", a.Host)
	add("with", a.Counterpart)
	if cfg := a.Config; cfg != nil {
		hashed := *cfg
		if len(cfg.Workspaces) > 0 {
			hashed.Document = nil // It contains keys, and the hash is no cryptographic one.
		}
		data, err := json.Marshal(&hashed)
		if err == nil {
			add("digest", fmt.Sprintf("%016x", xxhash.Sum64(data)))
		}
		add("services", fmt.Sprint(len(cfg.Services)))
		add("dcs", fmt.Sprint(len(cfg.DCs)))
		add("hosts", fmt.Sprint(len(cfg.Hosts)))
	}
	add("quarantined", strings.Join(a.Quarantined, ","))
	add("released", strings.Join(a.Released, ","))
	if a.Step != nil {
		add("phase", string(a.Step.Phase))
		add("reason", a.Step.Reason)
	}
	if c.Force {
		add("force", "true")
	}
	return truncateText(strings.Join(parts, " "))
}
