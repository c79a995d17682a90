// Package deduplicator lets a request with an idempotency key run at most once over the whole system. Five
// entries hold the claims of a key in memory, and a claim needs the votes of three.
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
	sweepInterval    = 5 * time.Second
	// renewInterval leaves room for two lost renewals within leaseTime.
	renewInterval = 1500 * time.Millisecond
	// setTimeout bounds one message about the end of a claim; setRetries is how often it is sent again.
	setTimeout   = time.Second
	setRetries   = 3
	fetchTimeout = 2 * time.Second
	// refusedAfter is when a caller may come back after a refusal for lack of a quorum.
	refusedAfter = time.Second
)

// Config holds what a Deduplicator is built from.
type Config struct {
	Self      string
	Transport sycamorevane.Transport
	// Holders returns the configured entry hosts. It must not change what it returned.
	Holders func() []string
	// Retention is how long a finished claim is kept; 0 means DefaultRetention.
	Retention time.Duration
	Log       logr.Logger
	Metrics   tally.Scope
}

// Deduplicator implements sycamorevane.Deduplicator.
type Deduplicator struct {
	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu     sync.Mutex
	holder *Holder
	// open holds the claims that run here, by token.
	open   map[uint64]*openClaim
	closed bool

	fresh, refused, conflicts tally.Counter
	records, recovering       tally.Gauge
}

// openClaim is a claim of this entry that has not ended.
type openClaim struct {
	record *encoder.ClaimRecord
	// members is the set that voted; its members are told of the end even when the set has changed.
	members []string
	renewed time.Time
}

// New returns a Deduplicator and registers its handlers; it must be called before the transport starts.
func New(cfg Config) *Deduplicator {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	m := cfg.Metrics.SubScope("deduplicator")
	d := &Deduplicator{
		cfg: cfg, ctx: ctx, stop: stop,
		holder: NewHolder(cfg.Self, rand.Uint64(), time.Now(), cfg.Retention),
		open:   make(map[uint64]*openClaim),
		fresh:  m.Counter("fresh"), refused: m.Counter("refused"), conflicts: m.Counter("conflicts"),
		records: m.Gauge("records"), recovering: m.Gauge("recovering"),
	}
	cfg.Transport.Handle(&encoder.ClaimAsk{}, d.onAsk)
	cfg.Transport.Handle(&encoder.ClaimSet{}, d.onSet)
	cfg.Transport.Handle(&encoder.ClaimFetch{}, d.onFetch)
	return d
}

// SetRetention changes how long claims that finish from now on are kept.
func (d *Deduplicator) SetRetention(retention time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.retention = retention
}

// Start begins to fetch claims from other holders and to renew those that run here.
func (d *Deduplicator) Start() { d.wg.Go(d.loop) }

// Close ends the goroutines. Claims that still run become uncertain when their lease ends.
func (d *Deduplicator) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.stop()
	d.wg.Wait()
}

// Ready reports whether this holder may vote for all of its buckets.
func (d *Deduplicator) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.ring != nil && d.holder.Recovering() == 0
}

func (d *Deduplicator) onAsk(_ string, m proto.Message) proto.Message {
	ask, ok := m.(*encoder.ClaimAsk)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	return d.holder.Ask(time.Now(), ask)
}

func (d *Deduplicator) onSet(_ string, m proto.Message) proto.Message {
	set, ok := m.(*encoder.ClaimSet)
	if !ok || set.Record == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Set(time.Now(), set.Record)
	return &encoder.ClaimAck{}
}

func (d *Deduplicator) onFetch(_ string, m proto.Message) proto.Message {
	fetch, ok := m.(*encoder.ClaimFetch)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLocked()
	return d.holder.Serve(time.Now(), fetch)
}

func (d *Deduplicator) refreshLocked() { d.holder.SetHosts(time.Now(), d.cfg.Holders()) }

