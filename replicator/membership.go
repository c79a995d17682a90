package replicator

import (
	"slices"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// membershipCommitted reports whether the last membership change and an entry of the current term are committed. Only
// then may a new membership change start. Without the second condition two leaders could make different changes to the
// same membership, and the majorities of the results might not overlap.
func (c *core) membershipCommitted() bool {
	if c.disabled.membershipCheck {
		return true
	}
	memberships := c.log.memberships
	t, _ := c.log.term(c.commitIndex)
	return len(memberships) > 0 && memberships[len(memberships)-1].index <= c.commitIndex && t == c.hardState.Term
}

// replaceMember starts the replacement of a member: the new host joins as a learner, becomes a voter once it has caught
// up, and then the old one is removed. If oldName is empty, newName is added; if newName is empty, oldName is removed.
// done is true if the change is already complete.
func (c *core) replaceMember(oldName, newName string) (done bool, err error) {
	if c.role != leader {
		return false, &sycamorevane.NotLeaderError{Leader: c.leader}
	}
	_, oldIsMember := c.findMember(oldName)
	newMember, newIsMember := c.findMember(newName)
	if oldName == "" && newName != "" {
		return c.addMember(newName, newIsMember && newMember.Voter, newIsMember)
	}
	if newName == "" && oldName != "" {
		return c.removeMember(oldName, oldIsMember)
	}
	switch {
	case newName == "" || oldName == newName:
		return false, errors.NotValidf("replacement of %q by %q", oldName, newName)
	case newIsMember && newMember.Voter && !oldIsMember:
		return c.membershipCommitted(), nil
	case newIsMember && newMember.Replaces == oldName:
		return false, nil
	case newIsMember:
		return false, errors.NotValidf("replacement of %q by %q, which is already a member,", oldName, newName)
	case !oldIsMember:
		return false, errors.NotFoundf("member %q", oldName)
	case !c.membershipCommitted():
		return false, errors.NotYetAvailablef("membership: the last change is not committed, a new one")
	}
	members := slices.Clone(c.log.members())
	// The new learner takes the place of an earlier learner for the same member that has not caught up.
	members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Replaces == oldName })
	if i := slices.IndexFunc(members, func(m Member) bool { return m.Replaces != "" }); i >= 0 {
		return false, errors.NotYetAvailablef("membership: %q is still replacing %q, a new change",
			members[i].Name, members[i].Replaces)
	}
	c.appendMembership(append(members, Member{Name: newName, Replaces: oldName}))
	return false, nil
}

// addMember adds a host as a learner. advanceMembership makes it a voter once it has caught up.
func (c *core) addMember(name string, isVoter, isMember bool) (done bool, err error) {
	switch {
	case isVoter:
		return c.membershipCommitted(), nil
	case isMember:
		return false, nil
	case !c.membershipCommitted():
		return false, errors.NotYetAvailablef("membership: the last change is not committed, a new one")
	}
	c.appendMembership(append(slices.Clone(c.log.members()), Member{Name: name}))
	return false, nil
}

// removeMember removes a host permanently. A majority of the remaining voters must be available. Otherwise the change
// is never committed, and no other entry after it either.
func (c *core) removeMember(name string, isMember bool) (done bool, err error) {
	switch {
	case !isMember:
		return c.membershipCommitted(), nil
	case name == c.self:
		return false, errors.NotValidf("removal of the leader %q by itself", name)
	case !c.membershipCommitted():
		return false, errors.NotYetAvailablef("membership: the last change is not committed, a new one")
	}
	c.appendMembership(slices.DeleteFunc(slices.Clone(c.log.members()), func(m Member) bool { return m.Name == name }))
	return false, nil
}

func (c *core) appendMembership(members []Member) {
	c.appendEntry(kindMembership, encodeMembers(members))
	c.broadcastEntries()
}

// advanceMembership continues membership changes: it promotes a learner that has caught up, removes the member that the
// learner replaces, removes members that no longer reply, and steps down if this leader was removed.
func (c *core) advanceMembership() {
	if !c.membershipCommitted() {
		return
	}
	if _, ok := c.findMember(c.self); !ok {
		c.becomeFollower("")
		return
	}
	if !c.promoteLearner() && !c.removeReplaced() {
		c.removeSilent()
	}
}

// promoteLearner makes a learner that has caught up a voter and reports whether there was one. A learner that was added
// without a member to replace takes the place of the voter that has been silent the longest, so that the number of voters
// that have to reply does not grow with each host that is replaced.
func (c *core) promoteLearner() bool {
	members := c.log.members()
	for i, m := range members {
		if m.Voter || !c.hasCaughtUp(c.peers[m.Name]) {
			continue
		}
		replaced := m.Replaces
		if replaced == "" {
			var settled bool
			if replaced, settled = c.replaceableVoter(); !settled {
				return false
			}
		}
		if replaced != m.Replaces {
			c.reportDeparture(replaced, m.Name)
		}
		newMembers := slices.Clone(members)
		newMembers[i].Voter, newMembers[i].Replaces = true, replaced
		c.appendMembership(newMembers)
		return true
	}
	return false
}

