// Package limiter leases the slots of backend servers to entries. For each service and data centre, one entry owns
// the pool of servers and lends their slots (Owner). Every entry assigns the slots that it has borrowed to its
// requests (Borrower). Both types are pure state machines without I/O. Limiter connects them to the mesh.
package limiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/picker"
	"sycamorevane.example/sycamorevane/placer"
)

const (
	ownerTickInterval    = 10 * time.Millisecond
	borrowerTickInterval = 2 * time.Millisecond
	// idleTickInterval is the interval of both loops when there is no work. Pool ownership is checked at each tick.
	idleTickInterval = 100 * time.Millisecond
	viewInterval     = 400 * time.Millisecond
	// A view lists the live entries by name for fullViewPeriod after each change, and otherwise once per
	// fullViewInterval, for peers that have lost the list.
	fullViewPeriod   = time.Second
	fullViewInterval = 2 * time.Second
	inboxSize        = 4096
	// grantIDBits is the number of low bits of a grant ID that count the grants of one service. The higher bits differ
	// between services.
	grantIDBits = 40
)

// Config holds the dependencies and settings of a Limiter.
type Config struct {
	Self, DC  string
	Transport sycamorevane.Transport
	// State returns the current committed state, or nil before the first one.
	State   func() *sycamorevane.State
	Log     logr.Logger
	Metrics tally.Scope
	// Probe sends one probe (a measurement request) to the server. With nil, no probes are sent.
	Probe func(ctx context.Context, s sycamorevane.Server) error
	// Blocked reports whether the evidence of this entry alone is strong enough to keep requests off a trial version
	// until the control leader has decided. With nil, no version is blocked.
	Blocked func(service, version string) bool
	// Entries returns the names of the configured entry hosts.
	Entries func() []string
}

// Limiter implements sycamorevane.Limiter on one entry.
type Limiter struct {
	cfg         Config
	incarnation uint64
	ctx         context.Context
	stop        context.CancelFunc
	wg          sync.WaitGroup
	owned       *ownedPools
	ticker      *adaptiveTicker
	// Refusals are counted by reason in apply.
	grantedCounter, probesCounter tally.Counter
	inbox                         *sycamorevane.Ring[loanEvent]
	// ownersHash is the routingHash for which the pool owners were last determined. Only borrowerLoop uses it.
	ownersHash uint64

	mu        sync.RWMutex
	borrowers map[string]*serviceBorrower
	closed    bool
}

type loanEvent struct {
	from string
	loan *encoder.SlotLoan
}

// serviceBorrower holds the Borrower of one service and the result channels of its waiting requests.
type serviceBorrower struct {
	mu      sync.Mutex
	core    *Borrower
	results map[uint64]chan acquireResult
	// owners maps each data centre to the entry that owns the pool there, to which reports go.
	owners map[string]string
	// dropped is set while the configuration does not have the service. Its requests are refused then.
	dropped bool
}

type acquireResult struct {
	grant sycamorevane.Grant
	err   error
}

var _ sycamorevane.Limiter = (*Limiter)(nil)

// New creates a Limiter and registers its message handlers. It must be called before the transport starts.
func New(cfg Config) *Limiter {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Limiter{
		cfg: cfg, incarnation: rand.Uint64() | 1, ctx: ctx, stop: stop,
		inbox:     sycamorevane.NewRing[loanEvent](inboxSize),
		ticker:    newAdaptiveTicker(borrowerTickInterval, idleTickInterval),
		borrowers: make(map[string]*serviceBorrower),
	}
	l.grantedCounter, l.probesCounter = cfg.Metrics.Counter("slots_granted"), cfg.Metrics.Counter("slots_probes")
	l.owned = newOwnedPools(l)
	for _, m := range []proto.Message{&encoder.SlotReport{}, &encoder.SlotHandover{}, &encoder.SlotView{}} {
		cfg.Transport.Handle(m, func(from string, m proto.Message) proto.Message {
			l.owned.push(ownerEvent{from: from, message: m})
			return &encoder.SlotHandover{} // Only a stopping owner waits for the reply.
		})
	}
	cfg.Transport.Handle(&encoder.SlotLoan{}, func(from string, m proto.Message) proto.Message {
		if loan, ok := m.(*encoder.SlotLoan); ok {
			l.inbox.Push(loanEvent{from, loan})
		}
		return nil
	})
	return l
}

// Start runs the owner loop and the borrower loop until Close.
func (l *Limiter) Start() {
	l.wg.Go(l.owned.loop)
	l.wg.Go(l.borrowerLoop)
}

// Close refuses new and waiting requests, returns idle slots, hands the ramp limits over to other entries and stops.
func (l *Limiter) Close() {
	l.mu.Lock()
	l.closed = true
	borrowers := l.borrowersLocked()
	l.mu.Unlock()
	now := time.Now()
	for _, b := range borrowers {
		b.mu.Lock()
		l.apply(b, b.core.Close(now))
		b.mu.Unlock()
	}
	l.stop()
	l.wg.Wait()
	l.owned.handOverAll()
}

