package faker

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// Mesh connects in-memory transports of one process. Messages are copied as on a wire.
type Mesh struct {
	mu    sync.Mutex
	nodes map[string]*Peer
	side  map[string]int
	down  sycamorevane.Set[string]
}

// NewMesh returns a mesh without peers.
func NewMesh() *Mesh {
	return &Mesh{nodes: make(map[string]*Peer), side: make(map[string]int), down: sycamorevane.NewSet[string]()}
}

// Peer is one transport of a Mesh.
type Peer struct {
	mesh     *Mesh
	name     string
	handlers map[uint32]sycamorevane.Handler
}

// AddPeer adds a peer. A name that joins again replaces the former peer, as a restart does.
func (m *Mesh) AddPeer(name string) *Peer {
	p := &Peer{mesh: m, name: name, handlers: make(map[uint32]sycamorevane.Handler)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[name] = p
	delete(m.down, name)
	return p
}

// Partition moves peers to a side; peers of different sides lose each other's messages silently. All start at 0.
func (m *Mesh) Partition(side int, names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range names {
		m.side[n] = side
	}
}

// Kill makes peers unreachable, with an error at the sender.
func (m *Mesh) Kill(names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range names {
		m.down.Add(n)
	}
}

// Self implements sycamorevane.Transport.
func (p *Peer) Self() string { return p.name }

// Handle implements sycamorevane.Transport.
func (p *Peer) Handle(m proto.Message, h sycamorevane.Handler) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	p.handlers[encoder.Kind(m)] = h
}

func (p *Peer) handler(m proto.Message) sycamorevane.Handler {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	return p.handlers[encoder.Kind(m)]
}

// Peers implements sycamorevane.Transport.
func (p *Peer) Peers() []sycamorevane.Peer {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	var list []sycamorevane.Peer
	for name := range p.mesh.nodes {
		if name != p.name {
			alive := !p.mesh.down.Has(name) && p.mesh.side[name] == p.mesh.side[p.name]
			list = append(list, sycamorevane.Peer{Name: name, Alive: alive, LastHeard: time.Now()})
		}
	}
	slices.SortFunc(list, func(a, b sycamorevane.Peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// route returns the receiver, or nil when the message is lost.
func (p *Peer) route(to string) (*Peer, error) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	n, ok := p.mesh.nodes[to]
	if !ok || p.mesh.down.Has(to) || p.mesh.down.Has(p.name) || p.mesh.nodes[p.name] != p {
		return nil, &sycamorevane.UnreachableError{Peer: to}
	}
	if p.mesh.side[to] != p.mesh.side[p.name] {
		return nil, nil
	}
	return n, nil
}

// Send implements sycamorevane.Transport. The handler has returned before Send does.
func (p *Peer) Send(to string, m proto.Message) error {
	n, err := p.route(to)
	if err != nil || n == nil {
		return err
	}
	if h := n.handler(m); h != nil {
		h(p.name, proto.Clone(m))
	}
	return nil
}

// Call implements sycamorevane.Transport.
func (p *Peer) Call(ctx context.Context, to string, m proto.Message) (proto.Message, error) {
	n, err := p.route(to)
	if err != nil {
		return nil, err
	}
	if n == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h := n.handler(m)
	if h == nil {
		return nil, errors.Errorf("peer %q does not answer", to)
	}
	reply := h(p.name, proto.Clone(m))
	if reply == nil {
		return nil, errors.Errorf("peer %q does not answer", to)
	}
	if back, err := n.route(p.name); err != nil || back == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return proto.Clone(reply), nil
}

var _ sycamorevane.Transport = (*Peer)(nil)
