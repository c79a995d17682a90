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

// maxViewAge is the age after which the view of a peer no longer counts for the majority. It is below
// messenger.DeadTimeout, so that an old owner stops before a new one starts.
const maxViewAge = time.Second

type ownerEvent struct {
	from    string
	message proto.Message
}

// ownedPools manages the pools of the local data centre that this entry owns.
type ownedPools struct {
	ticker *adaptiveTicker
	l      *Limiter
	inbox  *sycamorevane.Ring[ownerEvent]

	mu      sync.Mutex
	servers []sycamorevane.Server
	pools   map[string]*ownedPool
	undrain undrainState
	// pendingHandovers holds handovers for pools that this entry does not own yet.
	pendingHandovers map[string]receivedHandover
	// peerViews holds the views that other entries have of the local data centre.
	peerViews map[string]*peerView
	// lastViewSent is when this entry last sent its views. sentHashes holds the entriesHash of each view sent.
	lastViewSent time.Time
	// viewChangedAt is when the views of this entry last changed, lastFullView when they were last sent in full.
	viewChangedAt time.Time
	lastFullView  time.Time
	// lastHandover is when the ramp limits were last sent to the entries that would take over.
	lastHandover time.Time
	sentHashes   map[string]uint64
}

// ownedPool is a pool that this entry owns. Lending is paused while no majority regards this entry as the owner.
type ownedPool struct {
	*Owner
	lending  bool
	pausedAt time.Time
}

// peerView is a peer's view of the live entries in the local data centre.
type peerView struct {
	live []string
	// confirmedAt is when the peer last sent this view, in full or as its hash.
	confirmedAt time.Time
	// owners caches the entry that the peer regards as the owner, by service.
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

type receivedHandover struct {
	message    *encoder.SlotHandover
	receivedAt time.Time
}

const (
	// maxHandoverAge is the age up to which a received handover is used at the start of ownership.
	maxHandoverAge = 4 * time.Second
	// handoverInterval is how often an owner sends the ramp limits to the entry that would take over. Without them,
	// every server would count as cold after the death of the owner.
	handoverInterval = time.Second
	// handoverTimeout limits the final handover of a stopping entry.
	handoverTimeout = 500 * time.Millisecond
)

// undrainState records when this entry first saw that the drain of the local data centre had ended.
type undrainState struct {
	// acceptedMs is the time of the undrain command in Unix ms, seenAt when this entry first saw it.
	acceptedMs int64
	seenAt     time.Time
	// stateSeen is true once a state has been seen since the start of the process.
	stateSeen bool
}

func newOwnedPools(l *Limiter) *ownedPools {
	return &ownedPools{
		l: l, inbox: sycamorevane.NewRing[ownerEvent](inboxSize), pools: make(map[string]*ownedPool),
		pendingHandovers: make(map[string]receivedHandover), peerViews: make(map[string]*peerView),
		ticker: newAdaptiveTicker(ownerTickInterval, idleTickInterval), sentHashes: make(map[string]uint64),
	}
}

func (o *ownedPools) push(ev ownerEvent) {
	if !o.inbox.Push(ev) {
		o.l.cfg.Log.Info("owner queue is full, message dropped", "peer", ev.from, "size", inboxSize)
	}
}

func (o *ownedPools) loop() {
	t := time.NewTimer(ownerTickInterval)
	defer t.Stop()
	for {
		select {
		case <-o.inbox.Wake():
			o.handleEvents()
			continue
		case <-o.ticker.wake:
		case <-t.C:
		case <-o.l.ctx.Done():
			return
		}
		now := time.Now()
		o.tick(now)
		t.Reset(o.ticker.nextInterval(now))
	}
}

func (o *ownedPools) handleEvents() {
	for {
		ev, ok := o.inbox.Pop()
		if !ok {
			return
		}
		o.mu.Lock()
		switch m := ev.message.(type) {
		case *encoder.SlotReport:
			o.ticker.recordWork(time.Now())
			o.handleReport(ev.from, m)
		case *encoder.SlotView:
			o.handleView(ev.from, m)
		case *encoder.SlotHandover:
			o.handleHandover(m)
		}
		o.mu.Unlock()
	}
}

func (o *ownedPools) handleReport(from string, m *encoder.SlotReport) {
	p, ok := o.pools[m.Service]
	if !ok || m.Dc != o.l.cfg.DC || !p.lending {
		return
	}
	o.send(p.HandleReport(time.Now(), from, m))
}

// handleHandover applies the ramp limits of a former owner. If this entry does not own the pool yet, they are stored:
// they may arrive before this entry sees that the former owner is gone.
func (o *ownedPools) handleHandover(m *encoder.SlotHandover) {
	if m.Dc != o.l.cfg.DC {
		return
	}
	if p, ok := o.pools[m.Service]; ok {
		p.HandleHandover(m)
		return
	}
	o.pendingHandovers[m.Service] = receivedHandover{m, time.Now()}
}

func (o *ownedPools) setServers(servers []sycamorevane.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servers = slices.Clone(servers)
	now := time.Now()
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		o.send(o.pools[service].SetServers(now, o.servers))
	}
}

