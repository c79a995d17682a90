package forwarder

import (
	"sync"
	"time"
)

const (
	// initialTokens lets the first requests after a start be retried. A server that drains refuses a request per slot
	// at each entry at once; with 2 tokens some reads were refused although other servers had room.
	initialTokens = 10
	// maxTokens bounds the burst of retries after a long good time.
	maxTokens = 20
	// hedgeQuantile is the share of answers that arrive before a hedge is sent. With the retry share of 10% it
	// leaves half of the budget to retries, and it finds up to 5% of slow servers.
	hedgeQuantile = 0.95
	hedgeStart    = 20 * time.Millisecond
	hedgeMin      = 5 * time.Millisecond
	// quantileStep is the relative change per observation. With 0.02, thousands of calls pass until the estimate
	// has come down from hedgeStart.
	quantileStep = 0.2
)

// budget is a token bucket that first attempts fill and retries and hedges empty.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit is called for each first attempt.
func (b *budget) deposit(share, burst float64) {
	b.mu.Lock()
	b.tokens = min(burst, b.tokens+share)
	b.mu.Unlock()
}

// take reports whether a retry or hedge is allowed that leaves so many tokens to others.
func (b *budget) take(share, reserve float64) bool {
	if share <= 0 {
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

// quantile estimates hedgeQuantile of the latencies by stochastic approximation: it needs one number per
// service, and an answer above the estimate moves it up as far as 19 answers below move it down.
type quantile struct {
	mu    sync.Mutex
	value float64
	// hedged is the share of answers that arrive after a hedge is sent; 0 for 1 - hedgeQuantile.
	hedged float64
}

func (q *quantile) add(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	hedged := q.hedged
	if hedged == 0 {
		hedged = 1 - hedgeQuantile
	}
	if d.Seconds() > q.value {
		q.value += q.value * quantileStep * (1 - hedged)
		return
	}
	q.value -= q.value * quantileStep * hedged
}

func (q *quantile) setHedged(share float64) {
	q.mu.Lock()
	q.hedged = share
	q.mu.Unlock()
}

// get returns the estimate.
func (q *quantile) get() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.value * float64(time.Second))
}

// hedgeAfter is how long an attempt may stay without an answer before it is hedged.
func (q *quantile) hedgeAfter() time.Duration {
	return max(hedgeMin, q.get())
}
