package runner

import (
	"context"
	"sync"
	"time"
)

// sharedReadTime bounds one read by the quorum.
const sharedReadTime = 900 * time.Millisecond

// sharedReads lets callers that come while a read by the quorum is under way share the next one, which begins after all of
// them have come. After a loss of all hosts hundreds of entries ask for the state at once, and a read for each of them would keep
// the leader from everything else.
type sharedReads struct {
	read func(context.Context) error

	mu      sync.Mutex
	running bool
	next    *readRound
}

// readRound is a read and those who wait for it.
type readRound struct {
	done chan struct{}
	err  error
}

// Read returns when a read that began after the call has ended. Errors: those of the read, the context's.
func (s *sharedReads) Read(ctx context.Context) error {
	s.mu.Lock()
	if s.next == nil {
		s.next = &readRound{done: make(chan struct{})}
	}
	r := s.next
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run reads until nobody waits any more.
func (s *sharedReads) run() {
	for {
		s.mu.Lock()
		r := s.next
		s.next = nil
		s.running = r != nil
		s.mu.Unlock()
		if r == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), sharedReadTime)
		r.err = s.read(ctx)
		cancel()
		close(r.done)
	}
}
