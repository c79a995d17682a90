package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// pacedShare is the share of the link, in each direction, that large bodies take together.
	pacedShare = 0.8
	// Bodies of more than pacedBodyBytes are paced. Smaller ones occupy the slowest links for less than about 100 ms.
	pacedBodyBytes = 32 << 10
	// pacedChunkBytes is the amount that one body may transfer before it is the turn of the next. It delays a small
	// request by 13 ms at 2.6 Mbit/s.
	pacedChunkBytes = 4 << 10
	// maxPacedLinkMbps is the speed up to which links are paced. At 100 Mbit/s a body of 540 kB takes only 43 ms.
	maxPacedLinkMbps = 100
)

// pacer limits the rate of large bodies in both directions of the link. Its methods do nothing on a nil pacer.
type pacer struct {
	in, out directionPacer
}

// directionPacer limits the rate of large bodies in one direction. Reservations are served in order and each body has
// at most one, so that bodies take turns and none starves.
type directionPacer struct {
	limiter *rate.Limiter
	bytes   tally.Counter
	waited  tally.Histogram
}

// newPacer returns nil if the link is unknown or too fast to need pacing.
func newPacer(linkMbps float64, m tally.Scope) *pacer {
	if linkMbps <= 0 || linkMbps > maxPacedLinkMbps {
		return nil
	}
	direction := func(name string) directionPacer {
		return directionPacer{
			limiter: newPacedLimiter(linkMbps), bytes: m.Counter("paced_" + name + "_bytes"),
			waited: m.Histogram("paced_"+name+"_wait", latencyBuckets),
		}
	}
	return &pacer{in: direction("in"), out: direction("out")}
}

func newPacedLimiter(linkMbps float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(pacedShare*linkMbps*bitsPerMegabit/bitsPerByte), pacedChunkBytes)
}

// wait waits until n bytes, at most pacedChunkBytes, may be transferred.
func (d *directionPacer) wait(ctx context.Context, n int) error {
	now := time.Now()
	r := d.limiter.ReserveN(now, n)
	d.bytes.Inc(int64(n))
	delay := r.DelayFrom(now)
	d.waited.RecordDuration(delay)
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		r.Cancel()
		return ctx.Err()
	}
}

// pacedReader paces a body after its first pacedBodyBytes, or from the start if it is known to be larger. It limits reads to
// pacedChunkBytes.
type pacedReader struct {
	io.Reader
	ctx       context.Context
	direction *directionPacer
	// unpaced is the number of bytes that are still read without pacing.
	unpaced int
}

// pace returns a reader of the body with the given length, which is negative if unknown.
func (p *pacer) pace(ctx context.Context, r io.Reader, length int64, inward bool) io.Reader {
	if p == nil || length >= 0 && length <= pacedBodyBytes {
		return r
	}
	paced := &pacedReader{Reader: r, ctx: ctx, direction: &p.out}
	if inward {
		paced.direction = &p.in
	}
	if length < 0 {
		paced.unpaced = pacedBodyBytes
	}
	return paced
}

func (r *pacedReader) Read(b []byte) (int, error) {
	if r.unpaced > 0 {
		n, err := r.Reader.Read(b[:min(len(b), r.unpaced)])
		r.unpaced -= n
		return n, err
	}
	n, err := r.Reader.Read(b[:min(len(b), pacedChunkBytes)])
	if n == 0 {
		return n, err
	}
	// Waiting after the read counts the exact number of bytes. The next read, or the write of these bytes, is delayed.
	if waitErr := r.direction.wait(r.ctx, n); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}