func (c *core) hasCaughtUp(p *progress) bool {
	return p != nil && !p.recovering && p.pendingSnapshot == nil && !p.probing &&
		p.matchIndex >= c.commitIndex && p.ticksSinceReply <= heartbeatTicks
}

// replaceableVoter returns the voter that has been silent the longest if that is at least replaceableTicks, else "".
// settled is false while it is unclear whether a voter is only slow to reply.
func (c *core) replaceableVoter() (name string, settled bool) {
	longest := replaceableTicks - 1
	for _, m := range c.log.members() {
		if !m.Voter || m.Name == c.self {
			continue
		}
		p := c.peers[m.Name]
		if !c.isResponsive(p) && p.ticksSinceReply < replaceableTicks {
			return "", false
		}
		if p.ticksSinceReply > longest {
			name, longest = m.Name, p.ticksSinceReply
		}
	}
	return name, true
}

// isResponsive reports whether the member has replied to this leader within responsiveTicks.
func (c *core) isResponsive(p *progress) bool {
	return p.ackedRound > 0 && p.ticksSinceReply <= responsiveTicks
}

// removeReplaced removes the member that a voter replaces and reports whether there was one.
func (c *core) removeReplaced() bool {
	members := c.log.members()
	for i, m := range members {
		if !m.Voter || m.Replaces == "" {
			continue
		}
		if m.Replaces == c.self {
			c.transferLeadership()
			return true
		}
		newMembers := slices.Clone(members)
		newMembers[i].Replaces = ""
		newMembers = slices.DeleteFunc(newMembers, func(o Member) bool { return o.Name == m.Replaces })
		c.appendMembership(newMembers)
		return true
	}
	return false
}

// removeSilent removes the member that has been silent the longest, as the removal policy says. Other members may be silent
// as well: they are removed one after the other, each by a change that a majority of the rest commits. A removed host that
// returns joins again.
func (c *core) removeSilent() {
	if c.removal.silentTicks == 0 {
		return
	}
	silent, longest := Member{}, c.removal.silentTicks-1
	for _, m := range c.log.members() {
		if p := c.peers[m.Name]; p != nil && p.ticksSinceReply > longest {
			silent, longest = m, p.ticksSinceReply
		}
	}
	if silent.Name == "" || silent.Voter && c.responsiveVoters() < c.removal.minVoters {
		return
	}
	c.reportDeparture(silent.Name, "")
	c.appendMembership(slices.DeleteFunc(slices.Clone(c.log.members()), func(m Member) bool { return m.Name == silent.Name }))
}

// responsiveVoters counts the voters whose replies count, this leader included.
func (c *core) responsiveVoters() int {
	n := 0
	for _, m := range c.log.members() {
		if p := c.peers[m.Name]; m.Voter && (m.Name == c.self || c.isResponsive(p) && !p.recovering) {
			n++
		}
	}
	return n
}

func (c *core) reportDeparture(name, successor string) {
	c.departures = append(c.departures, departure{
		name: name, successor: successor, silentTicks: c.peers[name].ticksSinceReply, responsive: c.responsiveVoters(),
	})
}

// transferWithoutContact asks the voter with the highest matchIndex to start an election although this leader receives
// no replies. If only the messages to this host are lost, the others still receive its messages. Without the request
// they would wait for an election timeout after its last heartbeat.
func (c *core) transferWithoutContact() {
	target := ""
	for _, m := range c.log.members() {
		p := c.peers[m.Name]
		if m.Voter && p != nil && !p.recovering && (target == "" || p.matchIndex > c.peers[target].matchIndex) {
			target = m.Name
		}
	}
	if target != "" {
		c.send(target, &encoder.Consensus{Kind: encoder.Consensus_ELECT})
	}
}

// transferLeadership asks the voter with the highest matchIndex to start an election. Proposals are rejected until the
// next heartbeat, when the transfer is abandoned if it has not succeeded.
func (c *core) transferLeadership() {
	if c.role != leader || c.transferTarget != "" {
		return
	}
	target := ""
	for _, m := range c.log.members() {
		p := c.peers[m.Name]
		if m.Voter && p != nil && !p.recovering && p.ticksSinceReply <= heartbeatTicks &&
			(target == "" || p.matchIndex > c.peers[target].matchIndex) {
			target = m.Name
		}
	}
	if target == "" || c.peers[target].matchIndex < c.commitIndex {
		return
	}
	c.transferTarget = target
	c.send(target, &encoder.Consensus{Kind: encoder.Consensus_ELECT})
}