// SetServers replaces the list of live servers in the local data centre.
func (l *Limiter) SetServers(servers []sycamorevane.Server) { l.owned.setServers(servers) }

// StateChanged applies the latest committed state.
func (l *Limiter) StateChanged() {
	l.owned.stateChanged()
	now := time.Now()
	l.mu.RLock()
	borrowers := l.borrowersLocked()
	l.mu.RUnlock()
	for _, b := range borrowers {
		l.configure(b, now)
	}
}

func (l *Limiter) borrowersLocked() []*serviceBorrower {
	borrowers := make([]*serviceBorrower, 0, len(l.borrowers))
	for _, b := range l.borrowers {
		borrowers = append(borrowers, b)
	}
	return borrowers
}

// Acquire implements sycamorevane.Limiter.
func (l *Limiter) Acquire(ctx context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	b, err := l.borrower(req)
	if err != nil {
		return sycamorevane.Grant{}, err
	}
	if req.Deadline.IsZero() {
		req.Deadline, _ = ctx.Deadline()
	}
	now := time.Now()
	l.ticker.recordWork(now)
	b.mu.Lock()
	if b.dropped {
		b.mu.Unlock()
		return sycamorevane.Grant{}, newNotConfiguredError(req)
	}
	if l.cfg.Blocked != nil {
		b.core.BlockTrial(l.cfg.Blocked(req.Service, b.core.rules.TrialVersion))
	}
	id, effects := b.core.Submit(now, req)
	result := make(chan acquireResult, 1)
	b.results[id] = result
	l.apply(b, effects)
	b.mu.Unlock()
	select {
	case r := <-result:
		return r.grant, r.err
	default:
	}
	select {
	case r := <-result:
		return r.grant, r.err
	case <-ctx.Done():
		return l.cancelWaiting(ctx, b, id, result)
	}
}

// cancelWaiting removes a waiting request whose caller has disconnected. If the request has been granted a slot in
// the meantime, the slot is released.
func (l *Limiter) cancelWaiting(
	ctx context.Context, b *serviceBorrower, id uint64, result chan acquireResult,
) (sycamorevane.Grant, error) {
	b.mu.Lock()
	wasWaiting := b.core.Cancel(id)
	delete(b.results, id)
	b.mu.Unlock()
	if !wasWaiting {
		if r := <-result; r.err == nil {
			l.Release(r.grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled})
		}
	}
	return sycamorevane.Grant{}, errors.Trace(ctx.Err())
}

// RefuseWaiting refuses all waiting requests of an isolated entry (see subscriber.Config.OnIsolated). Running
// requests finish.
func (l *Limiter) RefuseWaiting() {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, b := range l.borrowers {
		b.mu.Lock()
		l.apply(b, b.core.RefuseWaiting(refusedIsolated))
		b.mu.Unlock()
	}
}

// Release implements sycamorevane.Limiter.
func (l *Limiter) Release(g sycamorevane.Grant, o sycamorevane.Outcome) {
	l.ticker.recordWork(time.Now())
	l.mu.RLock()
	b := l.borrowers[g.Server.Service]
	l.mu.RUnlock()
	if b == nil {
		return
	}
	b.mu.Lock()
	l.apply(b, b.core.Release(time.Now(), g.ID, o))
	b.mu.Unlock()
}

func (l *Limiter) borrower(req sycamorevane.Request) (*serviceBorrower, error) {
	l.mu.RLock()
	b, ok := l.borrowers[req.Service]
	closed := l.closed
	l.mu.RUnlock()
	if closed {
		return nil, &sycamorevane.RefusedError{
			Service: req.Service, Workspace: req.Workspace, Reason: refusedClosing, RetryAfter: minRetryAfter,
		}
	}
	if ok {
		return b, nil
	}
	state := l.cfg.State()
	if state == nil || state.Config.Service(req.Service) == nil {
		return nil, newNotConfiguredError(req)
	}
	return l.addBorrower(req.Service), nil
}

func newNotConfiguredError(req sycamorevane.Request) *sycamorevane.RefusedError {
	return &sycamorevane.RefusedError{
		Service: req.Service, Workspace: req.Workspace, Reason: refusedNotConfigured, RetryAfter: time.Second,
	}
}

