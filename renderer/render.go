package renderer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

// Render computes the view. It depends only on its argument.
func Render(in Input) *View {
	c := &collector{in: in, services: map[string]*tally{}}
	c.collect()
	v := &View{
		Number: number(in.Term, in.Seq), Term: in.Term, Seq: in.Seq,
		Time: in.Now.UnixMilli(), Leader: in.Leader, Version: in.State.Version,
		Changes: in.Changes,
	}
	for _, s := range in.State.Config.Services {
		v.Services = append(v.Services, c.service(s.Name))
	}
	v.DCs = c.dcs(v.Services)
	v.Rollouts = Rollouts(in.State, v)
	v.Entries = c.entries()
	v.Controls = controls(in.Controls)
	return v
}

// sum adds up the reports on one server, version, pool or service.
type sum struct {
	calls, failures, rate float64
	use                   int
	weighted, p99         float64
	timed                 float64
}

func (s *sum) add(l LoadRow, window time.Duration) {
	s.calls += float64(l.Calls)
	s.failures += float64(l.Failures)
	if window > 0 {
		s.rate += float64(l.Calls) / window.Seconds()
	}
	s.use += l.BusySlots
	if l.P50 > 0 {
		s.weighted += ms(l.P50) * float64(l.Calls)
		s.timed += float64(l.Calls)
	}
	s.p99 = max(s.p99, ms(l.P99))
}

func (s *sum) flow(slots int, total float64) Flow {
	return Flow{
		Rate: ratio(s.rate, 1), Slots: slots, BusySlots: s.use, P99: ratio(s.p99, 1),
		Failing: ratio(s.failures, s.calls), Share: ratio(s.rate, total), P50: ratio(s.weighted, s.timed),
	}
}

// ratio divides and rounds to four decimals, which keeps the encoded view small; 0 when there is nothing to divide by.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return math.Round(a/b*1e4) / 1e4
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// tally is what was reported on one service.
type tally struct {
	all      sum
	versions map[string]*sum
	pools    map[string]*sum
	servers  map[string]*seen
}

// seen is what was reported on one server.
type seen struct {
	sum
	// load is the owner's row, or any row while the owner has not reported.
	load LoadRow
}

type collector struct {
	in       Input
	services map[string]*tally
}

// collect leaves out summaries that are stale, so that the figures of a lost entry do not stay on the screen.
func (c *collector) collect() {
	for _, e := range c.in.Entries {
		if c.in.Now.Sub(e.ReceivedAt) > StaleAfter {
			continue
		}
		for _, l := range e.Loads {
			c.add(l, cmp.Or(l.Window, e.Window))
		}
	}
}

func (c *collector) add(l LoadRow, window time.Duration) {
	t := at(c.services, l.Service, func() *tally {
		return &tally{versions: map[string]*sum{}, pools: map[string]*sum{}, servers: map[string]*seen{}}
	})
	t.all.add(l, window)
	at(t.versions, l.Version, newSum).add(l, window)
	at(t.pools, l.DC, newSum).add(l, window)
	if l.Server == "" {
		return
	}
	s := at(t.servers, l.Server, func() *seen { return &seen{load: l} })
	s.add(l, window)
	if l.Owner {
		s.load = l
	}
}

func newSum() *sum { return &sum{} }

func at[K comparable, V any](m map[K]*V, k K, make func() *V) *V {
	v, ok := m[k]
	if !ok {
		v = make()
		m[k] = v
	}
	return v
}

