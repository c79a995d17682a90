package runner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against overloading the leader with a separate quorum read for each of hundreds of entries.
func TestReadsAreShared(t *testing.T) {
	var startedReads, endedReads atomic.Int64
	coalescer := &readCoalescer{read: func(context.Context) error {
		startedReads.Add(1)
		time.Sleep(20 * time.Millisecond)
		endedReads.Add(1)
		return nil
	}}
	var wg sync.WaitGroup
	for range 500 {
		wg.Go(func() {
			before := startedReads.Load()
			if coalescer.Read(t.Context()) == nil && endedReads.Load() <= before {
				t.Error("the read started before the call")
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, startedReads.Load(), int64(20))

	t.Run("errors reach those that wait, and no later ones", func(t *testing.T) {
		readErr := errors.New("no quorum")
		coalescer.read = func(context.Context) error { return readErr }
		require.ErrorIs(t, coalescer.Read(t.Context()), readErr)
		coalescer.read = func(context.Context) error { return nil }
		require.NoError(t, coalescer.Read(t.Context()))
	})
	t.Run("a caller leaves when its time is over", func(t *testing.T) {
		coalescer.read = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, coalescer.Read(ctx), context.DeadlineExceeded)
	})
}
