package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic is the number of bytes sent and received on the mesh connections of a process, with TLS overhead but without
// TCP headers.
type Traffic struct {
	Sent     uint64
	Received uint64
}

// byteCounters counts the bytes of all connections of a Messenger.
type byteCounters struct{ sent, received atomic.Uint64 }

// Traffic returns the bytes sent and received since the start.
func (m *Messenger) Traffic() Traffic {
	return Traffic{Sent: m.traffic.sent.Load(), Received: m.traffic.received.Load()}
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	counters *byteCounters
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.sent.Add(uint64(n))
	return n, err
}
