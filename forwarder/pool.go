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
	// maxIdleOnce is the bound for requests that must not run twice: a silently dead connection would leave
	// them uncertain, and dialling costs about 1 ms.
	maxIdleOnce = time.Second
	// poolWait is how long a request waits for a connection when all are in use; then another server is better.
	poolWait      = 50 * time.Millisecond
	sweepInterval = 5 * time.Second
	// forgetAfter drops the pool of a server that is no longer used.
	forgetAfter = time.Minute
)

var errPoolClosed = errors.New("connection pool is closed")

// pools holds a pool per start of a server.
type pools struct {
	mu     sync.Mutex
	byID   map[string]*pool
	closed bool
	timer  *time.Timer
	// dialTime bounds the making of a connection.
	dialTime time.Duration
}

func (ps *pools) init(dialTime time.Duration) {
	ps.byID = make(map[string]*pool)
	ps.dialTime = dialTime
}

// get returns the pool of the server with its present cap.
func (ps *pools) get(s *sycamorevane.Server, entries int, now time.Time) *pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byID[s.ID]
	if !ok {
		p = &pool{id: s.ID, addr: s.Addr, dialTime: ps.dialTime}
		ps.byID[s.ID] = p
		ps.dropRestarted(p)
		if ps.timer == nil && !ps.closed {
			ps.timer = time.AfterFunc(sweepInterval, ps.sweep)
		}
	}
	p.mu.Lock()
	p.limit = max(1, s.MaxConns/entries)
	p.used = now
	p.closed = ps.closed
	p.mu.Unlock()
	return p
}

// dropRestarted ends idle connections to former starts of the server at the same address.
func (ps *pools) dropRestarted(fresh *pool) {
	for id, p := range ps.byID {
		if p != fresh && p.addr == fresh.addr {
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
		ps.timer = nil
		return
	}
	ps.timer = time.AfterFunc(sweepInterval, ps.sweep)
}

func (ps *pools) close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.closed = true
	if ps.timer != nil {
		ps.timer.Stop()
	}
	for _, p := range ps.byID {
		p.close()
	}
}

// pool is the bounded set of connections to one server.
type pool struct {
	id   string
	addr string
	// dialTime bounds the making of a connection.
	dialTime time.Duration

	mu    sync.Mutex
	limit int
	open  int
	// idle is ordered by time of use, the latest last.
	idle   []*serverConn
	wait   []chan struct{}
	used   time.Time
	closed bool
}

// get returns a connection that was idle for at most age, or a new one. With age 0 it is always new. An error
// means that no byte was sent.
func (p *pool) get(ctx context.Context, age time.Duration, deadline time.Time) (*serverConn, error) {
	for {
		c, ready, err := p.take(age)
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

// take returns an idle connection, or a channel to wait on when all are in use, or neither when the caller
// must dial, for which one place is then reserved.
func (p *pool) take(age time.Duration) (*serverConn, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errPoolClosed
	}
	now := time.Now()
	for n := len(p.idle); n > 0 && now.Sub(p.idle[n-1].answered) < p.idle[n-1].idle(age); n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if c.quiet() {
			c.reused = true
			return c, nil, nil
		}
		p.open--
		_ = c.Close()
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	ready := make(chan struct{}, 1)
	p.wait = append(p.wait, ready)
	return nil, ready, nil
}

func (p *pool) await(ctx context.Context, ready chan struct{}, deadline time.Time) error {
	timer := time.NewTimer(min(poolWait, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		p.leave(ready)
		return ctx.Err()
	case <-timer.C:
		p.leave(ready)
		return context.DeadlineExceeded
	}
}

// leave gives up waiting and passes a signal on that arrived meanwhile.
func (p *pool) leave(ready chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.wait {
		if w == ready {
			p.wait = append(p.wait[:i:i], p.wait[i+1:]...)
			return
		}
	}
	p.wakeLocked()
}

func (p *pool) wakeLocked() {
	if len(p.wait) == 0 {
		return
	}
	p.wait[0] <- struct{}{}
	p.wait = p.wait[1:]
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*serverConn, error) {
	d := net.Dialer{Timeout: min(p.dialTime, time.Until(deadline)), Control: control}
	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.gone()
		return nil, err
	}
	return newServerConn(c, p, time.Now()), nil
}

// gone frees the place of a connection that is not open any more.
func (p *pool) gone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeLocked()
}

// put takes a connection back after an exchange that ended well.
func (p *pool) put(c *serverConn, now time.Time) {
	c.answered = now
	_ = c.SetDeadline(time.Time{}) // A deadline that passes while it is idle would make it look closed.
	p.mu.Lock()
	if p.closed || p.open > p.limit {
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
	p.gone()
}

// sweep closes idle connections that are old, or have bytes that belong to no request, and reports whether the pool can be
// dropped.
func (p *pool) sweep(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.answered) <= maxIdle && c.quiet() {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return p.open == 0 && now.Sub(p.used) > forgetAfter
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
	for _, w := range p.wait {
		w <- struct{}{}
	}
	p.wait = nil
}
