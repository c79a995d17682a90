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
	// defaultMaxAttempts limits the attempts of one request.
	defaultMaxAttempts = 3
	// maxNotRunAttempts limits the attempts that certainly did not run the request: after that many, a failure to connect is
	// not retried. Retries after such failures use no retry budget.
	maxNotRunAttempts = 5
	// defaultHedgeAcquireTimeout is how long a hedge may wait for a free slot; a hedge that waits longer only adds load.
	defaultHedgeAcquireTimeout = 5 * time.Millisecond
	// slowCheckInterval is how often the server of a first attempt is checked; its slowdown changes several times a second.
	slowCheckInterval = 20 * time.Millisecond
	// plannedLatencyMedians is the time that is allowed for a response, as a multiple of the median latency. A hedge is
	// sent, and the last byte of a long body is written, at least that long before the deadline.
	plannedLatencyMedians = 1.1
	// hedgeRetryInterval is the wait after a hedge that found no slot or no retry budget. Without a further try, a request
	// on a dead connection would wait until its deadline.
	hedgeRetryInterval = 100 * time.Millisecond
)

// runAttempts makes attempts until one succeeds or no further one is allowed. An error means that there is no response
// from a server to forward.
func (c *call) runAttempts(ctx context.Context) (*result, error) {
	c.serviceState.retryBudget.deposit(c.svc.RetryRatio, c.f.cfg.RetryBurst())
	var failedResponse *result
	notRun := 0
	for {
		res := c.attemptWithHedge(ctx)
		if res.succeeded() {
			return res, nil
		}
		if res.notAttempted != nil {
			return c.resultOrError(failedResponse, c.orUncertain(res.notAttempted))
		}
		c.recordFailure(res)
		if !res.mayHaveRun {
			notRun++
		}
		if res.resp != nil {
			failedResponse = res
		}
		if !c.mayRetry(ctx, res, notRun) {
			return c.resultOrError(failedResponse, c.finalError(ctx, res))
		}
		if failedResponse != nil && failedResponse.attempt != nil {
			failedResponse.attempt.finish(failedResponse.kind, false)
			failedResponse = nil
		}
	}
}

// resultOrError prefers a failed response of a server to an error of the entry.
func (c *call) resultOrError(failedResponse *result, err error) (*result, error) {
	if failedResponse != nil {
		return failedResponse, nil
	}
	return nil, err
}

// recordFailure updates the call with the result of a failed attempt.
func (c *call) recordFailure(res *result) {
	c.excludedServers = append(c.excludedServers, res.server.ID)
	c.retryAfter = max(c.retryAfter, res.retryAfter)
	if res.mayHaveRun {
		reason := "answer failed"
		switch {
		case c.wait.Load() == attemptAbandoned:
			reason = "entry is shutting down while the server has the request"
		case res.err != nil:
			reason = res.err.Error()
		}
		c.setUncertain(res.server.ID, reason)
	}
}

