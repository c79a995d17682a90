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
	// defaultMaxAttempts bounds the servers asked for one request.
	defaultMaxAttempts = 3
	// maxUnsentAttempts bounds the servers that could not be connected to, which cost no retry budget.
	maxUnsentAttempts = 5
	// defaultHedgeAcquireTimeout is how long a hedge may wait for a free slot, unless configured; a hedge that queues only adds load.
	defaultHedgeAcquireTimeout = 5 * time.Millisecond
	// slowCheckInterval is how often the server of an attempt is looked at; its pace changes several times a second.
	slowCheckInterval = 20 * time.Millisecond
	// minHedgeTimeMedians is the time that a second attempt should have, in medians.
	minHedgeTimeMedians = 1.1
	// hedgeRetryInterval is the wait after a hedge that found no slot or no budget. Without another try, a request on a
	// connection that went silent would wait for its whole deadline.
	hedgeRetryInterval = 100 * time.Millisecond
)

// runAttempts makes attempts until one brings an answer or no further one is allowed. An error means that there is no
// answer from a server to pass on.
func (c *call) runAttempts(ctx context.Context) (*result, error) {
	c.serviceState.retryBudget.deposit(c.svc.RetryRatio, c.f.cfg.RetryBurst())
	var failedResponse *result
	unsent := 0
	for {
		res := c.attemptWithHedge(ctx)
		if res.succeeded() {
			return res, nil
		}
		if res.notAttempted != nil {
			return c.resultOrError(failedResponse, c.orUncertain(res.notAttempted))
		}
		c.recordFailure(res)
		if !res.sent {
			unsent++
		}
		if res.resp != nil {
			failedResponse = res
		}
		if !c.mayRetry(ctx, res, unsent) {
			return c.resultOrError(failedResponse, c.finalError(ctx, res))
		}
		if failedResponse != nil && failedResponse.attempt != nil {
			failedResponse.attempt.finish(failedResponse.kind, false)
			failedResponse = nil
		}
	}
}

func (c *call) resultOrError(failedResponse *result, err error) (*result, error) {
	if failedResponse != nil {
		return failedResponse, nil
	}
	return nil, err
}

// recordFailure records what the attempt says about the whole request.
func (c *call) recordFailure(res *result) {
	c.excludedServers = append(c.excludedServers, res.server.ID)
	c.retryAfter = max(c.retryAfter, res.retryAfter)
	if res.sent && c.uncertain == nil {
		reason := "answer failed"
		if res.err != nil {
			reason = res.err.Error()
		}
		c.uncertain = &sycamorevane.UncertainError{Server: res.server.ID, Reason: reason}
	}
}

// mayRetry reports whether another attempt is safe and allowed.
func (c *call) mayRetry(ctx context.Context, res *result, unsent int) bool {
	if ctx.Err() != nil || res.uploadFailed || (c.upload != nil && !c.upload.replayable()) {
		return false
	}
	if res.sent && c.atMostOnce {
		return false
	}
	if res.resp != nil && !isServerFailure(res.resp.StatusCode) {
		return false
	}
	if !res.sent && res.kind != sycamorevane.OutcomeShed {
		return unsent < maxUnsentAttempts
	}
	if c.attempts >= c.maxAttempts() || !c.serviceState.retryBudget.take(c.svc.RetryRatio, 0) {
		return false
	}
	c.f.metrics.retries.Inc(1)
	return true
}

func (c *call) maxAttempts() int {
	if c.rule != nil && c.rule.MaxAttempts > 0 {
		return c.rule.MaxAttempts
	}
	return defaultMaxAttempts
}

// isServerFailure reports whether another server may answer better.
func isServerFailure(status int) bool {
	return slices.Contains([]int{
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}, status)
}

// orUncertain returns err, or the uncertainty of an earlier attempt, since a refusal must be true of the whole request.
func (c *call) orUncertain(err error) error {
	if c.uncertain != nil && !errors.Is(err, errCallerGone) {
		return c.uncertain
	}
	return err
}

