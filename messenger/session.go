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
	handshakeTimeout  = 3 * time.Second
	writeTimeout      = 3 * time.Second
	urgentQueueLength = 4096
	bulkQueueLength   = 256
	// minBulkBytes is the payload size from which a message is sent on the bulk stream, so that a snapshot does not delay
	// heartbeats and messages about slots.
	minBulkBytes = 16 << 10
	// MaxEnvelopeBytes limits the size of an envelope in bytes; a peer that sends a larger one is disconnected.
	MaxEnvelopeBytes = 64 << 20
)

// peer is what the Messenger knows about one other process. Messenger.mu guards it.
type peer struct {
	sycamorevane.Peer
	dialing bool
	// sessionEnded receives a value when a session has ended, so that dialLoop does not have to poll.
	sessionEnded chan struct{}
	// sentTime is the send time in the last heartbeat of the peer, in Unix ns by its clock; 0 after it was echoed. The
	// heartbeat arrived at receivedAt.
	sentTime   uint64
	receivedAt time.Time
	// sessions holds the open sessions. Messages are sent on the first one, and both sides must choose the same session.
	// There are temporarily two when both sides dial at the same time, or when one replaces a session that no longer
	// delivers messages.
	sessions []*session
}

func (p *peer) best() *session {
	if len(p.sessions) == 0 {
		return nil
	}
	return p.sessions[0]
}

// needsRedial reports whether the peer should be dialed although it has sessions, since it has sent nothing for
// redialTimeout.
func (p *peer) needsRedial(now time.Time) bool { return now.Sub(p.LastHeard) >= redialTimeout }

func (p *peer) signalSessionEnd() {
	select {
	case p.sessionEnded <- struct{}{}:
	default:
	}
}

func (p *peer) closeSessions() {
	for _, s := range p.sessions {
		s.close()
	}
}

func (p *peer) closeSilent(now time.Time) {
	for _, s := range p.sessions {
		if now.Sub(s.lastHeard) >= closeTimeout {
			s.close()
		}
	}
}

// session is an authenticated connection with two ordered streams: 0 for small messages and 1 for bulk messages.
type session struct {
	conn     *tls.Conn
	mux      *yamux.Session
	streams  [2]net.Conn
	queues   [2]*sycamorevane.Ring[*encoder.Envelope]
	peerName string
	// dialerName is the host that dialed the connection.
	dialerName string
	// lastHeard is when the last message arrived. Messenger.mu guards it.
	lastHeard time.Time
	ctx       context.Context
	cancel    context.CancelFunc
}

func (s *session) close() {
	s.cancel()
	_ = s.mux.Close()
}

func (s *session) enqueue(env *encoder.Envelope) error {
	stream := 0
	if len(env.Payload) >= minBulkBytes {
		stream = 1
	}
	if !s.queues[stream].Push(env) {
		return &sycamorevane.QueueFullError{Queue: "session " + s.peerName, Size: s.queues[stream].Len()}
	}
	return nil
}

