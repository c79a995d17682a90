package resolver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane/encoder"
)

// fakeTransport is a transport that delivers Presences messages directly to other directories.
type fakeTransport struct {
	*fakePeers
	self        string
	directories map[string]*Directory
}

func (f *fakeTransport) Send(to string, m proto.Message) error {
	if d := f.directories[to]; d != nil {
		d.onPresences(f.self, m)
	}
	return nil
}

// newControlHosts returns the directories and transports of control hosts that know each other.
func newControlHosts(names ...string) (map[string]*Directory, map[string]*fakeTransport) {
	directories, transports := make(map[string]*Directory), make(map[string]*fakeTransport)
	for _, name := range names {
		transports[name] = &fakeTransport{fakePeers: &fakePeers{alive: make(map[string]bool)}, self: name, directories: directories}
		var others []string
		for _, other := range names {
			if other != name {
				others = append(others, other)
			}
		}
		directories[name] = NewDirectory(DirectoryConfig{
			Transport: transports[name], MaxAddresses: 64, ControlHosts: func() []string { return others },
		})
	}
	return directories, transports
}

func newPresence(follows bool) *encoder.Presence {
	return &encoder.Presence{Accepting: true, Addr: "e:80", Dc: "a", Follows: follows}
}

// Guards against look-ups that omit entries without a session to the responding control host, or that include lost entries.
func TestEntriesAreToldToOtherControlHosts(t *testing.T) {
	setup := func() (map[string]*Directory, map[string]*fakeTransport) {
		directories, transports := newControlHosts("c1", "c2", "c3")
		transports["c1"].alive["e"], transports["c2"].alive["e"] = true, true
		directories["c1"].onPresence("e", newPresence(true))
		directories["c2"].onPresence("e", newPresence(false))
		return directories, transports
	}
	t.Run("by the one that they follow", func(t *testing.T) {
		directories, _ := setup()
		require.True(t, directories["c1"].Follows("e"))
		require.False(t, directories["c2"].Follows("e"))
		directories["c2"].relay(time.Now())
		require.Empty(t, directories["c3"].Addresses("a"))
		directories["c1"].relay(time.Now())
		for name, d := range directories {
			require.Equal(t, []string{"e:80"}, d.Addresses("a"), name)
			require.Equal(t, []string{"e"}, d.Names(), name)
		}
	})
	t.Run("again after a second, and not before", func(t *testing.T) {
		directories, _ := setup()
		now := time.Now()
		require.Len(t, directories["c1"].recordsToRelay(now), 1)
		require.Empty(t, directories["c1"].recordsToRelay(now.Add(relayRepeatInterval/2)))
		require.Len(t, directories["c1"].recordsToRelay(now.Add(relayRepeatInterval)), 1)
		require.Empty(t, directories["c2"].recordsToRelay(now))
	})
	t.Run("at once when it takes no requests any more", func(t *testing.T) {
		directories, _ := setup()
		directories["c1"].relay(time.Now())
		leaving := newPresence(true)
		leaving.Leaving = true
		directories["c1"].onPresence("e", leaving)
		directories["c1"].relay(time.Now())
		require.Empty(t, directories["c3"].Addresses("a"))
	})
	t.Run("when it is lost", func(t *testing.T) {
		directories, transports := setup()
		directories["c1"].relay(time.Now())
		transports["c1"].alive["e"] = false
		directories["c1"].relay(time.Now())
		require.Empty(t, directories["c3"].Addresses("a"))
		require.Empty(t, directories["c1"].Addresses("a"))
		require.Equal(t, []string{"e:80"}, directories["c2"].Addresses("a"), "the entry still has a session with c2")
	})
	t.Run("not lost when it follows another host", func(t *testing.T) {
		directories, transports := setup()
		directories["c1"].relay(time.Now())
		directories["c2"].onPresence("e", newPresence(true))
		directories["c2"].relay(time.Now())
		transports["c1"].alive["e"] = false
		directories["c1"].relay(time.Now())
		for name, d := range directories {
			require.Equal(t, []string{"e:80"}, d.Addresses("a"), name)
		}
	})
	t.Run("forgotten when nobody speaks of it", func(t *testing.T) {
		directories, _ := setup()
		directories["c1"].relay(time.Now())
		names, _ := directories["c3"].acceptingEntries(time.Now().Add(relayedTimeout + time.Second))
		require.Empty(t, names)
	})
}

// Guards against entries to which no caller is sent, but for which a share of the system-wide limits is reserved.
func TestNoMoreEntriesThanAnAnswerHolds(t *testing.T) {
	d, p := newTestDirectory(0)
	for _, dc := range []string{"a", "b"} {
		for i := range 100 {
			name := dc + string(rune('0'+i/10)) + string(rune('0'+i%10))
			p.alive[name] = true
			d.onPresence(name, &encoder.Presence{Accepting: true, Addr: name, Dc: dc, Part: 100})
		}
	}
	require.Len(t, d.Names(), 128)
	named := append(d.Addresses("a"), d.Addresses("b")...)
	require.ElementsMatch(t, d.Names(), named)
}

// Guards against limits of servers that are known only to the control hosts with a session to the entry that was told.
func TestLimitsReachAllControlHosts(t *testing.T) {
	directories, transports := newControlHosts("c1", "c2")
	transports["c1"].alive["e"] = true
	received := make(map[string]time.Duration)
	for name, d := range directories {
		d.cfg.OnLimits = func(list []*encoder.ServerLimit, age time.Duration) {
			require.Equal(t, "x", list[0].Id)
			received[name] = age
		}
	}
	m := newPresence(true)
	m.Limits = []*encoder.ServerLimit{{Id: "x", Limited: true, Rate: 1}}
	directories["c1"].onPresence("e", m)
	directories["c1"].relay(time.Now().Add(time.Second))
	require.Zero(t, received["c1"])
	require.InDelta(t, 1, received["c2"].Seconds(), 0.1)
	directories["c1"].onPresence("e", newPresence(true))
	require.Len(t, received, 2)
}
