package acceptor

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPendingConns reports whether there are connections to a TCP listener that have not been accepted yet.
// It returns false if that cannot be determined.
func HasPendingConns(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
