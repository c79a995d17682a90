// Package messenger maintains the sessions of a process with its peers: TLS with a key pair derived from the cluster key,
// yamux streams, protobuf envelopes, heartbeats and redialing. It implements sycamorevane.Transport.
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
	// HeartbeatInterval is a third of DeadTimeout, so that a peer counts as dead after about three missed heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// DeadTimeout is the time without a message after which a peer counts as dead.
	DeadTimeout = 1500 * time.Millisecond
	// closeTimeout is the time without a message after which a session is closed. A connection can stop delivering
	// packets permanently while new connections work.
	closeTimeout = 2 * DeadTimeout
	// redialTimeout is the time without a message, two heartbeats, after which a peer is dialed although it has sessions.
	// A host that restarts after a loss of power no longer knows its connections, and an open connection may have stopped
	// working while new ones work.
	redialTimeout = time.Second
	// dialTimeout is short, since a host that is switched off does not answer at all and may be back at any moment.
	dialTimeout    = 250 * time.Millisecond
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 150 * time.Millisecond
	maxCalls       = 512
	// maxHandshakes limits the concurrent inbound handshakes for which Config.SkipHandshakeLimit is false, and
	// maxQueuedHandshakes these together with those that wait for their turn. Without the limit all of them would be slow,
	// and the last ones would time out.
	maxHandshakes       = 16
	maxQueuedHandshakes = 256
	// maxSessions limits the open connections, authenticated or not. It is four times the number in the largest
	// configuration.
	maxSessions = 4096
)

// Config holds the dependencies and settings of a Messenger.
type Config struct {
	Self  string
	DC    string
	Roles sycamorevane.Set[string]
	// ListenAddr is the host:port of the peer listener.
	ListenAddr string
	// ClusterKey has at least sycamorevane.MinClusterKeyBytes bytes.
	ClusterKey string
	Log        logr.Logger
	// Metrics receives the number of bytes sent by message type; nil for none.
	Metrics tally.Scope
	// SkipHandshakeLimit reports whether handshakes from a host address start at once, without the limit on concurrent
	// handshakes; if nil, all do.
	SkipHandshakeLimit func(host string) bool
	// Relays, if set, lists peers that relay messages to hosts with which this one has no session, in order of preference.
	Relays func() []string
	// Filter, if set, drops messages to and from peers for which it returns false, and rejects new sessions with them.
	// Tests use it for network partitions in which the sender gets no error.
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
	callSlots   chan struct{}
	// handshakeSlots holds one element per running inbound handshake, handshakeQueueSlots one per running or waiting one.
	handshakeSlots      chan struct{}
	handshakeQueueSlots chan struct{}
	// dialHandshakes counts the outbound connections whose handshake has not finished.
	dialHandshakes atomic.Int64
	traffic        byteCounters
	// localQueue holds messages from this host to itself, which occur when one process has several roles.
	localQueue *sycamorevane.Ring[*encoder.Envelope]
	wg         sync.WaitGroup
	stop       context.CancelFunc
	ctx        context.Context

	mu    sync.Mutex
	peers map[string]*peer
	calls map[uint64]pendingCall
	// messageByteCounters holds a metrics counter per message name.
	messageByteCounters map[protoreflect.Name]tally.Counter
	// conns holds the open connections from the start of the handshake on; Close closes them.
	conns map[net.Conn]struct{}
}

// pendingCall is a call that has no reply yet.
type pendingCall struct {
	result chan callResult
	// session is the session that the call was sent on; nil for a call to this host itself.
	session *session
}

// callResult is the reply to a call or the error that ended it.
type callResult struct {
	reply proto.Message
	err   error
}

