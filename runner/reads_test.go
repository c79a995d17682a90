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

// Guards against a leader that is kept from leading by a read for each of hundreds of entries.
func TestReadsAreShared(t *testing.T) {
	var began, ended atomic.Int64
	s := &sharedReads{read: func(context.Context) error {
		began.Add(1)
		time.Sleep(20 * time.Millisecond)
		ended.Add(1)
		return nil
	}}
	var wg sync.WaitGroup
	for range 500 {
		wg.Go(func() {
			before := began.Load()
			if s.Read(t.Context()) == nil && ended.Load() <= before {
				t.Error("the read had begun before the call")
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, began.Load(), int64(20))

	t.Run("errors reach those that wait, and no later ones", func(t *testing.T) {
		failed := errors.New("no quorum")
		s.read = func(context.Context) error { return failed }
		require.ErrorIs(t, s.Read(t.Context()), failed)
		s.read = func(context.Context) error { return nil }
		require.NoError(t, s.Read(t.Context()))
	})
	t.Run("a caller leaves when its time is over", func(t *testing.T) {
		s.read = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, s.Read(ctx), context.DeadlineExceeded)
	})
}
