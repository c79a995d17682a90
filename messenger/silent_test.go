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

// relay forwards connections to a host. It can go silent on those that are open while new ones work, as some middle
// boxes do, and refuse all while the host is off.
type relay struct {
	t    *testing.T
	to   string
	addr string

	mu    sync.Mutex
	l     net.Listener
	conns []net.Conn
	mute  *atomic.Bool
	wg    sync.WaitGroup
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	r := &relay{t: t, to: to, addr: "127.0.0.1:0"}
	r.open()
	t.Cleanup(func() {
		r.close()
		r.wg.Wait()
	})
	return r
}

func (r *relay) open() {
	l, err := net.Listen("tcp", r.addr)
	require.NoError(r.t, err)
	r.mu.Lock()
	r.l, r.addr, r.mute = l, l.Addr().String(), &atomic.Bool{}
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

func (r *relay) serve(c net.Conn) {
	s, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, c, s)
	mute := r.mute
	r.mu.Unlock()
	r.wg.Go(func() { pump(c, s, mute) })
	r.wg.Go(func() { pump(s, c, mute) })
}

// pump copies until the end; a muted one takes the bytes and passes nothing on, not even the end.
func pump(to, from net.Conn, mute *atomic.Bool) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if !mute.Load() {
				_ = to.Close()
			}
			return
		}
		if mute.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// silence mutes the open connections.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mute.Store(true)
	r.mute = &atomic.Bool{}
}

// refuse ends new connections.
func (r *relay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.l.Close()
}

func (r *relay) close() {
	r.refuse()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// heardAfter waits until a has heard b after the time.
func heardAfter(t *testing.T, a *Messenger, since time.Time, limit time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		list := a.Peers()
		return len(list) == 1 && list[0].Alive && list[0].LastHeard.After(since)
	}, limit, 5*time.Millisecond, "nothing heard %v after the return", limit)
}

// Guards against a process that waits for connections which have gone silent while new ones work.
func TestSilentSessionIsReplaced(t *testing.T) {
	a, b := start(t, "a", testKey, nil), start(t, "b", testKey, nil)
	r := newRelay(t, b.Addr())
	a.Connect("b", "dc-a", r.addr)
	expectAlive(t, a, "b", true)
	r.silence()
	silenced := time.Now()
	heardAfter(t, a, silenced.Add(50*time.Millisecond), redialAfter+300*time.Millisecond)
	expectReply(t, a, "b")
	expectReply(t, b, "a")
	require.Eventually(t, func() bool { return a.sessions() == 1 && b.sessions() == 1 }, closeAfter+time.Second, 5*time.Millisecond, "the silent one is closed")
}

// Guards against a host that is back from a loss of power for seconds before others notice: their packets were lost
// without an error.
func TestHostIsBackAfterASilence(t *testing.T) {
	a, b := start(t, "a", testKey, nil), start(t, "b", testKey, nil)
	r := newRelay(t, b.Addr())
	a.Connect("b", "dc-a", r.addr)
	expectAlive(t, a, "b", true)
	r.silence()
	r.refuse()
	time.Sleep(1500 * time.Millisecond)
	r.open()
	heardAfter(t, a, time.Now(), 300*time.Millisecond)
	expectReply(t, b, "a")
}

// Guards against two hosts that have dialled each other at the same moment and each use another of the two sessions: both
// hear nothing on the one that they use.
func TestBothSidesUseTheSameSession(t *testing.T) {
	if testing.Short() {
		t.Skip("waits until unused sessions are closed")
	}
	for range 8 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			a, b := start(t, "a", testKey, nil), start(t, "b", testKey, nil)
			go a.Connect("b", "dc-a", b.Addr())
			go b.Connect("a", "dc-a", a.Addr())
			expectAlive(t, a, "b", true)
			expectAlive(t, b, "a", true)
			time.Sleep(closeAfter + 2*HeartbeatInterval + 200*time.Millisecond)
			require.Equal(t, 1, a.sessions())
			kept := func(m *Messenger, name string) *session {
				s := m.session(name)
				require.NotNil(t, s)
				return s
			}
			ours, theirs := kept(a, "b"), kept(b, "a")
			require.Equal(t, ours.dialler, theirs.dialler)
			require.Never(t, func() bool { return kept(a, "b") != ours || kept(b, "a") != theirs }, closeAfter+time.Second, 50*time.Millisecond)
		})
	}
}

// The same without a network: each side gets to know the sessions in another order.
func TestOrderOfSessionsDoesNotMatter(t *testing.T) {
	used := func(self, peer string, diallers ...string) string {
		m := start(t, self, testKey, nil)
		for _, name := range diallers {
			m.addSession(&session{name: peer, dialler: name}, &encoder.Hello{Name: peer, Boot: 1})
		}
		defer func() {
			m.mu.Lock()
			delete(m.peers, peer)
			m.mu.Unlock()
		}()
		return m.session(peer).dialler
	}
	require.Equal(t, used("a", "b", "a", "b"), used("b", "a", "b", "a"))
	require.Equal(t, used("a", "b", "b", "a"), used("b", "a", "a", "b"))
}
