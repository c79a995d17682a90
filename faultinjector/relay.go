package faultinjector

import (
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
)

// Relay forwards TCP connections to one address. It can make the open connections go silent while new ones work.
type Relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*relayedConn]struct{}
}

// relayedConn is one forwarded connection.
type relayedConn struct {
	clientConn, serverConn net.Conn
	mu                     sync.RWMutex
	// A frozen connection reads and drops everything: TCP still acknowledges the data, so neither end sees an error.
	frozen bool
}

// NewRelay listens on a free loopback port. Start begins to accept connections.
func NewRelay() (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Relay{listener: l, conns: make(map[*relayedConn]struct{})}
	return r, nil
}

// Addr is the host:port of the relay.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Start forwards connections to the target until Close.
func (r *Relay) Start(target string) {
	r.target = target
	r.wg.Go(func() {
		for {
			c, err := r.listener.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.forward(c) })
		}
	})
}

func (r *Relay) forward(clientConn net.Conn) {
	serverConn, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(clientConn)
		return
	}
	p := &relayedConn{clientConn: clientConn, serverConn: serverConn}
	r.mu.Lock()
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(serverConn, clientConn) })
	wg.Go(func() { p.copy(clientConn, serverConn) })
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// reset closes the connection with RST, so that the peer sees an error as it would for a refused connection.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *relayedConn) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !p.forwardData(to, buf[:n], err) {
			return
		}
	}
}

// forwardData writes what was read to the other side. A frozen connection stops only when a side closes, and does not
// close the other side.
func (p *relayedConn) forwardData(to net.Conn, data []byte, err error) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.frozen {
		return err == nil
	}
	if len(data) > 0 {
		if _, writeErr := to.Write(data); writeErr != nil && err == nil {
			err = writeErr
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		_ = to.Close()
	case err != nil:
		reset(to)
	}
	return err == nil
}

// Freeze makes all open connections silent permanently and returns their number.
func (r *Relay) Freeze() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.mu.Lock()
		p.frozen = true
		p.mu.Unlock()
	}
	return len(r.conns)
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for p := range r.conns {
		_ = p.clientConn.Close()
		_ = p.serverConn.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
