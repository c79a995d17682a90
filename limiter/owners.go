package limiter

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/placer"
)

// majorityAge is the silence after which a peer no longer counts for the majority; below messenger.DeadAfter, so
// that an old owner stops before a new one starts.
const majorityAge = time.Second

type ownerEvent struct {
	from    string
	message proto.Message
}

// owners runs the pools of the own data centre that this entry owns.
type owners struct {
	pace  *pacer
	l     *Limiter
	inbox *sycamorevane.Ring[ownerEvent]

	mu       sync.Mutex
	servers  []sycamorevane.Server
	pools    map[string]*pool
	returned returnedDC
	// levels are handovers for pools that this entry does not own yet.
	levels map[string]handover
	// views are the live entries of the own data centre as other entries see them.
	views map[string]*peerView
	// told is when this entry last sent its own view, and sums what it said.
	told time.Time
	// changed is when the own view last changed, listed when the names were last sent.
	changed time.Time
	listed  time.Time
	// levelled is when the ramp levels were last sent to the next in line.
	levelled time.Time
	sums     map[string]uint64
}

// pool is an owned pool. It is paused while no majority takes this entry for the owner.
type pool struct {
	*Owner
	lending bool
	paused  time.Time
}

// peerView is what a peer stated about the own data centre.
type peerView struct {
	live     []string
	received time.Time
	// owners caches whom the peer takes for the owner, by service.
	owners map[string]string
}

func (v *peerView) owner(service, dc string) string {
	owner, ok := v.owners[service]
	if !ok {
		owner = placer.PoolOwner(service, dc, v.live)
		v.owners[service] = owner
	}
	return owner
}

type handover struct {
	message  *encoder.SlotHandover
	received time.Time
}

const (
	// handoverAge bounds the time between a handover and the start of ownership.
	handoverAge = 4 * time.Second
	// levelInterval is how often an owner tells the next in line the ramp levels, so that its death does not make
	// every server count as cold.
	levelInterval = time.Second
	// handoverTimeout bounds the last handover of a stopping entry.
	handoverTimeout = 500 * time.Millisecond
)

// returnedDC remembers when this entry first saw that its data centre came back.
type returnedDC struct {
	accepted int64
	seen     time.Time
	started  bool
}

func newOwners(l *Limiter) *owners {
	return &owners{
		l: l, inbox: sycamorevane.NewRing[ownerEvent](inboxSize), pools: make(map[string]*pool), levels: make(map[string]handover),
		views: make(map[string]*peerView), pace: newPacer(ownerTick, idleTick), sums: make(map[string]uint64),
	}
}

func (o *owners) push(ev ownerEvent) {
	if !o.inbox.Push(ev) {
		o.l.cfg.Log.Info("owner queue is full, message dropped", "peer", ev.from, "size", inboxSize)
	}
}

func (o *owners) loop() {
	t := time.NewTimer(ownerTick)
	defer t.Stop()
	for {
		select {
		case <-o.inbox.Wake():
			o.drain()
			continue
		case <-o.pace.wake:
		case <-t.C:
		case <-o.l.ctx.Done():
			return
		}
		now := time.Now()
		o.tick(now)
		t.Reset(o.pace.next(now))
	}
}

func (o *owners) drain() {
	for {
		ev, ok := o.inbox.Pop()
		if !ok {
			return
		}
		o.mu.Lock()
		switch m := ev.message.(type) {
		case *encoder.SlotReport:
			o.pace.touch(time.Now())
			o.report(ev.from, m)
		case *encoder.SlotView:
			o.noteView(ev.from, m)
		case *encoder.SlotHandover:
			o.takeOver(m)
		}
		o.mu.Unlock()
	}
}

func (o *owners) report(from string, m *encoder.SlotReport) {
	p, ok := o.pools[m.Service]
	if !ok || m.Dc != o.l.cfg.DC || !p.lending {
		return
	}
	o.send(p.Report(time.Now(), from, m))
}

// takeOver applies or keeps the ramp levels of a former owner, since they may arrive before this entry sees that the
// former owner is gone.
func (o *owners) takeOver(m *encoder.SlotHandover) {
	if m.Dc != o.l.cfg.DC {
		return
	}
	if p, ok := o.pools[m.Service]; ok {
		p.Handover(m)
		return
	}
	o.levels[m.Service] = handover{m, time.Now()}
}

func (o *owners) setServers(servers []sycamorevane.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servers = slices.Clone(servers)
	now := time.Now()
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		o.send(o.pools[service].SetServers(now, o.servers))
	}
}

func (o *owners) stateChanged() {
	state := o.l.cfg.State()
	if state == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.noteReturn(state, now)
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		p := o.pools[service]
		o.send(p.SetRules(now, rulesFor(state, service), o.returned.seen))
		if cfg := state.Config.Service(service); cfg != nil {
			p.SetProbeShare(cfg.ProbeRatio)
		}
	}
}

