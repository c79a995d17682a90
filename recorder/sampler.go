package recorder

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// SampleLinesPerSecond and SampleBurstLines are the rate and burst limits of the log lines with the same message. An
// engineer needs only examples of each kind of failure, and a host with a third of a CPU core must not spend it on
// logging.
const (
	SampleLinesPerSecond = 20
	SampleBurstLines     = 40
)

// Sampler limits the rate of log lines with the same message. The next line with that message reports how many were
// skipped.
type Sampler struct {
	log logr.Logger

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	skipped    int
}

// NewSampler returns a sampler that writes to log.
func NewSampler(log logr.Logger) *Sampler {
	return &Sampler{log: log, buckets: make(map[string]*tokenBucket)}
}

// Info logs a line unless the rate limit for msg is exceeded.
func (s *Sampler) Info(now time.Time, msg string, keysAndValues ...any) {
	allowed, skipped := s.take(now, msg)
	if !allowed {
		return
	}
	if skipped > 0 {
		keysAndValues = append(keysAndValues, "skipped", skipped)
	}
	s.log.Info(msg, keysAndValues...)
}

// take reports whether a line may be logged, and how many lines were skipped since the last one.
func (s *Sampler) take(now time.Time, msg string) (ok bool, skipped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.buckets[msg]
	if bucket == nil {
		bucket = &tokenBucket{tokens: SampleBurstLines, refilledAt: now}
		s.buckets[msg] = bucket
	}
	bucket.tokens = min(SampleBurstLines, bucket.tokens+now.Sub(bucket.refilledAt).Seconds()*SampleLinesPerSecond)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		bucket.skipped++
		return false, 0
	}
	bucket.tokens--
	skipped, bucket.skipped = bucket.skipped, 0
	return true, skipped
}
