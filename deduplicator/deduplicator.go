// Package deduplicator lets a request with an idempotency key run at most once in the whole deployment. Each key has a
// replica set of five entry hosts, which store its claims in memory. A request runs only when a majority, three of the
// five, vote for its claim. Messages to callers and the wire format call the replicas claim holders.
package deduplicator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// DefaultRetention is how long a finished claim is kept.
	DefaultRetention = 10 * time.Minute
	tickInterval     = 50 * time.Millisecond
	cleanupInterval  = 5 * time.Second
	// leaseRenewInterval is short enough that a lease (claimLease) survives the loss of two renewals in a row.
	leaseRenewInterval = 1500 * time.Millisecond
	// updateTimeout limits one attempt to send a claim record to a replica; updateAttempts is the number of attempts.
	updateTimeout  = time.Second
	updateAttempts = 3
	fetchTimeout   = 2 * time.Second
	// releaseTimeout limits how long Close waits until a quorum of replicas knows of the claims that have just ended.
	releaseTimeout = 300 * time.Millisecond
	// noQuorumRetryAfter is the Retry-After of a refusal when no quorum of replicas voted.
	noQuorumRetryAfter = time.Second
)

// Config holds the dependencies and settings of a Deduplicator.
type Config struct {
	Self      string
	Transport sycamorevane.Transport
	// EntryHosts returns the configured entry hosts. It must not modify a slice that it has returned.
	EntryHosts func() []string
	// Retention is how long a finished claim is kept; 0 means DefaultRetention.
	Retention time.Duration
	Log       logr.Logger
	Metrics   tally.Scope
}

// Deduplicator implements sycamorevane.Deduplicator.
type Deduplicator struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	replica *Replica
	// runningClaims holds the claims whose requests run on this entry, by token.
	runningClaims map[uint64]*runningClaim
	// endingClaims is the number of claims whose end is being sent to the replicas. claimsEnded receives a value when it
	// becomes zero.
	endingClaims int
	claimsEnded  chan struct{}
	closed       bool

	freshClaims, refusedClaims, conflictingClaims tally.Counter
	recordCount, recoveringBuckets                tally.Gauge
}

// runningClaim is a claim of this entry that has not ended.
type runningClaim struct {
	record *encoder.ClaimRecord
	// voters is the replica set that was asked to vote. It receives the end of the claim even if the key has another
	// replica set by then.
	voters    []string
	renewedAt time.Time
}

// New returns a Deduplicator and registers its message handlers. It must be called before the transport starts.
func New(cfg Config) *Deduplicator {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := cfg.Metrics.SubScope("deduplicator")
	d := &Deduplicator{
		cfg: cfg, ctx: ctx, cancel: cancel,
		replica:       NewReplica(cfg.Self, rand.Uint64(), time.Now(), cfg.Retention),
		runningClaims: make(map[uint64]*runningClaim), claimsEnded: make(chan struct{}, 1),
		freshClaims: m.Counter("fresh"), refusedClaims: m.Counter("refused"), conflictingClaims: m.Counter("conflicts"),
		recordCount: m.Gauge("records"), recoveringBuckets: m.Gauge("recovering"),
	}
	cfg.Transport.Handle(&encoder.ClaimAsk{}, d.handleClaimAsk)
	cfg.Transport.Handle(&encoder.ClaimSet{}, d.handleClaimSet)
	cfg.Transport.Handle(&encoder.ClaimFetch{}, d.handleClaimFetch)
	return d
}

// SetRetention changes how long claims are kept that finish from now on.
func (d *Deduplicator) SetRetention(retention time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replica.retention = retention
}

// Start starts the goroutine that fetches claims from other replicas, renews the leases of running claims and removes
// expired records.
func (d *Deduplicator) Start() { d.wg.Go(d.loop) }

// Close waits until the replicas know of the claims that have just ended, at most for releaseTimeout, and stops all goroutines.
// Claims that are still running become uncertain when their lease expires.
func (d *Deduplicator) Close() {
	d.awaitEndingClaims()
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.wg.Wait()
}