func (o *ownedPools) stateChanged() {
	state := o.l.cfg.State()
	if state == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.recordUndrain(state, now)
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		p := o.pools[service]
		o.send(p.SetRules(now, rulesFor(state, service), o.undrain.seenAt))
		if cfg := state.Config.Service(service); cfg != nil {
			p.SetProbeRatio(cfg.ProbeRatio)
		}
	}
}

// recordUndrain starts the ramp of the local data centre when the state shows a new end of a drain. The first state
// after the start of the process may show one from long ago, so its wall-clock time is checked.
func (o *ownedPools) recordUndrain(state *sycamorevane.State, now time.Time) {
	acceptedMs, undrained := state.UndrainedDCs[o.l.cfg.DC]
	first := !o.undrain.stateSeen
	o.undrain.stateSeen = true
	if !undrained || acceptedMs == o.undrain.acceptedMs {
		return
	}
	o.undrain.acceptedMs = acceptedMs
	if first && now.Sub(time.UnixMilli(acceptedMs)) > 2*undrainRampTime {
		return
	}
	o.undrain.seenAt = now
}

// tick updates the ownership of the pools and runs their timers.
func (o *ownedPools) tick(now time.Time) {
	state := o.l.cfg.State()
	if state == nil {
		return
	}
	peers := o.l.cfg.Transport.Peers()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordUndrain(state, now)
	o.sendViews(state, peers, now)
	configured := sycamorevane.NewSet(o.l.cfg.Entries()...)
	for i := range state.Config.Services {
		o.updateOwnership(state, state.Config.Services[i].Name, configured, peers, now)
	}
	for service := range o.pools {
		if state.Config.Service(service) == nil {
			delete(o.pools, service)
		}
	}
	if now.Sub(o.lastHandover) >= handoverInterval {
		o.lastHandover = now
		o.sendHandovers(peers)
	}
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		p := o.pools[service]
		if !p.lending {
			p.PauseProbes(now)
			continue
		}
		o.send(p.Tick(now))
		o.sendProbe(service, now)
	}
}

// sendProbe sends a probe if the budget allows one now.
func (o *ownedPools) sendProbe(service string, now time.Time) {
	if o.l.cfg.Probe == nil {
		return
	}
	server, ok := o.pools[service].NextProbe(now)
	if !ok {
		return
	}
	o.l.probesCounter.Inc(1)
	o.l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.l.ctx, probeTimeout)
		defer cancel()
		sentAt := time.Now()
		err := o.l.cfg.Probe(ctx, server)
		receivedAt := time.Now()
		o.mu.Lock()
		defer o.mu.Unlock()
		// Ownership may have moved in the meantime; the new owner starts with an empty budget.
		if p, ok := o.pools[service]; ok && o.l.ctx.Err() == nil {
			o.send(p.HandleProbeResult(receivedAt, server.ID, receivedAt.Sub(sentAt), err != nil))
		}
	})
}