// noteReturn starts the ramp of the own data centre when a new return is seen. The first state after the start of
// the process says nothing about when an old return happened, so it counts by wall time.
func (o *owners) noteReturn(state *sycamorevane.State, now time.Time) {
	accepted, back := state.UndrainedDCs[o.l.cfg.DC]
	first := !o.returned.started
	o.returned.started = true
	if !back || accepted == o.returned.accepted {
		return
	}
	o.returned.accepted = accepted
	if first && now.Sub(time.UnixMilli(accepted)) > 2*returnRamp {
		return
	}
	o.returned.seen = now
}

// tick follows ownership and lets time pass in the pools.
func (o *owners) tick(now time.Time) {
	state := o.l.cfg.State()
	if state == nil {
		return
	}
	peers := o.l.cfg.Transport.Peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.noteReturn(state, now)
	o.tellView(state, peers, now)
	configured := sycamorevane.NewSet(o.l.cfg.Entries()...)
	for i := range state.Config.Services {
		o.follow(state, state.Config.Services[i].Name, configured, peers, now)
	}
	for service := range o.pools {
		if state.Config.Service(service) == nil {
			delete(o.pools, service)
		}
	}
	if now.Sub(o.levelled) >= levelInterval {
		o.levelled = now
		o.tellLevels(peers)
	}
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		p := o.pools[service]
		if !p.lending {
			p.PauseProbes(now)
			continue
		}
		o.send(p.Tick(now))
		o.probe(service, now)
	}
}

// probe sends the measurement request that the budget allows now.
func (o *owners) probe(service string, now time.Time) {
	if o.l.cfg.Probe == nil {
		return
	}
	server, ok := o.pools[service].Probe(now)
	if !ok {
		return
	}
	o.l.probes.Inc(1)
	o.l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.l.ctx, probeTimeout)
		defer cancel()
		began := time.Now()
		err := o.l.cfg.Probe(ctx, server)
		done := time.Now()
		o.mu.Lock()
		defer o.mu.Unlock()
		// The pool may have moved away meanwhile; the next owner starts with an empty allowance.
		if p, ok := o.pools[service]; ok && o.l.ctx.Err() == nil {
			o.send(p.Probed(done, server.ID, done.Sub(began), err != nil))
		}
	})
}

// probeTimeout bounds a measurement request.
const probeTimeout = 2 * time.Second

// tellView sends this entry's view of the live entries of each peer's data centre to that peer. The names follow a
// change for a while; otherwise their sum is enough, so that the messages do not grow with the number of entries.
func (o *owners) tellView(state *sycamorevane.State, peers []sycamorevane.Peer, now time.Time) {
	changed := o.viewChanged(state, peers)
	if !changed && now.Sub(o.told) < viewInterval {
		return
	}
	if changed {
		o.changed = now
	}
	o.told = now
	full := now.Sub(o.changed) < viewRepeat || now.Sub(o.listed) >= viewRefresh
	if full {
		o.listed = now
	}
	for _, dc := range state.Config.DCs {
		live := liveEntries(o.l.cfg, dc, peers)
		o.sums[dc] = viewSum(live)
		m := &encoder.SlotView{Sum: o.sums[dc]}
		if full {
			m.Live = live
		}
		for _, p := range peers {
			if p.DC == dc && p.Alive && p.Roles.Has(sycamorevane.RoleEntry) {
				_ = o.l.cfg.Transport.Send(p.Name, m) // Repeated soon; a lost one only delays lending.
			}
		}
	}
}

func (o *owners) viewChanged(state *sycamorevane.State, peers []sycamorevane.Peer) bool {
	for _, dc := range state.Config.DCs {
		if o.sums[dc] != viewSum(liveEntries(o.l.cfg, dc, peers)) {
			return true
		}
	}
	return false
}

func (o *owners) noteView(from string, m *encoder.SlotView) {
	v, ok := o.views[from]
	if len(m.Live) > 0 && (!ok || !slices.Equal(v.live, m.Live)) {
		v = &peerView{live: m.Live, owners: make(map[string]string)}
		o.views[from] = v
		ok = true
	}
	if ok && viewSum(v.live) == m.Sum {
		v.received = time.Now()
	}
}

// majority reports whether more than half of the configured entries, this one included, are heard and take this
// entry for the owner of the service. Each takes one entry at a time for the owner, so two owners of one pool cannot
// both have a majority, and the failure of a single link leaves one.
func (o *owners) majority(service string, configured sycamorevane.Set[string], peers []sycamorevane.Peer, now time.Time) bool {
	agree := 0
	if configured.Has(o.l.cfg.Self) {
		agree++
	}
	for _, p := range peers {
		v, ok := o.views[p.Name]
		if !ok || !configured.Has(p.Name) || !p.Alive || now.Sub(v.received) >= majorityAge {
			continue
		}
		if v.owner(service, o.l.cfg.DC) == o.l.cfg.Self {
			agree++
		}
	}
	return 2*agree > len(configured)
}

