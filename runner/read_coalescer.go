package runner

import (
	"context"
	"sync"
	"time"
)

// quorumReadTimeout is the time limit of one quorum read.
const quorumReadTimeout = 900 * time.Millisecond

// readCoalescer combines quorum reads: calls that arrive during a read share the next one, which starts after all of them
// have arrived. When all hosts restart, hundreds of entries request the state at once, and a separate read for each of them
// would overload the leader.
type readCoalescer struct {
	read func(context.Context) error

	mu        sync.Mutex
	running   bool
	nextBatch *readBatch
}

// readBatch is one read, shared by the calls that wait for it.
type readBatch struct {
	done chan struct{}
	err  error
}

// Read waits for a read that starts after the call. It returns the error of the read or of ctx.
func (s *readCoalescer) Read(ctx context.Context) error {
	s.mu.Lock()
	if s.nextBatch == nil {
		s.nextBatch = &readBatch{done: make(chan struct{})}
	}
	batch := s.nextBatch
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run performs reads until no call is waiting.
func (s *readCoalescer) run() {
	for {
		s.mu.Lock()
		batch := s.nextBatch
		s.nextBatch = nil
		s.running = batch != nil
		s.mu.Unlock()
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), quorumReadTimeout)
		batch.err = s.read(ctx)
		cancel()
		close(batch.done)
	}
}