// openSession establishes a session on the connection and closes the connection on failure. The caller runs the session
// with runSession. isDialer is set on the side that dialed; wantName, if not empty, is the expected name of the peer.
func (m *Messenger) openSession(conn *tls.Conn, isDialer bool, wantName string) (*session, error) {
	m.mu.Lock()
	m.conns[conn] = struct{}{}
	m.mu.Unlock()
	s, err := m.establish(conn, isDialer, wantName)
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

// establish performs the handshake, checks the name of the peer and registers the session under it.
func (m *Messenger) establish(conn *tls.Conn, isDialer bool, wantName string) (*session, error) {
	if m.ctx.Err() != nil {
		return nil, errors.Trace(m.ctx.Err())
	}
	s, hello, err := m.handshake(conn, isDialer, wantName)
	if err != nil {
		return nil, errors.Trace(err)
	}
	switch {
	case wantName != "" && hello.Name != wantName:
		err = errors.Errorf("host at this address is %q, want %q", hello.Name, wantName)
	case hello.Name == "" || hello.Name == m.cfg.Self:
		err = errors.Errorf("peer reports the host name %q, which is empty or the name of this host", hello.Name)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	s.peerName, s.dialerName = hello.Name, hello.Name
	if isDialer {
		s.dialerName = m.cfg.Self
	}
	m.addSession(s, hello)
	return s, nil
}

// runSession serves a session until it ends and returns the reason.
func (m *Messenger) runSession(s *session) error {
	defer m.closeConn(s.conn)
	defer s.close()
	defer m.removeSession(s)
	return m.serveStreams(s)
}

// handshake authenticates the peer, opens both streams and exchanges Hello messages.
func (m *Messenger) handshake(conn *tls.Conn, isDialer bool, wantName string) (*session, *encoder.Hello, error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, nil, errors.Trace(err)
	}
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // The heartbeats of the Messenger detect a dead connection sooner.
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = discardWriter{}
	newMux := yamux.Server
	if isDialer {
		newMux = yamux.Client
	}
	mux, err := newMux(conn, cfg)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	s := &session{mux: mux}
	s.ctx, s.cancel = context.WithCancel(m.ctx)
	s.queues[0] = sycamorevane.NewRing[*encoder.Envelope](urgentQueueLength)
	s.queues[1] = sycamorevane.NewRing[*encoder.Envelope](bulkQueueLength)
	hello, err := m.exchangeHello(s, isDialer, wantName)
	if err != nil {
		s.close()
		return nil, nil, errors.Trace(err)
	}
	return s, hello, nil
}

func (m *Messenger) exchangeHello(s *session, isDialer bool, wantName string) (*encoder.Hello, error) {
	for i := range s.streams {
		stream, err := m.openStream(s, isDialer)
		if err != nil {
			return nil, errors.Trace(err)
		}
		s.streams[i] = stream
	}
	deadline := time.Now().Add(handshakeTimeout)
	_ = s.streams[0].SetDeadline(deadline)
	hello := &encoder.Hello{}
	var err error
	// The accepting side reads first, so that it sends nothing to a peer that its filter rejects.
	if isDialer {
		if err = m.writeHello(s.streams[0], m.replacesSilent(wantName)); err == nil {
			err = m.readHello(s.streams[0], hello)
		}
	} else if err = m.readHello(s.streams[0], hello); err == nil {
		err = m.writeHello(s.streams[0], false)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	_ = s.streams[0].SetDeadline(time.Time{})
	return hello, nil
}

// replacesSilent reports whether a session is dialed because the peer has sent nothing on the existing ones.
func (m *Messenger) replacesSilent(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	return ok && p.best() != nil && p.needsRedial(time.Now())
}

func (m *Messenger) writeHello(w io.Writer, replaces bool) error {
	_, err := protodelim.MarshalTo(w, &encoder.Hello{
		Name: m.cfg.Self, Dc: m.cfg.DC, Roles: m.cfg.Roles.Sorted(), Addr: m.Addr(), Boot: m.incarnation, Replaces: replaces,
	})
	return err
}

func (m *Messenger) readHello(stream net.Conn, hello *encoder.Hello) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: minBulkBytes}).UnmarshalFrom(&byteReader{stream}, hello); err != nil {
		return err
	}
	if !m.allowed(hello.Name) {
		return errors.Errorf("filter drops peer %q", hello.Name)
	}
	return nil
}

// openStream opens the next stream on the dialing side and accepts it on the other. The dialing side writes one byte, since
// yamux announces a stream to the other side only with its first data.
func (m *Messenger) openStream(s *session, isDialer bool) (net.Conn, error) {
	if isDialer {
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
		p.closeSessions() // The peer has restarted; these sessions belong to its former process.
	}
	p.DC = hello.Dc
	p.Roles = sycamorevane.NewSet(hello.Roles...)
	p.Incarnation = hello.Boot
	now := time.Now()
	replaces := len(p.sessions) > 0 && (hello.Replaces || p.needsRedial(now))
	p.LastHeard, s.lastHeard = now, now
	if replaces || len(p.sessions) > 0 && s.dialerName < p.sessions[0].dialerName {
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
			c.result <- callResult{err: &sycamorevane.UnreachableError{Peer: s.peerName}}
		}
	}
	p, ok := m.peers[s.peerName]
	if !ok {
		return
	}
	for i := range p.sessions {
		if p.sessions[i] == s {
			p.sessions = append(p.sessions[:i:i], p.sessions[i+1:]...)
			break
		}
	}
	p.signalSessionEnd()
	if len(p.sessions) == 0 && m.ctx.Err() == nil {
		m.cfg.Log.Info("session closed", "peer", s.peerName)
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
	opts := protodelim.UnmarshalOptions{MaxSize: MaxEnvelopeBytes}
	for {
		env := &encoder.Envelope{}
		if err := opts.UnmarshalFrom(r, env); err != nil {
			return errors.Trace(err)
		}
		if !m.allowed(s.peerName) {
			continue
		}
		if err := m.deliver(s, env); err != nil {
			return errors.Trace(err)
		}
	}
}

