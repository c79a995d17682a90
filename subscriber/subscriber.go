// Package subscriber receives the committed state on an entry. It takes the first state only from a quorum read, never
// returns to an older version, and determines whether the entry has enough contact with the control hosts and its peers
// to accept requests.
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
	// ContactTimeout is how long an entry still accepts requests after it has lost contact both with a control quorum
	// and with a majority of its peers.
	ContactTimeout = 3 * time.Second
	tickInterval   = 250 * time.Millisecond
	fetchTimeout   = time.Second
	// fetchPatience is how long a request for the state waits for its reply at least, also when another control host has
	// announced a newer version. It is several times what a quorum read takes.
	fetchPatience = 150 * time.Millisecond
	// silenceTimeout is the time without contact with a control host after which an entry with ServeWhenIsolated
	// requests the state itself. Pushes arrive every second, so at least one is missing by then.
	silenceTimeout = 1500 * time.Millisecond
	// fetchRetryInterval is how long an entry waits after no control host has sent a state, which is always so before
	// the first configuration. announcedRetryInterval applies if a control host has announced a newer version in the
	// meantime.
	fetchRetryInterval     = 500 * time.Millisecond
	announcedRetryInterval = 100 * time.Millisecond
)

// Config configures a Subscriber.
type Config struct {
	Transport sycamorevane.Transport
	// ControlHosts lists the names of the control hosts from the settings.
	ControlHosts []string
	// ListControlHosts, if set, lists the current control hosts instead of the configuration.
	ListControlHosts func() []string
	// ServeWhenIsolated lets the entry accept requests with its last state even without contact with the control
	// hosts and its peers.
	ServeWhenIsolated bool
	// OnPush, if set, is called with each push or fetched state from a control host, also if that host has no contact
	// with the leader.
	OnPush func(from string, m *encoder.StatePush)
	// OnChange is called after a new state has replaced the previous one, in version order.
	OnChange func(*sycamorevane.State)
	// OnIsolated, if set, is called when the entry has lost contact and stops accepting new requests.
	OnIsolated func()
	Log        logr.Logger
}

// Subscriber holds the state of an entry. It is safe for concurrent use.
type Subscriber struct {
	cfg     Config
	state   atomic.Pointer[sycamorevane.State]
	leaving atomic.Bool
	wake    chan struct{}
	// first is closed when the first state is available.
	first chan struct{}
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu sync.Mutex
	// lastControlContact is when a control host in contact with the quorum was last heard, lastMajorityContact when a
	// majority of the entries was.
	lastControlContact  time.Time
	lastMajorityContact time.Time
	isolated            bool
	// announcedVersion is the highest version that control hosts have announced.
	announcedVersion uint64
	// leader is the control leader according to the last push.
	leader string
	// announcer is the control host that has announced announcedVersion last; empty if it has lost the leader since.
	announcer string
	// pending is the request for the state that waits for its reply; nil if there is none.
	pending *stateRequest
}

// stateRequest is a request for the state to one control host.
type stateRequest struct {
	host   string
	sentAt time.Time
	// asked are the control hosts that the current fetch has requested the state from, including host.
	asked  sycamorevane.Set[string]
	cancel context.CancelFunc
}

// New returns a Subscriber and registers its message handler. Fetching the state begins with Start.
func New(cfg Config) *Subscriber {
	ctx, stop := context.WithCancel(context.Background())
	s := &Subscriber{cfg: cfg, ctx: ctx, stop: stop, wake: make(chan struct{}, 1), first: make(chan struct{})}
	cfg.Transport.Handle(&encoder.StatePush{}, s.onPush)
	return s
}

// Start starts the goroutine that fetches the state and monitors the entry's contact with the control hosts and its peers.
func (s *Subscriber) Start() { s.wg.Go(s.loop) }

// Close stops the goroutine and waits for it to end.
func (s *Subscriber) Close() {
	s.stop()
	s.wg.Wait()
}

// State returns the current state, or nil before the first one has arrived. It must not be modified.
func (s *Subscriber) State() *sycamorevane.State { return s.state.Load() }

// FirstState returns a channel that is closed when the first state is available.
func (s *Subscriber) FirstState() <-chan struct{} { return s.first }

// MarkLeaving records that the entry is shutting down. The entry reports this to the control hosts and the other entries.
func (s *Subscriber) MarkLeaving() { s.leaving.Store(true) }

// Leaving reports whether MarkLeaving was called.
func (s *Subscriber) Leaving() bool { return s.leaving.Load() }

