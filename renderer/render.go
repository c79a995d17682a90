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

// Render computes the view from its argument alone.
func Render(in Input) *View {
	c := &collector{in: in, services: map[string]*serviceTotals{}}
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

// trafficSum is the sum of the reported rows of one server, version, pool or service.
type trafficSum struct {
	calls, failures, rate float64
	busySlots             int
	weightedP50, p99      float64
	callsWithP50          float64
}

func (s *trafficSum) add(l LoadRow, window time.Duration) {
	s.calls += float64(l.Calls)
	s.failures += float64(l.Failures)
	if window > 0 {
		s.rate += float64(l.Calls) / window.Seconds()
	}
	s.busySlots += l.BusySlots
	if l.P50 > 0 {
		s.weightedP50 += ms(l.P50) * float64(l.Calls)
		s.callsWithP50 += float64(l.Calls)
	}
	s.p99 = max(s.p99, ms(l.P99))
}

func (s *trafficSum) flow(slots int, total float64) Flow {
	return Flow{
		CallsPerSecond: ratio(s.rate, 1), Slots: slots, BusySlots: s.busySlots, P99: ratio(s.p99, 1),
		FailureRate: ratio(s.failures, s.calls), Share: ratio(s.rate, total), P50: ratio(s.weightedP50, s.callsWithP50),
	}
}

// ratio returns a/b rounded to four decimals, which keeps the encoded view small. It returns 0 unless b is positive.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return math.Round(a/b*1e4) / 1e4
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// serviceTotals holds the sums of one service.
type serviceTotals struct {
	overall  trafficSum
	versions map[string]*trafficSum
	pools    map[string]*trafficSum
	servers  map[string]*serverTotals
}

// serverTotals holds the sums of one server.
type serverTotals struct {
	trafficSum
	// row is the row of the owner entry, or any other row while the owner has not reported.
	row LoadRow
}

type collector struct {
	in       Input
	services map[string]*serviceTotals
}

// collect sums up the summaries. It skips stale ones, so that the values of a lost entry do not stay in the view.
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
	t := getOrCreate(c.services, l.Service, func() *serviceTotals {
		return &serviceTotals{versions: map[string]*trafficSum{}, pools: map[string]*trafficSum{}, servers: map[string]*serverTotals{}}
	})
	t.overall.add(l, window)
	getOrCreate(t.versions, l.Version, newTrafficSum).add(l, window)
	getOrCreate(t.pools, l.DC, newTrafficSum).add(l, window)
	if l.Server == "" {
		return
	}
	s := getOrCreate(t.servers, l.Server, func() *serverTotals { return &serverTotals{row: l} })
	s.add(l, window)
	if l.Owner {
		s.row = l
	}
}

func newTrafficSum() *trafficSum { return &trafficSum{} }

// getOrCreate returns the value for k, and adds the result of newValue if there is none.
func getOrCreate[K comparable, V any](m map[K]*V, k K, newValue func() *V) *V {
	v, ok := m[k]
	if !ok {
		v = newValue()
		m[k] = v
	}
	return v
}

func (c *collector) service(name string) Service {
	out := Service{Name: name}
	t := c.services[name]
	if t == nil {
		t = &serviceTotals{}
	}
	total := t.overall.rate
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
		out.ProbeRate += srv.ProbeRate
		out.MaxProbeRate += srv.MaxProbeRate
		v := getOrCreate(versions, s.row.Version, func() *Version { return &Version{} })
		v.Servers++
		v.Slots += srv.Slots
		if p, ok := pools[s.row.DC]; ok {
			p.Servers = append(p.Servers, srv)
			p.Slots += srv.Slots
		}
	}
	out.Flow = t.overall.flow(slots, total)
	out.ProbeRate = ratio(out.ProbeRate, 1)
	out.MaxProbeRate = ratio(out.MaxProbeRate, 1)
	out.Versions = c.versions(name, t, versions, total)
	for _, dc := range c.in.State.Config.DCs {
		p := pools[dc]
		s := t.pools[dc]
		if s == nil {
			s = &trafficSum{}
		}
		p.Flow = s.flow(p.Slots, total)
		p.State, p.Reason = c.pool(p)
		out.DCs = append(out.DCs, *p)
	}
	return out
}

func (c *collector) versions(service string, t *serviceTotals, announced map[string]*Version, total float64) []Version {
	targetShares := c.in.State.VersionShares(service)
	names := sycamorevane.NewSet(slices.Collect(maps.Keys(announced))...)
	for name := range t.versions {
		names.Add(name)
	}
	for name := range targetShares {
		names.Add(name)
	}
	list := []Version{}
	for _, name := range names.Sorted() {
		v := Version{Name: name, TargetShare: -1}
		if a := announced[name]; a != nil {
			v.Servers = a.Servers
			v.Slots = a.Slots
		}
		if s := t.versions[name]; s != nil {
			v.Flow = s.flow(v.Slots, total)
		}
		if targetShares != nil {
			v.TargetShare = targetShares[name]
		}
		list = append(list, v)
	}
	return list
}

