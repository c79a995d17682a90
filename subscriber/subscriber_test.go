package subscriber

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/messenger"
	"sycamorevane.example/sycamorevane/publisher"
)

// testControl is a control host with a quorum and an applied state that the test sets.
type testControl struct {
	net          *messenger.Messenger
	pub          *publisher.Publisher
	state        atomic.Pointer[sycamorevane.State]
	quorum       atomic.Bool
	disconnected atomic.Bool
}

func stateAt(version uint64) *sycamorevane.State {
	host := func(name string, roles ...string) sycamorevane.Host {
		return sycamorevane.Host{Name: name, DC: "dc-a", Roles: sycamorevane.NewSet(roles...)}
	}
	return &sycamorevane.State{Version: version, Config: sycamorevane.Config{
		Services: []sycamorevane.Service{{Name: "flagboard"}},
		Hosts:    []sycamorevane.Host{host("e1", "entry"), host("e2", "entry"), host("e3", "entry"), host("c1", "control"), host("c2", "control")},
	}}
}

func startMessenger(t *testing.T, name, role string, filter func(string) bool) *messenger.Messenger {
	t.Helper()
	m, err := messenger.New(messenger.Config{
		Self: name, DC: "dc-a", Roles: sycamorevane.NewSet(role), ListenAddr: "127.0.0.1:0",
		ClusterKey: "a cluster key for tests", Log: logr.Discard(), Filter: filter,
	})
	require.NoError(t, err)
	t.Cleanup(m.Close)
	return m
}

func startControl(t *testing.T, name string, version uint64) *testControl {
	t.Helper()
	c := &testControl{}
	c.quorum.Store(true)
	c.state.Store(stateAt(version))
	c.net = startMessenger(t, name, "control", func(string) bool { return !c.disconnected.Load() })
	c.pub = publisher.New(publisher.Config{
		Transport: c.net, State: c.state.Load, Log: logr.Discard(),
		IsPushing: func() (bool, uint64) { return c.quorum.Load(), 1 },
		ReadBarrier: func(context.Context) error {
			if !c.quorum.Load() {
				return errors.New("no quorum")
			}
			return nil
		},
	})
	c.net.Start()
	c.pub.Start()
	t.Cleanup(c.pub.Close)
	return c
}

func startEntry(t *testing.T, controls ...*testControl) (*Subscriber, *[]uint64) {
	t.Helper()
	return startEntryAfter(t, 0, controls...)
}

// startEntryAfter starts the subscriber some time after its messenger, so that its periodic checks run at a different
// time relative to the heartbeats.
func startEntryAfter(t *testing.T, delay time.Duration, controls ...*testControl) (*Subscriber, *[]uint64) {
	t.Helper()
	net := startMessenger(t, "e1", "entry", nil)
	var names []string
	versions := &[]uint64{}
	for _, c := range controls {
		names = append(names, c.net.Self())
	}
	s := New(Config{Transport: net, ControlHosts: names, Log: logr.Discard(), OnChange: func(st *sycamorevane.State) {
		*versions = append(*versions, st.Version)
	}})
	net.Start()
	for _, c := range controls {
		net.Connect(c.net.Self(), "dc-a", c.net.Addr())
	}
	time.Sleep(delay)
	s.Start()
	t.Cleanup(s.Close)
	return s, versions
}

func expectVersion(t *testing.T, s *Subscriber, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return s.version() == version }, 5*time.Second, 5*time.Millisecond, "version %d", version)
}

func expectNoState(t *testing.T, s *Subscriber) {
	t.Helper()
	require.Never(t, func() bool { return s.State() != nil }, 1500*time.Millisecond, 20*time.Millisecond)
}

func TestStateArrivesAndIsAcknowledged(t *testing.T) {
	c := startControl(t, "c1", 7)
	s, _ := startEntry(t, c)
	expectVersion(t, s, 7)
	require.True(t, s.Connected())
	c.state.Store(stateAt(8))
	c.pub.PushNow()
	expectVersion(t, s, 8)
	require.Eventually(t, func() bool {
		c.pub.PushNow()
		have, total := c.pub.CountAcknowledged(8)
		return have == 1 && total == 3
	}, 3*time.Second, 20*time.Millisecond)
}