// Connected reports whether the entry has a state and enough contact to accept new requests.
func (s *Subscriber) Connected() bool {
	if s.State() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isolated
}

// Leader returns the control leader according to the last push, or "" before the first push.
func (s *Subscriber) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *Subscriber) loop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lastFailure time.Time     // When the last failed fetch ended.
	var announcedAtFailure uint64 // The announced version at the start of that fetch.
	for {
		select {
		case <-t.C:
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		now := time.Now()
		s.updateIsolation(now)
		announced := s.highestAnnounced()
		retryInterval := fetchRetryInterval
		if announced > announcedAtFailure {
			retryInterval = announcedRetryInterval
		}
		if now.Sub(lastFailure) >= retryInterval && (s.isBehind() || s.cfg.ServeWhenIsolated && s.missesPushes(now)) &&
			len(s.controlHosts()) > 0 && !s.fetchState() {
			lastFailure, announcedAtFailure = time.Now(), announced
		}
	}
}

// highestAnnounced returns the highest version that control hosts have announced.
func (s *Subscriber) highestAnnounced() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcedVersion
}

func (s *Subscriber) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.State()
	return st == nil || st.Version < s.announcedVersion
}

// missesPushes reports whether no push has arrived within silenceTimeout, for example because the entry does not know
// the leader's host yet.
func (s *Subscriber) missesPushes(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastControlContact) > silenceTimeout
}

// updateIsolation updates whether the entry is isolated, that is, has had contact neither with a control quorum nor with
// a majority of its peers for longer than ContactTimeout. With ServeWhenIsolated it never is.
func (s *Subscriber) updateIsolation(now time.Time) {
	majority := s.lastMajority(now)
	s.mu.Lock()
	s.lastMajorityContact = majority
	wasIsolated := s.isolated
	s.isolated = !s.cfg.ServeWhenIsolated &&
		now.Sub(s.lastControlContact) > ContactTimeout && now.Sub(s.lastMajorityContact) > ContactTimeout
	isIsolated := s.isolated
	s.mu.Unlock()
	if isIsolated == wasIsolated || s.State() == nil {
		return
	}
	s.cfg.Log.Info("contact with control and peers changed", "cutoff", isIsolated)
	if isIsolated && s.cfg.OnIsolated != nil {
		s.cfg.OnIsolated()
	}
}

// lastMajority returns the last time at which this entry had heard more than half of the configured entries, including
// itself. It does not use Peer.Alive, which stays true for messenger.DeadTimeout after the last message and would thus
// extend ContactTimeout.
func (s *Subscriber) lastMajority(now time.Time) time.Time {
	st := s.State()
	if st == nil {
		return time.Time{}
	}
	entries := sycamorevane.NewSet(st.Config.HostsWith(sycamorevane.RoleEntry)...)
	var heardAt []time.Time
	if entries.Has(s.cfg.Transport.Self()) {
		heardAt = append(heardAt, now)
	}
	for _, p := range s.cfg.Transport.Peers() {
		if entries.Has(p.Name) {
			heardAt = append(heardAt, p.LastHeard)
		}
	}
	majority := len(entries)/2 + 1
	if len(heardAt) < majority {
		return time.Time{}
	}
	slices.SortFunc(heardAt, func(a, b time.Time) int { return b.Compare(a) })
	return heardAt[majority-1]
}

// fetchState requests the state from one control host after another until one replies and the entry has at least the
// version of the reply. It reports whether it succeeded. A control host replies only after a quorum read.
func (s *Subscriber) fetchState() bool {
	wasBehind := s.isBehind()
	asked := sycamorevane.NewSet[string]()
	for {
		hosts := s.controlHosts()
		i := slices.IndexFunc(hosts, func(name string) bool { return !asked.Has(name) })
		if i < 0 {
			return false
		}
		asked.Add(hosts[i])
		if s.fetchFrom(hosts[i], asked) || wasBehind && !s.isBehind() {
			return true
		}
	}
}

// fetchFrom requests the state from one control host. It reports whether the entry has at least the version of the reply.
func (s *Subscriber) fetchFrom(host string, asked sycamorevane.Set[string]) bool {
	for {
		have := s.version()
		push, err := s.requestState(host, have, asked)
		switch {
		case err != nil:
			return false
		case s.adopt(push):
			return true
		case s.version() == have:
			return false
		}
		// A push has arrived in the meantime, and the change in the reply starts from the state before it.
	}
}

