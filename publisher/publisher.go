// Package publisher pushes the committed state from control hosts to entries and tracks which version each entry has
// acknowledged. In a deployment with configured hosts, the leader pushes to all entries. In a deployment with
// discovery, each control host pushes to the entries that follow it.
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
	// pushInterval is the time between two pushes without a change. A push also tells the entries that control is
	// reachable; an entry misses three of them before subscriber.ContactTimeout expires.
	pushInterval = time.Second
	// minPushInterval is the minimum time between two pushes. Changes within it are pushed together.
	minPushInterval = 50 * time.Millisecond
	// ackTTL is how long an acknowledgement is valid. An entry without a newer one is not counted.
	ackTTL = 3 * time.Second
	// maxStateBytes is the maximum size of a state's JSON.
	maxStateBytes = 64 << 20
	// readTimeout limits a quorum read. It is below the timeout of 1 s with which entries request the state.
	readTimeout = 900 * time.Millisecond
)

// Config configures a Publisher.
type Config struct {
	Transport sycamorevane.Transport
	// State returns the state that this control host has applied, or nil.
	State func() *sycamorevane.State
	// IsPushing returns whether this host pushes the state, and the current term. With configured hosts the leader
	// pushes while it has a quorum; with discovery, each control host pushes while it is in contact with the leader.
	IsPushing func() (bool, uint64)
	// NotifyDetached makes a host that does not push the state notify its entries of this, so that they choose another
	// control host.
	NotifyDetached bool
	// ServesEntry reports whether an entry follows this host, that is, receives the state from it. Other entries receive
	// only the version. Nil means that all entries follow it.
	ServesEntry func(entry string) bool
	// ReadBarrier returns when this host has applied everything that was committed before the call.
	ReadBarrier func(context.Context) error
	// Entries lists the entries to push to; nil means those of the configuration.
	Entries func() []string
	// AddFields, if set, is called once per push to all entries. The function that it returns is called for each
	// entry's message and adds further fields.
	AddFields func() func(m *encoder.StatePush, entry string)
	// IsServable reports whether a state may be sent to entries that request it; nil means a state with services.
	IsServable func(st *sycamorevane.State) bool
	Log        logr.Logger
}

// Ack is the latest acknowledgement of an entry.
type Ack struct {
	Version    uint64
	Leaving    bool
	ReceivedAt time.Time
}

// Publisher pushes the state of a control host to entries. It is safe for concurrent use.
type Publisher struct {
	cfg        Config
	pushSignal chan struct{}
	ctx        context.Context
	stop       context.CancelFunc
	wg         sync.WaitGroup

	mu   sync.Mutex
	acks map[string]Ack
	// lastSent is the newest version sent to each entry that follows this host. A session delivers
	// messages in order, so a change may start from this version before it is acknowledged.
	lastSent map[string]uint64
	// encodedState caches the encoded state of encodedVersion.
	encodedState   []byte
	encodedVersion uint64
	history        history
}

// New returns a Publisher and registers its message handlers. Pushing begins with Start.
func New(cfg Config) *Publisher {
	if cfg.Entries == nil {
		cfg.Entries = func() []string { return cfg.State().Config.HostsWith(sycamorevane.RoleEntry) }
	}
	if cfg.AddFields == nil {
		cfg.AddFields = func() func(*encoder.StatePush, string) { return func(*encoder.StatePush, string) {} }
	}
	if cfg.IsServable == nil {
		cfg.IsServable = func(st *sycamorevane.State) bool { return len(st.Config.Services) > 0 }
	}
	if cfg.ServesEntry == nil {
		cfg.ServesEntry = func(string) bool { return true }
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Publisher{
		cfg: cfg, ctx: ctx, stop: stop, pushSignal: make(chan struct{}, 1),
		acks: make(map[string]Ack), lastSent: make(map[string]uint64),
	}
	cfg.Transport.Handle(&encoder.StateAck{}, p.onAck)
	cfg.Transport.Handle(&encoder.StateAsk{}, p.onAsk)
	return p
}

// Start starts the goroutine that pushes.
func (p *Publisher) Start() { p.wg.Go(p.loop) }

// Close stops pushing and waits for the goroutine to end.
func (p *Publisher) Close() {
	p.stop()
	p.wg.Wait()
}

// PushNow triggers a push before the next interval.
func (p *Publisher) PushNow() {
	select {
	case p.pushSignal <- struct{}{}:
	default:
	}
}

// Acks returns the latest acknowledgement of each entry that has sent one within ackTTL.
func (p *Publisher) Acks() map[string]Ack {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]Ack, len(p.acks))
	for name, a := range p.acks {
		if now.Sub(a.ReceivedAt) <= ackTTL {
			list[name] = a
		}
	}
	return list
}

// CountAcknowledged returns how many entries have acknowledged the version or a later one, and how many entries there
// are.
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
		case <-p.pushSignal:
		case <-p.ctx.Done():
			return
		}
		p.push()
		select {
		case <-time.After(minPushInterval):
		case <-p.ctx.Done():
			return
		}
	}
}

