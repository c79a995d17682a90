package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// maxAttempts bounds the servers asked for one request.
	maxAttempts = 3
	// maxRefused bounds the servers that could not be connected to, which cost no retry budget.
	maxRefused = 5
	// hedgeWait is how long a hedge may wait for a free slot, unless configured; a hedge that queues only adds load.
	hedgeWait = 5 * time.Millisecond
	// slowTick is how often the server of an attempt is looked at; its pace changes several times a second.
	slowTick = 20 * time.Millisecond
	// hedgeRoom is the time that a second attempt should have, in medians.
	hedgeRoom = 1.1
	// hedgeAgain is the wait after a hedge that found no slot or no budget. Without another try, a request on a
	// connection that went silent would wait for its whole deadline.
	hedgeAgain = 100 * time.Millisecond
)

// run makes attempts until one brings an answer or no further one is allowed. An error means that there is no
// answer from a server to pass on.
func (c *call) run(ctx context.Context) (*result, error) {
	c.kept.budget.deposit(c.svc.RetryRatio, c.f.cfg.RetryBurst())
	var held *result
	refused := 0
	for {
		res := c.attempt(ctx)
		if res.good() {
			return res, nil
		}
		if res.refused != nil {
			return c.orHeld(held, c.worse(res.refused))
		}
		c.note(res)
		if !res.sent {
			refused++
		}
		if res.resp != nil {
			held = res
		}
		if !c.again(ctx, res, refused) {
			return c.orHeld(held, c.explain(ctx, res))
		}
		if held != nil && held.open != nil {
			held.open.finish(held.kind, false)
			held = nil
		}
	}
}

func (c *call) orHeld(held *result, err error) (*result, error) {
	if held != nil {
		return held, nil
	}
	return nil, err
}

// note records what the attempt says about the whole request.
func (c *call) note(res *result) {
	c.excludedServers = append(c.excludedServers, res.server.ID)
	c.after = max(c.after, res.after)
	if res.sent && c.uncertain == nil {
		reason := "answer failed"
		if res.err != nil {
			reason = res.err.Error()
		}
		c.uncertain = &sycamorevane.UncertainError{Server: res.server.ID, Reason: reason}
	}
}

// again reports whether another attempt is safe and allowed.
func (c *call) again(ctx context.Context, res *result, refused int) bool {
	if ctx.Err() != nil || res.upload || (c.body != nil && !c.body.replayable()) {
		return false
	}
	if res.sent && c.once {
		return false
	}
	if res.resp != nil && !worthRetrying(res.resp.StatusCode) {
		return false
	}
	if !res.sent && res.kind != sycamorevane.OutcomeShed {
		return refused < maxRefused
	}
	if c.attempts >= c.maxAttempts() || !c.kept.budget.take(c.svc.RetryRatio, 0) {
		return false
	}
	c.f.counts.retries.Inc(1)
	return true
}

func (c *call) maxAttempts() int {
	if c.rule != nil && c.rule.MaxAttempts > 0 {
		return c.rule.MaxAttempts
	}
	return maxAttempts
}

// worthRetrying reports whether another server may answer better.
func worthRetrying(status int) bool {
	return slices.Contains([]int{
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}, status)
}

// worse returns err, or the uncertainty of an earlier attempt, since a refusal must be true of the whole request.
func (c *call) worse(err error) error {
	if c.uncertain != nil && !errors.Is(err, errCallerGone) {
		return c.uncertain
	}
	return err
}

// explain returns the error for a request whose last attempt failed.
func (c *call) explain(ctx context.Context, res *result) error {
	switch {
	case res.upload:
		return c.uploadFailed() // The context has ended, too: net/http cancels it when a read times out.
	case ctx.Err() != nil:
		return errCallerGone
	case c.uncertain != nil && res.kind == sycamorevane.OutcomeTimeout:
		return &timeoutError{c.uncertain}
	case c.uncertain != nil:
		return c.uncertain
	case res.kind == sycamorevane.OutcomeShed:
		return c.refused("servers have no room", max(c.after, retryAfter))
	}
	return c.refused("no server could be reached", retryAfter)
}

func (c *call) uploadFailed() error {
	if err := c.body.failed(); err != nil {
		return c.uploadError(err)
	}
	if c.body.over.Load() {
		return c.uploadError(errBodyLimit)
	}
	return &statusError{http.StatusRequestTimeout, "body made no progress or ended early"}
}

// timeoutError is an uncertain end by a timeout, answered with 504.
type timeoutError struct{ *sycamorevane.UncertainError }

func (e *timeoutError) Unwrap() error { return e.UncertainError }

// attempt runs one attempt, hedged by a second when the request may run twice and its body is in memory.
func (c *call) attempt(ctx context.Context) *result {
	c.attempts++
	if c.once || (c.body != nil && !c.body.whole()) || c.svc.RetryRatio <= 0 || c.attempts >= c.maxAttempts() {
		return c.timed(c.try(ctx, c.excludedServers, false, nil))
	}
	h := &hedge{c: c, parent: ctx, done: make(chan *result, 1), ended: make(chan struct{})}
	first, cancel := context.WithCancel(ctx)
	h.cancelFirst = cancel
	res := c.timed(c.try(first, c.excludedServers, false, h.arm))
	if res.open != nil {
		res.open.cancel = cancel
	} else {
		defer cancel()
	}
	if h.timer == nil {
		return res
	}
	if h.timer.Stop() {
		c.f.wg.Done()
		return res
	}
	return h.choose(res)
}

