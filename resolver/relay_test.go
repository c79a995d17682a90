package resolver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane/encoder"
)

// pair is a transport that hands messages to another directory.
type pair struct {
	*peers
	self string
	to   map[string]*Directory
}

func (p *pair) Send(to string, m proto.Message) error {
	if d := p.to[to]; d != nil {
		d.onPresences(p.self, m)
	}
	return nil
}

// newRelays returns the directories of control hosts that know each other.
func newRelays(names ...string) (map[string]*Directory, map[string]*pair) {
	dirs, pairs := make(map[string]*Directory), make(map[string]*pair)
	for _, name := range names {
		pairs[name] = &pair{peers: &peers{alive: make(map[string]bool)}, self: name, to: dirs}
		var others []string
		for _, other := range names {
			if other != name {
				others = append(others, other)
			}
		}
		dirs[name] = NewDirectory(DirectoryConfig{Transport: pairs[name], Max: 64, Controls: func() []string { return others }})
	}
	return dirs, pairs
}

func said(follows bool) *encoder.Presence {
	return &encoder.Presence{Accepting: true, Addr: "e:80", Dc: "a", Follows: follows}
}

// Guards against look-ups that miss entries without a session to the control host that answers, or name lost ones.
func TestEntriesAreToldToOtherControlHosts(t *testing.T) {
	setup := func() (map[string]*Directory, map[string]*pair) {
		dirs, pairs := newRelays("c1", "c2", "c3")
		pairs["c1"].alive["e"], pairs["c2"].alive["e"] = true, true
		dirs["c1"].onPresence("e", said(true))
		dirs["c2"].onPresence("e", said(false))
		return dirs, pairs
	}
	t.Run("by the one that they follow", func(t *testing.T) {
		dirs, _ := setup()
		require.True(t, dirs["c1"].Follows("e"))
		require.False(t, dirs["c2"].Follows("e"))
		dirs["c2"].relay(time.Now())
		require.Empty(t, dirs["c3"].Addresses("a"))
		dirs["c1"].relay(time.Now())
		for name, d := range dirs {
			require.Equal(t, []string{"e:80"}, d.Addresses("a"), name)
			require.Equal(t, []string{"e"}, d.Names(), name)
		}
	})
	t.Run("again after a second, and not before", func(t *testing.T) {
		dirs, _ := setup()
		now := time.Now()
		require.Len(t, dirs["c1"].news(now), 1)
		require.Empty(t, dirs["c1"].news(now.Add(relayAgain/2)))
		require.Len(t, dirs["c1"].news(now.Add(relayAgain)), 1)
		require.Empty(t, dirs["c2"].news(now))
	})
	t.Run("at once when it takes no requests any more", func(t *testing.T) {
		dirs, _ := setup()
		dirs["c1"].relay(time.Now())
		leaving := said(true)
		leaving.Leaving = true
		dirs["c1"].onPresence("e", leaving)
		dirs["c1"].relay(time.Now())
		require.Empty(t, dirs["c3"].Addresses("a"))
	})
	t.Run("when it is lost", func(t *testing.T) {
		dirs, pairs := setup()
		dirs["c1"].relay(time.Now())
		pairs["c1"].alive["e"] = false
		dirs["c1"].relay(time.Now())
		require.Empty(t, dirs["c3"].Addresses("a"))
		require.Empty(t, dirs["c1"].Addresses("a"))
		require.Equal(t, []string{"e:80"}, dirs["c2"].Addresses("a"), "it still has a session there")
	})
	t.Run("not lost when it follows another host", func(t *testing.T) {
		dirs, pairs := setup()
		dirs["c1"].relay(time.Now())
		dirs["c2"].onPresence("e", said(true))
		dirs["c2"].relay(time.Now())
		pairs["c1"].alive["e"] = false
		dirs["c1"].relay(time.Now())
		for name, d := range dirs {
			require.Equal(t, []string{"e:80"}, d.Addresses("a"), name)
		}
	})
	t.Run("forgotten when nobody speaks of it", func(t *testing.T) {
		dirs, _ := setup()
		dirs["c1"].relay(time.Now())
		names, _ := dirs["c3"].live(time.Now().Add(relayedLife + time.Second))
		require.Empty(t, names)
	})
}

// Guards against entries that are never named but have a part of the limits of the whole system, which the others lack.
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
