package replicator

import (
	"slices"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

// settled reports whether a new membership change may start: the last one is committed, and so is an entry of
// this term. Without the second condition two leaders could change the membership from the same base in
// different ways, and their majorities need not overlap.
func (c *core) settled() bool {
	if c.off.skipSettled {
		return true
	}
	configs := c.log.configs
	t, _ := c.log.term(c.commit)
	return len(configs) > 0 && configs[len(configs)-1].index <= c.commit && t == c.hard.Term
}

// replace starts the replacement of a member: the new host joins as learner, votes once it has caught up, and
// then the old one is removed. It reports done when that has already happened.
func (c *core) replace(old, new string) (done bool, err error) {
	if c.role != leader {
		return false, &sycamorevane.NotLeaderError{Leader: c.leader}
	}
	_, oldIn := c.member(old)
	n, newIn := c.member(new)
	if old == "" && new != "" {
		return c.addMember(new, newIn && n.Voter, newIn)
	}
	if new == "" && old != "" {
		return c.removeMember(old, oldIn)
	}
	switch {
	case new == "" || old == new:
		return false, errors.NotValidf("replacement of %q by %q", old, new)
	case newIn && n.Voter && !oldIn:
		return c.settled(), nil
	case newIn && n.Replaces == old:
		return false, nil
	case newIn:
		return false, errors.NotValidf("replacement of %q by %q, which is already a member,", old, new)
	case !oldIn:
		return false, errors.NotFoundf("member %q", old)
	case !c.settled():
		return false, errors.NotYetAvailablef("membership: the last change is not committed, a new one")
	}
	members := slices.Clone(c.log.members())
	// A learner that never caught up gives way to the one named later.
	members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Replaces == old })
	if i := slices.IndexFunc(members, func(m Member) bool { return m.Replaces != "" }); i >= 0 {
		return false, errors.NotYetAvailablef("membership: %q is still replacing %q, a new change", members[i].Name, members[i].Replaces)
	}
	c.change(append(members, Member{Name: new, Replaces: old}))
	return false, nil
}

// addMember lets a host join as learner; manage makes it a voter once it has caught up.
func (c *core) addMember(name string, votes, in bool) (done bool, err error) {
	switch {
	case votes:
		return c.settled(), nil
	case in:
		return false, nil
	case !c.settled():
		return false, errors.NotYetAvailablef("membership: the last change is not committed, a new one")
	}
	c.change(append(slices.Clone(c.log.members()), Member{Name: name}))
	return false, nil
}

// removeMember takes a host out for good. The others must hold a majority without it, or the group would be stuck
// behind the change.
func (c *core) removeMember(name string, in bool) (done bool, err error) {
	switch {
	case !in:
		return c.settled(), nil
	case name == c.self:
		return false, errors.NotValidf("removal of the leader %q by itself", name)
	case !c.settled():
		return false, errors.NotYetAvailablef("membership: the last change is not committed, a new one")
	}
	c.change(slices.DeleteFunc(slices.Clone(c.log.members()), func(m Member) bool { return m.Name == name }))
	return false, nil
}

func (c *core) change(members []Member) {
	c.add(kindMembers, encodeMembers(members))
	c.broadcast()
}

// manage continues membership changes: it promotes a learner that has caught up, removes the member it
// replaces, and ends the leadership of a removed leader.
func (c *core) manage() {
	if !c.settled() {
		return
	}
	members := c.log.members()
	if _, ok := c.member(c.self); !ok {
		c.follow("")
		return
	}
	for i, m := range members {
		p := c.peers[m.Name]
		if !m.Voter && p != nil && !p.recovering && p.snapshot == nil && !p.probing && p.match >= c.commit && p.heard <= heartbeatTicks {
			next := slices.Clone(members)
			next[i].Voter = true
			c.change(next)
			return
		}
	}
	for i, m := range members {
		if !m.Voter || m.Replaces == "" {
			continue
		}
		if m.Replaces == c.self {
			c.handOver()
			return
		}
		next := slices.Clone(members)
		next[i].Replaces = ""
		next = slices.DeleteFunc(next, func(o Member) bool { return o.Name == m.Replaces })
		c.change(next)
		return
	}
}

// handOverUnheard asks a voter to take over although nobody is heard. Where only the way to this host is cut, the others
// still hear it, and would wait for an election timeout from its last heartbeat on.
func (c *core) handOverUnheard() {
	best := ""
	for _, m := range c.log.members() {
		p := c.peers[m.Name]
		if m.Voter && p != nil && !p.recovering && (best == "" || p.match > c.peers[best].match) {
			best = m.Name
		}
	}
	if best != "" {
		c.send(best, &encoder.Consensus{Kind: encoder.Consensus_ELECT})
	}
}

// handOver asks the voter with the most complete log to take over. Proposals are refused until the next heartbeat,
// after which the attempt is given up.
func (c *core) handOver() {
	if c.role != leader || c.transfer != "" {
		return
	}
	best := ""
	for _, m := range c.log.members() {
		p := c.peers[m.Name]
		if m.Voter && p != nil && !p.recovering && p.heard <= heartbeatTicks && (best == "" || p.match > c.peers[best].match) {
			best = m.Name
		}
	}
	if best == "" || c.peers[best].match < c.commit {
		return
	}
	c.transfer = best
	c.send(best, &encoder.Consensus{Kind: encoder.Consensus_ELECT})
}
