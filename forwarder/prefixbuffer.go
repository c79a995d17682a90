package forwarder

import (
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

// prefixBuffer reads the prefix of a body, at most maxBytes, into memory while readers already use it. The rest can be
// read once, directly from the source.
type prefixBuffer struct {
	src      io.Reader
	maxBytes int

	mu   sync.Mutex
	cond *sync.Cond
	buf  []byte
	// done is set when the source has ended or maxBytes are buffered. err is io.EOF at the proper end of the body and nil
	// at maxBytes.
	done bool
	err  error
	// doneCh is closed when done is set.
	doneCh chan struct{}
	// sourceRead is set when a reader has read past the prefix, after which the body cannot be replayed.
	sourceRead bool
}

func newPrefixBuffer(src io.Reader, maxBytes int) *prefixBuffer {
	b := &prefixBuffer{src: src, maxBytes: maxBytes, doneCh: make(chan struct{})}
	b.cond = sync.NewCond(&b.mu)
	return b
}

var errStopped = errors.New("attempt has ended")

const minReadBytes = 4 << 10

// fill reads until the source ends or maxBytes are buffered.
func (b *prefixBuffer) fill() {
	for {
		b.mu.Lock()
		n := len(b.buf)
		if cap(b.buf)-n < minReadBytes && cap(b.buf) < b.maxBytes {
			grown := make([]byte, n, min(b.maxBytes, max(minReadBytes, 2*cap(b.buf))))
			copy(grown, b.buf)
			b.buf = grown
		}
		free := b.buf[n:cap(b.buf)]
		b.mu.Unlock()
		if len(free) == 0 {
			b.finish(n, nil)
			return
		}
		read, err := b.src.Read(free)
		if err != nil {
			b.finish(n+read, err)
			return
		}
		b.mu.Lock()
		b.buf = b.buf[:n+read]
		b.mu.Unlock()
		b.cond.Broadcast()
	}
}

func (b *prefixBuffer) finish(n int, err error) {
	b.mu.Lock()
	b.buf = b.buf[:n]
	b.done = true
	b.err = err
	b.mu.Unlock()
	b.cond.Broadcast()
	close(b.doneCh)
}

// awaitDone waits until the prefix is complete, at most for d; a negative d means no limit.
func (b *prefixBuffer) awaitDone(d time.Duration) {
	if d < 0 {
		<-b.doneCh
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b.doneCh:
	case <-timer.C:
	}
}

// fullyBuffered reports whether the whole body is in memory.
func (b *prefixBuffer) fullyBuffered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done && b.err == io.EOF
}

// sourceErr returns the error that ended the source early, or nil.
func (b *prefixBuffer) sourceErr() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done && b.err != io.EOF {
		return b.err
	}
	return nil
}

// replayable reports whether a new reader would see the body from its start.
func (b *prefixBuffer) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.sourceRead
}

// prefix returns the complete prefix, or nil while it is being read or after an error.
func (b *prefixBuffer) prefix() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.done || (b.err != nil && b.err != io.EOF) {
		return nil
	}
	return b.buf
}

// reader returns a reader from the start of the body.
func (b *prefixBuffer) reader() *prefixBufferReader { return &prefixBufferReader{buffer: b} }

type prefixBufferReader struct {
	buffer  *prefixBuffer
	offset  int
	stopped bool
}

// stop ends a Read that waits for the prefix to grow. A Read that waits for the source must be ended at the source.
func (r *prefixBufferReader) stop() {
	r.buffer.mu.Lock()
	r.stopped = true
	r.buffer.mu.Unlock()
	r.buffer.cond.Broadcast()
}

func (r *prefixBufferReader) Read(p []byte) (int, error) {
	b := r.buffer
	b.mu.Lock()
	for r.offset == len(b.buf) && !b.done && !r.stopped {
		b.cond.Wait()
	}
	if r.stopped {
		b.mu.Unlock()
		return 0, errStopped
	}
	if r.offset < len(b.buf) {
		n := copy(p, b.buf[r.offset:])
		r.offset += n
		b.mu.Unlock()
		return n, nil
	}
	if b.err != nil {
		b.mu.Unlock()
		return 0, b.err
	}
	b.sourceRead = true
	b.mu.Unlock()
	return b.src.Read(p)
}
