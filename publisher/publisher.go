// Package publisher pushes the committed state from control hosts to entries and keeps track of which version each entry
// has in force. In a deployment that lists its hosts the leader pushes to all entries; in an open one each control host
// pushes to those that follow it.
package publisher

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// pushInterval renews the entries' contact with control; three are missed within subscriber.ContactLimit.
	pushInterval = time.Second
	// pushGap is the least time between two pushes. Changes that come closer together go out as one.
	pushGap = 50 * time.Millisecond
	// ackLife is how long an acknowledgement counts an entry as reached.
	ackLife = 3 * time.Second
	// maxState bounds the decoded state in bytes.
	maxState    = 64 << 20
	readTimeout = 900 * time.Millisecond
)

// Config holds what a Publisher is built from.
type Config struct {
	Transport sycamorevane.Transport
	// State returns the state that this control host has applied.
	State func() *sycamorevane.State
	// Leader reports whether this host pushes, and the term: whether it leads with a quorum or, where each control host
	// pushes, whether it is in contact with the leader.
	Leader func() (bool, uint64)
	// NotifyDetached makes a host that does not push say so to its entries, which then follow another one.
	NotifyDetached bool
	// ServesEntry reports whether an entry takes the state from this host; to others only the version is told. Nil for all.
	ServesEntry func(entry string) bool
	// ReadBarrier returns after this host has applied everything committed before the call.
	ReadBarrier func(context.Context) error
	// Entries lists the entries to push to; nil for those of the configuration.
	Entries func() []string
	// Complete, when set, is called once for each push to all entries, and what it returns for each of them: it adds what
	// else an entry is told.
	Complete func() func(m *encoder.StatePush, entry string)
	// First returns whether a state may be handed to entries; nil for one with services.
	First func(st *sycamorevane.State) bool
	Log   logr.Logger
}

// Ack is what an entry last acknowledged.
type Ack struct {
	Version uint64
	Leaving bool
	At      time.Time
}

// Publisher is the control side of the configuration push.
type Publisher struct {
	cfg  Config
	wake chan struct{}
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu   sync.Mutex
	acks map[string]Ack
	// sent is the version that each entry that follows was last sent, in the order of its session.
	sent map[string]uint64
	// encoded caches the encoding of one version.
	encoded []byte
	version uint64
	history history
}

// New registers the message handlers. Start begins to push while this host leads.
func New(cfg Config) *Publisher {
	if cfg.Entries == nil {
		cfg.Entries = func() []string { return cfg.State().Config.HostsWith(sycamorevane.RoleEntry) }
	}
	if cfg.Complete == nil {
		cfg.Complete = func() func(*encoder.StatePush, string) { return func(*encoder.StatePush, string) {} }
	}
	if cfg.First == nil {
		cfg.First = func(st *sycamorevane.State) bool { return len(st.Config.Services) > 0 }
	}
	if cfg.ServesEntry == nil {
		cfg.ServesEntry = func(string) bool { return true }
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Publisher{
		cfg: cfg, ctx: ctx, stop: stop, wake: make(chan struct{}, 1), acks: make(map[string]Ack), sent: make(map[string]uint64),
	}
	cfg.Transport.Handle(&encoder.StateAck{}, p.onAck)
	cfg.Transport.Handle(&encoder.StateAsk{}, p.onAsk)
	return p
}

// Start begins to push.
func (p *Publisher) Start() { p.wg.Go(p.loop) }

// Close ends pushing.
func (p *Publisher) Close() {
	p.stop()
	p.wg.Wait()
}

// PushNow makes the publisher push now instead of at its next interval.
func (p *Publisher) PushNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Acks returns the latest acknowledgement of each entry that has sent one recently.
func (p *Publisher) Acks() map[string]Ack {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]Ack, len(p.acks))
	for name, a := range p.acks {
		if now.Sub(a.At) <= ackLife {
			list[name] = a
		}
	}
	return list
}

// CountAcknowledged counts the configured entries and those that have acknowledged the version or a later one.
func (p *Publisher) CountAcknowledged(version uint64) (have, total int) {
	st := p.cfg.State()
	if st == nil {
		return 0, 0
	}
	acks := p.Acks()
	entries := p.cfg.Entries()
	for _, name := range entries {
		if a, ok := acks[name]; ok && a.Version >= version {
			have++
		}
	}
	return have, len(entries)
}

func (p *Publisher) loop() {
	t := time.NewTicker(pushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-p.wake:
		case <-p.ctx.Done():
			return
		}
		p.push()
		select {
		case <-time.After(pushGap):
		case <-p.ctx.Done():
			return
		}
	}
}

