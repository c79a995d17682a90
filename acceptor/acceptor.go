// Package acceptor serves HTTP/1.1 callers for the forwarder. Unlike net/http it begins with a further request of a
// connection while the former is being served, and answers in the order of the requests; and it notices at once that a
// caller has left, also while requests wait.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
)

// Config holds what a Server is built from.
type Config struct {
	Handler http.Handler
	// Limits returns the limits in force; it is called for each request.
	Limits func() Limits
	// Pending reports whether callers have connected whom the listener has not accepted yet; nil when that is not known.
	// Shutdown waits for them, since closing the listener would cut them.
	Pending func() bool
	Log     logr.Logger
}

// Limits bound what callers may do.
type Limits struct {
	// MaxHeaderBytes bounds a request header, HeaderTimeout its arrival, IdleTimeout the time without a request.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server serves the connections of listeners.
type Server struct {
	cfg Config
	wg  sync.WaitGroup

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
	// closing is read without mu by connections, which Shutdown wakes while it holds mu.
	closing atomic.Bool
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), listeners: make(map[net.Listener]struct{})}
}

const (
	// firstWait is how long a connection on which no request has come yet is kept at a shutdown, lastWait any other:
	// what is on its way when the shutdown begins is still answered.
	firstWait = 250 * time.Millisecond
	lastWait  = 10 * time.Millisecond
	// pendingTime bounds the wait for callers whom the listener has not accepted, pendingTick is how often it looks.
	pendingTime = 500 * time.Millisecond
	pendingTick = time.Millisecond
)

// acceptPause is the wait after a failed accept, for example without a free file descriptor.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until Shutdown or Close; it then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closing.Load() {
		s.mu.Unlock()
		return http.ErrServerClosed
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		switch {
		case err != nil && s.closing.Load():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return errors.Trace(err)
		case err != nil:
			s.cfg.Log.Error(err, "caller listener failed to accept")
			time.Sleep(acceptPause)
			continue
		}
		s.add(c)
	}
}

func (s *Server) add(c net.Conn) {
	n := newConn(s, c)
	s.mu.Lock()
	s.conns[n] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		n.serve()
		s.mu.Lock()
		delete(s.conns, n)
		s.mu.Unlock()
	})
}

// awaitPending waits until the callers who have connected are accepted.
func (s *Server) awaitPending() {
	if s.cfg.Pending == nil {
		return
	}
	for until := time.Now().Add(pendingTime); s.cfg.Pending() && time.Now().Before(until); {
		time.Sleep(pendingTick)
	}
}

// stopAccepting closes the listeners and calls each for every connection.
func (s *Server) stopAccepting(each func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing.Store(true)
	for l := range s.listeners {
		_ = l.Close()
	}
	for n := range s.conns {
		each(n)
	}
}

// Shutdown stops accepting, ends idle connections, and waits for running requests, whose answers close their
// connections. Requests that had been sent when it was called are answered. Errors: the context's, with requests still
// running.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	s.awaitPending()
	s.stopAccepting((*conn).wake)
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends everything at once.
func (s *Server) Close() error {
	s.stopAccepting((*conn).end)
	s.wg.Wait()
	return nil
}
