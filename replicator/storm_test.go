package replicator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/publisher"
	"sycamorevane.example/sycamorevane/subscriber"
)

const (
	stormControls = 3
	stormEntries  = 12
	stormSize     = 20
	stormSilence  = 1500 * time.Millisecond
	// stormBound is the longest time from the acknowledgement of a configuration until all entries have it.
	stormBound = 300 * time.Millisecond
	syncTime   = 5 * time.Millisecond
)

// fabric connects hosts in one process, in order for each pair. While it is silent, what is sent is lost.
type fabric struct {
	ctx context.Context
	wg  sync.WaitGroup

	mu     sync.Mutex
	rand   *rand.Rand
	ports  map[string]*port
	pipes  map[[2]string]chan func()
	silent bool
}

// port is the transport of one host.
type port struct {
	f        *fabric
	name     string
	handlers map[string]sycamorevane.Handler
}

var _ sycamorevane.Transport = (*port)(nil)

func (f *fabric) port(name string) *port {
	p := &port{f: f, name: name, handlers: make(map[string]sycamorevane.Handler)}
	f.ports[name] = p
	return p
}

func (p *port) Self() string { return p.name }

func (p *port) Handle(m proto.Message, h sycamorevane.Handler) { p.handlers[kindOf(m)] = h }

func (p *port) Peers() []sycamorevane.Peer { return nil }

func kindOf(m proto.Message) string { return string(m.ProtoReflect().Descriptor().Name()) }

func (p *port) Send(to string, m proto.Message) error {
	m = proto.Clone(m)
	p.f.carry(p.name, to, func() {
		if h := p.f.ports[to].handlers[kindOf(m)]; h != nil {
			h(p.name, m)
		}
	})
	return nil
}

func (p *port) Call(ctx context.Context, to string, m proto.Message) (proto.Message, error) {
	m = proto.Clone(m)
	answer := make(chan proto.Message, 1)
	p.f.carry(p.name, to, func() {
		h := p.f.ports[to].handlers[kindOf(m)]
		p.f.wg.Go(func() { // As over a session, an answer that takes long holds up no other message.
			reply := h(p.name, m)
			p.f.carry(to, p.name, func() { answer <- reply })
		})
	})
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// carry runs deliver at the other host after a delay, behind what was sent there before.
func (f *fabric) carry(from, to string, deliver func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent || f.ctx.Err() != nil {
		return
	}
	key := [2]string{from, to}
	pipe, ok := f.pipes[key]
	if !ok {
		pipe = make(chan func(), 1<<12)
		f.pipes[key] = pipe
		f.wg.Go(func() {
			for {
				select {
				case run := <-pipe:
					run()
				case <-f.ctx.Done():
					return
				}
			}
		})
	}
	due := time.Now().Add(time.Millisecond + time.Duration(f.rand.Int64N(int64(2*time.Millisecond))))
	pipe <- func() {
		time.Sleep(time.Until(due))
		deliver()
	}
}

func (f *fabric) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// numbered is a state machine that holds the number of the last configuration.
type numbered struct {
	mu sync.Mutex
	st sycamorevane.State
	// changed is called after each change.
	changed func()
}

func (n *numbered) Apply(e sycamorevane.LogEntry) []byte {
	number, _ := strconv.ParseUint(string(e.Data), 10, 64)
	n.mu.Lock()
	next := n.st
	next.Version++
	next.Config = sycamorevane.Config{SequenceNumber: number, Services: []sycamorevane.Service{{Name: "s"}}}
	n.st = next
	n.mu.Unlock()
	n.changed()
	return fmt.Append(nil, next.Version)
}

func (n *numbered) Snapshot() ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return json.Marshal(n.st)
}

func (n *numbered) Restore(data []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return json.Unmarshal(data, &n.st)
}

func (n *numbered) state() *sycamorevane.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	st := n.st
	return &st
}

// storm is control hosts and entries that follow them.
type storm struct {
	t        *testing.T
	fabric   *fabric
	controls []*Replicator

	mu sync.Mutex
	// reached is when each entry first had each version or a later one.
	reached map[string][]time.Time
}