func (c *collector) server(s *serverTotals) Server {
	l := s.row
	srv := Server{
		ID: l.Server, Addr: l.Addr, Version: l.Version, State: l.State, Reason: l.Reason, Warm: l.State == StateReady,
		Slots: l.Slots, UsableSlots: l.UsableSlots, BusySlots: s.busySlots, CallsPerSecond: ratio(s.rate, 1), FailureRate: ratio(s.failures, s.calls), P99: ratio(s.p99, 1),
		ProbeRate: ratio(l.ProbeRate, 1), MaxProbeRate: ratio(l.MaxProbeRate, 1),
	}
	switch at, drained := c.in.State.DrainedServers[l.Server]; {
	case drained:
		srv.State, srv.Reason = drainState(srv.BusySlots), "taken out by operators at "+formatClock(at)
	case c.in.State.DrainedDCs[l.DC] != 0:
		srv.State, srv.Reason = drainState(srv.BusySlots), "data centre "+l.DC+" is taken out"
	case srv.State == "":
		srv.State, srv.Reason = StateSilent, "the owner entry has not reported on it"
	}
	return srv
}

// drainState returns the state of a drained server or data centre, which depends on whether requests still run there.
func drainState(busySlots int) string {
	if busySlots > 0 {
		return StateDraining
	}
	return StateDrained
}

func (c *collector) pool(p *Pool) (state, reason string) {
	countByState := map[string]int{}
	for _, s := range p.Servers {
		countByState[s.State]++
	}
	if at, ok := c.in.State.DrainedDCs[p.DC]; ok {
		return drainState(p.BusySlots), "taken out by operators at " + formatClock(at)
	}
	if len(p.Servers) == 0 {
		return StateDown, "no server has announced itself"
	}
	ready, cold := countByState[StateReady], countByState[StateCold]
	text := fmt.Sprintf("%d of %d servers ready", ready, len(p.Servers))
	if at, ok := c.in.State.UndrainedDCs[p.DC]; ok && cold > 0 && c.in.Now.Sub(time.UnixMilli(at)) < ReturningPeriod {
		return StateReturning, text + ", back since " + formatClock(at)
	}
	for _, state := range []string{StateFailing, StateSlow} {
		if n := countByState[state]; n*2 > len(p.Servers) {
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

// severity lists the states from best to worst. A data centre has the worst state of its pools.
var severity = []string{
	StateReady, StateReturning, StateCold, StateSlow, StateFailing, StateDown, StateDrained, StateDraining,
}

func (c *collector) dcs(services []Service) []DC {
	list := []DC{}
	total := 0.0
	for _, s := range services {
		total += s.CallsPerSecond
	}
	for i, name := range c.in.State.Config.DCs {
		d := DC{Name: name, State: StateDown, Reason: "no server has announced itself"}
		worst := -1
		for _, s := range services {
			p := s.DCs[i]
			d.CallsPerSecond += p.CallsPerSecond
			d.Servers += len(p.Servers)
			d.BusySlots += p.BusySlots
			rank := slices.Index(severity, p.State)
			if rank > worst && (len(p.Servers) > 0 || p.State == StateDrained) {
				worst = rank
				d.State, d.Reason = p.State, s.Name+": "+p.Reason
			}
		}
		if at, ok := c.in.State.DrainedDCs[name]; ok {
			d.State, d.Reason, d.Since = drainState(d.BusySlots), "taken out by operators at "+formatClock(at), at
			if d.BusySlots > 0 {
				d.Reason += fmt.Sprintf(", still running: %d", d.BusySlots)
			}
		}
		if at, ok := c.in.State.UndrainedDCs[name]; ok {
			d.Since = at
		}
		d.CallsPerSecond = ratio(d.CallsPerSecond, 1)
		d.Share = ratio(d.CallsPerSecond, total)
		list = append(list, d)
	}
	return list
}

// Rollouts lists the rollouts of the state with the measured shares from the view; v may be nil.
func Rollouts(s *sycamorevane.State, v *View) []Rollout {
	list := []Rollout{}
	for _, name := range slices.Sorted(maps.Keys(s.Rollouts)) {
		r := s.Rollouts[name]
		out := Rollout{
			ID: r.ID, Service: r.Service, FromVersion: r.FromVersion, ToVersion: r.ToVersion, Phase: string(r.Phase), Reason: r.Reason,
			Share: s.VersionShares(name)[r.ToVersion], DeadlineAtRisk: r.DeadlineAtRisk, StartedAt: r.StartedAt, Deadline: r.Deadline, ChangedAt: r.ChangedAt, Actor: r.Actor,
		}
		if v != nil {
			out.MeasuredShare = v.measuredShare(name, r.ToVersion)
		}
		list = append(list, out)
	}
	return list
}

// entries lists the configured entry hosts, followed by those that report without being configured.
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
	case e.ShuttingDown:
		h.State, h.Reason = StateLeaving, "stops after its callers have left"
	case e.Version < c.in.State.Version:
		h.State, h.Reason = StateBehind, fmt.Sprintf("has version %d in force", e.Version)
	}
	return h
}

func controls(list []Control) []Host {
	out := []Host{}
	for _, control := range list {
		h := Host{Name: control.Name, DC: control.DC, State: control.Role, Reason: control.Fault}
		if !control.Alive {
			h.State = StateSilent
			h.Reason = cmp.Or(control.Fault, "does not answer")
		}
		out = append(out, h)
	}
	return out
}

func formatClock(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05") }