// Guards against entries that, after all hosts were lost and their requests for the state failed, wait another
// fetchRetryInterval (500 ms) although a control host with a quorum has announced a state.
func TestAnnouncedStateIsAskedForSoon(t *testing.T) {
	for i := range 6 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			c := startControl(t, "c1", 7)
			c.quorum.Store(false)
			s, _ := startEntry(t, c)
			time.Sleep(time.Second + time.Duration(i)*110*time.Millisecond)
			require.Nil(t, s.State())
			c.quorum.Store(true)
			c.pub.PushNow()
			began := time.Now()
			select {
			case <-s.FirstState():
			case <-time.After(5 * time.Second):
				t.Fatal("no state")
			}
			require.Less(t, time.Since(began), 350*time.Millisecond)
		})
	}
}

// Guards against a control host without a quorum that sends an outdated configuration to an entry that has none.
func TestFirstStateNeedsAQuorumRead(t *testing.T) {
	c := startControl(t, "c1", 5)
	c.quorum.Store(false)
	s, _ := startEntry(t, c)
	expectNoState(t, s)
	c.quorum.Store(true)
	expectVersion(t, s, 5)
}

// Guards against a delayed push of a former leader that returns an entry to an older version.
func TestVersionNeverGoesDown(t *testing.T) {
	old, cur := startControl(t, "c1", 5), startControl(t, "c2", 9)
	s, versions := startEntry(t, cur, old)
	require.Eventually(t, func() bool { return s.version() >= 5 }, 5*time.Second, 5*time.Millisecond)
	expectVersion(t, s, 9)
	data, err := publisher.EncodeState(stateAt(5))
	require.NoError(t, err)
	s.onPush("c1", &encoder.StatePush{Version: 5, State: data})
	require.EqualValues(t, 9, s.version())
	require.IsIncreasing(t, append([]uint64{0}, *versions...))
}

// Guards against an entry that continues to accept requests without contact with the control hosts and its peers.
func TestCutOffEntryWithdraws(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the contact limit")
	}
	c := startControl(t, "c1", 3)
	s, _ := startEntry(t, c)
	expectVersion(t, s, 3)
	c.disconnected.Store(true)
	require.Eventually(t, func() bool { return !s.Connected() }, ContactTimeout+2*time.Second, 20*time.Millisecond)
	require.NotNil(t, s.State(), "running requests still need the state")
	c.disconnected.Store(false)
	require.Eventually(t, s.Connected, 5*time.Second, 20*time.Millisecond)
}

// Guards against an entry that stops accepting requests although it still hears a majority of its peers.
func TestPeersAloneKeepTheEntryInService(t *testing.T) {
	c := startControl(t, "c1", 3)
	s, _ := startEntry(t, c)
	expectVersion(t, s, 3)
	peer := startMessenger(t, "e2", "entry", nil)
	peer.Start()
	s.cfg.Transport.(*messenger.Messenger).Connect("e2", "dc-a", peer.Addr())
	expectMajority(t, s)
	now := time.Now()
	s.mu.Lock()
	s.lastControlContact = now.Add(-time.Minute)
	s.mu.Unlock()
	s.updateIsolation(now)
	require.True(t, s.Connected())
}

func expectMajority(t *testing.T, s *Subscriber) {
	t.Helper()
	require.Eventually(t, func() bool { return time.Since(s.lastMajority(time.Now())) < ContactTimeout }, 3*time.Second, 10*time.Millisecond)
}

// Guards against a ContactTimeout that starts only when silent peers are declared dead, so that the entry accepts
// requests for 1.5 s longer, and against one that restarts when a silent session is closed and dialed again.
func TestSilentPeersEndTheServiceWithinTheContactLimit(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the contact limit")
	}
	for _, delay := range []time.Duration{0, 75 * time.Millisecond, 150 * time.Millisecond, 225 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			expectWithdrawal(t, delay)
		})
	}
}

func expectWithdrawal(t *testing.T, delay time.Duration) {
	t.Helper()
	c := startControl(t, "c1", 3)
	s, _ := startEntryAfter(t, delay, c)
	expectVersion(t, s, 3)
	var disconnected atomic.Bool
	peer := startMessenger(t, "e2", "entry", func(string) bool { return !disconnected.Load() })
	peer.Start()
	s.cfg.Transport.(*messenger.Messenger).Connect("e2", "dc-a", peer.Addr())
	expectMajority(t, s)
	disconnected.Store(true)
	c.disconnected.Store(true)
	began := time.Now()
	require.Eventually(t, func() bool { return !s.Connected() }, 2*ContactTimeout, 10*time.Millisecond)
	require.Less(t, time.Since(began), ContactTimeout+time.Second)
}

func TestGarbageStateIsRefused(t *testing.T) {
	_, err := publisher.DecodeState([]byte("not gzip"))
	require.Error(t, err)
}