// mayRetry reports whether another attempt is safe and allowed.
func (c *call) mayRetry(ctx context.Context, res *result, notRun int) bool {
	if ctx.Err() != nil || res.uploadFailed || (c.upload != nil && !c.upload.replayable()) {
		return false
	}
	if res.mayHaveRun && c.atMostOnce {
		return false
	}
	if res.resp != nil && !isServerFailure(res.resp.StatusCode) {
		return false
	}
	if !res.mayHaveRun && res.kind != sycamorevane.OutcomeShed {
		return notRun < maxNotRunAttempts
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

// isServerFailure reports whether the status is a failure of the server, so that another one may succeed.
func isServerFailure(status int) bool {
	return slices.Contains([]int{
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}, status)
}

// orUncertain returns the uncertainty left by an earlier attempt, if any, else err: a refusal states that no attempt of
// the request has run.
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
		return c.incompleteUploadError() // The context has ended as well: net/http cancels it when a read times out.
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

// timeoutError means that the request may have run but no response arrived in time; the status is 504.
type timeoutError struct{ *sycamorevane.UncertainError }

func (e *timeoutError) Unwrap() error { return e.UncertainError }

// attemptWithHedge makes one attempt, hedged by a second one if the request may run twice and its body is in memory.
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

// recordLatency adds the latency of a first attempt to the estimates if it succeeded.
func (c *call) recordLatency(res *result) *result {
	if res.succeeded() {
		c.addLatency(res.latency)
	}
	return res
}

// addLatency adds the latency of a first attempt to the estimates.
func (c *call) addLatency(latency time.Duration) {
	c.serviceState.tailLatency.add(latency)
	if c.ruleState != nil {
		c.ruleState.medianLatency.add(latency)
	}
}

// hedge is a second attempt that starts while the first one has no response yet.
type hedge struct {
	c               *call
	parentCtx       context.Context
	cancelFirst     context.CancelFunc
	timer           *time.Timer
	excludedServers []string
	// result receives the result of the second attempt; nil when none was made or its response is not used.
	result chan *result
	// firstEnded is closed when the first attempt has ended; no further hedge is then started.
	firstEnded chan struct{}
	// decided is set by the attempt whose response is used.
	decided atomic.Bool
	// firstServer is the server of the first attempt. At sendAt a hedge is sent even if that server is not slow.
	firstServer string
	sendAt      time.Time
	// budgetReserve is the number of retries that the hedge must leave in the budget.
	budgetReserve float64
}

// startTimer starts the timer once the first attempt has acquired a server: while that attempt is still queued, a hedge
// would only queue as well.
func (h *hedge) startTimer(server string) {
	h.excludedServers = append(slices.Clone(h.c.excludedServers), server)
	h.firstServer = server
	delay := h.c.serviceState.tailLatency.hedgeDelay()
	now := time.Now()
	h.sendAt = now.Add(delay)
	if usual, ok := h.c.slowHedgeDelay(now); ok && usual < delay {
		delay = usual
	}
	h.c.f.hedges.Add(1)
	h.timer = time.AfterFunc(delay, h.run)
}

// slowHedgeDelay returns the delay after which a hedge is expected to be answered first if the server of the first attempt is
// slow: that attempt has taken as long as usual then, and takes as long again. It returns false when there is no time for a
// hedge before the deadline, or when the Config does not tell which servers are slow.
func (c *call) slowHedgeDelay(now time.Time) (time.Duration, bool) {
	if c.f.cfg.IsSlow == nil || c.ruleState == nil {
		return 0, false
	}
	usual := c.plannedLatency()
	return usual, c.deadline.IsZero() || !now.Add(2*usual).After(c.deadline)
}

// plannedLatency is the time that is allowed for a response of the rule.
func (c *call) plannedLatency() time.Duration {
	return time.Duration(plannedLatencyMedians * float64(c.ruleState.medianLatency.get()))
}

// awaitSendTime waits until the first attempt should be hedged: as soon as its server is slow, else at sendAt. It
// returns false if the first attempt ends before.
func (h *hedge) awaitSendTime() bool {
	for {
		remaining := time.Until(h.sendAt)
		if remaining <= 0 {
			return true
		}
		if h.c.f.cfg.IsSlow(h.firstServer) {
			h.budgetReserve = max(0, (h.c.f.cfg.RetryBurst()-1)/2)
			return true
		}
		if !h.sleep(min(remaining, slowCheckInterval)) {
			return false
		}
	}
}

// run is called by the timer. It makes the second attempt once the first one should be hedged.
func (h *hedge) run() {
	defer h.c.f.hedges.Done()
	defer func() {
		if p := recover(); p != nil {
			h.c.f.metrics.panics.Inc(1)
			h.c.f.cfg.Log.Error(errors.Errorf("%v", p), "hedge panicked")
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

// sleep waits for d and reports whether a hedge is still needed.
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

// trySecond makes the second attempt. It returns false when there was no retry budget or no server was acquired.
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

// choose returns the better result of the two attempts once the timer of the hedge has fired.
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
		c.addLatency(time.Since(c.startedAt)) // The first attempt has taken at least as long.
		first.discard()
		return second
	}
	if first.notAttempted != nil {
		return second
	}
	second.discard()
	first.mayHaveRun = first.mayHaveRun || second.mayHaveRun
	return first
}

// discard ends an attempt whose response is not used.
func (r *result) discard() {
	if r.attempt != nil {
		r.attempt.finish(sycamorevane.OutcomeCancelled, false)
	}
}
