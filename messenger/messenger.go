// Package messenger keeps the peer sessions of a process: TLS with a key pair derived from the cluster key,
// yamux streams, protobuf envelopes, heartbeats and redial. It implements sycamorevane.Transport.
package messenger

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// HeartbeatInterval leaves room for three heartbeats before DeadAfter.
	HeartbeatInterval = 500 * time.Millisecond
	// DeadAfter is the silence after which a peer counts as dead.
	DeadAfter = 1500 * time.Millisecond
	// closeAfter is the silence after which a session is closed and dialled anew, since a connection can go
	// silent for good while new ones work.
	closeAfter = 2 * DeadAfter
	// redialAfter is the silence after which a peer is dialled beside its sessions: two heartbeats are due by then. A
	// host that lost power is back without them, and its end of a connection may be gone while new ones work.
	redialAfter = time.Second
	// dialTimeout is short, since a host that is off does not answer at all and may be back at any moment.
	dialTimeout    = 250 * time.Millisecond
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 150 * time.Millisecond
	maxCalls       = 512
	// maxGreetings bounds the sessions that begin at the same time for peers that are not Favoured, and maxWaiting
	// those that wait for it. All at once they would all be late, and the last ones in vain.
	maxGreetings = 16
	maxWaiting   = 256
	// maxSessions bounds open connections, authenticated or not, at four times the largest configuration.
	maxSessions = 4096
)

// Config holds what a Messenger is built from.
type Config struct {
	Self  string
	DC    string
	Roles sycamorevane.Set[string]
	// Listen is the host:port of the peer listener.
	Listen string
	// Key is the cluster key; at least sycamorevane.MinClusterKeyBytes bytes.
	Key string
	Log logr.Logger
	// Metrics counts the payload bytes sent by message; nil for none.
	Metrics tally.Scope
	// Favoured reports whether sessions from an address may begin at once, whatever others wait; nil for all.
	Favoured func(host string) bool
	// Relays, when set, lists peers that pass messages on to hosts without a session here, in order of preference.
	Relays func() []string
	// Filter, when set, drops messages to and from peers for which it returns false, and sessions with them that
	// begin. Tests use it for network partitions that stay silent.
	Filter func(peer string) bool
}

// Messenger implements sycamorevane.Transport.
type Messenger struct {
	cfg         Config
	id          *identity
	incarnation uint64
	handlers    map[uint32]sycamorevane.Handler
	listener    net.Listener
	nextCall    atomic.Uint64
	callSlot    chan struct{}
	// greetSlot is held while a session begins, waitSlot while it waits for that.
	greetSlot chan struct{}
	waitSlot  chan struct{}
	// greeting counts the sessions that this side has begun and that are not known yet.
	greeting atomic.Int64
	traffic  counters
	// local carries messages from this host to itself, when one process has several roles.
	local *sycamorevane.Ring[*encoder.Envelope]
	wg    sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context

	mu    sync.Mutex
	peers map[string]*peer
	calls map[uint64]pendingCall
	// bytes holds a counter per message name.
	bytes map[protoreflect.Name]tally.Counter
	// conns are connections whose handshake has not finished; they are closed on Close.
	conns map[net.Conn]struct{}
}

// pendingCall is a call without a reply yet.
type pendingCall struct {
	answer chan callResult
	// session is the one that it was sent on; nil for this host itself.
	session *session
}

// callResult ends a call.
type callResult struct {
	reply proto.Message
	err   error
}