func (s *Subscriber) requestState(host string, have uint64, asked sycamorevane.Set[string]) (*encoder.StatePush, error) {
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	s.setPending(&stateRequest{host: host, sentAt: time.Now(), asked: asked, cancel: cancel})
	defer s.setPending(nil)
	reply, err := s.cfg.Transport.Call(ctx, host, &encoder.StateAsk{Have: have})
	if err != nil {
		return nil, errors.Trace(err)
	}
	push, ok := reply.(*encoder.StatePush)
	if !ok {
		return nil, errors.Errorf("control host %q has replied without a state", host)
	}
	s.recordControlContact()
	if s.cfg.OnPush != nil {
		s.cfg.OnPush(host, push)
	}
	return push, nil
}

func (s *Subscriber) setPending(r *stateRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = r
}

// controlHosts lists the control hosts, beginning with the one that has announced the newest version.
func (s *Subscriber) controlHosts() []string {
	names := s.cfg.ControlHosts
	if s.cfg.ListControlHosts != nil {
		names = s.cfg.ListControlHosts()
	} else if st := s.State(); st != nil {
		names = st.Config.HostsWith(sycamorevane.RoleControl)
	}
	s.mu.Lock()
	announcer := s.announcer
	s.mu.Unlock()
	ordered := make([]string, 0, len(names)+1)
	if announcer != "" {
		ordered = append(ordered, announcer)
	}
	for _, n := range names {
		if n != announcer {
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

// onPush handles a push of a control host. The first state is not taken from a push but only from fetchState, because
// the pushing host may just have lost its quorum.
func (s *Subscriber) onPush(from string, m proto.Message) proto.Message {
	push, _ := m.(*encoder.StatePush)
	if push.Apart {
		s.forgetAnnouncer(from)
		if s.cfg.OnPush != nil {
			s.cfg.OnPush(from, push)
		}
		return nil
	}
	s.recordAnnouncement(from, push)
	s.recordControlContact()
	if s.State() != nil && (len(push.State) > 0 || len(push.Change) > 0) {
		s.adopt(push)
	}
	if s.version() < push.Version {
		s.endSlowRequest(from)
		s.wakeLoop()
	}
	if s.cfg.OnPush != nil {
		s.cfg.OnPush(from, push)
	}
	_ = s.cfg.Transport.Send(from, &encoder.StateAck{Version: s.version(), Leaving: s.Leaving()})
	return nil
}

func (s *Subscriber) recordAnnouncement(from string, push *encoder.StatePush) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = push.Leader
	if push.Version >= s.announcedVersion {
		s.announcer, s.announcedVersion = from, push.Version
	}
}

// endSlowRequest ends a request for the state that another host has not answered within fetchPatience, so that the announcer of a
// newer version is asked: the other host may have lost the quorum. The first state is large, so that a busy host may need longer.
func (s *Subscriber) endSlowRequest(announcer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.pending; r != nil && s.State() != nil && !r.asked.Has(announcer) && time.Since(r.sentAt) >= fetchPatience {
		r.cancel()
	}
}

func (s *Subscriber) forgetAnnouncer(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcer == name {
		s.announcer = ""
	}
}

func (s *Subscriber) recordControlContact() {
	s.mu.Lock()
	s.lastControlContact = time.Now()
	s.isolated = false
	s.mu.Unlock()
}

func (s *Subscriber) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// adopt replaces the state by a newer one and reports whether the entry now has at least the pushed version.
func (s *Subscriber) adopt(push *encoder.StatePush) bool {
	if push.Version <= s.version() && s.State() != nil {
		return true
	}
	current := s.State()
	st, err := decodePush(push, current)
	if err != nil {
		s.cfg.Log.Error(errors.Trace(err), "decoding the state from control failed", "version", push.Version, "base", push.Base)
	}
	if st == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if latest := s.State(); latest != current && latest.Version >= st.Version {
		return true
	} else if latest != current && len(push.State) == 0 {
		return false // A concurrent push has replaced the state that the change starts from.
	}
	if s.state.Swap(st) == nil {
		close(s.first)
	}
	s.cfg.Log.Info("state in force", "version", st.Version)
	s.cfg.OnChange(st)
	return true
}

// decodePush returns the state that results from a push. It returns nil if the push has no state and no change from the
// current version.
func decodePush(push *encoder.StatePush, current *sycamorevane.State) (*sycamorevane.State, error) {
	switch {
	case len(push.State) > 0:
		return publisher.DecodeState(push.State)
	case len(push.Change) > 0 && current != nil && current.Version == push.Base:
		return publisher.ApplyChange(current, push.Change)
	}
	return nil, nil
}
