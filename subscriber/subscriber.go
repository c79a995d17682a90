// Package subscriber holds the committed state on an entry. It takes its first state only from a quorum read, never
// goes back to an older version, and decides whether the entry is connected well enough to accept requests.
package subscriber

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/publisher"
)

const (
	// ContactLimit is how long an entry without contact to a control quorum or a majority of its peers still
	// accepts requests.
	ContactLimit = 3 * time.Second
	tickInterval = 250 * time.Millisecond
	askTimeout   = time.Second
	// quietLimit is the silence after which an entry asks by itself; two pushes are missed by then.
	quietLimit = 1500 * time.Millisecond
	// askPause is how long an entry waits after no control host had a newer state: before the first configuration none
	// has. askAgain holds when one has announced a newer state meanwhile.
	askPause = 500 * time.Millisecond
	askAgain = 100 * time.Millisecond
)

// Config holds what a Subscriber is built from.
type Config struct {
	Transport sycamorevane.Transport
	// ControlHosts lists the names of the control hosts known from the settings.
	ControlHosts []string
	// ListControlHosts, when set, lists the control hosts in place of the configuration.
	ListControlHosts func() []string
	// ServeWhenIsolated lets the entry serve with its last state also when it is cut off from control and its peers.
	ServeWhenIsolated bool
	// Pushed, when set, receives each push of a control host, also of one that is out of contact with the leader.
	Pushed func(from string, m *encoder.StatePush)
	// OnChange is called after a new state has come into force, in version order.
	OnChange func(*sycamorevane.State)
	// CutOff, when set, is called when the entry has lost contact and takes no new requests any more.
	CutOff func()
	Log    logr.Logger
}

// Subscriber is the entry side of the configuration push.
type Subscriber struct {
	cfg     Config
	state   atomic.Pointer[sycamorevane.State]
	leaving atomic.Bool
	wake    chan struct{}
	// first is closed when the first state is in force.
	first chan struct{}
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu sync.Mutex
	// contact is when a control leader that holds a quorum was last heard, peers when a majority of the entries was.
	contact  time.Time
	majority time.Time
	cutOff   bool
	// pending is the highest version that control has announced.
	pending uint64
	// leader is the control host that leads, source the one that pushed last.
	leader string
	source string
}

// New registers the message handlers. Start begins to follow control.
func New(cfg Config) *Subscriber {
	ctx, stop := context.WithCancel(context.Background())
	s := &Subscriber{cfg: cfg, ctx: ctx, stop: stop, wake: make(chan struct{}, 1), first: make(chan struct{})}
	cfg.Transport.Handle(&encoder.StatePush{}, s.onPush)
	return s
}

// Start begins to ask for the state and to watch the contact with others.
func (s *Subscriber) Start() { s.wg.Go(s.loop) }

// Close ends the work.
func (s *Subscriber) Close() {
	s.stop()
	s.wg.Wait()
}

// State returns the state in force, or nil before the first one has arrived. It must not be changed.
func (s *Subscriber) State() *sycamorevane.State { return s.state.Load() }

// First is closed when the first state is in force.
func (s *Subscriber) First() <-chan struct{} { return s.first }

// Leave makes the entry withdraw for good; it is told to control and to other entries.
func (s *Subscriber) Leave() { s.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (s *Subscriber) Leaving() bool { return s.leaving.Load() }

// Connected reports whether the entry has a state and is not cut off, so that it may take new requests.
func (s *Subscriber) Connected() bool {
	if s.State() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cutOff
}

// Leader is the control host that leads as far as known, or "" before the first push.
func (s *Subscriber) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *Subscriber) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var failed time.Time // When control was last asked in vain.
	var known uint64     // What it had announced by then.
	for {
		select {
		case <-t.C:
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		now := time.Now()
		s.watch(now)
		announced := s.announced()
		pause := askPause
		if announced > known {
			pause = askAgain
		}
		if now.Sub(failed) >= pause && (s.behind() || s.cfg.ServeWhenIsolated && s.unheard(now)) && len(s.controls()) > 0 && !s.ask() {
			failed, known = time.Now(), announced
		}
	}
}

// announced is the highest version that control has announced.
func (s *Subscriber) announced() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

func (s *Subscriber) behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.State()
	return st == nil || st.Version < s.pending
}

// unheard reports whether pushes stay away, for example because this entry does not know the leader's host yet.
func (s *Subscriber) unheard(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.contact) > quietLimit
}

// watch updates whether the entry is cut off.
func (s *Subscriber) watch(now time.Time) {
	majority := s.peerMajority(now)
	s.mu.Lock()
	s.majority = majority
	was := s.cutOff
	s.cutOff = !s.cfg.ServeWhenIsolated && now.Sub(s.contact) > ContactLimit && now.Sub(s.majority) > ContactLimit
	is := s.cutOff
	s.mu.Unlock()
	if is == was || s.State() == nil {
		return
	}
	s.cfg.Log.Info("contact with control and peers changed", "cutoff", is)
	if is && s.cfg.CutOff != nil {
		s.cfg.CutOff()
	}
}

