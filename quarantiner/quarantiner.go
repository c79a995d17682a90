// Package quarantiner keeps requests that crash servers away from them. It records which requests ran on a
// server when it died, tells the other entries, refuses requests with two such deaths, and lets those with one
// run on a single server at a time.
package quarantiner

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/forwarder"
)

const (
	// DefaultRetention is how long a death counts.
	DefaultRetention = 10 * time.Minute
	// checkTimeout bounds the connection attempt that shows whether a server died.
	checkTimeout = 200 * time.Millisecond
	checkAgain   = 20 * time.Millisecond
	// tellTimeout bounds how long the answer to a caller waits for the other entries to know of a death: the
	// caller may resend through any of them.
	tellTimeout = 300 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	lockLease   = 30 * time.Second
	// lockRetry is how often a suspect that runs elsewhere is asked for again.
	lockRetry    = 20 * time.Millisecond
	tickInterval = time.Second
	syncInterval = 10 * time.Second
	suspectWait  = 500 * time.Millisecond
	// suspectAfter is when a caller may come back whose request runs elsewhere as a suspect.
	suspectAfter = time.Second
)

// Config holds what a Quarantiner is built from.
type Config struct {
	Self      string
	Transport sycamorevane.Transport
	// Entries returns the configured entry hosts. It must not change what it returned.
	Entries func() []string
	// Retention is how long a death counts; 0 means DefaultRetention.
	Retention time.Duration
	Log       logr.Logger
	Metrics   tally.Scope
}

// Quarantiner implements forwarder.Quarantine.
type Quarantiner struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	// dead reports whether nothing listens at an address.
	dead func(addr string) bool
	// wait is how long a suspect that runs elsewhere is awaited.
	wait time.Duration

	mu     sync.Mutex
	record *Record
	// held are the rights of this entry to run suspects, by fingerprint.
	held   map[uint64]*encoder.SuspectAsk
	closed bool

	refusals      tally.Counter
	deaths, count tally.Gauge
}

// New returns a Quarantiner and registers its handlers; it must be called before the transport starts.
func New(cfg Config) *Quarantiner {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	m := cfg.Metrics.SubScope("quarantiner")
	q := &Quarantiner{
		cfg: cfg, ctx: ctx, stop: stop, record: NewRecord(cfg.Retention),
		dead: silent, wait: suspectWait, held: make(map[uint64]*encoder.SuspectAsk),
		refusals: m.Counter("refused"), deaths: m.Gauge("deaths"), count: m.Gauge("quarantined"),
	}
	cfg.Transport.Handle(&encoder.Death{}, q.onDeath)
	cfg.Transport.Handle(&encoder.SuspectAsk{}, q.onAsk)
	return q
}

// Start begins to exchange records with the other entries.
func (q *Quarantiner) Start() { q.wg.Go(q.loop) }

// Close ends the goroutines.
func (q *Quarantiner) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.stop()
	q.wg.Wait()
}

func (q *Quarantiner) spawn(f func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.wg.Go(f)
	return true
}

