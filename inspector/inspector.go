// Package inspector reports what the kernel knows about the TCP connection of a request: when its last byte arrived, which
// may be long before a suspended process reads it, and whether the caller has closed it.
package inspector

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Status is the state of a connection.
type Status struct {
	// ReceivedAt is when the last byte of data arrived, in steps of the kernel's timer of a few milliseconds.
	ReceivedAt time.Time
	// Closed is set when the caller has closed its side.
	Closed bool
}

// Conn is the connection of a request.
type Conn struct{ raw syscall.RawConn }

type connKey struct{}

// ConnContext makes the connection available to FromContext. It is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	s, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, &Conn{raw: raw})
}

// FromContext returns the connection of the request that ctx belongs to; nil for none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Status returns the current state of the connection. It fails when the connection has been closed on this side.
func (c *Conn) Status() (Status, error) {
	now := time.Now() // Before the call, so that a suspension between them makes ReceivedAt too early and not too late.
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return Status{}, errors.Trace(err)
	case infoErr != nil:
		return Status{}, errors.Trace(infoErr)
	}
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	return Status{ReceivedAt: now.Add(-age), Closed: info.State != unix.BPF_TCP_ESTABLISHED}, nil
}