func newStorm(ctx context.Context, t *testing.T, seed uint64) *storm {
	s := &storm{t: t, reached: make(map[string][]time.Time), fabric: &fabric{
		ctx: ctx, rand: rand.New(rand.NewPCG(seed, 7)), ports: make(map[string]*port), pipes: make(map[[2]string]chan func()),
	}}
	var names, entries []string
	for i := range stormControls {
		names = append(names, fmt.Sprintf("control-%d", i))
	}
	for i := range stormEntries {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	for i, name := range names {
		follows := func(entry string) bool { return slices.Index(entries, entry)%stormControls == i }
		s.control(name, names, follows, entries)
	}
	for _, name := range entries {
		s.entry(name, names)
	}
	for _, r := range s.controls {
		require.NoError(t, r.Start())
		t.Cleanup(r.Close)
	}
	return s
}

func (s *storm) control(name string, names []string, follows func(string) bool, entries []string) {
	p := s.fabric.port(name)
	m := &numbered{}
	store := &memStore{fault: func() (float64, error) {
		time.Sleep(syncTime)
		return 1, nil
	}}
	r := New(Config{Self: name, Transport: p, Store: store, Machine: m, Bootstrap: names, Log: logr.Discard()})
	pub := publisher.New(publisher.Config{
		Transport: p, State: m.state, Log: logr.Discard(), NotifyDetached: true, ServesEntry: follows,
		Leader: func() (bool, uint64) {
			leader, _, term := r.Leader()
			return leader != "", term
		},
		ReadBarrier: func(ctx context.Context) error {
			_, err := r.ReadIndex(ctx)
			return err
		},
		Entries: func() []string { return entries },
	})
	m.changed = pub.PushNow
	pub.Start()
	s.t.Cleanup(pub.Close)
	s.controls = append(s.controls, r)
}

func (s *storm) entry(name string, controls []string) {
	sub := subscriber.New(subscriber.Config{
		Transport: s.fabric.port(name), ControlHosts: controls, ListControlHosts: func() []string { return controls }, ServeWhenIsolated: true, Log: logr.Discard(),
		OnChange: func(st *sycamorevane.State) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for len(s.reached[name]) <= int(st.Version) {
				s.reached[name] = append(s.reached[name], time.Now())
			}
		},
	})
	sub.Start()
	s.t.Cleanup(sub.Close)
}

// propose sends a configuration until it is committed, and returns its version with the time of the acknowledgement.
func (s *storm) propose(ctx context.Context, i, number int) (version int, at time.Time) {
	for {
		out, err := s.controls[i%stormControls].Propose(ctx, fmt.Append(nil, number))
		if err == nil {
			version, err = strconv.Atoi(string(out))
			require.NoError(s.t, err)
			return version, time.Now()
		}
		require.NoError(s.t, ctx.Err())
	}
}

// Guards against a storm of configurations that is worked off one by one: after the control hosts have been silent, twenty that
// come at once are in force on all entries within stormBound of their acknowledgements.
func TestStormAfterSilence(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			s := newStorm(ctx, t, uint64(seed))
			t.Cleanup(func() {
				stop()
				s.fabric.wg.Wait()
			})
			s.propose(ctx, 0, 1)
			time.Sleep(3 * time.Second)
			s.fabric.setSilent(true)
			time.Sleep(stormSilence)
			s.fabric.setSilent(false)
			versions, acked := make([]int, stormSize), make([]time.Time, stormSize)
			var wg sync.WaitGroup
			for i := range stormSize {
				wg.Go(func() { versions[i], acked[i] = s.propose(ctx, i, i+2) })
			}
			wg.Wait()
			time.Sleep(2 * stormBound)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Len(t, s.reached, stormEntries)
			for name, reached := range s.reached {
				for i, v := range versions {
					require.Greater(t, len(reached), v, "seed %d: %s never had version %d", seed, name, v)
					require.LessOrEqual(t, reached[v].Sub(acked[i]), stormBound, "seed %d: version %d on %s", seed, v, name)
				}
			}
		})
	}
}
