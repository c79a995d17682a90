package recorder

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// SampleRate is how many lines of one kind are written per second and SampleBurst how many may follow each other: an
// engineer needs examples of each kind of failure, and a host with a third of a core must not spend it on the rest.
const (
	SampleRate  = 20
	SampleBurst = 40
)

// Sampler bounds the log lines of each kind. The next line that is written says how many were left out.
type Sampler struct {
	log logr.Logger

	mu    sync.Mutex
	kinds map[string]*sample
}

type sample struct {
	tokens  float64
	filled  time.Time
	skipped int
}

// NewSampler returns a sampler that writes to log.
func NewSampler(log logr.Logger) *Sampler { return &Sampler{log: log, kinds: make(map[string]*sample)} }

// Info writes a line of the kind that msg is, unless there were too many of them.
func (s *Sampler) Info(now time.Time, msg string, pairs ...any) {
	ok, skipped := s.take(now, msg)
	if !ok {
		return
	}
	if skipped > 0 {
		pairs = append(pairs, "skipped", skipped)
	}
	s.log.Info(msg, pairs...)
}

func (s *Sampler) take(now time.Time, kind string) (ok bool, skipped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	if k == nil {
		k = &sample{tokens: SampleBurst, filled: now}
		s.kinds[kind] = k
	}
	k.tokens = min(SampleBurst, k.tokens+now.Sub(k.filled).Seconds()*SampleRate)
	k.filled = now
	if k.tokens < 1 {
		k.skipped++
		return false, 0
	}
	k.tokens--
	skipped, k.skipped = k.skipped, 0
	return true, skipped
}
