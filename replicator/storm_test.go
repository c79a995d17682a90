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
	controlHostCount = 3
	entryHostCount   = 12
	configCount      = 20
	messageLossTime  = 1500 * time.Millisecond
	// maxPropagationTime is the longest time from the acknowledgement of a configuration until all entry hosts have it.
	maxPropagationTime = 300 * time.Millisecond
	diskSyncTime       = 5 * time.Millisecond
)

// memNetwork connects hosts within one process. It delivers the messages of each pair of hosts in order, and drops
// messages that are sent while dropsMessages is set.
type memNetwork struct {
	ctx context.Context
	wg  sync.WaitGroup

	mu            sync.Mutex
	rand          *rand.Rand
	transports    map[string]*memTransport
	links         map[[2]string]chan func()
	dropsMessages bool
}

// memTransport is the Transport of one host.
type memTransport struct {
	network  *memNetwork
	name     string
	handlers map[string]sycamorevane.Handler
}

var _ sycamorevane.Transport = (*memTransport)(nil)

func (n *memNetwork) newTransport(name string) *memTransport {
	t := &memTransport{network: n, name: name, handlers: make(map[string]sycamorevane.Handler)}
	n.transports[name] = t
	return t
}

func (t *memTransport) Self() string { return t.name }

func (t *memTransport) Handle(m proto.Message, h sycamorevane.Handler) {
	t.handlers[messageName(m)] = h
}

func (t *memTransport) Peers() []sycamorevane.Peer { return nil }

func messageName(m proto.Message) string { return string(m.ProtoReflect().Descriptor().Name()) }

func (t *memTransport) Send(to string, m proto.Message) error {
	m = proto.Clone(m)
	t.network.sendDelayed(t.name, to, func() {
		if h := t.network.transports[to].handlers[messageName(m)]; h != nil {
			h(t.name, m)
		}
	})
	return nil
}

func (t *memTransport) Call(ctx context.Context, to string, m proto.Message) (proto.Message, error) {
	m = proto.Clone(m)
	replies := make(chan proto.Message, 1)
	t.network.sendDelayed(t.name, to, func() {
		h := t.network.transports[to].handlers[messageName(m)]
		t.network.wg.Go(func() { // As in a session, a slow handler does not delay other messages.
			reply := h(t.name, m)
			t.network.sendDelayed(to, t.name, func() { replies <- reply })
		})
	})
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sendDelayed runs deliver after a random delay, but not before the earlier messages of the same pair of hosts.
func (n *memNetwork) sendDelayed(from, to string, deliver func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dropsMessages || n.ctx.Err() != nil {
		return
	}
	key := [2]string{from, to}
	link, ok := n.links[key]
	if !ok {
		link = make(chan func(), 1<<12)
		n.links[key] = link
		n.wg.Go(func() {
			for {
				select {
				case run := <-link:
					run()
				case <-n.ctx.Done():
					return
				}
			}
		})
	}
	deliverAt := time.Now().Add(time.Millisecond + time.Duration(n.rand.Int64N(int64(2*time.Millisecond))))
	link <- func() {
		time.Sleep(time.Until(deliverAt))
		deliver()
	}
}

func (n *memNetwork) setDropsMessages(drops bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropsMessages = drops
}

// configMachine is a state machine that holds the sequence number of the last configuration.
type configMachine struct {
	mu      sync.Mutex
	current sycamorevane.State
	// onChange is called after each change.
	onChange func()
}

func (m *configMachine) Apply(e sycamorevane.LogEntry) []byte {
	number, _ := strconv.ParseUint(string(e.Data), 10, 64)
	m.mu.Lock()
	next := m.current
	next.Version++
	next.Config = sycamorevane.Config{SequenceNumber: number, Services: []sycamorevane.Service{{Name: "s"}}}
	m.current = next
	m.mu.Unlock()
	m.onChange()
	return fmt.Append(nil, next.Version)
}

func (m *configMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.current)
}

func (m *configMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Unmarshal(data, &m.current)
}

func (m *configMachine) state() *sycamorevane.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.current
	return &state
}

// configStorm is a cluster of control hosts and the entry hosts that they push configurations to.
type configStorm struct {
	t            *testing.T
	network      *memNetwork
	controlHosts []*Replicator

	mu sync.Mutex
	// versionTimes holds, for each entry host and version, the time when the host first had this version or a later one.
	versionTimes map[string][]time.Time
}

