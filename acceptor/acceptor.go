// Package acceptor is the HTTP/1.1 server for callers of the forwarder. Unlike net/http it serves pipelined requests of a
// connection concurrently and sends the responses in the order of the requests. It also detects at once that a caller has
// disconnected, even while its requests are running or queued.
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

// Config holds the dependencies and settings of a Server.
type Config struct {
	Handler http.Handler
	// Limits returns the current limits; it is called for each request.
	Limits func() Limits
	// HasPending reports whether there are connections that the listener has not accepted yet; nil if that is not known.
	// Shutdown waits until they are accepted, since closing the listener would reset them.
	HasPending func() bool
	Log        logr.Logger
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes limits the size of a request header, HeaderTimeout the time to receive it, and IdleTimeout the time
	// between two requests on a connection.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server accepts connections from listeners and serves their requests.
type Server struct {
	cfg Config
	wg  sync.WaitGroup

	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
	// closing is atomic because connections read it without mu; Shutdown holds mu while it interrupts their waits.
	closing atomic.Bool
}

func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), listeners: make(map[net.Listener]struct{})}
}

const (
	// firstRequestWait is how long a shutdown waits for a request on a connection that has had none yet, nextRequestWait on
	// any other connection, so that requests that are in transit when the shutdown starts are still served.
	firstRequestWait = 250 * time.Millisecond
	nextRequestWait  = 10 * time.Millisecond
	// maxPendingWait limits the wait for connections that the listener has not accepted; they are checked every
	// pendingPollInterval.
	maxPendingWait      = 500 * time.Millisecond
	pendingPollInterval = time.Millisecond
)

// acceptRetryDelay is the delay after a failed accept, for example if no file descriptor is free.
const acceptRetryDelay = 20 * time.Millisecond

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
		netConn, err := l.Accept()
		switch {
		case err != nil && s.closing.Load():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return errors.Trace(err)
		case err != nil:
			s.cfg.Log.Error(err, "failed to accept a connection from a caller")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(netConn)
	}
}

func (s *Server) startConn(netConn net.Conn) {
	c := newConn(s, netConn)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// awaitPending waits until all pending connections are accepted, up to maxPendingWait.
func (s *Server) awaitPending() {
	if s.cfg.HasPending == nil {
		return
	}
	for deadline := time.Now().Add(maxPendingWait); s.cfg.HasPending() && time.Now().Before(deadline); {
		time.Sleep(pendingPollInterval)
	}
}

// stopAccepting closes the listeners and calls apply for every connection.
func (s *Server) stopAccepting(apply func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing.Store(true)
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		apply(c)
	}
}

// Shutdown stops accepting connections, closes idle ones and waits for the running requests, whose connections end with the
// response. It still serves requests that callers had sent before the call. It returns the error of the context if requests
// are still running when the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	s.awaitPending()
	s.stopAccepting((*conn).interruptWait)
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

// Close closes all listeners and connections, cancels the running requests and waits for them.
func (s *Server) Close() error {
	s.stopAccepting((*conn).close)
	s.wg.Wait()
	return nil
}