// probeTimeout limits the duration of a probe.
const probeTimeout = 2 * time.Second

// sendViews sends each peer this entry's view of the live entries in the peer's data centre. The names are included
// for a while after a change and from time to time. Otherwise the hash is sufficient, so that the messages do not
// grow with the number of entries.
func (o *ownedPools) sendViews(state *sycamorevane.State, peers []sycamorevane.Peer, now time.Time) {
	changed := o.viewChanged(state, peers)
	if !changed && now.Sub(o.lastViewSent) < viewInterval {
		return
	}
	if changed {
		o.viewChangedAt = now
	}
	o.lastViewSent = now
	full := now.Sub(o.viewChangedAt) < fullViewPeriod || now.Sub(o.lastFullView) >= fullViewInterval
	if full {
		o.lastFullView = now
	}
	for _, dc := range state.Config.DCs {
		live := liveEntries(o.l.cfg, dc, peers)
		o.sentHashes[dc] = entriesHash(live)
		m := &encoder.SlotView{Sum: o.sentHashes[dc]}
		if full {
			m.Live = live
		}
		for _, p := range peers {
			if p.DC == dc && p.Alive && p.Roles.Has(sycamorevane.RoleEntry) {
				_ = o.l.cfg.Transport.Send(p.Name, m) // A lost view is sent again soon and only delays lending.
			}
		}
	}
}

func (o *ownedPools) viewChanged(state *sycamorevane.State, peers []sycamorevane.Peer) bool {
	for _, dc := range state.Config.DCs {
		if o.sentHashes[dc] != entriesHash(liveEntries(o.l.cfg, dc, peers)) {
			return true
		}
	}
	return false
}

func (o *ownedPools) handleView(from string, m *encoder.SlotView) {
	v, ok := o.peerViews[from]
	if len(m.Live) > 0 && (!ok || !slices.Equal(v.live, m.Live)) {
		v = &peerView{live: m.Live, owners: make(map[string]string)}
		o.peerViews[from] = v
		ok = true
	}
	if ok && entriesHash(v.live) == m.Sum {
		v.confirmedAt = time.Now()
	}
}

// hasMajority reports whether more than half of the configured entries, including this one, regard this entry as the
// owner of the service's pool. Only peers that are alive and have sent their view recently count. Each entry regards
// one entry at a time as the owner. Two entries thus cannot both have a majority, and one still has it when a single
// link fails.
func (o *ownedPools) hasMajority(
	service string, configured sycamorevane.Set[string], peers []sycamorevane.Peer, now time.Time,
) bool {
	votes := 0
	if configured.Has(o.l.cfg.Self) {
		votes++
	}
	for _, p := range peers {
		v, ok := o.peerViews[p.Name]
		if !ok || !configured.Has(p.Name) || !p.Alive || now.Sub(v.confirmedAt) >= maxViewAge {
			continue
		}
		if v.owner(service, o.l.cfg.DC) == o.l.cfg.Self {
			votes++
		}
	}
	return 2*votes > len(configured)
}

// entriesHash returns a hash of the entry names that does not depend on their order: each host lists itself first.
func entriesHash(entries []string) uint64 {
	hash := uint64(0)
	for _, name := range entries {
		hash += xxhash.Sum64String(name)
	}
	return hash
}

