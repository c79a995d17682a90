// Package quarantiner finds requests that crash backend servers and refuses them. It records which requests were
// running on a server when it died and reports them. A request with one such death is a suspect: it runs on one server at
// a time, and no two suspects run on the same server. A request with two deaths that no other request explains is
// quarantined, which means that it is refused. Requests are identified by a fingerprint.
//
// Where the configuration lists the entries, they report deaths to each other and agree on where a suspect runs. In a
// deployment with discovery they exchange no messages: they report to the control leader (Collector), which commits the
// quarantined requests to the replicated log, and each entry by itself keeps the copies of a suspect apart.
package quarantiner

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/forwarder"
)

const (
	// DefaultRetention is how long the death of a server counts against requests.
	DefaultRetention = 10 * time.Minute
	// dialTimeout limits the connection attempt that shows whether a server has died. A retry waits for it.
	dialTimeout = 100 * time.Millisecond
	redialDelay = 20 * time.Millisecond
	// reportTimeout limits how long the response to a caller is delayed until the other entries know of a death. They
	// must know because the caller may resend the request through any of them.
	reportTimeout = 300 * time.Millisecond
	voteTimeout   = 300 * time.Millisecond
	lockLease     = 30 * time.Second
	// lockRetryInterval is the shortest time between two attempts to get the lock of a suspect that runs elsewhere.
	// A random delay of up to the same length is added.
	lockRetryInterval = 20 * time.Millisecond
	tickInterval      = time.Second
	syncInterval      = 10 * time.Second
	lockWaitTimeout   = 500 * time.Millisecond
	// suspectRetryAfter is the Retry-After of a refusal because the request is a suspect that runs elsewhere.
	suspectRetryAfter = time.Second
	// minRetryAfter is the shortest Retry-After of a refusal because of a quarantine, which may end later than this entry
	// expects.
	minRetryAfter = time.Second
)

// Config holds the dependencies and settings of a Quarantiner.
type Config struct {
	Self      string
	Transport sycamorevane.Transport
	// EntryHosts returns the configured entry hosts. It must not modify a slice that it has returned. It is nil if the entry
	// reports to the control leader.
	EntryHosts func() []string
	// Leader returns the name of the control leader, or "" when none is known. It is used without EntryHosts.
	Leader func() string
	// IsLeaving reports whether a server has announced that it stops, so that its end is not a death. May be nil.
	IsLeaving func(server sycamorevane.Server) bool
	// Retention is how long a death counts against requests; 0 means DefaultRetention.
	Retention time.Duration
	Log       logr.Logger
	Metrics   tally.Scope
}

// Quarantiner implements forwarder.Quarantine.
type Quarantiner struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// isDead reports whether an address refuses connections.
	isDead func(addr string) bool
	// lockWait is how long Admit keeps trying to get the lock of a suspect that runs elsewhere.
	lockWait time.Duration

	// leader is nil if the entries report to each other.
	leader *leaderReporter

	mu      sync.Mutex
	tracker *Tracker
	// ownLocks holds the locks that this entry has or is requesting, by fingerprint.
	ownLocks map[uint64]*encoder.SuspectAsk
	// quarantined holds the requests that the control hosts have quarantined, with the time when this entry learned of it.
	quarantined map[uint64]time.Time
	// servers holds the last known server of each address.
	servers map[string]sycamorevane.Server
	closed  bool

	refusals                     tally.Counter
	deathCount, quarantinedCount tally.Gauge
}

// New returns a Quarantiner and registers its message handlers. It must be called before the transport starts.
func New(cfg Config) *Quarantiner {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := cfg.Metrics.SubScope("quarantiner")
	q := &Quarantiner{
		cfg: cfg, ctx: ctx, cancel: cancel, tracker: NewTracker(cfg.Retention),
		isDead: refusesConnections, quarantined: make(map[uint64]time.Time), lockWait: lockWaitTimeout, ownLocks: make(map[uint64]*encoder.SuspectAsk),
		refusals: m.Counter("refused"), deathCount: m.Gauge("deaths"), quarantinedCount: m.Gauge("quarantined"),
	}
	if cfg.EntryHosts == nil {
		q.cfg.EntryHosts = func() []string { return []string{cfg.Self} }
		q.leader = newLeaderReporter(q)
	}
	cfg.Transport.Handle(&encoder.Death{}, q.handleDeath)
	cfg.Transport.Handle(&encoder.SuspectAsk{}, q.handleSuspectAsk)
	return q
}

// Start starts the goroutines that exchange reports, renew locks and remove expired state.
func (q *Quarantiner) Start() {
	q.wg.Go(q.loop)
	if q.leader != nil {
		q.wg.Go(q.leader.loop)
	}
}

