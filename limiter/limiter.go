// Package limiter leases the slots of backend servers to entries. The owner entry of a (service, data centre)
// lends them (Owner), every entry hands out what it borrowed (Borrower); both are pure cores. Limiter is the
// driver that connects them to the mesh.
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
	ownerTick    = 10 * time.Millisecond
	borrowerTick = 2 * time.Millisecond
	// idleTick is the interval of both loops without work; ownership is checked then.
	idleTick     = 100 * time.Millisecond
	viewInterval = 400 * time.Millisecond
	// viewRepeat is how long the names of the live entries go with each view after a change, and viewRefresh how
	// often they go without one, for peers that have lost them.
	viewRepeat  = time.Second
	viewRefresh = 2 * time.Second
	inboxSize   = 4096
	// idBits separates the grant numbers of the services.
	idBits = 40
)

// Config holds what a Limiter is built from.
type Config struct {
	Self, DC  string
	Transport sycamorevane.Transport
	// State returns the committed state in force, or nil.
	State   func() *sycamorevane.State
	Log     logr.Logger
	Metrics tally.Scope
	// Probe sends one measurement request to the server.
	Probe func(ctx context.Context, s sycamorevane.Server) error
	// Blocked reports whether this entry has strong evidence of its own against a trial version, for the time until
	// control has decided; nil for never.
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
	owners      *owners
	pace        *pacer
	// granted and probes count since the start; refusals are counted by reason.
	granted, probes tally.Counter
	inbox           *sycamorevane.Ring[loanEvent]
	// routed identifies the live entries that the borrowers' owners were last chosen from; only borrowLoop uses it.
	routed uint64

	mu        sync.RWMutex
	borrowers map[string]*serviceBorrower
	closed    bool
}

type loanEvent struct {
	from string
	loan *encoder.SlotLoan
}

// serviceBorrower is the borrower of one service with the requests that wait on it.
type serviceBorrower struct {
	mu      sync.Mutex
	core    *Borrower
	waiting map[uint64]chan verdict
	// owner is the entry last reported to, per data centre.
	owner map[string]string
}

type verdict struct {
	grant sycamorevane.Grant
	err   error
}

var _ sycamorevane.Limiter = (*Limiter)(nil)