// New checks the configuration and opens the peer listener. It serves no connections before Start.
func New(cfg Config) (*Messenger, error) {
	id, err := newIdentity(cfg.ClusterKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l, err := net.Listen("tcp", cfg.ListenAddr)
	if err != nil {
		return nil, errors.Annotatef(err, "peer listener of host %q", cfg.Self)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Messenger{
		cfg: cfg, id: id, incarnation: rand.Uint64() | 1, listener: l, ctx: ctx, stop: stop,
		handlers:            make(map[uint32]sycamorevane.Handler),
		callSlots:           make(chan struct{}, maxCalls),
		handshakeSlots:      make(chan struct{}, maxHandshakes),
		handshakeQueueSlots: make(chan struct{}, maxQueuedHandshakes),
		localQueue:          sycamorevane.NewRing[*encoder.Envelope](urgentQueueLength),
		peers:               make(map[string]*peer),
		calls:               make(map[uint64]pendingCall),
		messageByteCounters: make(map[protoreflect.Name]tally.Counter),
		conns:               make(map[net.Conn]struct{}),
	}
	return m, nil
}

// Addr returns the address of the peer listener.
func (m *Messenger) Addr() string { return m.listener.Addr().String() }

// Self implements sycamorevane.Transport.
func (m *Messenger) Self() string { return m.cfg.Self }

// Incarnation returns a random number that identifies this start of the process.
func (m *Messenger) Incarnation() uint64 { return m.incarnation }

// Handle implements sycamorevane.Transport.
func (m *Messenger) Handle(msg proto.Message, h sycamorevane.Handler) {
	m.handlers[encoder.Kind(msg)] = h
}

// Start starts accepting sessions and sending heartbeats. Close ends both.
func (m *Messenger) Start() {
	m.wg.Go(m.acceptLoop)
	m.wg.Go(m.heartbeatLoop)
	m.wg.Go(m.localLoop)
}

// Close closes all sessions and waits for the goroutines of the Messenger.
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

// Connect makes the Messenger maintain a session with the peer at addr. A new address replaces the old one.
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

// RemovePeer closes the sessions with a peer that is no longer in the configuration, and stops dialing it.
func (m *Messenger) RemovePeer(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok {
		return
	}
	delete(m.peers, name)
	p.Addr = ""
	p.closeSessions()
	p.signalSessionEnd()
}

// Peers implements sycamorevane.Transport.
func (m *Messenger) Peers() []sycamorevane.Peer {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]sycamorevane.Peer, 0, len(m.peers))
	for _, p := range m.peers {
		view := p.Peer
		view.Alive = p.best() != nil && now.Sub(p.LastHeard) < DeadTimeout
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
	result := make(chan callResult, 1)
	m.mu.Lock()
	m.calls[id] = pendingCall{result: result}
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
	case r := <-result:
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

// send adds a message to the queue of a session. For a reply, via is the peer from which its call was received, directly
// or as a relay; the reply is sent through the same peer.
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
		if !m.localQueue.Push(env) {
			return &sycamorevane.QueueFullError{Queue: "local", Size: m.localQueue.Len()}
		}
		return nil
	}
	if !m.allowed(to) {
		return nil // The simulated partition drops the message without an error.
	}
	s := m.route(to, via, env)
	if s == nil {
		return &sycamorevane.UnreachableError{Peer: to}
	}
	if id != 0 && via == "" {
		m.setCallSession(id, s)
	}
	return s.enqueue(env)
}

// route returns the session on which to send an envelope, or nil if there is none. If a peer has to relay the envelope, it
// sets the destination in it.
func (m *Messenger) route(to, via string, env *encoder.Envelope) *session {
	if via != "" && via != to {
		if s := m.bestSession(via); s != nil {
			env.To = to
			return s
		}
	}
	if s := m.bestSession(to); s != nil {
		return s
	}
	if m.cfg.Relays == nil {
		return nil
	}
	for _, name := range m.cfg.Relays() {
		if s := m.bestSession(name); s != nil {
			env.To = to
			return s
		}
	}
	return nil
}

// setCallSession records the session on which a call is sent, so that the call fails when the session ends.
func (m *Messenger) setCallSession(id uint64, s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.calls[id]; ok {
		c.session = s
		m.calls[id] = c
	}
}

// bestSession returns the session to use for sending to a peer, or nil.
func (m *Messenger) bestSession(name string) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[name]; ok {
		return p.best()
	}
	return nil
}