func (l *Limiter) addBorrower(service string) *serviceBorrower {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.borrowers[service]; ok {
		return b
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := NewBorrower(service, l.cfg.DC, l.incarnation, picker.Leased{}, rng)
	core.lastID = uint64(len(l.borrowers)) << grantIDBits
	b := &serviceBorrower{core: core, results: make(map[uint64]chan acquireResult), owners: make(map[string]string)}
	l.borrowers[service] = b
	l.configure(b, now)
	return b
}

// configure applies the current rules and settings to the borrower and updates the pool owners.
func (l *Limiter) configure(b *serviceBorrower, now time.Time) {
	state := l.cfg.State()
	if state == nil {
		return
	}
	peers := l.cfg.Transport.Peers()
	b.mu.Lock()
	defer b.mu.Unlock()
	l.apply(b, b.core.SetRules(now, rulesFor(state, b.core.service), settingsFor(state, b.core.service, l.cfg.DC, peers)))
	l.updateOwners(b, state, peers, now)
	if b.dropped = state.Config.Service(b.core.service) == nil; b.dropped {
		l.apply(b, b.core.RefuseWaiting(refusedNotConfigured))
	}
}

// updateOwners determines the pool owner of each data centre.
func (l *Limiter) updateOwners(b *serviceBorrower, state *sycamorevane.State, peers []sycamorevane.Peer, now time.Time) {
	hasOwner := make(map[string]bool)
	for _, dc := range state.Config.DCs {
		owner := l.ownerOf(b.core.service, dc, peers)
		hasOwner[dc] = owner != ""
		if owner != b.owners[dc] {
			b.owners[dc] = owner
			b.core.OwnerChanged(dc)
		}
	}
	l.apply(b, b.core.SetReachableDCs(now, hasOwner))
}

func (l *Limiter) ownerOf(service, dc string, peers []sycamorevane.Peer) string {
	return placer.PoolOwner(service, dc, liveEntries(l.cfg, dc, peers))
}

// borrowerLoop passes loans and timer ticks to all borrowers.
func (l *Limiter) borrowerLoop() {
	t := time.NewTimer(borrowerTickInterval)
	defer t.Stop()
	var lastOwnersUpdate time.Time
	for {
		select {
		case <-l.inbox.Wake():
			l.handleLoans()
			continue
		case <-l.ticker.wake:
		case <-t.C:
		case <-l.ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(lastOwnersUpdate) >= ownerTickInterval {
			lastOwnersUpdate = now
			l.updateAllOwners(now)
		}
		l.tickAll(now)
		t.Reset(l.ticker.nextInterval(now))
	}
}

func (l *Limiter) handleLoans() {
	for {
		ev, ok := l.inbox.Pop()
		if !ok {
			return
		}
		l.mu.RLock()
		b := l.borrowers[ev.loan.Service]
		l.mu.RUnlock()
		if b == nil {
			continue
		}
		b.mu.Lock()
		// A late loan of the former owner must not overwrite those of the current one.
		if b.owners[ev.loan.Dc] == ev.from {
			l.apply(b, b.core.HandleLoan(time.Now(), ev.loan))
		}
		b.mu.Unlock()
	}
}

func (l *Limiter) updateAllOwners(now time.Time) {
	state := l.cfg.State()
	if state == nil {
		return
	}
	peers := l.cfg.Transport.Peers()
	hash := l.routingHash(state, peers)
	if hash == l.ownersHash {
		return
	}
	l.ownersHash = hash
	l.mu.RLock()
	borrowers := l.borrowersLocked()
	l.mu.RUnlock()
	for _, b := range borrowers {
		b.mu.Lock()
		l.updateOwners(b, state, peers, now)
		b.mu.Unlock()
	}
}

// routingHash changes when the state or the set of live entries of any data centre changes.
func (l *Limiter) routingHash(state *sycamorevane.State, peers []sycamorevane.Peer) uint64 {
	hash := state.Version
	for _, dc := range state.Config.DCs {
		hash = hash*31 + entriesHash(liveEntries(l.cfg, dc, peers))
	}
	return hash
}

func (l *Limiter) tickAll(now time.Time) {
	l.mu.RLock()
	borrowers := l.borrowersLocked()
	l.mu.RUnlock()
	for _, b := range borrowers {
		b.mu.Lock()
		l.apply(b, b.core.Tick(now))
		b.mu.Unlock()
	}
}

// apply executes the effects that the borrower returned. The mutex of b must be held.
func (l *Limiter) apply(b *serviceBorrower, e Effects) {
	l.grantedCounter.Inc(int64(len(e.Granted)))
	for _, g := range e.Granted {
		if ch, ok := b.results[g.RequestID]; ok {
			ch <- acquireResult{grant: g.Grant}
			delete(b.results, g.RequestID)
		}
	}
	for _, r := range e.Refused {
		l.cfg.Metrics.Tagged(map[string]string{"reason": r.Err.Reason}).Counter("slots_refused").Inc(1)
		if ch, ok := b.results[r.RequestID]; ok {
			ch <- acquireResult{err: r.Err}
			delete(b.results, r.RequestID)
		}
	}
	for _, r := range e.Reports {
		l.sendReport(b.owners[r.DC], r.Message)
	}
}

func (l *Limiter) sendReport(to string, m *encoder.SlotReport) {
	if to == l.cfg.Self {
		l.owned.push(ownerEvent{from: to, message: m})
		return
	}
	if to == "" {
		return
	}
	if err := l.cfg.Transport.Send(to, m); err != nil {
		l.cfg.Log.V(1).Info("slot report not sent", "peer", to, "reason", err.Error())
	}
}