// peerMajority returns when this entry last heard more than half of the configured entries, itself included. It
// does not go by Alive, which stays true for messenger.DeadAfter after the last message and would add to the limit.
func (s *Subscriber) peerMajority(now time.Time) time.Time {
	st := s.State()
	if st == nil {
		return time.Time{}
	}
	entries := sycamorevane.NewSet(st.Config.HostsWith(sycamorevane.RoleEntry)...)
	var heard []time.Time
	if entries.Has(s.cfg.Transport.Self()) {
		heard = append(heard, now)
	}
	for _, p := range s.cfg.Transport.Peers() {
		if entries.Has(p.Name) {
			heard = append(heard, p.LastHeard)
		}
	}
	need := len(entries)/2 + 1
	if len(heard) < need {
		return time.Time{}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[need-1]
}

// ask fetches the state from one control host after another, and reports whether one had it; the answer has passed a
// quorum read.
func (s *Subscriber) ask() bool {
	for _, name := range s.controls() {
		ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
		reply, err := s.cfg.Transport.Call(ctx, name, &encoder.StateAsk{Have: s.version()})
		cancel()
		if err != nil {
			continue
		}
		if push, ok := reply.(*encoder.StatePush); ok {
			s.contacted()
			if s.cfg.Pushed != nil {
				s.cfg.Pushed(name, push)
			}
			if s.adopt(push) {
				return true
			}
		}
	}
	return false
}

// controls lists the control hosts with the one that pushed last first.
func (s *Subscriber) controls() []string {
	names := s.cfg.ControlHosts
	if s.cfg.ListControlHosts != nil {
		names = s.cfg.ListControlHosts()
	} else if st := s.State(); st != nil {
		names = st.Config.HostsWith(sycamorevane.RoleControl)
	}
	s.mu.Lock()
	source := s.source
	s.mu.Unlock()
	ordered := make([]string, 0, len(names)+1)
	if source != "" {
		ordered = append(ordered, source)
	}
	for _, n := range names {
		if n != source {
			ordered = append(ordered, n)
		}
	}
	return ordered
}

func (s *Subscriber) version() uint64 {
	if st := s.State(); st != nil {
		return st.Version
	}
	return 0
}

// onPush runs for pushes of a control leader. Without a state yet, only the answer to an ask is trusted, since a
// pushing leader may have been cut off from its quorum a moment ago.
func (s *Subscriber) onPush(from string, m proto.Message) proto.Message {
	push, _ := m.(*encoder.StatePush)
	if push.Apart {
		if s.cfg.Pushed != nil {
			s.cfg.Pushed(from, push)
		}
		return nil
	}
	s.mu.Lock()
	s.leader, s.source = push.Leader, from
	s.pending = max(s.pending, push.Version)
	s.mu.Unlock()
	s.contacted()
	if s.State() != nil && (len(push.State) > 0 || len(push.Change) > 0) {
		s.adopt(push)
	}
	if s.version() < push.Version {
		s.signal()
	}
	if s.cfg.Pushed != nil {
		s.cfg.Pushed(from, push)
	}
	_ = s.cfg.Transport.Send(from, &encoder.StateAck{Version: s.version(), Leaving: s.Leaving()})
	return nil
}

func (s *Subscriber) contacted() {
	s.mu.Lock()
	s.contact = time.Now()
	s.cutOff = false
	s.mu.Unlock()
}

func (s *Subscriber) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// adopt puts a newer state into force and reports whether the entry now has at least the pushed version.
func (s *Subscriber) adopt(push *encoder.StatePush) bool {
	if push.Version <= s.version() && s.State() != nil {
		return true
	}
	cur := s.State()
	st, err := read(push, cur)
	if err != nil {
		s.cfg.Log.Error(errors.Trace(err), "state from control cannot be read", "version", push.Version, "base", push.Base)
	}
	if st == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.State(); now != cur && now.Version >= st.Version {
		return true
	} else if now != cur && len(push.State) == 0 {
		return false // Another push has changed what the change started from.
	}
	if s.state.Swap(st) == nil {
		close(s.first)
	}
	s.cfg.Log.Info("state in force", "version", st.Version)
	s.cfg.OnChange(st)
	return true
}

// read returns the state that a push brings, or nil when it starts from another state than the present one.
func read(push *encoder.StatePush, cur *sycamorevane.State) (*sycamorevane.State, error) {
	switch {
	case len(push.State) > 0:
		return publisher.Decode(push.State)
	case len(push.Change) > 0 && cur != nil && cur.Version == push.Base:
		return publisher.Apply(cur, push.Change)
	}
	return nil, nil
}