func (d *Deduplicator) awaitEndingClaims() {
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	for d.countEndingClaims(0) > 0 {
		select {
		case <-d.claimsEnded:
		case <-timer.C:
			return
		}
	}
}

// countEndingClaims adds n to endingClaims and returns the result.
func (d *Deduplicator) countEndingClaims(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endingClaims += n
	if d.endingClaims == 0 {
		select {
		case d.claimsEnded <- struct{}{}:
		default:
		}
	}
	return d.endingClaims
}

// Ready reports whether the replica of this entry may vote in all of its buckets.
func (d *Deduplicator) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replica.placement != nil && d.replica.RecoveringBuckets() == 0
}

func (d *Deduplicator) handleClaimAsk(_ string, m proto.Message) proto.Message {
	req, ok := m.(*encoder.ClaimAsk)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateHostsLocked()
	return d.replica.Vote(time.Now(), req)
}

func (d *Deduplicator) handleClaimSet(_ string, m proto.Message) proto.Message {
	update, ok := m.(*encoder.ClaimSet)
	if !ok || update.Record == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replica.Update(time.Now(), update.Record)
	return &encoder.ClaimAck{}
}

func (d *Deduplicator) handleClaimFetch(_ string, m proto.Message) proto.Message {
	req, ok := m.(*encoder.ClaimFetch)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateHostsLocked()
	return d.replica.ServeFetch(time.Now(), req)
}

func (d *Deduplicator) updateHostsLocked() { d.replica.SetHosts(time.Now(), d.cfg.EntryHosts()) }

// Claim implements sycamorevane.Deduplicator.
func (d *Deduplicator) Claim(ctx context.Context, c sycamorevane.Claim) (sycamorevane.ClaimResult, error) {
	key := claimKey(&c)
	d.mu.Lock()
	d.updateHostsLocked()
	replicas := d.replica.replicaSetOf(key)
	d.mu.Unlock()
	count := newVoteCount(&replicas, time.Now())
	record := &encoder.ClaimRecord{Key: key, Digest: c.Digest, Token: c.Token, State: encoder.ClaimState_CLAIM_RUNNING}
	state, known, err := d.collectVotes(ctx, count, &replicas, record)
	if err == nil && known && state == sycamorevane.ClaimFresh {
		d.freshClaims.Inc(1)
		d.mu.Lock()
		d.runningClaims[c.Token] = &runningClaim{record: record, voters: replicas.members, renewedAt: time.Now()}
		d.mu.Unlock()
		return sycamorevane.ClaimResult{State: state}, nil
	}
	if count.votes[encoder.ClaimVote_FRESH] > 0 || count.replies < count.replicas {
		d.releaseClaim(record, replicas.members)
	}
	if err != nil {
		return sycamorevane.ClaimResult{}, err
	}
	if !known {
		d.refusedClaims.Inc(1)
		return sycamorevane.ClaimResult{}, &sycamorevane.RefusedError{
			Service: c.Service, Workspace: c.Workspace, Reason: "no quorum of claim holders", RetryAfter: noQuorumRetryAfter,
		}
	}
	d.conflictingClaims.Inc(1)
	return sycamorevane.ClaimResult{State: state, Response: decodeResponse(count.response)}, nil
}

// collectVotes requests a vote from every replica and returns as soon as the votes decide the state of the claim. The
// second result is false when no quorum was found.
func (d *Deduplicator) collectVotes(ctx context.Context, count *voteCount, replicas *replicaSet, record *encoder.ClaimRecord) (sycamorevane.ClaimState, bool, error) {
	votes := make(chan *encoder.ClaimVote, len(replicas.members))
	req := &encoder.ClaimAsk{Members: replicas.hash, Key: record.Key, Digest: record.Digest, Token: record.Token}
	for _, member := range replicas.members {
		if member == d.cfg.Self {
			continue
		}
		if !d.spawn(func() { votes <- d.requestVote(member, req) }) {
			return 0, false, nil
		}
	}
	if replicas.contains(d.cfg.Self) {
		d.mu.Lock()
		count.addReply(time.Now(), d.replica.Vote(time.Now(), req))
		d.mu.Unlock()
	}
	timer := time.NewTimer(voteWindow)
	defer timer.Stop()
	for {
		if state, known, decided := count.result(false); decided {
			return state, known, nil
		}
		select {
		case vote := <-votes:
			count.addReply(time.Now(), vote)
		case <-ctx.Done():
			return 0, false, ctx.Err()
		case <-timer.C:
			state, known, _ := count.result(true)
			return state, known, nil
		}
	}
}