// finalError returns the error for a request whose last attempt failed.
func (c *call) finalError(ctx context.Context, res *result) error {
	switch {
	case res.uploadFailed:
		return c.incompleteUploadError() // The context has ended, too: net/http cancels it when a read times out.
	case ctx.Err() != nil:
		return errCallerGone
	case c.uncertain != nil && res.kind == sycamorevane.OutcomeTimeout:
		return &timeoutError{c.uncertain}
	case c.uncertain != nil:
		return c.uncertain
	case res.kind == sycamorevane.OutcomeShed:
		return c.newRefusedError("servers have no room", max(c.retryAfter, defaultRetryAfter))
	}
	return c.newRefusedError("no server could be reached", defaultRetryAfter)
}

func (c *call) incompleteUploadError() error {
	if err := c.upload.sourceErr(); err != nil {
		return c.uploadError(err)
	}
	if c.upload.tooLarge.Load() {
		return c.uploadError(errBodyTooLarge)
	}
	return &statusError{http.StatusRequestTimeout, "body made no progress or ended early"}
}

// timeoutError is an uncertain end by a timeout, answered with 504.
type timeoutError struct{ *sycamorevane.UncertainError }

func (e *timeoutError) Unwrap() error { return e.UncertainError }

// attemptWithHedge runs one attempt, hedged by a second when the request may run twice and its body is in memory.
func (c *call) attemptWithHedge(ctx context.Context) *result {
	c.attempts++
	if c.atMostOnce || (c.upload != nil && !c.upload.fullyBuffered()) || c.svc.RetryRatio <= 0 || c.attempts >= c.maxAttempts() {
		return c.recordLatency(c.tryServer(ctx, c.excludedServers, false, nil))
	}
	h := &hedge{c: c, parentCtx: ctx, result: make(chan *result, 1), firstEnded: make(chan struct{})}
	firstCtx, cancel := context.WithCancel(ctx)
	h.cancelFirst = cancel
	res := c.recordLatency(c.tryServer(firstCtx, c.excludedServers, false, h.startTimer))
	if res.attempt != nil {
		res.attempt.cancel = cancel
	} else {
		defer cancel()
	}
	if h.timer == nil {
		return res
	}
	if h.timer.Stop() {
		c.f.hedges.Done()
		return res
	}
	return h.choose(res)
}

// recordLatency lets the latency of a good first attempt set the time of the next hedge.
func (c *call) recordLatency(res *result) *result {
	if res.succeeded() {
		c.addLatency(res.latency)
	}
	return res
}

// addLatency takes the latency of a first attempt into account.
func (c *call) addLatency(latency time.Duration) {
	c.serviceState.hedgeDelay.add(latency)
	if c.ruleState != nil {
		c.ruleState.medianLatency.add(latency)
	}
}

// hedge is a second attempt that starts while the first is still without an answer.
type hedge struct {
	c               *call
	parentCtx       context.Context
	cancelFirst     context.CancelFunc
	timer           *time.Timer
	excludedServers []string
	result          chan *result
	// firstEnded is closed when the first attempt has ended; no further hedge is then started.
	firstEnded chan struct{}
	// decided is set by the attempt whose answer is used.
	decided atomic.Bool
	// firstServer runs the first attempt; at is when a hedge is sent in any case.
	firstServer string
	sendAt      time.Time
	// budgetReserve is how many retries a hedge leaves to others.
	budgetReserve float64
}

// startTimer starts the timer when the first attempt has its server: a hedge of a request that still queues would
// only queue beside it.
func (h *hedge) startTimer(server string) {
	h.excludedServers = append(slices.Clone(h.c.excludedServers), server)
	h.firstServer = server
	delay := h.c.serviceState.hedgeDelay.hedgeDelay()
	now := time.Now()
	h.sendAt = now.Add(delay)
	if latest, ok := h.c.latestHedgeDelay(now); ok && latest < delay {
		delay = latest
	}
	h.c.f.hedges.Add(1)
	h.timer = time.AfterFunc(delay, h.run)
}

