package forwarder

import (
	"sync"
	"time"
)

const (
	// initialTokens lets the first requests after a start be retried. A server that drains refuses a request per slot
	// at each entry at once; with 2 tokens some reads were refused although other servers had room.
	initialTokens = 10
	// defaultRetryBurst bounds the burst of retries after a long good time.
	defaultRetryBurst = 20
	// hedgeQuantile is the share of answers that arrive before a hedge is sent. With the retry share of 10% it
	// leaves half of the budget to retries, and it finds up to 5% of slow servers.
	hedgeQuantile     = 0.95
	initialHedgeDelay = 20 * time.Millisecond
	minHedgeDelay     = 5 * time.Millisecond
	// quantileStep is the relative change per observation. With 0.02, thousands of calls pass until the estimate
	// has come down from hedgeStart.
	quantileStep = 0.2
)

// retryBudget is a token bucket that first attempts fill and retries and hedges empty.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit is called for each first attempt.
func (b *retryBudget) deposit(amount, burst float64) {
	b.mu.Lock()
	b.tokens = min(burst, b.tokens+amount)
	b.mu.Unlock()
}

// take reports whether a retry or hedge is allowed that leaves so many tokens to others.
func (b *retryBudget) take(ratio, reserve float64) bool {
	if ratio <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// quantileEstimate estimates hedgeQuantile of the latencies by stochastic approximation: it needs one number per
// service, and an answer above the estimate moves it up as far as 19 answers below move it down.
type quantileEstimate struct {
	mu    sync.Mutex
	value float64
	// tailRatio is the share of answers that arrive after a hedge is sent; 0 for 1 - hedgeQuantile.
	tailRatio float64
}

func (q *quantileEstimate) add(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	tailRatio := q.tailRatio
	if tailRatio == 0 {
		tailRatio = 1 - hedgeQuantile
	}
	if d.Seconds() > q.value {
		q.value += q.value * quantileStep * (1 - tailRatio)
		return
	}
	q.value -= q.value * quantileStep * tailRatio
}

func (q *quantileEstimate) setTailRatio(ratio float64) {
	q.mu.Lock()
	q.tailRatio = ratio
	q.mu.Unlock()
}

// get returns the estimate.
func (q *quantileEstimate) get() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.value * float64(time.Second))
}

// hedgeDelay is how long an attempt may stay without an answer before it is hedged.
func (q *quantileEstimate) hedgeDelay() time.Duration {
	return max(minHedgeDelay, q.get())
}
