package resolver

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// peers is a transport that only lists sessions.
type peers struct {
	sycamorevane.Transport
	alive map[string]bool
}

func (p *peers) Handle(proto.Message, sycamorevane.Handler) {}

func (p *peers) Peers() []sycamorevane.Peer {
	var list []sycamorevane.Peer
	for name, alive := range p.alive {
		list = append(list, sycamorevane.Peer{Name: name, Alive: alive})
	}
	return list
}

func newTestDirectory(perDC int) (*Directory, *peers) {
	p := &peers{alive: make(map[string]bool)}
	d := NewDirectory(DirectoryConfig{Transport: p, Max: 64})
	for _, dc := range []string{"a", "b"} {
		for i := range perDC {
			name := fmt.Sprintf("%s%02d", dc, i)
			p.alive[name] = true
			d.onPresence(name, &encoder.Presence{Accepting: true, Addr: name + ":80", Dc: dc})
		}
	}
	return d, p
}

func TestDirectoryNames(t *testing.T) {
	t.Run("few entries of the caller's data centre", func(t *testing.T) {
		d, _ := newTestDirectory(5)
		require.Equal(t, []string{"a00:80", "a01:80"}, d.Addresses("a"))
		require.Equal(t, []string{"b00:80", "b01:80"}, d.Addresses("b"))
	})
	t.Run("a quarter of many", func(t *testing.T) {
		d, _ := newTestDirectory(32)
		require.Len(t, d.Addresses("a"), 8)
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
		require.Equal(t, []string{"a03:80", "a04:80"}, d.Addresses("a"))
	})
	t.Run("others when the own data centre has too few", func(t *testing.T) {
		d, p := newTestDirectory(3)
		p.alive["a00"], p.alive["a01"] = false, false
		require.Equal(t, []string{"a02:80", "b00:80", "b01:80"}, d.Addresses("a"))
		require.Equal(t, []string{"a02:80", "b00:80", "b01:80"}, d.Addresses("unknown"))
	})
	t.Run("a rank for each entry that is named", func(t *testing.T) {
		d, _ := newTestDirectory(5)
		names := d.Names()
		require.Equal(t, []string{"a00", "a01", "b00", "b01"}, names)
		rank, entries := d.Share(names, "b00")
		require.Equal(t, []int{2, 4}, []int{rank, entries})
		rank, entries = d.Share(names, "a04")
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