func newConfigStorm(ctx context.Context, t *testing.T, seed uint64) *configStorm {
	s := &configStorm{t: t, versionTimes: make(map[string][]time.Time), network: &memNetwork{
		ctx: ctx, rand: rand.New(rand.NewPCG(seed, 7)), transports: make(map[string]*memTransport),
		links: make(map[[2]string]chan func()),
	}}
	var controlNames, entryNames []string
	for i := range controlHostCount {
		controlNames = append(controlNames, fmt.Sprintf("control-%d", i))
	}
	for i := range entryHostCount {
		entryNames = append(entryNames, fmt.Sprintf("entry-%d", i))
	}
	for i, name := range controlNames {
		servesEntry := func(entry string) bool { return slices.Index(entryNames, entry)%controlHostCount == i }
		s.addControlHost(name, controlNames, servesEntry, entryNames)
	}
	for _, name := range entryNames {
		s.addEntryHost(name, controlNames)
	}
	for _, r := range s.controlHosts {
		require.NoError(t, r.Start())
		t.Cleanup(r.Close)
	}
	return s
}

func (s *configStorm) addControlHost(
	name string, controlNames []string, servesEntry func(string) bool, entryNames []string,
) {
	transport := s.network.newTransport(name)
	machine := &configMachine{}
	store := &memStore{fault: func() (float64, error) {
		time.Sleep(diskSyncTime)
		return 1, nil
	}}
	replica := New(Config{
		Self: name, Transport: transport, Store: store, StateMachine: machine, BootstrapVoters: controlNames,
		Log: logr.Discard(),
	})
	pub := publisher.New(publisher.Config{
		Transport: transport, State: machine.state, Log: logr.Discard(), NotifyDetached: true, ServesEntry: servesEntry,
		IsPushing: func() (bool, uint64) {
			leader, _, term := replica.Leader()
			return leader != "", term
		},
		ReadBarrier: func(ctx context.Context) error {
			_, err := replica.ReadIndex(ctx)
			return err
		},
		Entries: func() []string { return entryNames },
	})
	machine.onChange = pub.PushNow
	pub.Start()
	s.t.Cleanup(pub.Close)
	s.controlHosts = append(s.controlHosts, replica)
}

func (s *configStorm) addEntryHost(name string, controlNames []string) {
	sub := subscriber.New(subscriber.Config{
		Transport: s.network.newTransport(name), ControlHosts: controlNames,
		ListControlHosts:  func() []string { return controlNames },
		ServeWhenIsolated: true, Log: logr.Discard(),
		OnChange: func(st *sycamorevane.State) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for len(s.versionTimes[name]) <= int(st.Version) {
				s.versionTimes[name] = append(s.versionTimes[name], time.Now())
			}
		},
	})
	sub.Start()
	s.t.Cleanup(sub.Close)
}

// propose resends a configuration until it is committed. It returns the version and the time of the acknowledgement.
func (s *configStorm) propose(ctx context.Context, i, number int) (version int, at time.Time) {
	for {
		out, err := s.controlHosts[i%controlHostCount].Propose(ctx, fmt.Append(nil, number))
		if err == nil {
			version, err = strconv.Atoi(string(out))
			require.NoError(s.t, err)
			return version, time.Now()
		}
		require.NoError(s.t, ctx.Err())
	}
}

// Guards against a burst of configurations that is pushed to the entry hosts one by one. After all messages were lost
// for messageLossTime, twenty configurations are proposed at the same time, and all entry hosts must have each of them
// within maxPropagationTime of its acknowledgement.
func TestStormAfterSilence(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			s := newConfigStorm(ctx, t, uint64(seed))
			t.Cleanup(func() {
				stop()
				s.network.wg.Wait()
			})
			s.propose(ctx, 0, 1)
			time.Sleep(3 * time.Second)
			s.network.setDropsMessages(true)
			time.Sleep(messageLossTime)
			s.network.setDropsMessages(false)
			versions, acked := make([]int, configCount), make([]time.Time, configCount)
			var wg sync.WaitGroup
			for i := range configCount {
				wg.Go(func() { versions[i], acked[i] = s.propose(ctx, i, i+2) })
			}
			wg.Wait()
			time.Sleep(2 * maxPropagationTime)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Len(t, s.versionTimes, entryHostCount)
			for name, times := range s.versionTimes {
				for i, v := range versions {
					require.Greater(t, len(times), v, "seed %d: %s never had version %d", seed, name, v)
					require.LessOrEqual(t, times[v].Sub(acked[i]), maxPropagationTime, "seed %d: version %d on %s", seed, v, name)
				}
			}
		})
	}
}
