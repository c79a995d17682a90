package resolver

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// fakePeers is a transport that only returns a list of peers.
type fakePeers struct {
	sycamorevane.Transport
	alive map[string]bool
}

func (p *fakePeers) Handle(proto.Message, sycamorevane.Handler) {}

func (p *fakePeers) Peers() []sycamorevane.Peer {
	var list []sycamorevane.Peer
	for name, alive := range p.alive {
		list = append(list, sycamorevane.Peer{Name: name, Alive: alive})
	}
	return list
}

func newTestDirectory(perDC int, dcs ...string) (*Directory, *fakePeers) {
	p := &fakePeers{alive: make(map[string]bool)}
	d := NewDirectory(DirectoryConfig{Transport: p, MaxAddresses: 64})
	if len(dcs) == 0 {
		dcs = []string{"a", "b"}
	}
	for _, dc := range dcs {
		for i := range perDC {
			name := fmt.Sprintf("%s%02d", dc, i)
			p.alive[name] = true
			d.onPresence(name, &encoder.Presence{Accepting: true, Addr: name + ":80", Dc: dc})
		}
	}
	return d, p
}

func TestDirectoryNames(t *testing.T) {
	t.Run("one entry of the caller's data centre, and one that takes over", func(t *testing.T) {
		d, _ := newTestDirectory(5, "a", "b", "c")
		require.Equal(t, []string{"a00:80", "b00:80"}, d.Addresses("a"))
		require.Equal(t, []string{"b00:80", "c00:80"}, d.Addresses("b"))
		require.Equal(t, []string{"a00:80", "c00:80"}, d.Addresses("c"), "the additional callers are spread over the data centres")
		require.Equal(t, []string{"a00:80", "b00:80"}, d.Addresses("unknown"))
	})
	t.Run("a tenth of many", func(t *testing.T) {
		d, _ := newTestDirectory(32)
		require.Equal(t, []string{"a00:80", "a01:80", "a02:80", "a03:80"}, d.Addresses("a"))
	})
	t.Run("more of small ones", func(t *testing.T) {
		d, p := newTestDirectory(0)
		for i := range 32 {
			name := fmt.Sprintf("a%02d", i)
			p.alive[name] = true
			d.onPresence(name, &encoder.Presence{Accepting: true, Addr: name, Dc: "a", Part: 50})
		}
		require.Len(t, d.Addresses("a"), 16)
	})
	t.Run("no entry that is gone, leaving or not ready", func(t *testing.T) {
		d, p := newTestDirectory(5)
		p.alive["a00"] = false
		d.onPresence("a01", &encoder.Presence{Accepting: true, Leaving: true, Addr: "a01:80", Dc: "a"})
		d.onPresence("a02", &encoder.Presence{Addr: "a02:80", Dc: "a"})
		require.Equal(t, []string{"a03:80", "b00:80"}, d.Addresses("a"))
	})
	t.Run("others when the own data centre has too few", func(t *testing.T) {
		d, p := newTestDirectory(3, "a", "b", "c")
		p.alive["a00"], p.alive["a01"], p.alive["a02"] = false, false, false
		require.Equal(t, []string{"b00:80", "c00:80"}, d.Addresses("a"))
		p.alive["b00"], p.alive["b01"], p.alive["b02"] = false, false, false
		require.Equal(t, []string{"c00:80"}, d.Addresses("a"))
	})
	t.Run("a rank for each entry that is named", func(t *testing.T) {
		d, _ := newTestDirectory(15)
		names := d.Names()
		require.Equal(t, []string{"a00", "a01", "b00", "b01"}, names)
		rank, entries := d.Rank(names, "b00")
		require.Equal(t, []int{2, 4}, []int{rank, entries})
		rank, entries = d.Rank(names, "a04")
		require.Equal(t, []int{4, 4}, []int{rank, entries})
	})
}

func TestRunningRequestsOfAllEntries(t *testing.T) {
	d, _ := newTestDirectory(2)
	for _, name := range []string{"a00", "b01"} {
		d.onPresence(name, &encoder.Presence{Accepting: true, Addr: name, Dc: name[:1], Loads: []*encoder.VersionLoad{
			{Service: "s", Version: "v2", Running: 3}, {Service: "s", Version: "v1", Running: 1},
		}})
	}
	require.Equal(t, 6, d.Running("s", "v2"))
	require.Zero(t, d.Running("other", "v2"))
}