// New registers the limiter's messages with the transport. It must be called before the transport starts.
func New(cfg Config) *Limiter {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Limiter{
		cfg: cfg, incarnation: rand.Uint64() | 1, ctx: ctx, stop: stop,
		inbox:     sycamorevane.NewRing[loanEvent](inboxSize),
		pace:      newPacer(borrowerTick, idleTick),
		borrowers: make(map[string]*serviceBorrower),
	}
	l.granted, l.probes = cfg.Metrics.Counter("slots_granted"), cfg.Metrics.Counter("slots_probes")
	l.owners = newOwners(l)
	for _, m := range []proto.Message{&encoder.SlotReport{}, &encoder.SlotHandover{}, &encoder.SlotView{}} {
		cfg.Transport.Handle(m, func(from string, m proto.Message) proto.Message {
			l.owners.push(ownerEvent{from: from, message: m})
			return &encoder.SlotHandover{} // Only a stopping owner waits for it.
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

// Start runs the owner and the borrower until Close.
func (l *Limiter) Start() {
	l.wg.Go(l.owners.loop)
	l.wg.Go(l.borrowLoop)
}

// Close refuses new requests, gives back idle slots, hands the ramp levels over and stops.
func (l *Limiter) Close() {
	l.mu.Lock()
	l.closed = true
	all := l.listLocked()
	l.mu.Unlock()
	now := time.Now()
	for _, b := range all {
		b.mu.Lock()
		l.apply(b, b.core.Close(now))
		b.mu.Unlock()
	}
	l.stop()
	l.wg.Wait()
	l.owners.handOver()
}

// SetServers replaces the live servers of the own data centre.
func (l *Limiter) SetServers(servers []sycamorevane.Server) { l.owners.setServers(servers) }

// StateChanged makes the limiter read the committed state again.
func (l *Limiter) StateChanged() {
	l.owners.stateChanged()
	now := time.Now()
	l.mu.RLock()
	all := l.listLocked()
	l.mu.RUnlock()
	for _, b := range all {
		l.configure(b, now)
	}
}

func (l *Limiter) listLocked() []*serviceBorrower {
	all := make([]*serviceBorrower, 0, len(l.borrowers))
	for _, b := range l.borrowers {
		all = append(all, b)
	}
	return all
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
	l.pace.touch(now)
	b.mu.Lock()
	if l.cfg.Blocked != nil {
		b.core.Block(l.cfg.Blocked(req.Service, b.core.rules.Trial))
	}
	id, effects := b.core.Arrive(now, req)
	answer := make(chan verdict, 1)
	b.waiting[id] = answer
	l.apply(b, effects)
	b.mu.Unlock()
	select {
	case v := <-answer:
		return v.grant, v.err
	default:
	}
	select {
	case v := <-answer:
		return v.grant, v.err
	case <-ctx.Done():
		return l.abandon(ctx, b, id, answer)
	}
}

// abandon withdraws a request whose caller is gone.
func (l *Limiter) abandon(
	ctx context.Context, b *serviceBorrower, id uint64, answer chan verdict,
) (sycamorevane.Grant, error) {
	b.mu.Lock()
	withdrawn := b.core.Cancel(id)
	delete(b.waiting, id)
	b.mu.Unlock()
	if !withdrawn {
		if v := <-answer; v.err == nil {
			l.Release(v.grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled})
		}
	}
	return sycamorevane.Grant{}, errors.Trace(ctx.Err())
}

// Withdraw refuses all waiting requests of an entry that is cut off; running ones finish.
func (l *Limiter) Withdraw() {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, b := range l.borrowers {
		b.mu.Lock()
		l.apply(b, b.core.Withdraw())
		b.mu.Unlock()
	}
}

// Release implements sycamorevane.Limiter.
func (l *Limiter) Release(g sycamorevane.Grant, o sycamorevane.Outcome) {
	l.pace.touch(time.Now())
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
		return nil, &sycamorevane.RefusedError{Service: req.Service, Workspace: req.Workspace, Reason: refusedClosed, RetryAfter: minRetry}
	}
	if ok {
		return b, nil
	}
	state := l.cfg.State()
	if state == nil || state.Config.Service(req.Service) == nil {
		return nil, &sycamorevane.RefusedError{
			Service: req.Service, Workspace: req.Workspace, Reason: "service is not configured", RetryAfter: time.Second,
		}
	}
	return l.addBorrower(req.Service), nil
}

func (l *Limiter) addBorrower(service string) *serviceBorrower {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.borrowers[service]; ok {
		return b
	}
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := NewBorrower(service, l.cfg.DC, l.incarnation, picker.Leased{}, r)
	core.next = uint64(len(l.borrowers)) << idBits
	b := &serviceBorrower{core: core, waiting: make(map[uint64]chan verdict), owner: make(map[string]string)}
	l.borrowers[service] = b
	l.configure(b, now)
	return b
}

// configure gives the borrower the rules in force and the data centres that have an owner.
func (l *Limiter) configure(b *serviceBorrower, now time.Time) {
	state := l.cfg.State()
	if state == nil {
		return
	}
	peers := l.cfg.Transport.Peers()
	b.mu.Lock()
	defer b.mu.Unlock()
	l.apply(b, b.core.SetRules(now, rulesFor(state, b.core.service), settingsFor(state, b.core.service, l.cfg.DC, peers)))
	l.route(b, state, peers, now)
}

// route finds the owner of each data centre.
func (l *Limiter) route(b *serviceBorrower, state *sycamorevane.State, peers []sycamorevane.Peer, now time.Time) {
	reachable := make(map[string]bool)
	for _, dc := range state.Config.DCs {
		owner := l.ownerOf(b.core.service, dc, peers)
		reachable[dc] = owner != ""
		if owner != b.owner[dc] {
			b.owner[dc] = owner
			b.core.OwnerChanged(dc)
		}
	}
	l.apply(b, b.core.SetDCs(now, reachable))
}

func (l *Limiter) ownerOf(service, dc string, peers []sycamorevane.Peer) string {
	return placer.PoolOwner(service, dc, liveEntries(l.cfg, dc, peers))
}

// borrowLoop applies loans and the passing of time to all borrowers.
func (l *Limiter) borrowLoop() {
	t := time.NewTimer(borrowerTick)
	defer t.Stop()
	var routed time.Time
	for {
		select {
		case <-l.inbox.Wake():
			l.takeLoans()
			continue
		case <-l.pace.wake:
		case <-t.C:
		case <-l.ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(routed) >= ownerTick {
			routed = now
			l.routeAll(now)
		}
		l.tickAll(now)
		t.Reset(l.pace.next(now))
	}
}

func (l *Limiter) takeLoans() {
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
		// A former owner's loan must not undo the new owner's.
		if b.owner[ev.loan.Dc] == ev.from {
			l.apply(b, b.core.Loan(time.Now(), ev.loan))
		}
		b.mu.Unlock()
	}
}

func (l *Limiter) routeAll(now time.Time) {
	state := l.cfg.State()
	if state == nil {
		return
	}
	peers := l.cfg.Transport.Peers()
	sum := l.liveSum(state, peers)
	if sum == l.routed {
		return
	}
	l.routed = sum
	l.mu.RLock()
	all := l.listLocked()
	l.mu.RUnlock()
	for _, b := range all {
		b.mu.Lock()
		l.route(b, state, peers, now)
		b.mu.Unlock()
	}
}

// liveSum changes with the live entries of any data centre and with the state.
func (l *Limiter) liveSum(state *sycamorevane.State, peers []sycamorevane.Peer) uint64 {
	sum := state.Version
	for _, dc := range state.Config.DCs {
		sum = sum*31 + viewSum(liveEntries(l.cfg, dc, peers))
	}
	return sum
}

func (l *Limiter) tickAll(now time.Time) {
	l.mu.RLock()
	all := l.listLocked()
	l.mu.RUnlock()
	for _, b := range all {
		b.mu.Lock()
		l.apply(b, b.core.Tick(now))
		b.mu.Unlock()
	}
}

// apply carries out the effects of the borrower, whose mutex is held.
func (l *Limiter) apply(b *serviceBorrower, e Effects) {
	l.granted.Inc(int64(len(e.Granted)))
	for _, g := range e.Granted {
		if ch, ok := b.waiting[g.Waiter]; ok {
			ch <- verdict{grant: g.Grant}
			delete(b.waiting, g.Waiter)
		}
	}
	for _, r := range e.Refused {
		l.cfg.Metrics.Tagged(map[string]string{"reason": r.Err.Reason}).Counter("slots_refused").Inc(1)
		if ch, ok := b.waiting[r.Waiter]; ok {
			ch <- verdict{err: r.Err}
			delete(b.waiting, r.Waiter)
		}
	}
	for _, r := range e.Reports {
		l.sendReport(b.owner[r.DC], r.Message)
	}
}

func (l *Limiter) sendReport(to string, m *encoder.SlotReport) {
	if to == l.cfg.Self {
		l.owners.push(ownerEvent{from: to, message: m})
		return
	}
	if to == "" {
		return
	}
	if err := l.cfg.Transport.Send(to, m); err != nil {
		l.cfg.Log.V(1).Info("slot report not sent", "peer", to, "reason", err.Error())
	}
}