func (q *Quarantiner) onDeath(_ string, m proto.Message) proto.Message {
	report, ok := m.(*encoder.Death)
	if !ok {
		return nil
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.record.Learn(now, report)
	// What this entry had on the server is part of the report before any caller learns of the death.
	q.record.Died(now, sycamorevane.Server{ID: report.Server, Version: report.Version})
	ack := &encoder.DeathAck{}
	ack.Deaths = append(ack.Deaths, q.record.message(now, q.record.deaths[report.Server]))
	for _, fingerprint := range report.Running {
		ack.Deaths = append(ack.Deaths, q.record.Reports(now, fingerprint)...)
	}
	return ack
}

func (q *Quarantiner) onAsk(_ string, m proto.Message) proto.Message {
	ask, ok := m.(*encoder.SuspectAsk)
	if !ok {
		return nil
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if ask.Fingerprint == 0 {
		return &encoder.SuspectVote{Deaths: q.record.Reports(now, 0)}
	}
	return q.record.Vote(now, ask)
}

// permit is the right to make one attempt.
type permit struct {
	q           *Quarantiner
	fingerprint uint64
	// ask is set for a suspect and names the lock.
	ask *encoder.SuspectAsk
}

// Admit implements forwarder.Quarantine.
func (q *Quarantiner) Admit(ctx context.Context, fingerprint uint64) (forwarder.Permit, error) {
	began := time.Now()
	for {
		q.mu.Lock()
		s, left := q.record.Status(time.Now(), fingerprint)
		q.mu.Unlock()
		switch s {
		case free:
			return &permit{q: q, fingerprint: fingerprint}, nil
		case quarantined:
			q.refusals.Inc(1)
			return nil, &sycamorevane.RefusedError{Reason: "request has crashed servers", RetryAfter: left}
		case suspect:
		}
		ask := &encoder.SuspectAsk{Fingerprint: fingerprint, Token: rand.Uint64() | 1, Lease: milliseconds(lockLease)}
		if q.hold(ask) {
			if q.ask(ctx, ask) && q.status(fingerprint) == suspect {
				return &permit{q: q, fingerprint: fingerprint, ask: ask}, nil
			}
			q.release(ask)
		}
		if time.Since(began) >= q.wait || q.pause(ctx) != nil {
			q.refusals.Inc(1)
			return nil, &sycamorevane.RefusedError{Reason: "request is suspected of crashing servers and runs elsewhere", RetryAfter: suspectAfter}
		}
	}
}

func (q *Quarantiner) status(fingerprint uint64) status {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, _ := q.record.Status(time.Now(), fingerprint)
	return s
}

// hold reserves the suspect on this entry.
func (q *Quarantiner) hold(ask *encoder.SuspectAsk) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, taken := q.held[ask.Fingerprint]; taken {
		return false
	}
	q.held[ask.Fingerprint] = ask
	return true
}

// release gives the right to run a suspect back.
func (q *Quarantiner) release(ask *encoder.SuspectAsk) {
	q.mu.Lock()
	if held, ok := q.held[ask.Fingerprint]; ok && held.Token == ask.Token {
		delete(q.held, ask.Fingerprint)
	}
	q.mu.Unlock()
	end := &encoder.SuspectAsk{Fingerprint: ask.Fingerprint, Token: ask.Token, Release: true}
	for _, name := range q.cfg.Entries() {
		if name == q.cfg.Self {
			q.onAsk(name, end)
			continue
		}
		_ = q.cfg.Transport.Send(name, end)
	}
}

// pause waits before the next try.
func (q *Quarantiner) pause(ctx context.Context) error {
	timer := time.NewTimer(lockRetry + rand.N(lockRetry))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-q.ctx.Done():
		return q.ctx.Err()
	}
}

// ask reports whether a majority of the configured entries lets this entry run the suspect. It waits for the
// votes of all reachable entries, since each may know of another death.
func (q *Quarantiner) ask(ctx context.Context, ask *encoder.SuspectAsk) bool {
	entries := q.cfg.Entries()
	replies := q.callAll(ctx, askTimeout, ask)
	granted := 0
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	own := q.record.Vote(now, ask)
	occupied := own.Occupied
	if own.Granted {
		granted++
	}
	for _, reply := range replies {
		vote, ok := reply.(*encoder.SuspectVote)
		if !ok {
			continue
		}
		if vote.Granted {
			granted++
		}
		occupied = occupied || vote.Occupied
		for _, d := range vote.Deaths {
			q.record.Learn(now, d)
		}
	}
	return granted > len(entries)/2 && !occupied
}

// callAll calls every other configured entry that is alive and returns the replies that arrived in time.
func (q *Quarantiner) callAll(ctx context.Context, timeout time.Duration, m proto.Message) []proto.Message {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	configured := sycamorevane.NewSet(q.cfg.Entries()...)
	replies := make(chan proto.Message, len(configured))
	n := 0
	for _, peer := range q.cfg.Transport.Peers() {
		if !peer.Alive || !configured.Has(peer.Name) {
			continue
		}
		ok := q.spawn(func() {
			reply, err := q.cfg.Transport.Call(ctx, peer.Name, m)
			if err != nil {
				reply = nil
			}
			replies <- reply
		})
		if ok {
			n++
		}
	}
	list := make([]proto.Message, 0, n)
	for range n {
		if reply := <-replies; reply != nil {
			list = append(list, reply)
		}
	}
	return list
}