// viewSum is a hash of the names of the live entries, which are sorted except for this one.
func viewSum(live []string) uint64 {
	sum := uint64(0)
	for _, name := range live {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// follow starts, pauses or ends the ownership of one pool. After a pause in which another entry may have lent, the
// pool starts anew with the ramp levels it had.
func (o *owners) follow(
	state *sycamorevane.State, service string, configured sycamorevane.Set[string], peers []sycamorevane.Peer, now time.Time,
) {
	owner := o.l.ownerOf(service, o.l.cfg.DC, peers)
	p, have := o.pools[service]
	if have && owner != o.l.cfg.Self {
		delete(o.pools, service)
		o.handOverTo(owner, p.Owner)
		o.l.cfg.Log.Info("no longer owns slots", "service", service, "dc", o.l.cfg.DC, "owner", owner)
		return
	}
	if owner != o.l.cfg.Self {
		return
	}
	majority := o.majority(service, configured, peers, now)
	switch {
	case majority && !have:
		o.begin(state, service, now)
	case majority:
		p.lending = true
	case have && p.lending:
		p.lending, p.paused = false, now
	case have && now.Sub(p.paused) >= SlotLease:
		o.levels[service] = handover{p.Levels(), now}
		delete(o.pools, service)
		o.l.cfg.Log.Info("stopped lending slots without a majority", "service", service, "dc", o.l.cfg.DC)
	}
}

// begin starts the ownership of a pool.
func (o *owners) begin(state *sycamorevane.State, service string, now time.Time) {
	p := &pool{Owner: NewOwner(now, service, o.l.cfg.DC, rand.Uint64()|1), lending: true}
	o.pools[service] = p
	p.SetRules(now, rulesFor(state, service), o.returned.seen)
	p.SetProbeShare(state.Config.Service(service).ProbeRatio)
	if h, ok := o.levels[service]; ok && now.Sub(h.received) < handoverAge {
		p.Handover(h.message)
	}
	delete(o.levels, service)
	p.SetServers(now, o.servers)
	o.l.cfg.Log.Info("owns slots", "service", service, "dc", o.l.cfg.DC)
}

func (o *owners) handOverTo(owner string, p *Owner) {
	if err := o.l.cfg.Transport.Send(owner, p.Levels()); err != nil {
		o.l.cfg.Log.V(1).Info("ramp levels not handed over", "peer", owner, "reason", err.Error())
	}
}

// handOver gives the ramp levels of all pools to the entries that own them once this one is gone, and waits until
// they have arrived, since the process is about to close its sessions.
func (o *owners) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	o.mu.Lock()
	last := o.successors(o.l.cfg.Transport.Peers())
	clear(o.pools)
	o.mu.Unlock()
	for _, h := range last {
		if _, err := o.l.cfg.Transport.Call(ctx, h.to, h.message); err != nil {
			o.l.cfg.Log.Info("ramp levels not handed over", "peer", h.to, "reason", err.Error())
		}
	}
}

// tellLevels sends the ramp levels of each pool to the entry next in line for it.
func (o *owners) tellLevels(peers []sycamorevane.Peer) {
	for _, h := range o.successors(peers) {
		if err := o.l.cfg.Transport.Send(h.to, h.message); err != nil {
			o.l.cfg.Log.V(1).Info("ramp levels not sent", "peer", h.to, "reason", err.Error())
		}
	}
}

type succession struct {
	to      string
	message *encoder.SlotHandover
}

// successors pairs the ramp levels of each pool with the entry that owns it once this one is gone.
func (o *owners) successors(peers []sycamorevane.Peer) []succession {
	var others []string
	for _, name := range liveEntries(o.l.cfg, o.l.cfg.DC, peers) {
		if name != o.l.cfg.Self {
			others = append(others, name)
		}
	}
	var list []succession
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		if next := placer.PoolOwner(service, o.l.cfg.DC, others); next != "" {
			list = append(list, succession{next, o.pools[service].Levels()})
		}
	}
	return list
}

func (o *owners) send(loans []Loan) {
	for _, loan := range loans {
		if loan.To == o.l.cfg.Self {
			o.l.inbox.Push(loanEvent{loan.To, loan.Message})
			continue
		}
		if err := o.l.cfg.Transport.Send(loan.To, loan.Message); err != nil {
			o.l.cfg.Log.V(1).Info("slot loan not sent", "peer", loan.To, "reason", err.Error())
		}
	}
}
