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
	Log    logr.Logger
}

// Limits bound what callers may do.
type Limits struct {
	// HeaderBytes bounds a request header, HeaderTime its arrival, Idle the time without a request.
	HeaderBytes int
	HeaderTime  time.Duration
	Idle        time.Duration
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
		case s.closing.Load():
			if err == nil {
				_ = c.Close()
			}
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
// connections. Errors: the context's, with requests still running.
func (s *Server) Shutdown(ctx context.Context) error {
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
