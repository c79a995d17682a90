package faker

import (
	"io"
	"net"
	"sync"
	"time"
)

// EndlessResponse is a response that never ends.
type EndlessResponse struct {
	// Prefix is sent once, then Repeated every Interval until the connection closes.
	Prefix, Repeated string
	Interval         time.Duration
}

// EndlessServer sends an EndlessResponse on each connection, whatever is requested.
type EndlessServer struct {
	response EndlessResponse
	listener net.Listener
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// NewEndlessServer listens on a free port of the loopback interface.
func NewEndlessServer(r EndlessResponse) (*EndlessServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{response: r, listener: l}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr returns the host:port of the listener.
func (s *EndlessServer) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all connections.
func (s *EndlessServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *EndlessServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.wg.Go(func() { s.response.send(c) })
	}
}

func (r EndlessResponse) send(c net.Conn) {
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, r.Prefix)
	for err == nil {
		time.Sleep(r.Interval)
		_, err = io.WriteString(c, r.Repeated)
	}
}