// updateOwnership starts, pauses or ends the ownership of one pool. After a pause in which another entry may have
// lent slots, the pool starts anew with its previous ramp limits.
func (o *ownedPools) updateOwnership(
	state *sycamorevane.State, service string, configured sycamorevane.Set[string], peers []sycamorevane.Peer, now time.Time,
) {
	owner := o.l.ownerOf(service, o.l.cfg.DC, peers)
	p, owned := o.pools[service]
	if owned && owner != o.l.cfg.Self {
		delete(o.pools, service)
		o.sendHandover(owner, p.Owner)
		o.l.cfg.Log.Info("no longer owns slots", "service", service, "dc", o.l.cfg.DC, "owner", owner)
		return
	}
	if owner != o.l.cfg.Self {
		return
	}
	hasMajority := o.hasMajority(service, configured, peers, now)
	switch {
	case hasMajority && !owned:
		o.startOwnership(state, service, now)
	case hasMajority:
		p.lending = true
	case owned && p.lending:
		p.lending, p.pausedAt = false, now
	case owned && now.Sub(p.pausedAt) >= SlotLease:
		o.pendingHandovers[service] = receivedHandover{p.RampLimits(), now}
		delete(o.pools, service)
		o.l.cfg.Log.Info("stopped lending slots without a majority", "service", service, "dc", o.l.cfg.DC)
	}
}

// startOwnership starts the ownership of a pool.
func (o *ownedPools) startOwnership(state *sycamorevane.State, service string, now time.Time) {
	p := &ownedPool{Owner: NewOwner(now, service, o.l.cfg.DC, rand.Uint64()|1), lending: true}
	o.pools[service] = p
	p.SetRules(now, rulesFor(state, service), o.undrain.seenAt)
	p.SetProbeRatio(state.Config.Service(service).ProbeRatio)
	if h, ok := o.pendingHandovers[service]; ok && now.Sub(h.receivedAt) < maxHandoverAge {
		p.HandleHandover(h.message)
	}
	delete(o.pendingHandovers, service)
	p.SetServers(now, o.servers)
	o.l.cfg.Log.Info("owns slots", "service", service, "dc", o.l.cfg.DC)
}

func (o *ownedPools) sendHandover(owner string, p *Owner) {
	if err := o.l.cfg.Transport.Send(owner, p.RampLimits()); err != nil {
		o.l.cfg.Log.V(1).Info("ramp limits not handed over", "peer", owner, "reason", err.Error())
	}
}

// handOverAll sends the ramp limits of all pools to the entries that will own them once this entry is gone. It waits
// for the replies, since the process is about to close its sessions.
func (o *ownedPools) handOverAll() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	o.mu.Lock()
	handovers := o.outgoingHandovers(o.l.cfg.Transport.Peers())
	clear(o.pools)
	o.mu.Unlock()
	for _, h := range handovers {
		if _, err := o.l.cfg.Transport.Call(ctx, h.to, h.message); err != nil {
			o.l.cfg.Log.Info("ramp limits not handed over", "peer", h.to, "reason", err.Error())
		}
	}
}

// sendHandovers sends the ramp limits of each pool to the entry that would take over.
func (o *ownedPools) sendHandovers(peers []sycamorevane.Peer) {
	for _, h := range o.outgoingHandovers(peers) {
		if err := o.l.cfg.Transport.Send(h.to, h.message); err != nil {
			o.l.cfg.Log.V(1).Info("ramp limits not sent", "peer", h.to, "reason", err.Error())
		}
	}
}

type outgoingHandover struct {
	to      string
	message *encoder.SlotHandover
}

// outgoingHandovers pairs the ramp limits of each pool with the entry that would own the pool without this one.
func (o *ownedPools) outgoingHandovers(peers []sycamorevane.Peer) []outgoingHandover {
	var others []string
	for _, name := range liveEntries(o.l.cfg, o.l.cfg.DC, peers) {
		if name != o.l.cfg.Self {
			others = append(others, name)
		}
	}
	var list []outgoingHandover
	for _, service := range slices.Sorted(maps.Keys(o.pools)) {
		if next := placer.PoolOwner(service, o.l.cfg.DC, others); next != "" {
			list = append(list, outgoingHandover{next, o.pools[service].RampLimits()})
		}
	}
	return list
}

func (o *ownedPools) send(loans []Loan) {
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