// Close stops all goroutines and waits for them.
func (q *Quarantiner) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.cancel()
	q.wg.Wait()
}

// spawn runs f on a goroutine that Close waits for. After Close it returns false and does not run f.
func (q *Quarantiner) spawn(f func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.wg.Go(f)
	return true
}

func (q *Quarantiner) handleDeath(_ string, m proto.Message) proto.Message {
	report, ok := m.(*encoder.Death)
	if !ok {
		return nil
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.MergeReport(now, report)
	// Adds the requests that this entry had running on the server, so that they are part of the report before any
	// caller learns of the death.
	q.tracker.RecordDeath(now, sycamorevane.Server{ID: report.Server, Version: report.Version})
	ack := &encoder.DeathAck{}
	ack.Deaths = append(ack.Deaths, q.tracker.encodeDeath(now, q.tracker.deaths[report.Server]))
	for _, fingerprint := range report.Running {
		ack.Deaths = append(ack.Deaths, q.tracker.Reports(now, fingerprint)...)
	}
	return ack
}

func (q *Quarantiner) handleSuspectAsk(_ string, m proto.Message) proto.Message {
	req, ok := m.(*encoder.SuspectAsk)
	if !ok {
		return nil
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if req.Fingerprint == 0 {
		return &encoder.SuspectVote{Deaths: q.tracker.Reports(now, 0)}
	}
	return q.tracker.Vote(now, req)
}

// permit implements forwarder.Permit.
type permit struct {
	q *Quarantiner
	// ctx is the context of the attempt.
	ctx         context.Context
	fingerprint uint64
	// lockRequest identifies the lock of a suspect; nil for other requests.
	lockRequest *encoder.SuspectAsk
}

// Admit implements forwarder.Quarantine.
func (q *Quarantiner) Admit(ctx context.Context, fingerprint uint64) (forwarder.Permit, error) {
	startedAt := time.Now()
	for {
		q.mu.Lock()
		s, remaining := q.statusLocked(time.Now(), fingerprint)
		q.mu.Unlock()
		switch s {
		case unsuspected:
			return &permit{q: q, ctx: ctx, fingerprint: fingerprint}, nil
		case quarantined:
			q.refusals.Inc(1)
			return nil, &sycamorevane.RefusedError{Reason: "request has crashed servers", RetryAfter: remaining}
		case suspect:
		}
		req := &encoder.SuspectAsk{Fingerprint: fingerprint, Token: rand.Uint64() | 1, Lease: milliseconds(lockLease)}
		if q.reserveLock(req) {
			if q.requestLock(ctx, req) && q.status(fingerprint) == suspect {
				return &permit{q: q, ctx: ctx, fingerprint: fingerprint, lockRequest: req}, nil
			}
			q.releaseLock(req)
		}
		if time.Since(startedAt) >= q.lockWait || q.waitBeforeRetry(ctx) != nil {
			q.refusals.Inc(1)
			return nil, &sycamorevane.RefusedError{Reason: "request is suspected of crashing servers and runs elsewhere", RetryAfter: suspectRetryAfter}
		}
	}
}

func (q *Quarantiner) status(fingerprint uint64) status {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, _ := q.statusLocked(time.Now(), fingerprint)
	return s
}

// statusLocked returns the status of a request and, if it is quarantined, the remaining time of the quarantine.
func (q *Quarantiner) statusLocked(now time.Time, fingerprint uint64) (status, time.Duration) {
	if since, ok := q.quarantined[fingerprint]; ok {
		return quarantined, max(minRetryAfter, since.Add(q.cfg.Retention).Sub(now))
	}
	return q.tracker.Status(now, fingerprint)
}

// reserveLock reserves the lock of a suspect for one request on this entry. It returns false when another request on
// this entry has it.
func (q *Quarantiner) reserveLock(req *encoder.SuspectAsk) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, taken := q.ownLocks[req.Fingerprint]; taken {
		return false
	}
	q.ownLocks[req.Fingerprint] = req
	return true
}

// releaseLock releases the lock of a suspect on all entries.
func (q *Quarantiner) releaseLock(req *encoder.SuspectAsk) {
	q.mu.Lock()
	if own, ok := q.ownLocks[req.Fingerprint]; ok && own.Token == req.Token {
		delete(q.ownLocks, req.Fingerprint)
	}
	q.mu.Unlock()
	release := &encoder.SuspectAsk{Fingerprint: req.Fingerprint, Token: req.Token, Release: true}
	for _, name := range q.cfg.EntryHosts() {
		if name == q.cfg.Self {
			q.handleSuspectAsk(name, release)
			continue
		}
		_ = q.cfg.Transport.Send(name, release)
	}
}

// waitBeforeRetry waits before the next attempt to get a lock.
func (q *Quarantiner) waitBeforeRetry(ctx context.Context) error {
	timer := time.NewTimer(lockRetryInterval + rand.N(lockRetryInterval))
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

// requestLock requests the lock of a suspect from all entries and reports whether a majority of the configured entries
// granted it. It waits for the votes of all reachable entries, since any of them may report another death.
func (q *Quarantiner) requestLock(ctx context.Context, req *encoder.SuspectAsk) bool {
	entries := q.cfg.EntryHosts()
	replies := q.callAll(ctx, voteTimeout, req)
	granted := 0
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	ownVote := q.tracker.Vote(now, req)
	occupied := ownVote.Occupied
	if ownVote.Granted {
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
			q.tracker.MergeReport(now, d)
		}
	}
	return granted > len(entries)/2 && !occupied
}

// callAll calls every other configured entry that is alive and returns the replies that arrive within the timeout.
func (q *Quarantiner) callAll(ctx context.Context, timeout time.Duration, m proto.Message) []proto.Message {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	configured := sycamorevane.NewSet(q.cfg.EntryHosts()...)
	replies := make(chan proto.Message, len(configured))
	calls := 0
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
			calls++
		}
	}
	received := make([]proto.Message, 0, calls)
	for range calls {
		if reply := <-replies; reply != nil {
			received = append(received, reply)
		}
	}
	return received
}

