package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// maxIdle bounds how long a connection may have been idle when an idempotent request uses it.
	maxIdle = 10 * time.Second
	// maxIdleAtMostOnce is the bound for requests that must not run twice: a silently dead connection would leave
	// them uncertain, and dialling costs about 1 ms.
	maxIdleAtMostOnce = time.Second
	// acquireConnTimeout is how long a request waits for a connection when all are in use; then another server is better.
	acquireConnTimeout = 50 * time.Millisecond
	sweepInterval      = 5 * time.Second
	// poolRetention drops the pool of a server that is no longer used.
	poolRetention = time.Minute
)

var errPoolClosed = errors.New("connection pool is closed")

// pools holds a pool per start of a server.
type pools struct {
	mu         sync.Mutex
	byID       map[string]*pool
	closed     bool
	sweepTimer *time.Timer
	// dialTimeout bounds the making of a connection.
	dialTimeout time.Duration
}

func (ps *pools) init(dialTimeout time.Duration) {
	ps.byID = make(map[string]*pool)
	ps.dialTimeout = dialTimeout
}

// get returns the pool of the server with its present cap.
func (ps *pools) get(s *sycamorevane.Server, entries int, now time.Time) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byID[s.ID]
	if !ok {
		p = &pool{id: s.ID, addr: s.Addr, dialTimeout: ps.dialTimeout}
		ps.byID[s.ID] = p
		ps.dropPreviousStarts(p)
		if ps.sweepTimer == nil && !ps.closed {
			ps.sweepTimer = time.AfterFunc(sweepInterval, ps.sweep)
		}
	}
	p.mu.Lock()
	p.maxOpen = max(1, s.MaxConns/entries)
	p.lastUsed = now
	p.closed = ps.closed
	p.mu.Unlock()
	return p
}

// dropPreviousStarts ends idle connections to former starts of the server at the same address.
func (ps *pools) dropPreviousStarts(current *pool) {
	for id, p := range ps.byID {
		if p != current && p.addr == current.addr {
			p.close()
			delete(ps.byID, id)
		}
	}
}

func (ps *pools) sweep() {
	now := time.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.closed {
		return
	}
	for id, p := range ps.byID {
		if p.sweep(now) {
			delete(ps.byID, id)
		}
	}
	if len(ps.byID) == 0 {
		ps.sweepTimer = nil
		return
	}
	ps.sweepTimer = time.AfterFunc(sweepInterval, ps.sweep)
}

func (ps *pools) close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.closed = true
	if ps.sweepTimer != nil {
		ps.sweepTimer.Stop()
	}
	for _, p := range ps.byID {
		p.close()
	}
}

// pool is the bounded set of connections to one server.
type pool struct {
	id   string
	addr string
	// dialTimeout bounds the making of a connection.
	dialTimeout time.Duration

	mu      sync.Mutex
	maxOpen int
	open    int
	// idle is ordered by time of use, the latest last.
	idle     []*serverConn
	waiters  []chan struct{}
	lastUsed time.Time
	closed   bool
}

// get returns a connection that was idle for at most age, or a new one. With age 0 it is always new. An error
// means that no byte was sent.
func (p *pool) get(ctx context.Context, maxAge time.Duration, deadline time.Time) (*serverConn, error) {
	for {
		c, ready, err := p.takeIdle(maxAge)
		if c != nil || err != nil {
			return c, err
		}
		if ready == nil {
			return p.dial(ctx, deadline)
		}
		if err := p.await(ctx, ready, deadline); err != nil {
			return nil, err
		}
	}
}

// takeIdle returns an idle connection, or a channel to wait on when all are in use, or neither when the caller
// must dial, for which one place is then reserved.
func (p *pool) takeIdle(maxAge time.Duration) (*serverConn, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errPoolClosed
	}
	now := time.Now()
	for n := len(p.idle); n > 0 && now.Sub(p.idle[n-1].idleSince) < p.idle[n-1].maxIdleFor(maxAge); n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.isReusable() {
			c.reused = true
			return c, nil, nil
		}
		p.open--
		_ = c.Close()
	}
	if p.open >= p.maxOpen && len(p.idle) > 0 {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open < p.maxOpen {
		p.open++
		return nil, nil, nil
	}
	ready := make(chan struct{}, 1)
	p.waiters = append(p.waiters, ready)
	return nil, ready, nil
}

func (p *pool) await(ctx context.Context, ready chan struct{}, deadline time.Time) error {
	timer := time.NewTimer(min(acquireConnTimeout, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		p.stopWaiting(ready)
		return ctx.Err()
	case <-timer.C:
		p.stopWaiting(ready)
		return context.DeadlineExceeded
	}
}

// stopWaiting gives up waiting and passes a signal on that arrived meanwhile.
func (p *pool) stopWaiting(ready chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == ready {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeLocked()
}

func (p *pool) wakeLocked() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- struct{}{}
	p.waiters = p.waiters[1:]
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*serverConn, error) {
	d := net.Dialer{Timeout: min(p.dialTimeout, time.Until(deadline)), Control: setTCPUserTimeout}
	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.connClosed()
		return nil, err
	}
	return newServerConn(c, p, time.Now()), nil
}

// connClosed frees the place of a connection that is not open any more.
func (p *pool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeLocked()
}

// put takes a connection back after an exchange that ended well.
func (p *pool) put(c *serverConn, now time.Time) {
	c.idleSince = now
	_ = c.SetDeadline(time.Time{}) // A deadline that passes while it is idle would make it look closed.
	p.mu.Lock()
	if p.closed || p.open > p.maxOpen {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.wakeLocked()
	p.mu.Unlock()
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *serverConn) {
	_ = c.Close()
	p.connClosed()
}

// sweep closes idle connections that are old, or have bytes that belong to no request, and reports whether the pool can be
// dropped.
func (p *pool) sweep(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) <= maxIdle && c.isReusable() {
			remaining = append(remaining, c)
			continue
		}
		_ = c.Close()
		p.open--
	}
	clear(p.idle[len(remaining):])
	p.idle = remaining
	return p.open == 0 && now.Sub(p.lastUsed) > poolRetention
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
	for _, w := range p.waiters {
		w <- struct{}{}
	}
	p.waiters = nil
}
