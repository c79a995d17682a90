package runner

import (
	"slices"
	"sync"
	"time"
)

const (
	// membersSettleTime is how long the list of control hosts must not have changed before entries get it. It is longer than
	// joinInterval.
	membersSettleTime = 600 * time.Millisecond
	// formingPeriod is how long after the first start of the deployment its control group may still be being formed.
	formingPeriod = 5 * time.Second
)

// memberList holds back the list of control hosts while a group is being formed: entries choose the hosts that they keep sessions
// with from the list, and all of them would choose the few hosts that are members first. It is safe for concurrent use.
type memberList struct {
	// startedAt is when the control host has started; zero if it is not the first start of the deployment, as the group then
	// exists.
	startedAt time.Time

	mu        sync.Mutex
	members   []string
	changedAt time.Time
}

// settled returns the members, or nil while the group is being formed.
func (l *memberList) settled(now time.Time, members []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.members, members) {
		l.members, l.changedAt = members, now
	}
	if now.Sub(l.startedAt) < formingPeriod && now.Sub(l.changedAt) < membersSettleTime {
		return nil
	}
	return members
}