// Start implements forwarder.Permit.
func (p *permit) Start(server sycamorevane.Server) bool {
	q := p.q
	switch s := q.status(p.fingerprint); {
	case s == quarantined, s == suspect && p.lockRequest == nil:
		return false
	case s == suspect:
		req := &encoder.SuspectAsk{
			Fingerprint: p.fingerprint, Token: p.lockRequest.Token, Lease: p.lockRequest.Lease, Server: server.ID,
		}
		q.mu.Lock()
		q.ownLocks[p.fingerprint] = req
		q.mu.Unlock()
		ctx, cancel := context.WithCancel(p.ctx)
		defer cancel()
		defer context.AfterFunc(q.ctx, cancel)()
		if !q.requestLock(ctx, req) {
			return false
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if s, _ := q.statusLocked(time.Now(), p.fingerprint); s == quarantined {
		return false
	}
	q.tracker.StartRequest(p.fingerprint, server)
	return true
}

// End implements forwarder.Permit.
func (p *permit) End(server sycamorevane.Server, kind sycamorevane.OutcomeKind) (died bool) {
	q := p.q
	q.mu.Lock()
	mayHaveDied, cleared := q.tracker.EndRequest(time.Now(), p.fingerprint, server, kind)
	if _, ok := q.quarantined[p.fingerprint]; ok && isResponse(kind) {
		q.leader.addResponded(responseKey{p.fingerprint, server.Version})
	}
	q.mu.Unlock()
	for _, id := range cleared {
		q.reportDeath(id)
	}
	if !mayHaveDied || q.isLeaving(server) {
		return false
	}
	if kind == sycamorevane.OutcomeConnectFailed {
		// Only other requests can have been running on the server, so that the next attempt need not wait.
		q.spawn(func() { q.checkServer(server) })
		return false
	}
	q.checkServer(server)
	return q.isRecordedDead(server.ID)
}

// checkServer confirms the death of a server that refuses connections.
func (q *Quarantiner) checkServer(server sycamorevane.Server) {
	if q.hasRequests(server.ID) && q.isDead(server.Addr) {
		q.ConfirmDeath(server)
	}
}

// hasRequests reports whether this entry has, or recently had, requests running on the server.
func (q *Quarantiner) hasRequests(server string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.tracker.requestsByServer[server]) > 0
}

func (q *Quarantiner) isLeaving(server sycamorevane.Server) bool {
	return q.cfg.IsLeaving != nil && q.cfg.IsLeaving(server)
}

func (q *Quarantiner) isRecordedDead(server string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.tracker.deaths[server]
	return ok
}

// Done implements forwarder.Permit.
func (p *permit) Done() {
	if p.lockRequest != nil {
		p.q.releaseLock(p.lockRequest)
	}
}

// refusesConnections reports whether the host of the address refuses connections to it, as it does when the process has
// ended. A host that cannot be reached may still run the process. A process that is ending may close its listener after
// its connections, so a first successful connection is checked by a second one.
func refusesConnections(addr string) bool {
	err := tryConnect(addr)
	if err == nil {
		time.Sleep(redialDelay)
		err = tryConnect(addr)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func tryConnect(addr string) error {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return err
	}
	return c.Close()
}

// ServersChanged is called after every change with the server at each known address. A new one means that the previous one has
// died, possibly because of the requests that it was running, unless its last state was draining.
func (q *Quarantiner) ServersChanged(servers []sycamorevane.Server) {
	byAddr := make(map[string]sycamorevane.Server, len(servers))
	var replaced []sycamorevane.Server
	q.mu.Lock()
	for _, s := range servers {
		if previous, ok := q.servers[s.Addr]; ok && previous.ID != s.ID && previous.State != sycamorevane.ServerDraining {
			replaced = append(replaced, previous)
		}
		byAddr[s.Addr] = s
	}
	q.servers = byAddr
	q.mu.Unlock()
	if len(replaced) == 0 {
		return
	}
	// ConfirmDeath waits for replies, which the handler of a message must not do.
	q.spawn(func() {
		for _, s := range replaced {
			q.ConfirmDeath(s)
		}
	})
}

// ConfirmDeath records that a server has died and reports the death to the other entries before it returns. It is also
// called when a server is replaced by a new start at the same address.
func (q *Quarantiner) ConfirmDeath(server sycamorevane.Server) {
	q.mu.Lock()
	report := q.tracker.RecordDeath(time.Now(), server)
	q.mu.Unlock()
	if report == nil {
		return
	}
	q.cfg.Log.Info("server died with requests running", "server", server.ID, "version", server.Version,
		"requests", len(report.Running), "fingerprints", formatFingerprints(report.Running))
	if q.leader != nil {
		q.leader.report(server.ID)
		return
	}
	q.sendReport(report)
	q.mu.Lock()
	merged := q.tracker.encodeDeath(time.Now(), q.tracker.deaths[server.ID])
	q.mu.Unlock()
	if len(merged.Running) > len(report.Running) {
		q.sendReport(merged) // Other entries had requests on the server as well.
	}
}

// reportDeath sends the current report of one death.
func (q *Quarantiner) reportDeath(server string) {
	if q.leader != nil {
		q.leader.enqueue(server, nil)
		return
	}
	q.mu.Lock()
	d, ok := q.tracker.deaths[server]
	var report *encoder.Death
	if ok {
		report = q.tracker.encodeDeath(time.Now(), d)
	}
	q.mu.Unlock()
	if ok {
		q.sendReport(report)
	}
}

// sendReport sends the report of a death to the other entries and merges the reports that they return.
func (q *Quarantiner) sendReport(report *encoder.Death) {
	for _, reply := range q.callAll(q.ctx, reportTimeout, report) {
		ack, ok := reply.(*encoder.DeathAck)
		if !ok {
			continue
		}
		q.mu.Lock()
		for _, d := range ack.Deaths {
			q.tracker.MergeReport(time.Now(), d)
		}
		q.mu.Unlock()
	}
}

func (q *Quarantiner) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastSync, lastRenewal := time.Time{}, time.Now()
	for {
		now := time.Now()
		if q.leader == nil && now.Sub(lastSync) > syncInterval && q.syncDeaths() {
			lastSync = now
		}
		if now.Sub(lastRenewal) > lockLease/3 {
			lastRenewal = now
			q.renewLocks()
		}
		q.removeExpired(now)
		select {
		case <-q.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncDeaths fetches the reports of all deaths from the other entries, which recovers those that this entry missed
// during a network partition or a restart. It returns false when no entry replied.
func (q *Quarantiner) syncDeaths() bool {
	replies := q.callAll(q.ctx, voteTimeout, &encoder.SuspectAsk{})
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, reply := range replies {
		if vote, ok := reply.(*encoder.SuspectVote); ok {
			for _, d := range vote.Deaths {
				q.tracker.MergeReport(now, d)
			}
		}
	}
	return len(replies) > 0
}

// renewLocks renews the locks of running suspects. A lock that was released meanwhile is released again, since the
// renewal may have acquired it again.
func (q *Quarantiner) renewLocks() {
	q.mu.Lock()
	requests := make([]*encoder.SuspectAsk, 0, len(q.ownLocks))
	for _, req := range q.ownLocks {
		requests = append(requests, req)
	}
	q.mu.Unlock()
	for _, req := range requests {
		q.requestLock(q.ctx, req)
		q.mu.Lock()
		own, ok := q.ownLocks[req.Fingerprint]
		q.mu.Unlock()
		if !ok || own.Token != req.Token {
			q.releaseLock(req)
		}
	}
}

func (q *Quarantiner) removeExpired(now time.Time) {
	q.mu.Lock()
	q.tracker.RemoveExpired(now)
	deaths, quarantinedRequests := q.tracker.Counts(now)
	if q.leader != nil {
		quarantinedRequests = len(q.quarantined)
	}
	q.mu.Unlock()
	q.deathCount.Update(float64(deaths))
	q.quarantinedCount.Update(float64(quarantinedRequests))
}

var (
	_ forwarder.Quarantine = (*Quarantiner)(nil)
	_ forwarder.Permit     = (*permit)(nil)
)