// addControl adds a control host that replies with the state of the given version.
func addControl(mesh *faker.Mesh, name string, version *atomic.Uint64) *faker.Peer {
	p := mesh.AddPeer(name)
	p.Handle(&encoder.StateAsk{}, func(string, proto.Message) proto.Message {
		st := stateAt(version.Load())
		data, err := publisher.EncodeState(st)
		if err != nil {
			return nil
		}
		return &encoder.StatePush{Version: st.Version, State: data}
	})
	return p
}

// Guards against an entry that waits for control hosts without a quorum, one after the other, while another one has announced the
// state and could send it.
func TestAnnouncerIsAskedAtOnce(t *testing.T) {
	mesh := faker.NewMesh()
	mesh.AddPeer("c1")
	mesh.AddPeer("c2")
	mesh.Partition(1, "c1", "c2")
	var version atomic.Uint64
	version.Store(7)
	control := addControl(mesh, "c3", &version)
	var hosts atomic.Pointer[[]string]
	hosts.Store(&[]string{"c3"})
	s := New(Config{
		Transport: mesh.AddPeer("e1"), ListControlHosts: func() []string { return *hosts.Load() }, ServeWhenIsolated: true,
		OnChange: func(*sycamorevane.State) {}, Log: logr.Discard(),
	})
	s.Start()
	t.Cleanup(s.Close)
	expectVersion(t, s, 7)
	hosts.Store(&[]string{"c1", "c2", "c3"})
	version.Store(8)
	s.onPush("c1", &encoder.StatePush{Version: 8})
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pending != nil && time.Since(s.pending.sentAt) > fetchPatience
	}, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, control.Send("e1", &encoder.StatePush{Version: 8}))
	require.Eventually(t, func() bool { return s.version() == 8 }, 700*time.Millisecond, 5*time.Millisecond)
}

func TestOrderOfControlHosts(t *testing.T) {
	s := New(Config{
		Transport: faker.NewMesh().AddPeer("e1"), ControlHosts: []string{"c1", "c2", "c3"}, Log: logr.Discard(),
	})
	expectFirst := func(t *testing.T, name string) {
		t.Helper()
		hosts := s.controlHosts()
		require.Equal(t, name, hosts[0])
		require.ElementsMatch(t, s.cfg.ControlHosts, hosts)
	}
	t.Run("the host that has announced the newest version comes first", func(t *testing.T) {
		s.onPush("c3", &encoder.StatePush{Version: 8})
		expectFirst(t, "c3")
	})
	t.Run("a host that announces an older version does not take its place", func(t *testing.T) {
		s.onPush("c2", &encoder.StatePush{Version: 7})
		expectFirst(t, "c3")
	})
	t.Run("a host that has lost the leader is not preferred", func(t *testing.T) {
		s.onPush("c3", &encoder.StatePush{Apart: true})
		expectFirst(t, "c1")
	})
}

// Guards against an entry that stays behind because the state has changed while it waited for a reply: the change in the reply starts
// from the older state, and the control host does not push it again.
func TestOutdatedChangeIsRequestedAgain(t *testing.T) {
	mesh := faker.NewMesh()
	control := mesh.AddPeer("c1")
	mesh.AddPeer("c2")
	mesh.Partition(1, "c2")
	s := New(Config{
		Transport: mesh.AddPeer("e1"), ControlHosts: []string{"c1", "c2"}, ServeWhenIsolated: true,
		OnChange: func(*sycamorevane.State) {}, Log: logr.Discard(),
	})
	pushOf := func(version uint64) *encoder.StatePush {
		data, err := publisher.EncodeState(stateAt(version))
		require.NoError(t, err)
		return &encoder.StatePush{Version: version, State: data}
	}
	replies := map[uint64]*encoder.StatePush{0: pushOf(7), 7: {Version: 9, Base: 7, Change: []byte("from 7")}, 8: pushOf(9)}
	overtaking := pushOf(8)
	control.Handle(&encoder.StateAsk{}, func(_ string, m proto.Message) proto.Message {
		ask, _ := m.(*encoder.StateAsk)
		if ask.Have == 7 {
			s.onPush("c1", overtaking)
		}
		return replies[ask.Have]
	})
	s.Start()
	t.Cleanup(s.Close)
	expectVersion(t, s, 7)
	s.onPush("c1", &encoder.StatePush{Version: 9})
	require.Eventually(t, func() bool { return s.version() == 9 }, 900*time.Millisecond, 5*time.Millisecond)
}
