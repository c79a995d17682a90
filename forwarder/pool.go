package forwarder

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// maxIdle is how long a connection may have been idle before it is reused for a request that may run twice.
	maxIdle = 10 * time.Second
	// maxIdleAtMostOnce is the limit for requests that must not run twice. On a connection that is dead without notice they
	// would end as uncertain, while dialling costs only about 1 ms.
	maxIdleAtMostOnce = time.Second
	// acquireConnTimeout is how long a request waits for a connection when all are in use. After that, another server is
	// the better choice.
	acquireConnTimeout = 50 * time.Millisecond
	sweepInterval      = 5 * time.Second
	// poolRetention is how long the pool of an unused server is kept.
	poolRetention = time.Minute
)

var errPoolClosed = errors.New("connection pool is closed")

// connPools holds one pool per server ID, that is per start of a server.
type connPools struct {
	mu          sync.Mutex
	byID        map[string]*connPool
	closed      bool
	sweepTimer  *time.Timer
	dialTimeout time.Duration
}

func (ps *connPools) init(dialTimeout time.Duration) {
	ps.byID = make(map[string]*connPool)
	ps.dialTimeout = dialTimeout
}

// get returns the pool of the server and updates its connection limit.
func (ps *connPools) get(s *sycamorevane.Server, entries int, now time.Time) *connPool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byID[s.ID]
	if !ok {
		p = &connPool{id: s.ID, addr: s.Addr, dialTimeout: ps.dialTimeout}
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

// dropPreviousStarts closes the pools of previous starts of the server at the same address.
func (ps *connPools) dropPreviousStarts(current *connPool) {
	for id, p := range ps.byID {
		if p != current && p.addr == current.addr {
			p.close()
			delete(ps.byID, id)
		}
	}
}

func (ps *connPools) sweep() {
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

func (ps *connPools) close() {
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

// connPool is the limited set of connections to one server.
type connPool struct {
	id          string
	addr        string
	dialTimeout time.Duration
	// omitsIDs is set when the server has sent a response without a request ID although each attempt has its own.
	omitsIDs atomic.Bool

	mu      sync.Mutex
	maxOpen int
	open    int
	// idle is ordered by last use, the most recent last.
	idle     []*serverConn
	waiters  []chan struct{}
	lastUsed time.Time
	closed   bool
}

// get returns a connection that has been idle for less than maxAge, or a new one. With maxAge 0 it is always new. An
// error means that no byte was sent.
func (p *connPool) get(ctx context.Context, maxAge time.Duration, deadline time.Time) (*serverConn, error) {
	for {
		c, ready, err := p.takeOrReserve(maxAge)
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

// takeOrReserve returns an idle connection, or a channel to wait on when all connections are in use. It returns neither
// when the caller must dial; the new connection is then already counted in open.
func (p *connPool) takeOrReserve(maxAge time.Duration) (*serverConn, chan struct{}, error) {
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

func (p *connPool) await(ctx context.Context, ready chan struct{}, deadline time.Time) error {
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

// stopWaiting removes a waiter. If the waiter has already been woken, it wakes the next one instead.
func (p *connPool) stopWaiting(ready chan struct{}) {
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

func (p *connPool) wakeLocked() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- struct{}{}
	p.waiters = p.waiters[1:]
}

func (p *connPool) dial(ctx context.Context, deadline time.Time) (*serverConn, error) {
	d := net.Dialer{Timeout: min(p.dialTimeout, time.Until(deadline)), Control: setTCPUserTimeout}
	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.connClosed()
		return nil, err
	}
	return newServerConn(c, p, time.Now()), nil
}

// connClosed wakes a waiter after a connection was closed or could not be opened.
func (p *connPool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeLocked()
}

// put returns a connection to the pool after a successful exchange.
func (p *connPool) put(c *serverConn, now time.Time) {
	c.idleSince = now
	_ = c.SetDeadline(time.Time{}) // If this deadline passed while the connection is idle, isReusable would fail.
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

// discard closes a connection that must not be reused.
func (p *connPool) discard(c *serverConn) {
	_ = c.Close()
	p.connClosed()
}

// sweep closes connections that have been idle too long or have received bytes outside of an exchange. It reports
// whether the pool can be dropped.
func (p *connPool) sweep(now time.Time) bool {
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

func (p *connPool) close() {
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