func (d *Deduplicator) requestVote(member string, req *encoder.ClaimAsk) *encoder.ClaimVote {
	ctx, cancel := context.WithTimeout(d.ctx, voteWindow)
	defer cancel()
	reply, err := d.cfg.Transport.Call(ctx, member, req)
	if err != nil {
		return nil
	}
	vote, _ := reply.(*encoder.ClaimVote)
	return vote
}

// spawn runs f on a goroutine that Close waits for. After Close it returns false and does not run f.
func (d *Deduplicator) spawn(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.wg.Go(f)
	return true
}

// Finish implements sycamorevane.Deduplicator. It returns when a quorum of the replicas has recorded the end of the
// claim.
func (d *Deduplicator) Finish(ctx context.Context, c sycamorevane.Claim, response *sycamorevane.RecordedResponse) error {
	record := &encoder.ClaimRecord{
		Key: claimKey(&c), Digest: c.Digest, Token: c.Token,
		State: encoder.ClaimState_CLAIM_UNCERTAIN, Answer: encodeResponse(response),
	}
	if response != nil {
		record.State = encoder.ClaimState_CLAIM_ANSWERED
	}
	return d.endClaim(ctx, record)
}

// Abandon implements sycamorevane.Deduplicator.
func (d *Deduplicator) Abandon(ctx context.Context, c sycamorevane.Claim) error {
	return d.endClaim(ctx, &encoder.ClaimRecord{
		Key: claimKey(&c), Digest: c.Digest, Token: c.Token, State: encoder.ClaimState_CLAIM_RELEASED,
	})
}

// endClaim replicates the final record of a claim that runs on this entry.
func (d *Deduplicator) endClaim(ctx context.Context, record *encoder.ClaimRecord) error {
	d.mu.Lock()
	claim, ok := d.runningClaims[record.Token]
	delete(d.runningClaims, record.Token)
	d.mu.Unlock()
	if !ok {
		return errors.Errorf("claim with token %x is not running on this entry", record.Token)
	}
	d.countEndingClaims(1)
	defer d.countEndingClaims(-1)
	return d.replicate(ctx, record, claim.voters)
}

// releaseClaim releases, in the background, a claim that did not get a quorum.
func (d *Deduplicator) releaseClaim(claimed *encoder.ClaimRecord, voters []string) {
	released := &encoder.ClaimRecord{
		Key: claimed.Key, Digest: claimed.Digest, Token: claimed.Token, State: encoder.ClaimState_CLAIM_RELEASED,
	}
	d.countEndingClaims(1)
	ok := d.spawn(func() {
		defer d.countEndingClaims(-1)
		_ = d.replicate(d.ctx, released, voters)
	})
	if !ok {
		d.countEndingClaims(-1)
	}
}

