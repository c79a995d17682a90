package balancer

import "time"

// burstTime is the time for which unused tokens are kept. Requests that find no room arrive in bursts, and a lender
// absorbs those of a quarter of a second in its own queue.
const burstTime = 250 * time.Millisecond

// tokenBucket limits a rate of requests.
type tokenBucket struct {
	rate, tokens float64
	filled       time.Time
}

func (b *tokenBucket) setRate(now time.Time, rate float64) {
	b.fill(now)
	b.rate = rate
	b.fill(now)
}

// fill returns the number of tokens.
func (b *tokenBucket) fill(now time.Time) float64 {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens += b.rate * min(elapsed, burstTime+time.Second).Seconds()
		b.filled = now
	}
	burst := max(1, b.rate*burstTime.Seconds())
	if b.rate == 0 {
		burst = 0
	}
	b.tokens = min(b.tokens, burst)
	return b.tokens
}

// byteBucket limits a rate of bytes. It may become negative by one request, since the size of a request can exceed the
// burst; the rate holds over longer times.
type byteBucket struct {
	tokenBucket
	limited bool
}

func (b *byteBucket) setRate(now time.Time, rate float64) {
	b.limited = rate > 0
	b.tokenBucket.setRate(now, rate)
}

func (b *byteBucket) available(now time.Time) bool { return !b.limited || b.fill(now) > 0 }

func (b *byteBucket) spend(bytes float64) {
	if b.limited {
		b.tokens -= bytes
	}
}