func (c *collector) service(name string) Service {
	out := Service{Name: name}
	t := c.services[name]
	if t == nil {
		t = &tally{}
	}
	total := t.all.rate
	pools := map[string]*Pool{}
	for _, dc := range c.in.State.Config.DCs {
		pools[dc] = &Pool{DC: dc, Servers: []Server{}}
	}
	versions := map[string]*Version{}
	slots := 0
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		s := t.servers[id]
		srv := c.server(s)
		slots += srv.Slots
		out.Probes += srv.Probes
		out.Budget += srv.Budget
		v := at(versions, s.load.Version, func() *Version { return &Version{} })
		v.Servers++
		v.Slots += srv.Slots
		if p, ok := pools[s.load.DC]; ok {
			p.Servers = append(p.Servers, srv)
			p.Slots += srv.Slots
		}
	}
	out.Flow = t.all.flow(slots, total)
	out.Probes = ratio(out.Probes, 1)
	out.Budget = ratio(out.Budget, 1)
	out.Versions = c.versions(name, t, versions, total)
	for _, dc := range c.in.State.Config.DCs {
		p := pools[dc]
		s := t.pools[dc]
		if s == nil {
			s = &sum{}
		}
		p.Flow = s.flow(p.Slots, total)
		p.State, p.Reason = c.pool(p)
		out.DCs = append(out.DCs, *p)
	}
	return out
}

func (c *collector) versions(service string, t *tally, known map[string]*Version, total float64) []Version {
	want := c.in.State.VersionShares(service)
	names := sycamorevane.NewSet(slices.Collect(maps.Keys(known))...)
	for name := range t.versions {
		names.Add(name)
	}
	for name := range want {
		names.Add(name)
	}
	list := []Version{}
	for _, name := range names.Sorted() {
		v := Version{Name: name, TargetShare: -1}
		if k := known[name]; k != nil {
			v.Servers = k.Servers
			v.Slots = k.Slots
		}
		if s := t.versions[name]; s != nil {
			v.Flow = s.flow(v.Slots, total)
		}
		if want != nil {
			v.TargetShare = want[name]
		}
		list = append(list, v)
	}
	return list
}

func (c *collector) server(s *seen) Server {
	l := s.load
	srv := Server{
		ID: l.Server, Addr: l.Addr, Version: l.Version, State: l.State, Reason: l.Reason, Warm: l.State == StateReady,
		Slots: l.Slots, Limit: l.Limit, BusySlots: s.use, Rate: ratio(s.rate, 1), Failing: ratio(s.failures, s.calls), P99: ratio(s.p99, 1),
		Probes: ratio(l.Probes, 1), Budget: ratio(l.Budget, 1),
	}
	switch at, drained := c.in.State.DrainedServers[l.Server]; {
	case drained:
		srv.State, srv.Reason = drainWord(srv.BusySlots), "taken out by operators at "+clock(at)
	case c.in.State.DrainedDCs[l.DC] != 0:
		srv.State, srv.Reason = drainWord(srv.BusySlots), "data centre "+l.DC+" is taken out"
	case srv.State == "":
		srv.State, srv.Reason = StateSilent, "the owner entry has not reported on it"
	}
	return srv
}

// drainWord tells whether what was taken out still has requests running.
func drainWord(use int) string {
	if use > 0 {
		return StateDraining
	}
	return StateDrained
}

func (c *collector) pool(p *Pool) (state, reason string) {
	count := map[string]int{}
	for _, s := range p.Servers {
		count[s.State]++
	}
	if at, ok := c.in.State.DrainedDCs[p.DC]; ok {
		return drainWord(p.BusySlots), "taken out by operators at " + clock(at)
	}
	if len(p.Servers) == 0 {
		return StateDown, "no server has announced itself"
	}
	ready, cold := count[StateReady], count[StateCold]
	text := fmt.Sprintf("%d of %d servers ready", ready, len(p.Servers))
	if at, ok := c.in.State.UndrainedDCs[p.DC]; ok && cold > 0 && c.in.Now.Sub(time.UnixMilli(at)) < ReturnShown {
		return StateReturning, text + ", back since " + clock(at)
	}
	for _, state := range []string{StateFailing, StateSlow} {
		if n := count[state]; n*2 > len(p.Servers) {
			return state, text + fmt.Sprintf(", %d %s", n, state)
		}
	}
	switch {
	case ready > 0:
		return StateReady, text
	case cold > 0:
		return StateCold, text + fmt.Sprintf(", %d cold", cold)
	}
	return StateDown, text
}

// severity orders the states from good to bad; a data centre shows the worst of its pools.
var severity = []string{
	StateReady, StateReturning, StateCold, StateSlow, StateFailing, StateDown, StateDrained, StateDraining,
}

