package messenger

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 3 * time.Second
	urgentQueue      = 4096
	bulkQueue        = 256
	// bulkSize is the payload size from which a message travels on the bulk stream, so that a snapshot does not
	// delay slots and heartbeats.
	bulkSize = 16 << 10
	// MaxMessage bounds one envelope in bytes; a peer that sends more is disconnected.
	MaxMessage = 64 << 20
)

// peer is what the messenger knows about one other process. Messenger.mu guards it.
type peer struct {
	sycamorevane.Peer
	dialing bool
	// lost is signalled when a session has ended, so that the dial loop does not poll.
	lost chan struct{}
	// sent is the peer's clock in its last heartbeat, which arrived at got.
	sent uint64
	got  time.Time
	// sessions holds the live sessions, the one that is used first; both sides must use the same. Two exist for a while when
	// both sides dial at once, and when one replaces another that is silent.
	sessions []*session
}

func (p *peer) best() *session {
	if len(p.sessions) == 0 {
		return nil
	}
	return p.sessions[0]
}

// silent reports whether the peer should be dialled beside its sessions.
func (p *peer) silent(now time.Time) bool { return now.Sub(p.LastHeard) >= redialAfter }

func (p *peer) signal() {
	select {
	case p.lost <- struct{}{}:
	default:
	}
}

func (p *peer) closeSessions() {
	for _, s := range p.sessions {
		s.close()
	}
}

func (p *peer) dropSilent(now time.Time) {
	for _, s := range p.sessions {
		if now.Sub(s.heard) >= closeAfter {
			s.close()
		}
	}
}

// session is one authenticated connection with two ordered streams.
type session struct {
	conn    *tls.Conn
	mux     *yamux.Session
	streams [2]net.Conn
	queues  [2]*sycamorevane.Ring[*encoder.Envelope]
	name    string
	// dialler is the host that has dialled the connection.
	dialler string
	// heard is when the last message arrived; Messenger.mu guards it.
	heard  time.Time
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *session) close() {
	s.cancel()
	_ = s.mux.Close()
}

func (s *session) push(env *encoder.Envelope) error {
	n := 0
	if len(env.Payload) >= bulkSize {
		n = 1
	}
	if !s.queues[n].Push(env) {
		return &sycamorevane.QueueFullError{Queue: "session " + s.name, Size: s.queues[n].Len()}
	}
	return nil
}

// openSession begins a session on the connection. The caller runs it with runSession.
func (m *Messenger) openSession(conn *tls.Conn, dialled bool, want string) (*session, error) {
	m.mu.Lock()
	m.conns[conn] = struct{}{}
	m.mu.Unlock()
	s, err := m.greet(conn, dialled, want)
	if err != nil {
		m.closeConn(conn)
		return nil, errors.Trace(err)
	}
	s.conn = conn
	return s, nil
}

func (m *Messenger) closeConn(conn *tls.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	delete(m.conns, conn)
	m.mu.Unlock()
}

// greet returns a session that is known under the name of its peer.
func (m *Messenger) greet(conn *tls.Conn, dialled bool, want string) (*session, error) {
	if m.ctx.Err() != nil {
		return nil, errors.Trace(m.ctx.Err())
	}
	s, hello, err := m.handshake(conn, dialled, want)
	if err != nil {
		return nil, errors.Trace(err)
	}
	switch {
	case want != "" && hello.Name != want:
		err = errors.Errorf("host at this address is %q, want %q", hello.Name, want)
	case hello.Name == "" || hello.Name == m.cfg.Self:
		err = errors.Errorf("peer calls itself %q", hello.Name)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	s.name, s.dialler = hello.Name, hello.Name
	if dialled {
		s.dialler = m.cfg.Self
	}
	m.addSession(s, hello)
	return s, nil
}

// runSession runs a session until its end and returns why it ended.
func (m *Messenger) runSession(s *session) error {
	defer m.closeConn(s.conn)
	defer s.close()
	defer m.removeSession(s)
	return m.serveStreams(s)
}

// handshake authenticates the peer, opens both streams and exchanges hellos.
func (m *Messenger) handshake(conn *tls.Conn, dialled bool, want string) (*session, *encoder.Hello, error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, nil, errors.Trace(err)
	}
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // The messenger's own heartbeats detect silence sooner.
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = discard{}
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	mux, err := open(conn, cfg)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	s := &session{mux: mux}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	s.queues[0] = sycamorevane.NewRing[*encoder.Envelope](urgentQueue)
	s.queues[1] = sycamorevane.NewRing[*encoder.Envelope](bulkQueue)
	hello, err := m.exchangeHello(s, dialled, want)
	if err != nil {
		s.close()
		return nil, nil, errors.Trace(err)
	}
	return s, hello, nil
}