// latestHedgeDelay returns after how long another attempt would mostly come too late for the aim of the request; false when it
// would already, or when there is no aim.
func (c *call) latestHedgeDelay(now time.Time) (time.Duration, bool) {
	softDeadline := c.softDeadline()
	if c.f.cfg.Slow == nil || softDeadline.IsZero() {
		return 0, false
	}
	delay := softDeadline.Sub(now) - time.Duration(minHedgeTimeMedians*float64(c.ruleState.medianLatency.get()))
	return delay, delay > 0
}

// awaitSendTime returns when the first attempt should be hedged: when its server has become slow, or at the usual time. It
// reports false when the attempt has ended before.
func (h *hedge) awaitSendTime() bool {
	for {
		remaining := time.Until(h.sendAt)
		if remaining <= 0 {
			return true
		}
		if h.c.f.cfg.Slow(h.firstServer) {
			h.budgetReserve = max(0, (h.c.f.cfg.RetryBurst()-1)/2)
			return true
		}
		if !h.sleep(min(remaining, slowCheckInterval)) {
			return false
		}
	}
}

// run starts from the timer.
func (h *hedge) run() {
	defer h.c.f.hedges.Done()
	defer func() {
		if p := recover(); p != nil {
			h.c.f.metrics.panics.Inc(1)
			h.c.f.cfg.Log.Error(errors.Errorf("%v", p), "hedged attempt failed by a panic")
			h.result <- nil
		}
	}()
	if !h.awaitSendTime() {
		h.result <- nil
		return
	}
	for {
		if res, tried := h.trySecond(); tried {
			h.result <- res
			return
		}
		if !h.sleep(hedgeRetryInterval) {
			h.result <- nil
			return
		}
	}
}

// sleep waits for the next try and reports whether a hedge is still wanted.
func (h *hedge) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !h.decided.Load()
	case <-h.firstEnded:
	case <-h.parentCtx.Done():
	}
	return false
}

// trySecond makes the hedged attempt. It reports false when there was no budget or no server was asked.
func (h *hedge) trySecond() (res *result, tried bool) {
	if !h.c.serviceState.retryBudget.take(h.c.svc.RetryRatio, h.budgetReserve) {
		return nil, false
	}
	ctx, cancel := context.WithCancel(h.parentCtx)
	res = h.c.tryServer(ctx, h.excludedServers, true, nil)
	if res.attempt != nil {
		res.attempt.cancel = cancel
	} else {
		cancel()
	}
	if res.notAttempted != nil {
		h.c.serviceState.retryBudget.deposit(1, h.c.f.cfg.RetryBurst()) // Nothing was sent.
		return nil, false
	}
	h.c.f.metrics.hedges.Inc(1)
	if res.succeeded() {
		if !h.decided.CompareAndSwap(false, true) {
			res.discard()
			return nil, true
		}
		h.cancelFirst()
	}
	return res, true
}

// choose returns the better of both attempts once the hedge has started.
func (h *hedge) choose(first *result) *result {
	close(h.firstEnded)
	if first.succeeded() && h.decided.CompareAndSwap(false, true) {
		return first
	}
	second := <-h.result
	if second == nil || second.notAttempted != nil {
		return first
	}
	h.c.attempts++
	if second.succeeded() {
		c := h.c
		c.addLatency(time.Since(c.startedAt)) // The first attempt took at least as long.
		first.discard()
		return second
	}
	if first.notAttempted != nil {
		return second
	}
	second.discard()
	first.sent = first.sent || second.sent
	return first
}

// discard ends an attempt whose answer is not used.
func (r *result) discard() {
	if r.attempt != nil {
		r.attempt.finish(sycamorevane.OutcomeCancelled, false)
	}
}
