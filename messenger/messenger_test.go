package messenger

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const testKey = "a cluster key for tests"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startMessenger(t *testing.T, name, key string, filter func(string) bool) *Messenger {
	t.Helper()
	m, err := New(Config{
		Self: name, DC: "dc-a", Roles: sycamorevane.NewSet(sycamorevane.RoleEntry),
		ListenAddr: "127.0.0.1:0", ClusterKey: key, Log: logr.Discard(), Filter: filter,
	})
	require.NoError(t, err)
	m.Handle(&encoder.Announce{}, func(string, proto.Message) proto.Message {
		return &encoder.AnnounceReply{Accepted: true, Reason: name}
	})
	m.Start()
	t.Cleanup(m.Close)
	return m
}

func expectAlive(t *testing.T, m *Messenger, peer string, alive bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, p := range m.Peers() {
			if p.Name == peer {
				return p.Alive == alive
			}
		}
		return !alive
	}, 8*time.Second, 5*time.Millisecond, "peer %s alive=%v", peer, alive)
}

func expectReply(t *testing.T, m *Messenger, to string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	reply, err := m.Call(ctx, to, &encoder.Announce{})
	require.NoError(t, err)
	require.Equal(t, to, reply.(*encoder.AnnounceReply).Reason)
}

func TestCallBothWays(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
	a.Connect("b", "dc-a", b.Addr())
	expectAlive(t, a, "b", true)
	expectAlive(t, b, "a", true)
	expectReply(t, a, "b")
	expectReply(t, b, "a")
	require.Positive(t, a.Traffic().Sent)
	require.Eventually(t, func() bool { return a.Traffic().Sent == b.Traffic().Received }, 2*time.Second, time.Millisecond)
}

// Guards against a process without the cluster key joining the mesh.
func TestWrongKeyIsRejected(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", "another key of enough length", nil)
	a.Connect("b", "dc-a", b.Addr())
	time.Sleep(300 * time.Millisecond)
	expectAlive(t, a, "b", false)
	var unreachable *sycamorevane.UnreachableError
	require.True(t, errors.As(a.Send("b", &encoder.Announce{}), &unreachable))
	require.Empty(t, b.Peers())
}

func TestShortKey(t *testing.T) {
	_, err := New(Config{Self: "a", ListenAddr: "127.0.0.1:0", ClusterKey: "short"})
	require.ErrorContains(t, err, "at least 16")
}

// Guards against hosts that stay disconnected after a network partition in which messages were dropped without an error.
func TestSilentPartitionHeals(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the silence limit")
	}
	var partitioned atomic.Bool
	filter := func(string) bool { return !partitioned.Load() }
	a, b := startMessenger(t, "a", testKey, filter), startMessenger(t, "b", testKey, nil)
	a.Connect("b", "dc-a", b.Addr())
	expectAlive(t, a, "b", true)
	partitioned.Store(true)
	expectAlive(t, a, "b", false)
	expectAlive(t, b, "a", false)
	partitioned.Store(false)
	expectAlive(t, a, "b", true)
	expectReply(t, b, "a")
}

// Guards against a simulated partition that still allows new sessions: their Hello messages would count as contact.
func TestPartitionOpensNoSession(t *testing.T) {
	for name, filters := range map[string][2]func(string) bool{
		"dialling side drops":  {func(string) bool { return false }, nil},
		"accepting side drops": {nil, func(string) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startMessenger(t, "a", testKey, filters[0]), startMessenger(t, "b", testKey, filters[1])
			a.Connect("b", "dc-a", b.Addr())
			heard := func(m *Messenger) bool {
				for _, p := range m.Peers() {
					if !p.LastHeard.IsZero() {
						return true
					}
				}
				return false
			}
			require.Never(t, func() bool { return heard(a) || heard(b) }, time.Second, 5*time.Millisecond)
		})
	}
}

// Guards against a round trip time that is never measured, or that includes the time between the receipt of a heartbeat
// and the next heartbeat of the peer.
func TestRoundTripIsMeasured(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
	a.Connect("b", "dc-a", b.Addr())
	expectAlive(t, a, "b", true)
	require.Eventually(t, func() bool { return a.Peers()[0].RTT > 0 }, 5*time.Second, 20*time.Millisecond)
	require.Less(t, a.Peers()[0].RTT, HeartbeatInterval/2)
}

// Guards against confusing a restarted peer with its former process.
func TestRestartedPeer(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
	a.Connect("b", "dc-a", b.Addr())
	expectAlive(t, a, "b", true)
	first := a.Peers()[0].Incarnation
	addr := b.Addr()
	b.Close()
	b2, err := New(Config{Self: "b", DC: "dc-a", ListenAddr: addr, ClusterKey: testKey, Log: logr.Discard()})
	require.NoError(t, err)
	b2.Handle(&encoder.Announce{}, func(string, proto.Message) proto.Message {
		return &encoder.AnnounceReply{Reason: "b"}
	})
	b2.Start()
	t.Cleanup(b2.Close)
	require.Eventually(t, func() bool {
		p := a.Peers()[0]
		return p.Alive && p.Incarnation != first
	}, 5*time.Second, 10*time.Millisecond)
	expectReply(t, a, "b")
}