// push sends every entry the current version. Entries that follow this host and have an older version also get the
// change.
func (p *Publisher) push() {
	isPushing, term := p.cfg.IsPushing()
	st := p.cfg.State()
	if !isPushing || st == nil {
		p.pushDetached()
		return
	}
	acks := p.Acks()
	addFields := p.cfg.AddFields()
	entries := p.cfg.Entries()
	p.recordPush(st, entries)
	for _, name := range entries {
		m := &encoder.StatePush{Version: st.Version, Term: term, Leader: p.cfg.Transport.Self()}
		if a, ok := acks[name]; ok && p.cfg.ServesEntry(name) {
			p.addUpdate(m, name, a.Version, st)
		}
		addFields(m, name)
		_ = p.cfg.Transport.Send(name, m) // An entry without a session requests the state when it reconnects.
	}
}

// recordPush adds the state to the history and removes entries that are no longer listed from lastSent.
func (p *Publisher) recordPush(st *sycamorevane.State, entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history.add(st)
	if len(p.lastSent) <= 2*len(entries) {
		return
	}
	currentEntries := sycamorevane.NewSet(entries...)
	maps.DeleteFunc(p.lastSent, func(name string, _ uint64) bool { return !currentEntries.Has(name) })
}

// pushDetached notifies the entries that this host cannot tell which state is current. AddFields adds where the control
// hosts are.
func (p *Publisher) pushDetached() {
	if !p.cfg.NotifyDetached {
		return
	}
	addFields := p.cfg.AddFields()
	for _, name := range p.cfg.Entries() {
		m := &encoder.StatePush{Apart: true}
		addFields(m, name)
		_ = p.cfg.Transport.Send(name, m)
	}
}

// addUpdate adds the change or state that the entry needs to get to st. acknowledged is the version that the entry has
// acknowledged.
func (p *Publisher) addUpdate(m *encoder.StatePush, name string, acknowledged uint64, st *sycamorevane.State) {
	p.mu.Lock()
	base := max(acknowledged, p.lastSent[name])
	p.lastSent[name] = st.Version
	p.mu.Unlock()
	if base < st.Version {
		p.addChangeOrState(m, base, st)
	}
}

// addChangeOrState adds the change from the version base to st. If base is not in the history or is 0, that is, the
// entry has no state yet, it adds the whole state.
func (p *Publisher) addChangeOrState(m *encoder.StatePush, base uint64, st *sycamorevane.State) {
	p.mu.Lock()
	p.history.add(st)
	var data []byte
	var ok bool
	var err error
	if base > 0 {
		data, ok, err = p.history.encodedChange(base)
	}
	p.mu.Unlock()
	if err != nil {
		p.cfg.Log.Error(err, "encoding the state change failed", "base", base, "version", st.Version)
	}
	if ok {
		m.Base, m.Change = base, data
		return
	}
	m.State = p.encodeState(st)
}

func (p *Publisher) encodeState(st *sycamorevane.State) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.encodedState != nil && p.encodedVersion == st.Version {
		return p.encodedState
	}
	sent := *st
	sent.Config.Document = nil // Only operators read the document.
	data, err := EncodeState(&sent)
	if err != nil {
		p.cfg.Log.Error(err, "encoding the state failed", "version", st.Version)
		return nil
	}
	p.encodedState, p.encodedVersion = data, st.Version
	return data
}

func (p *Publisher) onAck(from string, m proto.Message) proto.Message {
	a, _ := m.(*encoder.StateAck)
	p.mu.Lock()
	p.acks[from] = Ack{Version: a.Version, Leaving: a.Leaving, ReceivedAt: time.Now()}
	p.mu.Unlock()
	return nil
}

// onAsk replies with the state after a quorum read, so that a host without contact with the quorum cannot send an
// outdated state.
func (p *Publisher) onAsk(from string, m proto.Message) proto.Message {
	ask, _ := m.(*encoder.StateAsk)
	if st := p.cfg.State(); st == nil || !p.cfg.IsServable(st) {
		return nil // This host has no configuration yet, so a quorum read is not worth its cost.
	}
	ctx, cancel := context.WithTimeout(p.ctx, readTimeout)
	defer cancel()
	if err := p.cfg.ReadBarrier(ctx); err != nil {
		p.cfg.Log.V(1).Info("state request not answered: no quorum read", "entry", from, "reason", err.Error())
		return nil
	}
	st := p.cfg.State()
	if st == nil || !p.cfg.IsServable(st) {
		return nil // No configuration has been applied yet.
	}
	reply := &encoder.StatePush{Version: st.Version, Leader: p.cfg.Transport.Self()}
	if ask.Have < st.Version {
		p.addChangeOrState(reply, ask.Have, st)
	}
	p.mu.Lock()
	p.lastSent[from] = max(p.lastSent[from], st.Version)
	p.mu.Unlock()
	p.cfg.AddFields()(reply, from)
	return reply
}

// EncodeState returns the compressed form of a state.
func EncodeState(st *sycamorevane.State) ([]byte, error) { return encodeGzip(st) }

// DecodeState decodes a state that EncodeState has encoded. A state above 64 MiB gives an error.
func DecodeState(data []byte) (*sycamorevane.State, error) {
	st := &sycamorevane.State{}
	if err := decodeGzip(data, st); err != nil {
		return nil, errors.Trace(err)
	}
	return st, nil
}