func (m *Messenger) deliver(s *session, env *encoder.Envelope) error {
	m.markHeard(s)
	if env.To != "" && env.To != m.cfg.Self {
		m.relay(s.peerName, env)
		return nil
	}
	msg, err := decode(env)
	if err != nil {
		return errors.Trace(err)
	}
	if heartbeat, ok := msg.(*encoder.Heartbeat); ok {
		m.updateRTT(s.peerName, heartbeat)
		return nil
	}
	m.dispatch(cmp.Or(env.From, s.peerName), s.peerName, env, msg)
	return nil
}

// dispatch passes a message to the call that waits for it or to the handler of its type. via is the peer from which this
// host received the message; it differs from the sender if the message was relayed.
func (m *Messenger) dispatch(from, via string, env *encoder.Envelope, msg proto.Message) {
	if env.Reply {
		m.completeCall(env.Id, msg)
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

// serveCall runs the handler of a call in a separate goroutine, since it may wait for other hosts, and sends the reply.
func (m *Messenger) serveCall(from, via string, id uint64, msg proto.Message, h sycamorevane.Handler) {
	select {
	case m.callSlots <- struct{}{}:
	default:
		m.cfg.Log.Info("call dropped: too many calls are running", "peer", from, "limit", maxCalls)
		return
	}
	m.wg.Go(func() {
		defer func() { <-m.callSlots }()
		var reply proto.Message
		if h != nil {
			reply = h(from, msg)
		}
		if err := m.send(from, reply, id, via); err != nil {
			m.cfg.Log.V(1).Info("reply not sent", "peer", from, "reason", err.Error())
		}
	})
}

func (m *Messenger) completeCall(id uint64, msg proto.Message) {
	m.mu.Lock()
	c, ok := m.calls[id]
	delete(m.calls, id)
	m.mu.Unlock()
	if ok {
		c.result <- callResult{reply: msg}
	}
}

func (m *Messenger) markHeard(s *session) {
	now := time.Now()
	m.mu.Lock()
	s.lastHeard = now
	if p, ok := m.peers[s.peerName]; ok {
		p.LastHeard = now
	}
	m.mu.Unlock()
}

// newHeartbeat returns the next heartbeat for the peer. It echoes the send time of the peer's last heartbeat, so that the
// round trip time is measured without separate messages.
func (m *Messenger) newHeartbeat(name string, now time.Time) *encoder.Heartbeat {
	heartbeat := &encoder.Heartbeat{Sent: uint64(now.UnixNano())}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[name]; ok && p.sentTime != 0 {
		heartbeat.Echo = p.sentTime
		heartbeat.Held = uint32(now.Sub(p.receivedAt).Microseconds())
		p.sentTime = 0
	}
	return heartbeat
}

func (m *Messenger) updateRTT(name string, heartbeat *encoder.Heartbeat) {
	const weight = 8 // As for the smoothed round trip time of TCP in RFC 6298.
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok {
		return
	}
	p.sentTime, p.receivedAt = heartbeat.Sent, now
	sample := now.Sub(time.Unix(0, int64(heartbeat.Echo))) - time.Duration(heartbeat.Held)*time.Microsecond
	if heartbeat.Echo == 0 || sample < 0 {
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

// byteReader reads single bytes without buffering, so that nothing after the Hello message is consumed.
type byteReader struct{ net.Conn }

func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := r.Read(b[:])
	return b[0], err
}

// discardWriter discards the log lines of yamux; the Messenger logs the end of each session.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
