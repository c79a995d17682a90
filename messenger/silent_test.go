package messenger

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/encoder"
)

// tcpRelay forwards TCP connections to a host. It can stop forwarding on open connections while new ones work, as some
// middleboxes do, and reject new connections to simulate a host that is switched off.
type tcpRelay struct {
	t    *testing.T
	to   string
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
	muted    *atomic.Bool
	wg       sync.WaitGroup
}

func newTCPRelay(t *testing.T, to string) *tcpRelay {
	t.Helper()
	r := &tcpRelay{t: t, to: to, addr: "127.0.0.1:0"}
	r.open()
	t.Cleanup(func() {
		r.close()
		r.wg.Wait()
	})
	return r
}

func (r *tcpRelay) open() {
	l, err := net.Listen("tcp", r.addr)
	require.NoError(r.t, err)
	r.mu.Lock()
	r.listener, r.addr, r.muted = l, l.Addr().String(), &atomic.Bool{}
	r.mu.Unlock()
	r.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.serve(c)
		}
	})
}

func (r *tcpRelay) serve(c net.Conn) {
	s, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, c, s)
	muted := r.muted
	r.mu.Unlock()
	r.wg.Go(func() { copyBytes(c, s, muted) })
	r.wg.Go(func() { copyBytes(s, c, muted) })
}

// copyBytes copies until the end of the stream. While muted is set it reads and discards, and does not pass on the end of
// the stream either.
func copyBytes(to, from net.Conn, muted *atomic.Bool) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if !muted.Load() {
				_ = to.Close()
			}
			return
		}
		if muted.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// silence stops forwarding on the open connections without closing them.
func (r *tcpRelay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted.Store(true)
	r.muted = &atomic.Bool{}
}

// refuse closes the listener, so that new connections are refused.
func (r *tcpRelay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

func (r *tcpRelay) close() {
	r.refuse()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// expectHeardAfter waits until the only peer of a is alive and has sent a message after since.
func expectHeardAfter(t *testing.T, a *Messenger, since time.Time, limit time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		list := a.Peers()
		return len(list) == 1 && list[0].Alive && list[0].LastHeard.After(since)
	}, limit, 5*time.Millisecond, "no message received within %v", limit)
}

// Guards against a process that keeps using a connection that no longer delivers packets although new ones would work.
func TestSilentSessionIsReplaced(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
	r := newTCPRelay(t, b.Addr())
	a.Connect("b", "dc-a", r.addr)
	expectAlive(t, a, "b", true)
	r.silence()
	silencedAt := time.Now()
	expectHeardAfter(t, a, silencedAt.Add(50*time.Millisecond), redialTimeout+300*time.Millisecond)
	expectReply(t, a, "b")
	expectReply(t, b, "a")
	require.Eventually(t, func() bool { return a.connCount() == 1 && b.connCount() == 1 }, closeTimeout+time.Second, 5*time.Millisecond, "the silent session is closed")
}

// Guards against peers that take seconds to reconnect to a host after it has restarted from a loss of power. They got no
// error for the packets that were lost.
func TestHostIsBackAfterASilence(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
	r := newTCPRelay(t, b.Addr())
	a.Connect("b", "dc-a", r.addr)
	expectAlive(t, a, "b", true)
	r.silence()
	r.refuse()
	time.Sleep(1500 * time.Millisecond)
	r.open()
	openedAt := time.Now()
	expectHeardAfter(t, a, openedAt, 300*time.Millisecond)
	expectHeardAfter(t, b, openedAt, 300*time.Millisecond) // The accepting side adds the session after its greeting.
	expectReply(t, b, "a")
}

// Guards against two hosts that dial each other at the same time and then use different sessions: each would receive
// nothing on the session on which it sends.
func TestBothSidesUseTheSameSession(t *testing.T) {
	if testing.Short() {
		t.Skip("waits until unused sessions are closed")
	}
	for range 8 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
			go a.Connect("b", "dc-a", b.Addr())
			go b.Connect("a", "dc-a", a.Addr())
			expectAlive(t, a, "b", true)
			expectAlive(t, b, "a", true)
			time.Sleep(closeTimeout + 2*HeartbeatInterval + 200*time.Millisecond)
			require.Equal(t, 1, a.connCount())
			requireSession := func(m *Messenger, name string) *session {
				s := m.bestSession(name)
				require.NotNil(t, s)
				return s
			}
			ours, theirs := requireSession(a, "b"), requireSession(b, "a")
			require.Equal(t, ours.dialerName, theirs.dialerName)
			require.Never(t, func() bool { return requireSession(a, "b") != ours || requireSession(b, "a") != theirs }, closeTimeout+time.Second, 50*time.Millisecond)
		})
	}
}

// Like TestBothSidesUseTheSameSession, but without a network: each side adds the sessions in a different order.
func TestOrderOfSessionsDoesNotMatter(t *testing.T) {
	used := func(self, peer string, dialers ...string) string {
		m := startMessenger(t, self, testKey, nil)
		for _, name := range dialers {
			m.addSession(&session{peerName: peer, dialerName: name}, &encoder.Hello{Name: peer, Boot: 1})
		}
		defer func() {
			m.mu.Lock()
			delete(m.peers, peer)
			m.mu.Unlock()
		}()
		return m.bestSession(peer).dialerName
	}
	require.Equal(t, used("a", "b", "a", "b"), used("b", "a", "b", "a"))
	require.Equal(t, used("a", "b", "b", "a"), used("b", "a", "a", "b"))
}