// push tells every entry the current version, with the change to it for those that follow this host and have an older one.
func (p *Publisher) push() {
	leads, term := p.cfg.Leader()
	st := p.cfg.State()
	if !leads || st == nil {
		p.pushApart()
		return
	}
	acks := p.Acks()
	complete := p.cfg.Complete()
	entries := p.cfg.Entries()
	p.begin(st, entries)
	for _, name := range entries {
		m := &encoder.StatePush{Version: st.Version, Term: term, Leader: p.cfg.Transport.Self()}
		if a, ok := acks[name]; ok && p.cfg.ServesEntry(name) {
			p.addState(m, name, a.Version, st)
		}
		complete(m, name)
		_ = p.cfg.Transport.Send(name, m) // An entry without a session asks when it comes back.
	}
}

// begin notes the state that a push brings, and forgets what was sent to entries that are gone.
func (p *Publisher) begin(st *sycamorevane.State, entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history.add(st)
	if len(p.sent) <= 2*len(entries) {
		return
	}
	listed := sycamorevane.NewSet(entries...)
	maps.DeleteFunc(p.sent, func(name string, _ uint64) bool { return !listed.Has(name) })
}

// pushApart tells the entries that this host does not know what is in force. They learn from it where the control hosts are.
func (p *Publisher) pushApart() {
	if !p.cfg.NotifyDetached {
		return
	}
	complete := p.cfg.Complete()
	for _, name := range p.cfg.Entries() {
		m := &encoder.StatePush{Apart: true}
		complete(m, name)
		_ = p.cfg.Transport.Send(name, m)
	}
}

// addState adds what leads from the version that the entry has, or was sent last, to the present state.
func (p *Publisher) addState(m *encoder.StatePush, name string, has uint64, st *sycamorevane.State) {
	p.mu.Lock()
	base := max(has, p.sent[name])
	p.sent[name] = st.Version
	p.mu.Unlock()
	if base < st.Version {
		p.fill(m, base, st)
	}
}

// fill adds the change from the base or, when that is not known any more or an entry has no state yet, the whole state.
func (p *Publisher) fill(m *encoder.StatePush, base uint64, st *sycamorevane.State) {
	p.mu.Lock()
	p.history.add(st)
	var data []byte
	var ok bool
	var err error
	if base > 0 {
		data, ok, err = p.history.since(base)
	}
	p.mu.Unlock()
	if err != nil {
		p.cfg.Log.Error(err, "change of the state cannot be encoded", "base", base, "version", st.Version)
	}
	if ok {
		m.Base, m.Change = base, data
		return
	}
	m.State = p.encode(st)
}

func (p *Publisher) encode(st *sycamorevane.State) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.encoded != nil && p.version == st.Version {
		return p.encoded
	}
	sent := *st
	sent.Config.Document = nil // Only operators read it.
	data, err := Encode(&sent)
	if err != nil {
		p.cfg.Log.Error(err, "state cannot be encoded", "version", st.Version)
		return nil
	}
	p.encoded, p.version = data, st.Version
	return data
}

func (p *Publisher) onAck(from string, m proto.Message) proto.Message {
	a, _ := m.(*encoder.StateAck)
	p.mu.Lock()
	p.acks[from] = Ack{Version: a.Version, Leaving: a.Leaving, At: time.Now()}
	p.mu.Unlock()
	return nil
}

// onAsk answers with the state after a quorum read, so that a host that was cut off cannot hand out an old one.
func (p *Publisher) onAsk(from string, m proto.Message) proto.Message {
	ask, _ := m.(*encoder.StateAsk)
	if st := p.cfg.State(); st == nil || !p.cfg.First(st) {
		return nil // Nothing is stored yet as far as this host knows, and a read by the quorum is not worth its cost.
	}
	ctx, cancel := context.WithTimeout(p.ctx, readTimeout)
	defer cancel()
	if err := p.cfg.ReadBarrier(ctx); err != nil {
		p.cfg.Log.V(1).Info("state not handed out", "entry", from, "reason", err.Error())
		return nil
	}
	st := p.cfg.State()
	if st == nil || !p.cfg.First(st) {
		return nil // No configuration has been applied yet.
	}
	reply := &encoder.StatePush{Version: st.Version, Leader: p.cfg.Transport.Self()}
	if ask.Have < st.Version {
		p.fill(reply, ask.Have, st)
	}
	p.mu.Lock()
	p.sent[from] = max(p.sent[from], st.Version)
	p.mu.Unlock()
	p.cfg.Complete()(reply, from)
	return reply
}

// Encode returns the compressed form of a state.
func Encode(st *sycamorevane.State) ([]byte, error) { return pack(st) }

// Decode reads what Encode wrote; it refuses a state above 64 MiB.
func Decode(data []byte) (*sycamorevane.State, error) {
	st := &sycamorevane.State{}
	if err := unpack(data, st); err != nil {
		return nil, errors.Trace(err)
	}
	return st, nil
}
