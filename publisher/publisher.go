// Package publisher pushes the committed state from the control leader to all entries and keeps track of which
// version each entry has in force.
package publisher

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
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
	// Leader reports whether this host leads with a quorum, and its term.
	Leader func() (bool, uint64)
	// Read returns after this host has applied everything committed before the call.
	Read func(context.Context) error
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
	// encoded caches the encoding of one version.
	encoded []byte
	version uint64
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
	ctx, stop := context.WithCancel(context.Background())
	p := &Publisher{cfg: cfg, ctx: ctx, stop: stop, wake: make(chan struct{}, 1), acks: make(map[string]Ack)}
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

// Changed makes the publisher push now instead of at its next interval.
func (p *Publisher) Changed() {
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

// InForce counts the configured entries and those that have acknowledged the version or a later one.
func (p *Publisher) InForce(version uint64) (have, total int) {
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
	}
}

// push tells every entry the current version, with the state itself for those that have an older one.
func (p *Publisher) push() {
	leads, term := p.cfg.Leader()
	st := p.cfg.State()
	if !leads || st == nil {
		return
	}
	acks := p.Acks()
	complete := p.cfg.Complete()
	for _, name := range p.cfg.Entries() {
		m := &encoder.StatePush{Version: st.Version, Term: term, Leader: p.cfg.Transport.Self()}
		if a, ok := acks[name]; ok && a.Version < st.Version {
			m.State = p.encode(st)
		}
		complete(m, name)
		_ = p.cfg.Transport.Send(name, m) // An entry without a session asks when it comes back.
	}
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
	ctx, cancel := context.WithTimeout(p.ctx, readTimeout)
	defer cancel()
	if err := p.cfg.Read(ctx); err != nil {
		p.cfg.Log.V(1).Info("state not handed out", "entry", from, "reason", err.Error())
		return nil
	}
	st := p.cfg.State()
	if st == nil || !p.cfg.First(st) {
		return nil // No configuration has been applied yet.
	}
	reply := &encoder.StatePush{Version: st.Version, Leader: p.cfg.Transport.Self()}
	if ask.Have < st.Version {
		reply.State = p.encode(st)
	}
	p.cfg.Complete()(reply, from)
	return reply
}

// Encode returns the compressed form of a state.
func Encode(st *sycamorevane.State) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(st); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

// Decode reads what Encode wrote; it refuses a state above 64 MiB.
func Decode(data []byte) (*sycamorevane.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	st := &sycamorevane.State{}
	if err := json.NewDecoder(io.LimitReader(r, maxState)).Decode(st); err != nil {
		return nil, errors.Trace(err)
	}
	return st, nil
}
