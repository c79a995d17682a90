package runner

import (
	"slices"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/placer"
)

// homeSessions is how many control hosts an entry keeps sessions with. They must not grow with the control hosts: each
// of these would otherwise hold a session with each entry, and would have to open all of them again after its restart. One
// may be lost and another be out of touch with the leader.
const homeSessions = 3

// moreAfter is how long an entry lacks sessions before it tries one more control host: longer than contactSpread, over which
// it opens the first ones. moreAlone holds while it has none at all.
const (
	moreAfter = 2 * time.Second
	moreAlone = 300 * time.Millisecond
)

// apartMore is how many further control hosts an entry tries at once when all that it has reached say that they are not in contact
// with a leader: those of a group that is cut in two may all be on the smaller side.
const apartMore = 6

// outsideWait is how long an entry that has reached a host outside of its list waits for one of the list, before it follows
// the other. After a loss of all processes the few seeds are reached first, and cannot send the catalog to all entries.
const outsideWait = 500 * time.Millisecond

// homes are the control hosts that an entry keeps sessions with, and the one among them that it follows: which tells the
// others of it and sends it the state and the catalog. It is safe for concurrent use.
type homes struct {
	self string

	mu sync.Mutex
	// list holds those that should be reached, best first; lacking is since when too few of them are.
	list    []string
	lacking time.Time
	// apart are those that have said that they are not in contact with a leader.
	apart  sycamorevane.Set[string]
	source string
	// outside is since when only other hosts are reached, zero while one of the list is.
	outside time.Time
}

func newHomes(self string) *homes { return &homes{self: self, apart: sycamorevane.NewSet[string]()} }

// choose returns the hosts that should be reached: the first in this entry's own order, and one more each time that it has
// waited for them in vain. Hosts that are not in contact with a leader count as not reached, and when all are, apartMore more are
// tried at once.
func (h *homes) choose(now time.Time, members []string, alive sycamorevane.Set[string]) []string {
	ranked := placer.TopHosts(h.self, members, len(members))
	h.mu.Lock()
	defer h.mu.Unlock()
	n := min(max(len(h.list), homeSessions), len(ranked))
	touching := h.touching(alive)
	enough := prefix(ranked, touching)
	wait, more := moreAfter, 1
	switch {
	case len(alive) == 0:
		wait = moreAlone
	case len(touching) == 0 && n <= homeSessions:
		wait, more = moreAlone, apartMore
	}
	switch {
	case enough <= n:
		n, h.lacking = enough, now
	case h.lacking.IsZero():
		h.lacking = now
	case now.Sub(h.lacking) >= wait && n < len(ranked):
		n, h.lacking = min(n+more, len(ranked)), now
	}
	h.list = ranked[:n]
	return slices.Clone(h.list)
}

// touching lists the hosts that are reached and have not said that they are out of contact with a leader.
func (h *homes) touching(alive sycamorevane.Set[string]) sycamorevane.Set[string] {
	touching := sycamorevane.NewSet[string]()
	for name := range alive {
		if !h.apart.Has(name) {
			touching.Add(name)
		}
	}
	return touching
}

// prefix is how many of the first hosts hold enough that are alive; one more than there are when all do not.
func prefix(ranked []string, alive sycamorevane.Set[string]) int {
	reached := 0
	for i, name := range ranked {
		if alive.Has(name) {
			reached++
		}
		if reached >= homeSessions {
			return i + 1
		}
	}
	if len(ranked) <= homeSessions {
		return len(ranked)
	}
	return len(ranked) + 1
}

// settled reports whether this entry has the sessions that it wants. Until then it keeps those with other hosts.
func (h *homes) settled(alive sycamorevane.Set[string]) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settledLocked(alive)
}

func (h *homes) settledLocked(alive sycamorevane.Set[string]) bool {
	reached := 0
	for _, name := range h.list {
		if alive.Has(name) {
			reached++
		}
	}
	return reached > 0 && reached >= min(homeSessions, len(h.list))
}

// follow returns the host to follow, and whether that has changed. The present one stays as long as it answers and is in
// contact with a leader, since another one has to send the whole catalog.
func (h *homes) follow(now time.Time, alive sycamorevane.Set[string]) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	touching := h.touching(alive)
	if touching.Has(h.source) && (slices.Contains(h.list, h.source) || !h.settledLocked(alive)) {
		return h.source, false
	}
	was := h.source
	if i := slices.IndexFunc(h.list, touching.Has); i >= 0 {
		h.source, h.outside = h.list[i], time.Time{}
		return h.source, h.source != was
	}
	switch {
	case len(touching) == 0:
		h.outside = time.Time{}
	case h.outside.IsZero():
		h.outside = now
	case now.Sub(h.outside) >= outsideWait:
		h.source = touching.Sorted()[0]
	}
	return h.source, h.source != was
}

// first is the host of the list that this entry prefers; empty while no member is known.
func (h *homes) first() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.list) == 0 {
		return ""
	}
	return h.list[0]
}

// heard notes whether a host is in contact with a leader.
func (h *homes) heard(name string, apart bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if apart {
		h.apart.Add(name)
		return
	}
	delete(h.apart, name)
}

// followed is the host that this entry follows; empty before the first one is reached.
func (h *homes) followed() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.source
}

// relays lists the hosts that answer this entry and pass its messages on, the one that is followed first.
func (h *homes) relays() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	if h.source != "" {
		list = append(list, h.source)
	}
	for _, name := range h.list {
		if name != h.source {
			list = append(list, name)
		}
	}
	return list
}
