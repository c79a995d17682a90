package runner

import (
	"slices"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/placer"
)

// targetSessionCount is the number of control hosts that an entry keeps sessions with. It must not grow with the number of
// control hosts: otherwise each of them would have a session with every entry, and all of these would have to be opened
// again after it restarts. With three, one may be lost and another one not be in contact with the leader.
const targetSessionCount = 3

// expandInterval is how long an entry has too few sessions before it tries one more control host. It is longer than
// connectSpread, the time over which the first sessions are opened. isolatedExpandInterval applies instead while the entry
// has no session or, before the first expansion, none with a control host that is in contact with a leader.
const (
	expandInterval         = 2 * time.Second
	isolatedExpandInterval = 300 * time.Millisecond
)

// detachedExpandCount is the number of further control hosts that an entry tries at once when all that it has reached
// report that they are not in contact with a leader: in a network partition, all of them may be on the minority side.
const detachedExpandCount = 6

// preferredSourceWait is how long an entry that has reached only control hosts outside of its targets waits for one of its
// targets before it selects another host as its source. After a restart of all processes the few seeds are reached first,
// and they cannot send the catalog to all entries.
const preferredSourceWait = 500 * time.Millisecond

// controlSelector selects the control hosts that an entry keeps sessions with and, among them, its source: the control host
// that sends it the state and the catalog and informs the other control hosts about it. It is safe for concurrent use.
type controlSelector struct {
	self string

	mu sync.Mutex
	// targets are the control hosts to keep sessions with, most preferred first. insufficientSince is the time since which
	// too few of them are reached.
	targets           []string
	insufficientSince time.Time
	// detached are the control hosts that have reported that they are not in contact with a leader.
	detached sycamorevane.Set[string]
	source   string
	// noTargetSince is the time since which only control hosts outside of targets are reached; zero while a target is.
	noTargetSince time.Time
}

func newControlSelector(self string) *controlSelector {
	return &controlSelector{self: self, detached: sycamorevane.NewSet[string]()}
}

// selectTargets returns the control hosts to keep sessions with: the first ones in an order that is specific to this entry,
// and one more each time that too few of them were reached within the interval. Hosts that are not in contact with a leader
// count as not reached; if this holds for all reached ones, detachedExpandCount hosts are added at once.
func (s *controlSelector) selectTargets(now time.Time, members []string, alive sycamorevane.Set[string]) []string {
	ranked := placer.TopHosts(s.self, members, len(members))
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(max(len(s.targets), targetSessionCount), len(ranked))
	inContact := s.withLeaderContact(alive)
	needed := targetCount(ranked, inContact)
	interval, added := expandInterval, 1
	switch {
	case len(alive) == 0:
		interval = isolatedExpandInterval
	case len(inContact) == 0 && count <= targetSessionCount:
		interval, added = isolatedExpandInterval, detachedExpandCount
	}
	switch {
	case needed <= count:
		count, s.insufficientSince = needed, now
	case s.insufficientSince.IsZero():
		s.insufficientSince = now
	case now.Sub(s.insufficientSince) >= interval && count < len(ranked):
		count, s.insufficientSince = min(count+added, len(ranked)), now
	}
	s.targets = ranked[:count]
	return slices.Clone(s.targets)
}

// withLeaderContact returns the reached control hosts, without those that have reported to be out of contact with a leader.
func (s *controlSelector) withLeaderContact(alive sycamorevane.Set[string]) sycamorevane.Set[string] {
	inContact := sycamorevane.NewSet[string]()
	for name := range alive {
		if !s.detached.Has(name) {
			inContact.Add(name)
		}
	}
	return inContact
}

// targetCount returns the length of the shortest prefix of ranked in which targetSessionCount hosts are alive. If there is
// none, it returns len(ranked)+1, or len(ranked) when there are no more than targetSessionCount hosts.
func targetCount(ranked []string, alive sycamorevane.Set[string]) int {
	reached := 0
	for i, name := range ranked {
		if alive.Has(name) {
			reached++
		}
		if reached >= targetSessionCount {
			return i + 1
		}
	}
	if len(ranked) <= targetSessionCount {
		return len(ranked)
	}
	return len(ranked) + 1
}

// hasEnoughSessions reports whether this entry has enough sessions with its targets. Until then it also keeps its sessions
// with other control hosts.
func (s *controlSelector) hasEnoughSessions(alive sycamorevane.Set[string]) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasEnoughSessionsLocked(alive)
}

func (s *controlSelector) hasEnoughSessionsLocked(alive sycamorevane.Set[string]) bool {
	reached := 0
	for _, name := range s.targets {
		if alive.Has(name) {
			reached++
		}
	}
	return reached > 0 && reached >= min(targetSessionCount, len(s.targets))
}

// selectSource returns the source and whether it has changed. The current source is kept as long as it is reached and in
// contact with a leader, since a new source has to send the whole catalog. A source outside of the targets is replaced once
// the entry has enough sessions.
func (s *controlSelector) selectSource(now time.Time, alive sycamorevane.Set[string]) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inContact := s.withLeaderContact(alive)
	if inContact.Has(s.source) && (slices.Contains(s.targets, s.source) || !s.hasEnoughSessionsLocked(alive)) {
		return s.source, false
	}
	previous := s.source
	if i := slices.IndexFunc(s.targets, inContact.Has); i >= 0 {
		s.source, s.noTargetSince = s.targets[i], time.Time{}
		return s.source, s.source != previous
	}
	switch {
	case len(inContact) == 0:
		s.noTargetSince = time.Time{}
	case s.noTargetSince.IsZero():
		s.noTargetSince = now
	case now.Sub(s.noTargetSince) >= preferredSourceWait:
		s.source = inContact.Sorted()[0]
	}
	return s.source, s.source != previous
}

// preferred returns the most preferred target; empty while no control host is known.
func (s *controlSelector) preferred() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.targets) == 0 {
		return ""
	}
	return s.targets[0]
}

// setDetached records whether a control host is out of contact with a leader.
func (s *controlSelector) setDetached(name string, isDetached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isDetached {
		s.detached.Add(name)
		return
	}
	delete(s.detached, name)
}

// currentSource returns the source; empty before the first one is selected.
func (s *controlSelector) currentSource() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source
}

// relays returns the control hosts that answer this entry and forward its messages, starting with the source. Those that are
// not in contact with a leader come last.
func (s *controlSelector) relays() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var inContact, detached []string
	add := func(name string) {
		if s.detached.Has(name) {
			detached = append(detached, name)
			return
		}
		inContact = append(inContact, name)
	}
	if s.source != "" {
		add(s.source)
	}
	for _, name := range s.targets {
		if name != s.source {
			add(name)
		}
	}
	return append(inContact, detached...)
}
