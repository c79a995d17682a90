package forwarder

import (
	"sync"
	"time"
)

const (
	// initialTokens allows retries of the first requests after a start. A draining server refuses one request per slot at
	// each entry at once; with 2 tokens, some reads were refused although other servers had free slots.
	initialTokens = 10
	// defaultRetryBurst limits the retries in a row after a long time without failures.
	defaultRetryBurst = 20
	// hedgeQuantile is the share of responses that arrive before a hedge is sent. With a retry ratio of 10%, it leaves half
	// of the budget to retries. It detects slow servers as long as they are at most 5% of all.
	hedgeQuantile     = 0.95
	initialHedgeDelay = 20 * time.Millisecond
	minHedgeDelay     = 5 * time.Millisecond
	// quantileStep is the relative change per observation. With 0.02, the estimate took thousands of calls to come down
	// from initialHedgeDelay.
	quantileStep = 0.2
)

// retryBudget is a token bucket. First attempts add tokens; retries and hedges take them.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds tokens, up to burst. It is called for each first attempt, and to return the token of a hedge that was not
// sent.
func (b *retryBudget) deposit(amount, burst float64) {
	b.mu.Lock()
	b.tokens = min(burst, b.tokens+amount)
	b.mu.Unlock()
}

// take takes a token for a retry or hedge. It returns false if fewer than reserve tokens would be left, or if the service
// has a retry ratio of 0.
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

// quantileEstimate estimates a quantile of the latencies by stochastic approximation, which needs only one number. At
// hedgeQuantile, a response above the estimate raises it as far as 19 responses below lower it.
type quantileEstimate struct {
	mu    sync.Mutex
	value float64
	// tailRatio is the share of responses above the quantile; 0 means 1 - hedgeQuantile.
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

func (q *quantileEstimate) get() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.value * float64(time.Second))
}

// hedgeDelay returns how long an attempt may go without a response before it is hedged.
func (q *quantileEstimate) hedgeDelay() time.Duration {
	return max(minHedgeDelay, q.get())
}