// Claim implements sycamorevane.Deduplicator.
func (d *Deduplicator) Claim(ctx context.Context, c sycamorevane.Claim) (sycamorevane.ClaimResult, error) {
	key := claimKey(&c)
	d.mu.Lock()
	d.refreshLocked()
	s := d.holder.set(key)
	d.mu.Unlock()
	r := newRound(&s, time.Now())
	record := &encoder.ClaimRecord{Key: key, Digest: c.Digest, Token: c.Token, State: encoder.ClaimState_CLAIM_RUNNING}
	state, known, err := d.collect(ctx, r, &s, record)
	if err == nil && known && state == sycamorevane.ClaimFresh {
		d.fresh.Inc(1)
		d.mu.Lock()
		d.open[c.Token] = &openClaim{record: record, members: s.members, renewed: time.Now()}
		d.mu.Unlock()
		return sycamorevane.ClaimResult{State: state}, nil
	}
	if r.votes[encoder.ClaimVote_FRESH] > 0 || r.replies < r.members {
		d.release(record, s.members)
	}
	if err != nil {
		return sycamorevane.ClaimResult{}, err
	}
	if !known {
		d.refused.Inc(1)
		return sycamorevane.ClaimResult{}, &sycamorevane.RefusedError{
			Service: c.Service, Workspace: c.Workspace, Reason: "no quorum of claim holders", RetryAfter: refusedAfter,
		}
	}
	d.conflicts.Inc(1)
	return sycamorevane.ClaimResult{State: state, Response: fromAnswer(r.answer)}, nil
}

// collect asks all members for votes until the verdict is clear.
func (d *Deduplicator) collect(ctx context.Context, r *round, s *set, record *encoder.ClaimRecord) (sycamorevane.ClaimState, bool, error) {
	votes := make(chan *encoder.ClaimVote, len(s.members))
	ask := &encoder.ClaimAsk{Members: s.hash, Key: record.Key, Digest: record.Digest, Token: record.Token}
	for _, member := range s.members {
		if member == d.cfg.Self {
			continue
		}
		if !d.spawn(func() { votes <- d.ask(member, ask) }) {
			return 0, false, nil
		}
	}
	if s.has(d.cfg.Self) {
		d.mu.Lock()
		r.add(time.Now(), d.holder.Ask(time.Now(), ask))
		d.mu.Unlock()
	}
	timer := time.NewTimer(claimWindow)
	defer timer.Stop()
	for {
		if state, known, ok := r.verdict(false); ok {
			return state, known, nil
		}
		select {
		case v := <-votes:
			r.add(time.Now(), v)
		case <-ctx.Done():
			return 0, false, ctx.Err()
		case <-timer.C:
			state, known, _ := r.verdict(true)
			return state, known, nil
		}
	}
}

func (d *Deduplicator) ask(member string, ask *encoder.ClaimAsk) *encoder.ClaimVote {
	ctx, cancel := context.WithTimeout(d.ctx, claimWindow)
	defer cancel()
	reply, err := d.cfg.Transport.Call(ctx, member, ask)
	if err != nil {
		return nil
	}
	vote, _ := reply.(*encoder.ClaimVote)
	return vote
}

// spawn runs f on a goroutine that Close waits for. It returns false after Close.
func (d *Deduplicator) spawn(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.wg.Go(f)
	return true
}

// Finish implements sycamorevane.Deduplicator. It returns when a quorum has recorded the end.
func (d *Deduplicator) Finish(ctx context.Context, c sycamorevane.Claim, a *sycamorevane.RecordedResponse) error {
	end := &encoder.ClaimRecord{
		Key: claimKey(&c), Digest: c.Digest, Token: c.Token,
		State: encoder.ClaimState_CLAIM_UNCERTAIN, Answer: toAnswer(a),
	}
	if a != nil {
		end.State = encoder.ClaimState_CLAIM_ANSWERED
	}
	return d.end(ctx, end)
}

// Abandon implements sycamorevane.Deduplicator.
func (d *Deduplicator) Abandon(ctx context.Context, c sycamorevane.Claim) error {
	return d.end(ctx, &encoder.ClaimRecord{
		Key: claimKey(&c), Digest: c.Digest, Token: c.Token, State: encoder.ClaimState_CLAIM_RELEASED,
	})
}

func (d *Deduplicator) end(ctx context.Context, end *encoder.ClaimRecord) error {
	d.mu.Lock()
	o, ok := d.open[end.Token]
	delete(d.open, end.Token)
	d.mu.Unlock()
	if !ok {
		return errors.Errorf("claim %x is not open here", end.Token)
	}
	return d.tell(ctx, end, o.members)
}

// release gives back a claim that did not get its quorum, in the background.
func (d *Deduplicator) release(record *encoder.ClaimRecord, members []string) {
	end := &encoder.ClaimRecord{
		Key: record.Key, Digest: record.Digest, Token: record.Token, State: encoder.ClaimState_CLAIM_RELEASED,
	}
	d.spawn(func() { _ = d.tell(d.ctx, end, members) })
}