// relay sends an envelope to its destination host. It drops the envelope if there is no session with that host, as if the
// connection were lost, or if the envelope has already been relayed once.
func (m *Messenger) relay(from string, env *encoder.Envelope) {
	s := m.bestSession(env.To)
	if s == nil || env.From != "" {
		m.cfg.Log.V(1).Info("could not relay a message", "from", from, "to", env.To)
		return
	}
	env.From = from
	if err := s.enqueue(env); err != nil {
		m.cfg.Log.V(1).Info("could not relay a message", "from", from, "to", env.To, "reason", err.Error())
	}
}

// frameOverheadBytes is what the envelope, yamux and TLS add to a payload.
const frameOverheadBytes = 44

func (m *Messenger) countMessage(msg proto.Message, size int) {
	if m.cfg.Metrics == nil {
		return
	}
	name := msg.ProtoReflect().Descriptor().Name()
	m.mu.Lock()
	c, ok := m.messageByteCounters[name]
	if !ok {
		c = m.cfg.Metrics.Tagged(map[string]string{"message": string(name)}).Counter("mesh_message_bytes")
		m.messageByteCounters[name] = c
	}
	m.mu.Unlock()
	c.Inc(int64(size + frameOverheadBytes))
}

func (m *Messenger) allowed(peer string) bool {
	return m.cfg.Filter == nil || m.cfg.Filter(peer)
}

func (m *Messenger) peerLocked(name string) *peer {
	p, ok := m.peers[name]
	if !ok {
		p = &peer{Peer: sycamorevane.Peer{Name: name}, sessionEnded: make(chan struct{}, 1)}
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
		if m.connCount() >= maxSessions {
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

// accept performs the handshake with a peer that has connected, if necessary after waiting for a free handshake slot.
func (m *Messenger) accept(conn net.Conn) (*session, error) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	if m.cfg.SkipHandshakeLimit != nil && !m.cfg.SkipHandshakeLimit(host) {
		select {
		case m.handshakeQueueSlots <- struct{}{}:
			defer func() { <-m.handshakeQueueSlots }()
		default:
			_ = conn.Close()
			return nil, &sycamorevane.QueueFullError{Queue: "handshakes", Size: maxQueuedHandshakes}
		}
		select {
		case m.handshakeSlots <- struct{}{}:
			defer func() { <-m.handshakeSlots }()
		case <-m.ctx.Done():
			_ = conn.Close()
			return nil, m.ctx.Err()
		}
	}
	return m.openSession(tls.Server(&countingConn{conn, &m.traffic}, m.id.config()), false, "")
}

// HandshakePending reports whether an outbound connection has been accepted by a host and its handshake has not finished.
// Such a host is running, but may be busy with the handshakes of others.
func (m *Messenger) HandshakePending() bool { return m.dialHandshakes.Load() > 0 }

func (m *Messenger) connCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// dialLoop maintains a session with the peer. It dials while there is no session in either direction, and when the peer
// has sent nothing for redialTimeout.
func (m *Messenger) dialLoop(p *peer) {
	backoff := dialBackoffMin
	for m.ctx.Err() == nil {
		m.mu.Lock()
		addr, connected, untilRedial := p.Addr, p.best() != nil, time.Until(p.LastHeard.Add(redialTimeout))
		m.mu.Unlock()
		if addr == "" {
			return
		}
		if connected && untilRedial > 0 {
			m.waitSessionEnd(p, untilRedial)
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
		m.pause(dialBackoffMin) // Limits the rate of dialing if the peer closes each session at once.
	}
}

// waitSessionEnd waits until a session with the peer has ended, RemovePeer has removed the peer, or the limit is over.
func (m *Messenger) waitSessionEnd(p *peer, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.sessionEnded:
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
	m.dialHandshakes.Add(1)
	defer m.dialHandshakes.Add(-1)
	return m.openSession(tls.Client(&countingConn{conn, &m.traffic}, m.id.config()), true, name)
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
		env, ok := m.localQueue.Pop()
		if !ok {
			select {
			case <-m.localQueue.Wake():
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
			m.sendHeartbeats(time.Now())
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Messenger) sendHeartbeats(now time.Time) {
	m.mu.Lock()
	var names []string
	for name, p := range m.peers {
		p.closeSilent(now)
		if p.best() != nil {
			names = append(names, name)
		}
	}
	m.mu.Unlock()
	for _, name := range names {
		_ = m.Send(name, m.newHeartbeat(name, now))
	}
}