// Guards against a process with both roles being unable to reach its own control role.
func TestCallToSelf(t *testing.T) { expectReply(t, startMessenger(t, "a", testKey, nil), "a") }

func TestUnansweredCall(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
	a.Connect("b", "dc-a", b.Addr())
	expectAlive(t, a, "b", true)
	_, err := a.Call(t.Context(), "b", &encoder.Leave{})
	require.ErrorContains(t, err, "does not answer")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0, 1, 2})
	payload, _ := proto.Marshal(&encoder.Heartbeat{Sent: 7})
	valid, _ := proto.Marshal(&encoder.Envelope{Kind: encoder.Kind(&encoder.Heartbeat{}), Payload: payload})
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		env := &encoder.Envelope{}
		if proto.Unmarshal(data, env) != nil {
			return
		}
		msg, err := decode(env)
		if err == nil && msg != nil && encoder.Kind(msg) != env.Kind {
			t.Fatalf("decoded kind %#x as %T", env.Kind, msg)
		}
	})
}

// Guards against entries that can reach the leader only if they have a session with each control host.
func TestMessagesArePassedOn(t *testing.T) {
	relay, leader := startMessenger(t, "relay", testKey, nil), startMessenger(t, "leader", testKey, nil)
	entry, err := New(Config{
		Self: "entry", ListenAddr: "127.0.0.1:0", ClusterKey: testKey, Log: logr.Discard(),
		Relays: func() []string { return []string{"lost", "relay"} },
	})
	require.NoError(t, err)
	from := make(chan string, 1)
	leader.Handle(&encoder.Leave{}, func(name string, _ proto.Message) proto.Message {
		from <- name
		return nil
	})
	entry.Start()
	t.Cleanup(entry.Close)
	entry.Connect("relay", "", relay.Addr())
	relay.Connect("leader", "", leader.Addr())
	expectAlive(t, entry, "relay", true)
	expectAlive(t, relay, "leader", true)
	expectReply(t, entry, "leader")
	require.NoError(t, entry.Send("leader", &encoder.Leave{}))
	require.Equal(t, "entry", <-from)
	t.Run("not to hosts that the relay does not know", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := entry.Call(ctx, "stranger", &encoder.Announce{})
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
	t.Run("and not further than one host", func(t *testing.T) {
		env := &encoder.Envelope{Kind: encoder.Kind(&encoder.Leave{}), To: "leader", From: "somebody"}
		relay.relay("entry", env)
		require.Never(t, func() bool { return len(from) > 0 }, 100*time.Millisecond, 10*time.Millisecond)
	})
}

// Guards against a call that waits for a reply after its session has ended.
func TestCallEndsWithItsSession(t *testing.T) {
	a, b := startMessenger(t, "a", testKey, nil), startMessenger(t, "b", testKey, nil)
	called := make(chan struct{})
	ended := make(chan struct{})
	b.Handle(&encoder.Leave{}, func(string, proto.Message) proto.Message {
		close(called)
		<-ended
		return nil
	})
	a.Connect("b", "dc-a", b.Addr())
	expectAlive(t, a, "b", true)
	go func() {
		<-called
		a.RemovePeer("b")
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := a.Call(ctx, "b", &encoder.Leave{})
	close(ended)
	var unreachable *sycamorevane.UnreachableError
	require.ErrorAs(t, err, &unreachable)
}

// Guards against control hosts that cannot connect to each other while hundreds of entries open sessions.
func TestFavouredSessionsBeginAtOnce(t *testing.T) {
	busy, err := New(Config{
		Self: "busy", ListenAddr: "127.0.0.1:0", ClusterKey: testKey, Log: logr.Discard(),
		SkipHandshakeLimit: func(host string) bool { return host == "127.0.0.1" },
	})
	require.NoError(t, err)
	busy.Start()
	t.Cleanup(busy.Close)
	dialFrom := func(ip string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := d.Dial("tcp", busy.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	for range maxHandshakes + maxQueuedHandshakes/2 {
		dialFrom("127.0.0.9") // The handshake does not progress, since nothing is sent.
	}
	require.Eventually(t, func() bool { return len(busy.handshakeSlots) == maxHandshakes }, time.Second, time.Millisecond)
	a := startMessenger(t, "a", testKey, nil)
	a.Connect("busy", "", busy.Addr())
	startTime := time.Now()
	expectAlive(t, a, "busy", true)
	require.Less(t, time.Since(startTime), 500*time.Millisecond)

	t.Run("and too many that wait are sent away", func(t *testing.T) {
		for range maxQueuedHandshakes {
			dialFrom("127.0.0.9")
		}
		c := dialFrom("127.0.0.9")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout())
	})
}
