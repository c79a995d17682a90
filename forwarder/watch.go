package forwarder

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// watchBuffer is how many bytes of a connection are read ahead of the request that is being served.
const watchBuffer = 8 << 10

// Watch returns a listener whose connections notice at once that their caller has left, also while a request is being
// served and further ones wait behind it. net/http stops watching as soon as the first byte of a further request
// arrives.
func Watch(l net.Listener) net.Listener { return watching{l} }

type watching struct{ net.Listener }

func (w watching) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newWatched(c), nil
}

// WatchContext is the ConnContext of a server whose listener comes from Watch: requests end when their caller leaves.
func WatchContext(ctx context.Context, c net.Conn) context.Context {
	if g, ok := c.(*guardedConn); ok {
		c = g.Conn
	}
	w, ok := c.(*watched)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	w.cancel = cancel
	ended := w.err != nil
	w.mu.Unlock()
	if ended {
		cancel()
	}
	return ctx
}

// watched reads ahead of its reader.
type watched struct {
	net.Conn
	// ready is signalled when there is something to read, space when the buffer has room again.
	ready chan struct{}
	space chan struct{}

	mu     sync.Mutex
	buf    []byte
	err    error
	cancel context.CancelFunc
	// late is closed when the read deadline has passed; nil without a deadline.
	late  chan struct{}
	timer *time.Timer
	moved chan struct{}
}

func newWatched(c net.Conn) *watched {
	w := &watched{Conn: c, ready: make(chan struct{}, 1), space: make(chan struct{}, 1), moved: make(chan struct{})}
	go w.pump()
	return w
}

func (w *watched) pump() {
	chunk := make([]byte, watchBuffer/2)
	for {
		n, err := w.Conn.Read(chunk)
		w.mu.Lock()
		w.buf = append(w.buf, chunk[:n]...)
		w.err = err
		full := len(w.buf) > watchBuffer/2
		cancel := w.cancel
		w.mu.Unlock()
		signal(w.ready)
		if err != nil {
			if cancel != nil {
				cancel()
			}
			return
		}
		for full {
			<-w.space
			w.mu.Lock()
			full = len(w.buf) > watchBuffer/2 && w.err == nil
			w.mu.Unlock()
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Read returns what has arrived, or waits for it until the deadline.
func (w *watched) Read(p []byte) (int, error) {
	for {
		w.mu.Lock()
		if w.expired() {
			w.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if len(w.buf) > 0 {
			n := copy(p, w.buf)
			w.buf = w.buf[:copy(w.buf, w.buf[n:])]
			w.mu.Unlock()
			signal(w.space)
			return n, nil
		}
		err, late, moved := w.err, w.late, w.moved
		w.mu.Unlock()
		if err != nil {
			return 0, err
		}
		select {
		case <-w.ready:
		case <-late:
		case <-moved:
		}
	}
}

// expired is called with the lock held.
func (w *watched) expired() bool {
	select {
	case <-w.late:
		return true
	default:
		return false // Also when there is no deadline.
	}
}

// SetReadDeadline also wakes a Read that waits.
func (w *watched) SetReadDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	w.late = nil
	close(w.moved)
	w.moved = make(chan struct{})
	if t.IsZero() {
		return nil
	}
	late := make(chan struct{})
	w.late = late
	if d := time.Until(t); d > 0 {
		w.timer = time.AfterFunc(d, func() { close(late) })
	} else {
		close(late)
	}
	return nil
}

// SetDeadline sets both deadlines.
func (w *watched) SetDeadline(t time.Time) error {
	_ = w.SetReadDeadline(t)
	return w.SetWriteDeadline(t)
}

// Close also ends the goroutine that reads ahead.
func (w *watched) Close() error {
	w.mu.Lock()
	if w.err == nil {
		w.err = net.ErrClosed
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Unlock()
	signal(w.space)
	return w.Conn.Close()
}