// timed lets the latency of a good first attempt set the time of the next hedge.
func (c *call) timed(res *result) *result {
	if res.good() {
		c.observe(res.latency)
	}
	return res
}

// observe takes the latency of a first attempt into account.
func (c *call) observe(latency time.Duration) {
	c.kept.delay.add(latency)
	if c.ruleState != nil {
		c.ruleState.median.add(latency)
	}
}

// hedge is a second attempt that starts while the first is still without an answer.
type hedge struct {
	c           *call
	parent      context.Context
	cancelFirst context.CancelFunc
	timer       *time.Timer
	avoid       []string
	done        chan *result
	// ended is closed when the first attempt has ended; no further hedge is then started.
	ended chan struct{}
	// won is set by the attempt whose answer is used.
	won atomic.Bool
	// server runs the first attempt; at is when a hedge is sent in any case.
	server string
	at     time.Time
	// reserve is how many retries a hedge leaves to others.
	reserve float64
}

// arm starts the timer when the first attempt has its server: a hedge of a request that still queues would
// only queue beside it.
func (h *hedge) arm(server string) {
	h.avoid = append(slices.Clone(h.c.excludedServers), server)
	h.server = server
	delay := h.c.kept.delay.hedgeAfter()
	now := time.Now()
	h.at = now.Add(delay)
	if early, ok := h.c.lastMoment(now); ok && early < delay {
		delay = early
	}
	h.c.f.wg.Add(1)
	h.timer = time.AfterFunc(delay, h.run)
}

// lastMoment returns after how long another attempt would mostly come too late for the aim of the request; false when it
// would already, or when there is no aim.
func (c *call) lastMoment(now time.Time) (time.Duration, bool) {
	aim := c.softDeadline()
	if c.f.cfg.Slow == nil || aim.IsZero() {
		return 0, false
	}
	early := aim.Sub(now) - time.Duration(hedgeRoom*float64(c.ruleState.median.get()))
	return early, early > 0
}

// awaitReason returns when the first attempt should be hedged: when its server has become slow, or at the usual time. It
// reports false when the attempt has ended before.
func (h *hedge) awaitReason() bool {
	for {
		left := time.Until(h.at)
		if left <= 0 {
			return true
		}
		if h.c.f.cfg.Slow(h.server) {
			h.reserve = max(0, (h.c.f.cfg.RetryBurst()-1)/2)
			return true
		}
		if !h.pause(min(left, slowTick)) {
			return false
		}
	}
}

// run starts from the timer.
func (h *hedge) run() {
	defer h.c.f.wg.Done()
	defer func() {
		if p := recover(); p != nil {
			h.c.f.counts.panics.Inc(1)
			h.c.f.cfg.Log.Error(errors.Errorf("%v", p), "hedged attempt failed by a panic")
			h.done <- nil
		}
	}()
	if !h.awaitReason() {
		h.done <- nil
		return
	}
	for {
		if res, tried := h.second(); tried {
			h.done <- res
			return
		}
		if !h.pause(hedgeAgain) {
			h.done <- nil
			return
		}
	}
}

// pause waits for the next try and reports whether a hedge is still wanted.
func (h *hedge) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !h.won.Load()
	case <-h.ended:
	case <-h.parent.Done():
	}
	return false
}

// second makes the hedged attempt. It reports false when there was no budget or no server was asked.
func (h *hedge) second() (res *result, tried bool) {
	if !h.c.kept.budget.take(h.c.svc.RetryRatio, h.reserve) {
		return nil, false
	}
	ctx, cancel := context.WithCancel(h.parent)
	res = h.c.try(ctx, h.avoid, true, nil)
	if res.open != nil {
		res.open.cancel = cancel
	} else {
		cancel()
	}
	if res.refused != nil {
		h.c.kept.budget.deposit(1, h.c.f.cfg.RetryBurst()) // Nothing was sent.
		return nil, false
	}
	h.c.f.counts.hedges.Inc(1)
	if res.good() {
		if !h.won.CompareAndSwap(false, true) {
			res.drop()
			return nil, true
		}
		h.cancelFirst()
	}
	return res, true
}

// choose returns the better of both attempts once the hedge has started.
func (h *hedge) choose(first *result) *result {
	close(h.ended)
	if first.good() && h.won.CompareAndSwap(false, true) {
		return first
	}
	second := <-h.done
	if second == nil || second.refused != nil {
		return first
	}
	h.c.attempts++
	if second.good() {
		c := h.c
		c.observe(time.Since(c.began)) // The first attempt took at least as long.
		first.drop()
		return second
	}
	if first.refused != nil {
		return second
	}
	second.drop()
	first.sent = first.sent || second.sent
	return first
}

// drop ends an attempt whose answer is not used.
func (r *result) drop() {
	if r.open != nil {
		r.open.finish(sycamorevane.OutcomeCancelled, false)
	}
}