// Start implements forwarder.Permit.
func (p *permit) Start(server sycamorevane.Server) bool {
	q := p.q
	switch s := q.status(p.fingerprint); {
	case s == quarantined, s == suspect && p.ask == nil:
		return false
	case s == suspect:
		ask := &encoder.SuspectAsk{
			Fingerprint: p.fingerprint, Token: p.ask.Token, Lease: p.ask.Lease, Server: server.ID,
		}
		q.mu.Lock()
		q.held[p.fingerprint] = ask
		q.mu.Unlock()
		if !q.ask(q.ctx, ask) {
			return false
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, _ := q.record.Status(time.Now(), p.fingerprint); s == quarantined {
		return false
	}
	q.record.Start(p.fingerprint, server)
	return true
}

// End implements forwarder.Permit.
func (p *permit) End(server sycamorevane.Server, kind sycamorevane.OutcomeKind) {
	q := p.q
	q.mu.Lock()
	doubt, cleared := q.record.End(time.Now(), p.fingerprint, server, kind)
	q.mu.Unlock()
	for _, id := range cleared {
		q.report(id)
	}
	if doubt && (kind == sycamorevane.OutcomeConnectFailed || q.dead(server.Addr)) {
		q.Confirm(server)
	}
}

// Done implements forwarder.Permit.
func (p *permit) Done() {
	if p.ask != nil {
		p.q.release(p.ask)
	}
}

// silent reports whether nothing listens at the address. The listener of a process that ends may be closed after
// its connections, so a first success proves nothing yet.
func silent(addr string) bool {
	if !listens(addr) {
		return true
	}
	time.Sleep(checkAgain)
	return !listens(addr)
}

func listens(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, checkTimeout)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Confirm records that the server has died and returns when the other entries know. It is also for a new start
// under a known address.
func (q *Quarantiner) Confirm(server sycamorevane.Server) {
	q.mu.Lock()
	m := q.record.Died(time.Now(), server)
	q.mu.Unlock()
	if m == nil {
		return
	}
	q.cfg.Log.Info("server died with requests running", "server", server.ID, "version", server.Version, "requests", len(m.Running))
	q.tell(m)
	q.mu.Lock()
	all := q.record.message(time.Now(), q.record.deaths[server.ID])
	q.mu.Unlock()
	if len(all.Running) > len(m.Running) {
		q.tell(all) // Other entries had requests on the server, too.
	}
}

// report sends what is on record of one death.
func (q *Quarantiner) report(server string) {
	q.mu.Lock()
	d, ok := q.record.deaths[server]
	var m *encoder.Death
	if ok {
		m = q.record.message(time.Now(), d)
	}
	q.mu.Unlock()
	if ok {
		q.tell(m)
	}
}

func (q *Quarantiner) tell(m *encoder.Death) {
	for _, reply := range q.callAll(q.ctx, tellTimeout, m) {
		ack, ok := reply.(*encoder.DeathAck)
		if !ok {
			continue
		}
		q.mu.Lock()
		for _, d := range ack.Deaths {
			q.record.Learn(time.Now(), d)
		}
		q.mu.Unlock()
	}
}

func (q *Quarantiner) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	synced, renewed := time.Time{}, time.Now()
	for {
		now := time.Now()
		if now.Sub(synced) > syncInterval && q.sync() {
			synced = now
		}
		if now.Sub(renewed) > lockLease/3 {
			renewed = now
			q.renew()
		}
		q.sweep(now)
		select {
		case <-q.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sync fetches all deaths from the other entries, which repairs what a split or a restart has left out.
func (q *Quarantiner) sync() bool {
	replies := q.callAll(q.ctx, askTimeout, &encoder.SuspectAsk{})
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, reply := range replies {
		if vote, ok := reply.(*encoder.SuspectVote); ok {
			for _, d := range vote.Deaths {
				q.record.Learn(now, d)
			}
		}
	}
	return len(replies) > 0
}

// renew extends the locks of suspects that run for long. A lock that was given back meanwhile is given back again.
func (q *Quarantiner) renew() {
	q.mu.Lock()
	list := make([]*encoder.SuspectAsk, 0, len(q.held))
	for _, ask := range q.held {
		list = append(list, ask)
	}
	q.mu.Unlock()
	for _, ask := range list {
		q.ask(q.ctx, ask)
		q.mu.Lock()
		held, ok := q.held[ask.Fingerprint]
		q.mu.Unlock()
		if !ok || held.Token != ask.Token {
			q.release(ask)
		}
	}
}

func (q *Quarantiner) sweep(now time.Time) {
	q.mu.Lock()
	q.record.Sweep(now)
	deaths, held := q.record.Counts(now)
	q.mu.Unlock()
	q.deaths.Update(float64(deaths))
	q.count.Update(float64(held))
}

var (
	_ forwarder.Quarantine = (*Quarantiner)(nil)
	_ forwarder.Permit     = (*permit)(nil)
)