// New checks the configuration and opens the peer listener. Start begins to serve it.
func New(cfg Config) (*Messenger, error) {
	id, err := newIdentity(cfg.Key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Annotatef(err, "peer listener of host %q", cfg.Self)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Messenger{
		cfg: cfg, id: id, incarnation: rand.Uint64() | 1, listener: l, ctx: ctx, stop: stop,
		handlers:  make(map[uint32]sycamorevane.Handler),
		callSlot:  make(chan struct{}, maxCalls),
		greetSlot: make(chan struct{}, maxGreetings),
		waitSlot:  make(chan struct{}, maxWaiting),
		local:     sycamorevane.NewRing[*encoder.Envelope](urgentQueue),
		peers:     make(map[string]*peer),
		calls:     make(map[uint64]pendingCall),
		bytes:     make(map[protoreflect.Name]tally.Counter),
		conns:     make(map[net.Conn]struct{}),
	}
	return m, nil
}

// Addr is the address of the peer listener.
func (m *Messenger) Addr() string { return m.listener.Addr().String() }

// Self implements sycamorevane.Transport.
func (m *Messenger) Self() string { return m.cfg.Self }

// Incarnation is the number of this start of the process.
func (m *Messenger) Incarnation() uint64 { return m.incarnation }

// Handle implements sycamorevane.Transport.
func (m *Messenger) Handle(msg proto.Message, h sycamorevane.Handler) {
	m.handlers[encoder.Kind(msg)] = h
}

// Start accepts sessions and sends heartbeats until Close.
func (m *Messenger) Start() {
	m.wg.Go(m.acceptLoop)
	m.wg.Go(m.heartbeatLoop)
	m.wg.Go(m.localLoop)
}

// Close ends all sessions and waits for the goroutines of the messenger.
func (m *Messenger) Close() {
	m.stop()
	_ = m.listener.Close()
	m.mu.Lock()
	for c := range m.conns {
		_ = c.Close()
	}
	for _, p := range m.peers {
		p.closeSessions()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// Connect makes the messenger keep a session with the peer at addr. A changed address replaces the old one.
func (m *Messenger) Connect(name, dc, addr string) {
	if name == m.cfg.Self || m.ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(name)
	if p.DC == "" {
		p.DC = dc
	}
	if p.Addr == addr {
		return
	}
	p.Addr = addr
	if !p.dialing {
		p.dialing = true
		m.wg.Go(func() { m.dialLoop(p) })
	}
}

// Forget ends the sessions with a peer that has left the configuration.
func (m *Messenger) Forget(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok {
		return
	}
	delete(m.peers, name)
	p.Addr = ""
	p.closeSessions()
	p.signal()
}

// Peers implements sycamorevane.Transport.
func (m *Messenger) Peers() []sycamorevane.Peer {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]sycamorevane.Peer, 0, len(m.peers))
	for _, p := range m.peers {
		view := p.Peer
		view.Alive = p.best() != nil && now.Sub(p.LastHeard) < DeadAfter
		list = append(list, view)
	}
	slices.SortFunc(list, func(a, b sycamorevane.Peer) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Send implements sycamorevane.Transport.
func (m *Messenger) Send(to string, msg proto.Message) error {
	return m.send(to, msg, 0, "")
}

// Call implements sycamorevane.Transport.
func (m *Messenger) Call(ctx context.Context, to string, msg proto.Message) (proto.Message, error) {
	id := m.nextCall.Add(1)
	answer := make(chan callResult, 1)
	m.mu.Lock()
	m.calls[id] = pendingCall{answer: answer}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.calls, id)
		m.mu.Unlock()
	}()
	if err := m.send(to, msg, id, ""); err != nil {
		return nil, err
	}
	select {
	case r := <-answer:
		if r.err == nil && r.reply == nil {
			return nil, errors.Errorf("peer %q does not answer %s", to, msg.ProtoReflect().Descriptor().Name())
		}
		return r.reply, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.ctx.Done():
		return nil, &sycamorevane.UnreachableError{Peer: to}
	}
}

// send puts a message into the queue of a session. A reply goes through the peer that its call came through.
func (m *Messenger) send(to string, msg proto.Message, id uint64, via string) error {
	env := &encoder.Envelope{Id: id, Reply: via != ""}
	if msg != nil {
		payload, err := proto.Marshal(msg)
		if err != nil {
			return errors.Trace(err)
		}
		env.Kind = encoder.Kind(msg)
		env.Payload = payload
		m.countMessage(msg, len(payload))
	}
	if to == m.cfg.Self {
		if !m.local.Push(env) {
			return &sycamorevane.QueueFullError{Queue: "local", Size: m.local.Len()}
		}
		return nil
	}
	if !m.allowed(to) {
		return nil // A silent partition gives the sender no error.
	}
	s := m.way(to, via, env)
	if s == nil {
		return &sycamorevane.UnreachableError{Peer: to}
	}
	if id != 0 && via == "" {
		m.expect(id, s)
	}
	return s.push(env)
}

// way returns the session for an envelope, and addresses one that a peer has to pass on; nil when there is none.
func (m *Messenger) way(to, via string, env *encoder.Envelope) *session {
	if via != "" && via != to {
		if s := m.session(via); s != nil {
			env.To = to
			return s
		}
	}
	if s := m.session(to); s != nil {
		return s
	}
	if m.cfg.Relays == nil {
		return nil
	}
	for _, name := range m.cfg.Relays() {
		if s := m.session(name); s != nil {
			env.To = to
			return s
		}
	}
	return nil
}

// expect notes the session that the reply to a call comes through.
func (m *Messenger) expect(id uint64, s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.calls[id]; ok {
		c.session = s
		m.calls[id] = c
	}
}

// session is the one to send to a peer on, or nil.
func (m *Messenger) session(name string) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[name]; ok {
		return p.best()
	}
	return nil
}

// passOn hands an envelope to the host that it is for. Without a session it is dropped, as on a lost connection.
func (m *Messenger) passOn(from string, env *encoder.Envelope) {
	s := m.session(env.To)
	if s == nil || env.From != "" {
		m.cfg.Log.V(1).Info("message not passed on", "from", from, "to", env.To)
		return
	}
	env.From = from
	if err := s.push(env); err != nil {
		m.cfg.Log.V(1).Info("message not passed on", "from", from, "to", env.To, "reason", err.Error())
	}
}

// frameOverhead is what an envelope, yamux and TLS add to a payload, in bytes.
const frameOverhead = 44