func (m *Messenger) exchangeHello(s *session, dialled bool, want string) (*encoder.Hello, error) {
	for i := range s.streams {
		stream, err := m.stream(s, dialled)
		if err != nil {
			return nil, errors.Trace(err)
		}
		s.streams[i] = stream
	}
	deadline := time.Now().Add(handshakeTimeout)
	_ = s.streams[0].SetDeadline(deadline)
	theirs := &encoder.Hello{}
	var err error
	// The accepting side reads first, so that it answers nothing to a peer that its filter drops.
	if dialled {
		if err = m.writeHello(s.streams[0], m.replaces(want)); err == nil {
			err = m.readHello(s.streams[0], theirs)
		}
	} else if err = m.readHello(s.streams[0], theirs); err == nil {
		err = m.writeHello(s.streams[0], false)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = s.streams[0].SetDeadline(time.Time{})
	return theirs, nil
}

// replaces reports whether a session is dialled because the peer is silent on others.
func (m *Messenger) replaces(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	return ok && p.best() != nil && p.silent(time.Now())
}

func (m *Messenger) writeHello(w io.Writer, replaces bool) error {
	_, err := protodelim.MarshalTo(w, &encoder.Hello{
		Name: m.cfg.Self, Dc: m.cfg.DC, Roles: m.cfg.Roles.Sorted(), Addr: m.Addr(), Boot: m.incarnation, Replaces: replaces,
	})
	return err
}

func (m *Messenger) readHello(stream net.Conn, hello *encoder.Hello) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: bulkSize}).UnmarshalFrom(&byteReader{stream}, hello); err != nil {
		return err
	}
	if !m.allowed(hello.Name) {
		return errors.Errorf("filter drops peer %q", hello.Name)
	}
	return nil
}

// stream opens the next stream on the dialling side and accepts it on the other. The dialling side writes one
// byte, since yamux tells the other side of a stream only with its first data.
func (m *Messenger) stream(s *session, dialled bool) (net.Conn, error) {
	if dialled {
		stream, err := s.mux.Open()
		if err != nil {
			return nil, err
		}
		_, err = stream.Write([]byte{0})
		return stream, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	stream, err := s.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(handshakeTimeout))
	var first [1]byte
	_, err = stream.Read(first[:])
	_ = stream.SetReadDeadline(time.Time{})
	return stream, err
}

func (m *Messenger) addSession(s *session, hello *encoder.Hello) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peerLocked(hello.Name)
	if p.Incarnation != hello.Boot {
		p.closeSessions() // The process behind them is gone.
	}
	p.DC = hello.Dc
	p.Roles = sycamorevane.NewSet(hello.Roles...)
	p.Incarnation = hello.Boot
	now := time.Now()
	replaces := len(p.sessions) > 0 && (hello.Replaces || p.silent(now))
	p.LastHeard, s.heard = now, now
	if replaces || len(p.sessions) > 0 && s.dialler < p.sessions[0].dialler {
		p.sessions = slices.Insert(p.sessions, 0, s)
	} else {
		p.sessions = append(p.sessions, s)
	}
	m.cfg.Log.Info("session opened", "peer", hello.Name, "dc", hello.Dc, "others", len(p.sessions)-1, "replaces", replaces)
}

func (m *Messenger) removeSession(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.calls {
		if c.session == s {
			delete(m.calls, id)
			c.answer <- callResult{err: &sycamorevane.UnreachableError{Peer: s.name}}
		}
	}
	p, ok := m.peers[s.name]
	if !ok {
		return
	}
	for i := range p.sessions {
		if p.sessions[i] == s {
			p.sessions = append(p.sessions[:i:i], p.sessions[i+1:]...)
			break
		}
	}
	p.signal()
	if len(p.sessions) == 0 && m.ctx.Err() == nil {
		m.cfg.Log.Info("session closed", "peer", s.name)
	}
}

// serveStreams runs a writer and a reader per stream until one of them fails.
func (m *Messenger) serveStreams(s *session) error {
	ended := make(chan error, 2*len(s.streams))
	for i := range s.streams {
		go func() { ended <- s.writeLoop(i) }()
		go func() { ended <- m.readLoop(s, i) }()
	}
	err := <-ended
	s.close()
	for range 2*len(s.streams) - 1 {
		<-ended
	}
	return err
}