func (c *collector) dcs(services []Service) []DC {
	list := []DC{}
	total := 0.0
	for _, s := range services {
		total += s.Rate
	}
	for i, name := range c.in.State.Config.DCs {
		d := DC{Name: name, State: StateDown, Reason: "no server has announced itself"}
		worst := -1
		for _, s := range services {
			p := s.DCs[i]
			d.Rate += p.Rate
			d.Servers += len(p.Servers)
			d.BusySlots += p.BusySlots
			rank := slices.Index(severity, p.State)
			if rank > worst && (len(p.Servers) > 0 || p.State == StateDrained) {
				worst = rank
				d.State, d.Reason = p.State, s.Name+": "+p.Reason
			}
		}
		if at, ok := c.in.State.DrainedDCs[name]; ok {
			d.State, d.Reason, d.Since = drainWord(d.BusySlots), "taken out by operators at "+clock(at), at
			if d.BusySlots > 0 {
				d.Reason += fmt.Sprintf(", still running: %d", d.BusySlots)
			}
		}
		if at, ok := c.in.State.UndrainedDCs[name]; ok {
			d.Since = at
		}
		d.Rate = ratio(d.Rate, 1)
		d.Share = ratio(d.Rate, total)
		list = append(list, d)
	}
	return list
}

// Rollouts lists the rollouts of the state with the measured shares of the view, which may be nil.
func Rollouts(s *sycamorevane.State, v *View) []Rollout {
	list := []Rollout{}
	for _, name := range slices.Sorted(maps.Keys(s.Rollouts)) {
		r := s.Rollouts[name]
		out := Rollout{
			ID: r.ID, Service: r.Service, FromVersion: r.FromVersion, ToVersion: r.ToVersion, Phase: string(r.Phase), Reason: r.Reason,
			Share: s.VersionShares(name)[r.ToVersion], DeadlineAtRisk: r.DeadlineAtRisk, StartedAt: r.StartedAt, Deadline: r.Deadline, ChangedAt: r.ChangedAt, Actor: r.Actor,
		}
		if v != nil {
			out.MeasuredShare = v.seen(name, r.ToVersion)
		}
		list = append(list, out)
	}
	return list
}

// entries lists the configured entry hosts and those that report without being configured.
func (c *collector) entries() []Host {
	list := []Host{}
	reports := map[string]Summary{}
	for _, e := range c.in.Entries {
		reports[e.Entry] = e
	}
	for _, name := range c.in.State.Config.HostsWith(sycamorevane.RoleEntry) {
		e, ok := reports[name]
		delete(reports, name)
		h := c.entry(e, ok)
		h.Name = name
		h.DC = c.in.State.Config.Host(name).DC
		list = append(list, h)
	}
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		h := c.entry(reports[name], true)
		h.Reason = cmp.Or(h.Reason, "not in the configuration")
		list = append(list, h)
	}
	return list
}

func (c *collector) entry(e Summary, reported bool) Host {
	h := Host{Name: e.Entry, DC: e.DC, State: StateReady, Version: e.Version}
	age := c.in.Now.Sub(e.ReceivedAt)
	switch {
	case !reported:
		h.State, h.Reason = StateSilent, "has not reported"
	case age > StaleAfter:
		h.State, h.Reason = StateSilent, fmt.Sprintf("last report %d s ago", int(age.Seconds()))
	case e.Leaving:
		h.State, h.Reason = StateLeaving, "stops after its callers have left"
	case e.Version < c.in.State.Version:
		h.State, h.Reason = StateBehind, fmt.Sprintf("has version %d in force", e.Version)
	}
	return h
}

func controls(list []Control) []Host {
	out := []Host{}
	for _, m := range list {
		h := Host{Name: m.Name, DC: m.DC, State: m.Role, Reason: m.Fault}
		if !m.Alive {
			h.State = StateSilent
			h.Reason = cmp.Or(m.Fault, "does not answer")
		}
		out = append(out, h)
	}
	return out
}

func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05") }