// tell sends a record to the members that voted and to those of the present set. It returns when a quorum of
// the former has it.
func (d *Deduplicator) tell(ctx context.Context, record *encoder.ClaimRecord, voted []string) error {
	d.mu.Lock()
	d.refreshLocked()
	targets := slices.Clone(voted)
	for _, m := range d.holder.set(record.Key).members {
		if !slices.Contains(targets, m) {
			targets = append(targets, m)
		}
	}
	if slices.Contains(targets, d.cfg.Self) {
		d.holder.Set(time.Now(), record)
	}
	d.mu.Unlock()
	acks := make(chan bool, len(targets))
	for i, member := range targets {
		if member == d.cfg.Self {
			acks <- i < len(voted)
			continue
		}
		if !d.spawn(func() { acks <- d.set(member, record) && i < len(voted) }) {
			return errors.New("deduplicator is closed")
		}
	}
	return await(ctx, acks, len(targets), len(voted)/2+1)
}

func await(ctx context.Context, acks chan bool, sent, quorum int) error {
	got := 0
	for range sent {
		select {
		case ok := <-acks:
			if ok {
				got++
			}
			if got >= quorum {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return errors.Errorf("%d of %d claim holders have the end of the claim", got, quorum)
}

// set sends a record to one member, again when no answer comes.
func (d *Deduplicator) set(member string, record *encoder.ClaimRecord) bool {
	for range setRetries {
		ctx, cancel := context.WithTimeout(d.ctx, setTimeout)
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
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	swept := time.Now()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		d.fetch(now)
		d.renew(now)
		if now.Sub(swept) > sweepInterval {
			swept = now
			d.sweep(now)
		}
	}
}

func (d *Deduplicator) sweep(now time.Time) {
	d.mu.Lock()
	n := d.holder.Sweep(now)
	recovering := d.holder.Recovering()
	d.mu.Unlock()
	d.records.Update(float64(n))
	d.recovering.Update(float64(recovering))
}

func (d *Deduplicator) fetch(now time.Time) {
	d.mu.Lock()
	d.refreshLocked()
	due := d.holder.Fetches(now)
	d.mu.Unlock()
	for peer, ask := range due {
		d.spawn(func() { d.fetchFrom(peer, ask) })
	}
}

func (d *Deduplicator) fetchFrom(peer string, ask *encoder.ClaimFetch) {
	ctx, cancel := context.WithTimeout(d.ctx, fetchTimeout)
	defer cancel()
	reply, err := d.cfg.Transport.Call(ctx, peer, ask)
	var page *encoder.ClaimPage
	if err == nil {
		page, _ = reply.(*encoder.ClaimPage)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.holder.Recovering()
	d.holder.Page(time.Now(), peer, ask, page)
	if before > 0 && d.holder.Recovering() == 0 {
		d.cfg.Log.Info("claims of other holders are complete")
	}
}

// renew keeps long claims from being taken for uncertain.
func (d *Deduplicator) renew(now time.Time) {
	d.mu.Lock()
	var due []*openClaim
	for _, o := range d.open {
		if now.Sub(o.renewed) > renewInterval {
			o.renewed = now
			due = append(due, o)
		}
	}
	d.mu.Unlock()
	for _, o := range due {
		d.spawn(func() { _ = d.tell(d.ctx, o.record, o.members) })
	}
}

func toAnswer(a *sycamorevane.RecordedResponse) *encoder.ClaimAnswer {
	if a == nil {
		return nil
	}
	m := &encoder.ClaimAnswer{Status: uint32(a.Status), Body: a.Body, Large: a.BodyOmitted}
	for name, values := range a.Header {
		m.Fields = append(m.Fields, &encoder.ClaimField{Name: name, Values: values})
	}
	return m
}

func fromAnswer(m *encoder.ClaimAnswer) *sycamorevane.RecordedResponse {
	if m == nil {
		return nil
	}
	a := &sycamorevane.RecordedResponse{Status: int(m.Status), Header: make(map[string][]string), Body: m.Body, BodyOmitted: m.Large}
	for _, f := range m.Fields {
		a.Header[f.Name] = f.Values
	}
	return a
}

var _ sycamorevane.Deduplicator = (*Deduplicator)(nil)