func (s *session) writeLoop(i int) error {
	w := bufio.NewWriter(s.streams[i])
	for {
		env, ok := s.queues[i].Pop()
		if !ok {
			if err := w.Flush(); err != nil {
				return errors.Trace(err)
			}
			select {
			case <-s.queues[i].Wake():
				continue
			case <-s.ctx.Done():
				return s.ctx.Err()
			case <-s.mux.CloseChan():
				return errors.New("session closed")
			}
		}
		_ = s.streams[i].SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := protodelim.MarshalTo(w, env); err != nil {
			return errors.Trace(err)
		}
	}
}

func (m *Messenger) readLoop(s *session, i int) error {
	r := bufio.NewReader(s.streams[i])
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessage}
	for {
		env := &encoder.Envelope{}
		if err := opts.UnmarshalFrom(r, env); err != nil {
			return errors.Trace(err)
		}
		if !m.allowed(s.name) {
			continue
		}
		if err := m.deliver(s, env); err != nil {
			return errors.Trace(err)
		}
	}
}

func (m *Messenger) deliver(s *session, env *encoder.Envelope) error {
	m.heard(s)
	if env.To != "" && env.To != m.cfg.Self {
		m.passOn(s.name, env)
		return nil
	}
	msg, err := decode(env)
	if err != nil {
		return errors.Trace(err)
	}
	if beat, ok := msg.(*encoder.Heartbeat); ok {
		m.measure(s.name, beat)
		return nil
	}
	m.dispatch(cmp.Or(env.From, s.name), s.name, env, msg)
	return nil
}

// dispatch hands a message, which came through the peer via, to the call that waits for it or to the handler of its type.
func (m *Messenger) dispatch(from, via string, env *encoder.Envelope, msg proto.Message) {
	if env.Reply {
		m.answer(env.Id, msg)
		return
	}
	h := m.handlers[env.Kind]
	if env.Id != 0 {
		m.serveCall(from, via, env.Id, msg, h)
		return
	}
	if h != nil {
		h(from, msg)
	}
}

// serveCall answers a call on its own goroutine, since its handler may wait for other hosts.
func (m *Messenger) serveCall(from, via string, id uint64, msg proto.Message, h sycamorevane.Handler) {
	select {
	case m.callSlot <- struct{}{}:
	default:
		m.cfg.Log.Info("call dropped, too many are running", "peer", from, "limit", maxCalls)
		return
	}
	m.wg.Go(func() {
		defer func() { <-m.callSlot }()
		var reply proto.Message
		if h != nil {
			reply = h(from, msg)
		}
		if err := m.send(from, reply, id, via); err != nil {
			m.cfg.Log.V(1).Info("reply not sent", "peer", from, "reason", err.Error())
		}
	})
}

func (m *Messenger) answer(id uint64, msg proto.Message) {
	m.mu.Lock()
	c, ok := m.calls[id]
	delete(m.calls, id)
	m.mu.Unlock()
	if ok {
		c.answer <- callResult{reply: msg}
	}
}

func (m *Messenger) heard(s *session) {
	now := time.Now()
	m.mu.Lock()
	s.heard = now
	if p, ok := m.peers[s.name]; ok {
		p.LastHeard = now
	}
	m.mu.Unlock()
}

// heartbeat returns the next heartbeat for the peer. It carries back the peer's last one, so that a round trip is
// measured without messages of its own.
func (m *Messenger) heartbeat(name string, now time.Time) *encoder.Heartbeat {
	beat := &encoder.Heartbeat{Sent: uint64(now.UnixNano())}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[name]; ok && p.sent != 0 {
		beat.Echo = p.sent
		beat.Held = uint32(now.Sub(p.got).Microseconds())
		p.sent = 0
	}
	return beat
}

func (m *Messenger) measure(name string, beat *encoder.Heartbeat) {
	const weight = 8 // As in TCP's smoothed round trip time, RFC 6298.
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok {
		return
	}
	p.sent, p.got = beat.Sent, now
	sample := now.Sub(time.Unix(0, int64(beat.Echo))) - time.Duration(beat.Held)*time.Microsecond
	if beat.Echo == 0 || sample < 0 {
		return
	}
	if p.RTT == 0 {
		p.RTT = sample
		return
	}
	p.RTT += (sample - p.RTT) / weight
}

func decode(env *encoder.Envelope) (proto.Message, error) {
	if env.Kind == 0 {
		return nil, nil
	}
	msg := encoder.New(env.Kind)
	if msg == nil {
		return nil, errors.Errorf("message kind %#x is unknown", env.Kind)
	}
	if err := proto.Unmarshal(env.Payload, msg); err != nil {
		return nil, errors.Trace(err)
	}
	return msg, nil
}

// byteReader reads single bytes without buffering ahead of the hello.
type byteReader struct{ net.Conn }

func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}

// discard drops yamux's own log lines; the messenger logs the end of each session.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