// replicate sends a record to the replicas that were asked to vote and to those of the key's current replica set. It
// returns when a quorum of the voters has acknowledged the record.
func (d *Deduplicator) replicate(ctx context.Context, record *encoder.ClaimRecord, voters []string) error {
	d.mu.Lock()
	d.updateHostsLocked()
	targets := slices.Clone(voters)
	for _, member := range d.replica.replicaSetOf(record.Key).members {
		if !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	if slices.Contains(targets, d.cfg.Self) {
		d.replica.Update(time.Now(), record)
	}
	d.mu.Unlock()
	acks := make(chan bool, len(targets))
	for i, member := range targets {
		if member == d.cfg.Self {
			acks <- i < len(voters)
			continue
		}
		if !d.spawn(func() { acks <- d.sendUpdate(member, record) && i < len(voters) }) {
			return errors.New("deduplicator is closed")
		}
	}
	return awaitAcks(ctx, acks, len(targets), len(voters)/2+1)
}

// awaitAcks returns when quorum of the sent messages are acknowledged, and an error when too few are.
func awaitAcks(ctx context.Context, acks chan bool, sent, quorum int) error {
	acked := 0
	for range sent {
		select {
		case ok := <-acks:
			if ok {
				acked++
			}
			if acked >= quorum {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.Errorf("%d replicas acknowledged the claim record, %d are required", acked, quorum)
}

// sendUpdate sends a record to one replica, up to updateAttempts times, and reports whether the replica acknowledged
// it.
func (d *Deduplicator) sendUpdate(member string, record *encoder.ClaimRecord) bool {
	for range updateAttempts {
		ctx, cancel := context.WithTimeout(d.ctx, updateTimeout)
		_, err := d.cfg.Transport.Call(ctx, member, &encoder.ClaimSet{Record: record})
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-time.After(tickInterval):
		case <-d.ctx.Done():
			return false
		}
	}
	return false
}

func (d *Deduplicator) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastCleanup := time.Now()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		d.startFetches(now)
		d.renewLeases(now)
		if now.Sub(lastCleanup) > cleanupInterval {
			lastCleanup = now
			d.removeExpired(now)
		}
	}
}

func (d *Deduplicator) removeExpired(now time.Time) {
	d.mu.Lock()
	records := d.replica.RemoveExpired(now)
	recovering := d.replica.RecoveringBuckets()
	d.mu.Unlock()
	d.recordCount.Update(float64(records))
	d.recoveringBuckets.Update(float64(recovering))
}

func (d *Deduplicator) startFetches(now time.Time) {
	d.mu.Lock()
	d.updateHostsLocked()
	due := d.replica.DueFetches(now)
	d.mu.Unlock()
	for peer, req := range due {
		d.spawn(func() { d.fetchFrom(peer, req) })
	}
}

func (d *Deduplicator) fetchFrom(peer string, req *encoder.ClaimFetch) {
	ctx, cancel := context.WithTimeout(d.ctx, fetchTimeout)
	defer cancel()
	reply, err := d.cfg.Transport.Call(ctx, peer, req)
	var page *encoder.ClaimPage
	if err == nil {
		page, _ = reply.(*encoder.ClaimPage)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	recoveringBefore := d.replica.RecoveringBuckets()
	d.replica.HandlePage(time.Now(), peer, req, page)
	if recoveringBefore > 0 && d.replica.RecoveringBuckets() == 0 {
		d.cfg.Log.Info("claims recovered from other replicas")
	}
}

// renewLeases renews the leases of running claims, which otherwise count as uncertain after claimLease.
func (d *Deduplicator) renewLeases(now time.Time) {
	d.mu.Lock()
	var due []*runningClaim
	for _, claim := range d.runningClaims {
		if now.Sub(claim.renewedAt) > leaseRenewInterval {
			claim.renewedAt = now
			due = append(due, claim)
		}
	}
	d.mu.Unlock()
	for _, claim := range due {
		d.spawn(func() { _ = d.replicate(d.ctx, claim.record, claim.voters) })
	}
}

func encodeResponse(response *sycamorevane.RecordedResponse) *encoder.ClaimAnswer {
	if response == nil {
		return nil
	}
	answer := &encoder.ClaimAnswer{Status: uint32(response.Status), Body: response.Body, Large: response.BodyOmitted}
	for name, values := range response.Header {
		answer.Fields = append(answer.Fields, &encoder.ClaimField{Name: name, Values: values})
	}
	return answer
}

func decodeResponse(answer *encoder.ClaimAnswer) *sycamorevane.RecordedResponse {
	if answer == nil {
		return nil
	}
	response := &sycamorevane.RecordedResponse{
		Status: int(answer.Status), Header: make(map[string][]string), Body: answer.Body, BodyOmitted: answer.Large,
	}
	for _, field := range answer.Fields {
		response.Header[field.Name] = field.Values
	}
	return response
}

var _ sycamorevane.Deduplicator = (*Deduplicator)(nil)
