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

// Mesh connects in-memory transports of one process. Messages are copied, as on a network.
type Mesh struct {
	mu     sync.Mutex
	peers  map[string]*Peer
	sides  map[string]int
	killed sycamorevane.Set[string]
}

// NewMesh returns a mesh without peers.
func NewMesh() *Mesh {
	return &Mesh{peers: make(map[string]*Peer), sides: make(map[string]int), killed: sycamorevane.NewSet[string]()}
}

// Peer is one transport of a Mesh.
type Peer struct {
	mesh     *Mesh
	name     string
	handlers map[uint32]sycamorevane.Handler
}

// AddPeer adds a peer. A peer with the same name is replaced, as after a restart.
func (m *Mesh) AddPeer(name string) *Peer {
	p := &Peer{mesh: m, name: name, handlers: make(map[uint32]sycamorevane.Handler)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[name] = p
	delete(m.killed, name)
	return p
}

// Partition moves peers to a side. Messages between sides are dropped silently. All peers start on side 0.
func (m *Mesh) Partition(side int, names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range names {
		m.sides[n] = side
	}
}

// Kill makes peers unreachable; sending to them returns an error.
func (m *Mesh) Kill(names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range names {
		m.killed.Add(n)
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
	for name := range p.mesh.peers {
		if name != p.name {
			alive := !p.mesh.killed.Has(name) && p.mesh.sides[name] == p.mesh.sides[p.name]
			list = append(list, sycamorevane.Peer{Name: name, Alive: alive, LastHeard: time.Now()})
		}
	}
	slices.SortFunc(list, func(a, b sycamorevane.Peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// receiver returns the peer that gets a message to the name, or nil when a partition drops the message.
func (p *Peer) receiver(to string) (*Peer, error) {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	n, ok := p.mesh.peers[to]
	if !ok || p.mesh.killed.Has(to) || p.mesh.killed.Has(p.name) || p.mesh.peers[p.name] != p {
		return nil, &sycamorevane.UnreachableError{Peer: to}
	}
	if p.mesh.sides[to] != p.mesh.sides[p.name] {
		return nil, nil
	}
	return n, nil
}

// Send implements sycamorevane.Transport. The handler has returned before Send does.
func (p *Peer) Send(to string, m proto.Message) error {
	n, err := p.receiver(to)
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
	n, err := p.receiver(to)
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
	if returnPath, err := n.receiver(p.name); err != nil || returnPath == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return proto.Clone(reply), nil
}

var _ sycamorevane.Transport = (*Peer)(nil)