func (m *Messenger) countMessage(msg proto.Message, size int) {
	if m.cfg.Metrics == nil {
		return
	}
	name := msg.ProtoReflect().Descriptor().Name()
	m.mu.Lock()
	c, ok := m.bytes[name]
	if !ok {
		c = m.cfg.Metrics.Tagged(map[string]string{"message": string(name)}).Counter("mesh_message_bytes")
		m.bytes[name] = c
	}
	m.mu.Unlock()
	c.Inc(int64(size + frameOverhead))
}

func (m *Messenger) allowed(peer string) bool {
	return m.cfg.Filter == nil || m.cfg.Filter(peer)
}

func (m *Messenger) peerLocked(name string) *peer {
	p, ok := m.peers[name]
	if !ok {
		p = &peer{Peer: sycamorevane.Peer{Name: name}, lost: make(chan struct{}, 1)}
		m.peers[name] = p
	}
	return p
}

func (m *Messenger) acceptLoop() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil {
				return
			}
			m.cfg.Log.Error(err, "peer listener failed to accept")
			m.pause(dialBackoffMin)
			continue
		}
		if m.sessions() >= maxSessions {
			_ = conn.Close()
			continue
		}
		m.wg.Go(func() {
			s, err := m.accept(conn)
			if err == nil {
				err = m.runSession(s)
			}
			m.cfg.Log.V(1).Info("inbound session ended", "remote", conn.RemoteAddr().String(), "reason", err.Error())
		})
	}
}

// accept begins a session with a peer that has connected, when its turn has come.
func (m *Messenger) accept(conn net.Conn) (*session, error) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	if m.cfg.Favoured != nil && !m.cfg.Favoured(host) {
		select {
		case m.waitSlot <- struct{}{}:
			defer func() { <-m.waitSlot }()
		default:
			_ = conn.Close()
			return nil, &sycamorevane.QueueFullError{Queue: "sessions that begin", Size: maxWaiting}
		}
		select {
		case m.greetSlot <- struct{}{}:
			defer func() { <-m.greetSlot }()
		case <-m.ctx.Done():
			_ = conn.Close()
			return nil, m.ctx.Err()
		}
	}
	return m.openSession(tls.Server(&countedConn{conn, &m.traffic}, m.id.config()), false, "")
}

// Greeting reports whether a host has taken a connection of this one and the session is not there yet: it lives, but
// may be busy with others.
func (m *Messenger) Greeting() bool { return m.greeting.Load() > 0 }

func (m *Messenger) sessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// dialLoop keeps one session with the peer: it dials while there is none in either direction, or none that is heard.
func (m *Messenger) dialLoop(p *peer) {
	backoff := dialBackoffMin
	for m.ctx.Err() == nil {
		m.mu.Lock()
		addr, linked, quiet := p.Addr, p.best() != nil, time.Until(p.LastHeard.Add(redialAfter))
		m.mu.Unlock()
		if addr == "" {
			return
		}
		if linked && quiet > 0 {
			m.waitLost(p, quiet)
			continue
		}
		if !m.allowed(p.Name) {
			m.pause(dialBackoffMin)
			continue
		}
		s, err := m.dial(p.Name, addr)
		if err != nil {
			m.cfg.Log.V(1).Info("no session", "peer", p.Name, "addr", addr, "reason", err.Error())
			m.pause(backoff/2 + time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, dialBackoffMax)
			continue
		}
		backoff = dialBackoffMin
		m.wg.Go(func() {
			err := m.runSession(s)
			m.cfg.Log.V(1).Info("outbound session ended", "peer", p.Name, "addr", addr, "reason", err.Error())
		})
		m.pause(dialBackoffMin) // A peer that ends sessions at once is not dialled without end.
	}
}

// waitLost returns when a session with the peer has ended, its address has changed or the time is over.
func (m *Messenger) waitLost(p *peer, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.lost:
	case <-t.C:
	case <-m.ctx.Done():
	}
}

func (m *Messenger) dial(name, addr string) (*session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(m.ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.greeting.Add(1)
	defer m.greeting.Add(-1)
	return m.openSession(tls.Client(&countedConn{conn, &m.traffic}, m.id.config()), true, name)
}

func (m *Messenger) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-m.ctx.Done():
	}
}

// localLoop delivers messages that this host sends to itself.
func (m *Messenger) localLoop() {
	for {
		env, ok := m.local.Pop()
		if !ok {
			select {
			case <-m.local.Wake():
				continue
			case <-m.ctx.Done():
				return
			}
		}
		if msg, err := decode(env); err == nil {
			m.dispatch(m.cfg.Self, m.cfg.Self, env, msg)
		}
	}
}

func (m *Messenger) heartbeatLoop() {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.beat(time.Now())
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Messenger) beat(now time.Time) {
	m.mu.Lock()
	var names []string
	for name, p := range m.peers {
		p.dropSilent(now)
		if p.best() != nil {
			names = append(names, name)
		}
	}
	m.mu.Unlock()
	for _, name := range names {
		_ = m.Send(name, m.heartbeat(name, now))
	}
}
