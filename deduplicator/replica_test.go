package deduplicator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/seeder"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// simulation runs replicas and entries that claim keys, with lost, delayed, reordered and duplicated messages, restarts
// that lose all records, network partitions and replaced hosts.
type simulation struct {
	rand      *rand.Rand
	now       time.Time
	nodes     map[string]*node
	names     []string
	hostLists [][]string
	inFlight  []func()
	attempts  []*claimAttempt
	// claimedBy is the token of the claim that may have run, by key. A second one violates the invariant.
	claimedBy map[string]uint64
	// violation describes the first violation that was found.
	violation string
	granted   int
	// partitioned holds the nodes on one side of a network partition.
	partitioned map[string]bool
	// partialDelivery sends vote requests to only some of the replicas, so that quorums are as small as possible.
	partialDelivery bool
	// lossRate is the share of messages that are dropped.
	lossRate float64
	lastID   uint64
}

type node struct {
	name        string
	incarnation uint64
	// hostList is an index into simulation.hostLists.
	hostList int
	replica  *Replica
}

// claimAttempt is a claim that an entry has requested, and its state on that entry.
type claimAttempt struct {
	node        *node
	incarnation uint64
	key         string
	token       uint64
	replicas    replicaSet
	votes       *voteCount
	running     bool
	done        bool
}

const (
	simRetention = time.Hour
	// simBuckets is small because the cost of a simulated step grows with it.
	simBuckets = 3
)

func newSimulation(seed uint64, n int) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), nodes: make(map[string]*node),
		claimedBy: make(map[string]uint64), partitioned: make(map[string]bool),
	}
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	sim.hostLists = [][]string{hosts}
	for _, h := range hosts {
		sim.startNode(h, 0)
	}
	sim.recoverAll()
	sim.lossRate = []float64{0, 0.1, 0.3, 0.5}[sim.rand.IntN(4)]
	return sim
}

func (sim *simulation) startNode(name string, hostList int) {
	sim.lastID++
	n := &node{
		name: name, incarnation: sim.lastID, hostList: hostList,
		replica: newReplica(name, sim.lastID, sim.now, simRetention, simBuckets),
	}
	n.replica.SetHosts(sim.now, sim.hostLists[hostList])
	if _, ok := sim.nodes[name]; !ok {
		sim.names = append(sim.names, name)
	}
	sim.nodes[name] = n
}

// recoverAll runs without faults until all nodes may vote.
func (sim *simulation) recoverAll() {
	for range 200 {
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.sendFetches()
		sim.deliverAll()
		if sim.recoveringNodes() == 0 {
			return
		}
	}
}

func (sim *simulation) deliverAll() {
	for len(sim.inFlight) > 0 {
		sim.deliver(0)
	}
}

func (sim *simulation) deliver(i int) {
	f := sim.inFlight[i]
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	f()
}

// send queues a message between nodes. The message is lost if the receiver restarts or a partition separates the nodes.
func (sim *simulation) send(from, to *node, f func()) {
	if to == nil || sim.rand.Float64() < sim.lossRate {
		return
	}
	sim.inFlight = append(sim.inFlight, func() {
		if sim.nodes[to.name] == to && sim.partitioned[from.name] == sim.partitioned[to.name] {
			f()
		}
	})
}

func (sim *simulation) sendFetches() {
	for _, name := range sim.names {
		n := sim.nodes[name]
		due := n.replica.DueFetches(sim.now)
		for _, peer := range sim.names {
			if req, ok := due[peer]; ok {
				sim.fetch(n, sim.nodes[peer], req)
			}
		}
	}
}

func (sim *simulation) fetch(n, peer *node, req *encoder.ClaimFetch) {
	answered := false
	sim.send(n, peer, func() {
		page := peer.replica.ServeFetch(sim.now, req)
		page = proto.Clone(page).(*encoder.ClaimPage)
		sim.send(peer, n, func() {
			if !answered {
				answered = true
				n.replica.HandlePage(sim.now, peer.name, req, page)
			}
		})
	})
	// A lost message ends in a timeout.
	sim.inFlight = append(sim.inFlight, func() {
		if !answered && sim.rand.IntN(4) == 0 && sim.nodes[n.name] == n {
			answered = true
			n.replica.HandlePage(sim.now, peer.name, req, nil)
		}
	})
}

func (sim *simulation) claim(n *node, key string) {
	sim.lastID++
	c := &claimAttempt{node: n, incarnation: n.incarnation, key: key, token: sim.lastID}
	c.replicas = n.replica.replicaSetOf(key)
	c.votes = newVoteCount(&c.replicas, sim.now)
	sim.attempts = append(sim.attempts, c)
	req := &encoder.ClaimAsk{Members: c.replicas.hash, Key: key, Digest: 1, Token: c.token}
	unreached := 0
	if sim.partialDelivery {
		unreached = sim.rand.IntN(4)
	}
	for i, member := range sim.rand.Perm(len(c.replicas.members)) {
		if i < unreached {
			continue
		}
		to := sim.nodes[c.replicas.members[member]]
		voted := false
		deliver := func() {
			vote := to.replica.Vote(sim.now, req)
			sim.send(to, n, func() {
				if !voted {
					voted = true
					c.votes.addReply(sim.now, vote)
					sim.decide(c, false)
				}
			})
		}
		sim.send(n, to, deliver)
		if sim.rand.IntN(5) == 0 {
			sim.send(n, to, deliver) // Duplicates the message.
		}
	}
}

func (sim *simulation) decide(c *claimAttempt, final bool) {
	if c.done || c.running || sim.nodes[c.node.name] != c.node {
		return
	}
	state, known, decided := c.votes.result(final)
	switch {
	case !decided:
	case known && state == sycamorevane.ClaimFresh:
		c.running = true
		sim.granted++
		if previous := sim.claimedBy[c.key]; previous != 0 {
			sim.violation = fmt.Sprintf("key %s runs for token %d and has run for token %d", c.key, c.token, previous)
		}
		sim.claimedBy[c.key] = c.token
	default:
		c.done = true
		sim.sendEnd(c, encoder.ClaimState_CLAIM_RELEASED)
	}
}

func (sim *simulation) sendEnd(c *claimAttempt, state encoder.ClaimState) {
	record := &encoder.ClaimRecord{Key: c.key, Digest: 1, Token: c.token, State: state}
	if state == encoder.ClaimState_CLAIM_ANSWERED {
		record.Answer = &encoder.ClaimAnswer{Status: 200}
	}
	for _, member := range c.replicas.members {
		to := sim.nodes[member]
		sim.send(c.node, to, func() { to.replica.Update(sim.now, record) })
	}
}

// finishClaim ends a running claim as answered, as uncertain or, if the request has provably not run, as released.
func (sim *simulation) finishClaim(c *claimAttempt) {
	c.done, c.running = true, false
	switch sim.rand.IntN(3) {
	case 0:
		sim.claimedBy[c.key] = 0
		sim.sendEnd(c, encoder.ClaimState_CLAIM_RELEASED)
	case 1:
		sim.sendEnd(c, encoder.ClaimState_CLAIM_ANSWERED)
	case 2:
		sim.sendEnd(c, encoder.ClaimState_CLAIM_UNCERTAIN)
	}
}

// recoveringNodes returns the number of nodes that are recovering. No more than 2 of 5 may recover at the same time.
func (sim *simulation) recoveringNodes() int {
	n := 0
	for _, node := range sim.nodes {
		if node.replica.RecoveringBuckets() > 0 {
			n++
		}
	}
	return n
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.rand.IntN(60)) * time.Millisecond)
	name := sim.names[sim.rand.IntN(len(sim.names))]
	n := sim.nodes[name]
	latest := len(sim.hostLists) - 1
	switch p := sim.rand.IntN(100); {
	case p < 55 && len(sim.inFlight) > 0:
		for range min(len(sim.inFlight), 1+sim.rand.IntN(8)) {
			sim.deliver(sim.rand.IntN(len(sim.inFlight)))
		}
	case p < 58 && len(sim.inFlight) > 0:
		i := sim.rand.IntN(len(sim.inFlight))
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	case p < 72:
		// Uses few keys at a time, so that claims conflict, and new keys later, since most claims are never released.
		sim.claim(n, fmt.Sprintf("k%d-%d", sim.now.Unix()/4, sim.rand.IntN(2)))
	case p < 78:
		for _, c := range sim.attempts {
			if !c.done && !c.running && sim.now.Sub(c.votes.startedAt) > voteWindow {
				sim.decide(c, true)
			} else if c.running && sim.nodes[c.node.name] == c.node && sim.rand.IntN(8) == 0 {
				sim.finishClaim(c)
			}
		}
	case p < 90:
		sim.sendFetches()
	case p < 93:
		sim.partitioned = make(map[string]bool)
		for range sim.rand.IntN(4) {
			sim.partitioned[sim.names[sim.rand.IntN(len(sim.names))]] = true
		}
	case p < 96 && sim.recoveringNodes() < 2:
		name = sim.preferVoter(name)
		sim.startNode(name, sim.nodes[name].hostList)
	case p < 98 && n.hostList < latest:
		// A host that has been replaced does not receive the new configuration.
		if slices.Contains(sim.hostLists[latest], name) {
			n.hostList = latest
			n.replica.SetHosts(sim.now, sim.hostLists[latest])
		}
	case p < 99 && sim.recoveringNodes() < 2 && sim.hostsAgree():
		sim.replaceHost(name)
	}
}

// preferVoter returns a replica of a running claim, because the loss of its records is most likely to cause a
// violation, or else the given host.
func (sim *simulation) preferVoter(name string) string {
	for _, c := range sim.attempts {
		if c.running && sim.rand.IntN(2) == 0 {
			name = c.replicas.members[sim.rand.IntN(len(c.replicas.members))]
		}
	}
	return name
}

// hostsAgree reports whether all configured hosts have the latest configuration and have recovered.
func (sim *simulation) hostsAgree() bool {
	latest := len(sim.hostLists) - 1
	for _, h := range sim.hostLists[latest] {
		if sim.nodes[h].hostList != latest || sim.nodes[h].replica.RecoveringBuckets() > 0 {
			return false
		}
	}
	return true
}

func (sim *simulation) replaceHost(name string) {
	latest := sim.hostLists[len(sim.hostLists)-1]
	i := slices.Index(latest, name)
	if i < 0 {
		return
	}
	next := slices.Clone(latest)
	next[i] = fmt.Sprintf("n%d", len(sim.hostLists))
	sim.hostLists = append(sim.hostLists, next)
	sim.startNode(next[i], len(sim.hostLists)-1)
}

// Guards against a request with an idempotency key that runs twice when replicas restart and lose their records, the
// network is partitioned, hosts are replaced, and messages are lost, delayed, reordered or duplicated.
func TestNoSecondRunUnderAnySchedule(t *testing.T) {
	t.Parallel()
	granted := 0
	seeder.FixSeed(t, 150)
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(5, 7).Draw(rt, "hosts"))
		sim.partialDelivery = true
		for range 1500 {
			sim.step()
			if sim.violation != "" {
				rt.Fatal(sim.violation)
			}
		}
		granted += sim.granted
	})
	assert.Greater(t, granted, 300, "too few claims are granted for the test to check anything")
}

// Guards against replicas that never vote after all of them have restarted. The first start is the same case.
func TestHoldersRecoverTogether(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5, 16} {
		sim := newSimulation(1, n)
		require.Zero(t, sim.recoveringNodes(), "%d hosts", n)
		sim.lossRate = 0
		sim.claim(sim.nodes["h0"], "k")
		sim.deliverAll()
		assert.Equal(t, 1, sim.granted, "%d hosts", n)
	}
}

// Guards against a restarted replica that votes before it knows the claims of its buckets.
func TestRestartedHolderFetchesBeforeItVotes(t *testing.T) {
	sim := newSimulation(1, 5)
	sim.lossRate = 0
	sim.claim(sim.nodes["h0"], "k")
	sim.deliverAll()
	sim.lossRate = 0
	sim.startNode("h1", 0)
	replica := sim.nodes["h1"].replica
	req := &encoder.ClaimAsk{Members: replica.replicaSetOf("k").hash, Key: "k", Digest: 1, Token: 99}
	assert.Equal(t, encoder.ClaimVote_NONE, replica.Vote(sim.now, req).Kind)
	fetchReq := &encoder.ClaimFetch{Buckets: []uint32{0, 1}, Members: []uint64{replica.placement.replicaSets[0].hash, 1}}
	assert.False(t, replica.ServeFetch(sim.now, fetchReq).Buckets[0].Active, "other replicas must not rely on it yet")
	sim.recoverAll()
	page := replica.ServeFetch(sim.now, fetchReq)
	assert.True(t, page.Buckets[0].Active)
	assert.False(t, page.Buckets[1].Same, "the requester has another replica set")
	assert.Equal(t, encoder.ClaimVote_RUNNING, replica.Vote(sim.now, req).Kind)
}

// Guards against a vote that does not match the state of the claim.
func TestVotes(t *testing.T) {
	for _, c := range []struct {
		name   string
		state  encoder.ClaimState
		digest uint64
		after  time.Duration
		want   encoder.ClaimVote_Kind
	}{
		{"running", encoder.ClaimState_CLAIM_RUNNING, 1, 0, encoder.ClaimVote_RUNNING},
		{"not renewed", encoder.ClaimState_CLAIM_RUNNING, 1, claimLease + 1, encoder.ClaimVote_LAPSED},
		{"answered", encoder.ClaimState_CLAIM_ANSWERED, 1, 0, encoder.ClaimVote_ANSWERED},
		{"uncertain", encoder.ClaimState_CLAIM_UNCERTAIN, 1, 0, encoder.ClaimVote_LOST},
		{"given back", encoder.ClaimState_CLAIM_RELEASED, 1, 0, encoder.ClaimVote_FRESH},
		{"given back, other body", encoder.ClaimState_CLAIM_RELEASED, 2, 0, encoder.ClaimVote_FRESH},
		{"other body", encoder.ClaimState_CLAIM_ANSWERED, 2, 0, encoder.ClaimVote_MISMATCH},
		{"expired", encoder.ClaimState_CLAIM_ANSWERED, 1, simRetention + 1, encoder.ClaimVote_FRESH},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 1)
			replica := sim.nodes["h0"].replica
			replica.Update(sim.now, &encoder.ClaimRecord{Key: "k", Digest: 1, Token: 1, State: c.state})
			req := &encoder.ClaimAsk{Members: replica.replicaSetOf("k").hash, Key: "k", Digest: c.digest, Token: 2}
			assert.Equal(t, c.want, replica.Vote(sim.now.Add(c.after), req).Kind)
		})
	}
}

// Guards against a delayed vote request that claims a key again after its claim was released.
func TestLateAskOfReleasedClaim(t *testing.T) {
	sim := newSimulation(1, 1)
	replica := sim.nodes["h0"].replica
	replica.Update(sim.now, &encoder.ClaimRecord{Key: "k", Digest: 1, Token: 7, State: encoder.ClaimState_CLAIM_RELEASED})
	hash := replica.replicaSetOf("k").hash
	assert.Equal(t, encoder.ClaimVote_NONE, replica.Vote(sim.now, &encoder.ClaimAsk{Members: hash, Key: "k", Digest: 1, Token: 7}).Kind)
	assert.Equal(t, encoder.ClaimVote_FRESH, replica.Vote(sim.now, &encoder.ClaimAsk{Members: hash, Key: "k", Digest: 1, Token: 8}).Kind)
}

// Guards against a recovering replica that votes although it may not know a claim that ran.
func TestWhatAHolderMustHear(t *testing.T) {
	type reply struct {
		peer                   string
		sameReplicaSet, active bool
		// atMillis is when the reply arrives, in ms after the start of the replica.
		atMillis int
	}
	twoActive := []reply{{"h1", true, true, 1000}, {"h2", true, true, 1001}}
	for _, c := range []struct {
		name    string
		replies []reply
		want    bool
	}{
		{"nothing", nil, false},
		{"two active members", twoActive, false},
		{"three active members", append(twoActive, reply{"h3", true, true, 1002}), true},
		{"a third that is recovering", append(twoActive, reply{"h3", true, false, 1002}, reply{"h3", true, false, 1500}), false},
		{"a third with another set", append(twoActive, reply{"h3", false, false, 1002}, reply{"h3", false, false, 1500}), false},
		{"three new members at once", append(twoActive, reply{"h3", true, false, 1002}, reply{"h4", true, false, 1003},
			reply{"h3", true, false, 1500}, reply{"h4", true, false, 1501}), true},
		{"three new members seen once", append(twoActive, reply{"h3", true, false, 1002}, reply{"h4", true, false, 1003}), false},
		{"three new members at different times", append(twoActive, reply{"h3", true, false, 1002}, reply{"h3", true, false, 1500},
			reply{"h4", true, false, 2000}, reply{"h4", true, false, 2500}), false},
		{"three new members, one host silent", append(twoActive[:1:1], reply{"h3", true, false, 1002}, reply{"h4", true, false, 1003},
			reply{"h3", true, false, 1500}, reply{"h4", true, false, 1501}), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			replica := newReplica("h0", 1, start, simRetention, 1)
			replica.SetHosts(start, []string{"h0", "h1", "h2", "h3", "h4"})
			for _, r := range c.replies {
				now := start.Add(time.Duration(r.atMillis) * time.Millisecond)
				req := replica.DueFetches(now)[r.peer]
				require.NotNil(t, req)
				bucket := &encoder.ClaimBucket{Same: r.sameReplicaSet, Active: r.active}
				replica.HandlePage(now, r.peer, req, &encoder.ClaimPage{Boot: 9, Buckets: []*encoder.ClaimBucket{bucket}})
				for _, f := range replica.fetches {
					f.pending = false // Lets the requests to all peers be sent again.
				}
			}
			replica.DueFetches(start.Add(5 * time.Second))
			assert.Equal(t, c.want, replica.buckets[0].active)
		})
	}
}

// Guards against the state "running" for a claim that has ended when some replicas have not received the end.
func TestVerdicts(t *testing.T) {
	const (
		fresh    = encoder.ClaimVote_FRESH
		running  = encoder.ClaimVote_RUNNING
		lost     = encoder.ClaimVote_LOST
		lapsed   = encoder.ClaimVote_LAPSED
		answered = encoder.ClaimVote_ANSWERED
		none     = encoder.ClaimVote_NONE
	)
	replicas := newReplicaSet(0, []string{"a", "b", "c", "d", "e"})
	for _, c := range []struct {
		votes          []encoder.ClaimVote_Kind
		want           sycamorevane.ClaimState
		known, decided bool
	}{
		{[]encoder.ClaimVote_Kind{fresh, fresh, fresh}, sycamorevane.ClaimFresh, true, true},
		{[]encoder.ClaimVote_Kind{fresh, fresh, running}, 0, false, false},
		{[]encoder.ClaimVote_Kind{fresh, fresh, running, running, running}, sycamorevane.ClaimRunning, true, true},
		{[]encoder.ClaimVote_Kind{running, running, lost}, sycamorevane.ClaimUncertain, true, true},
		{[]encoder.ClaimVote_Kind{running, running, answered}, sycamorevane.ClaimAnswered, true, true},
		{[]encoder.ClaimVote_Kind{lapsed, lapsed, running}, sycamorevane.ClaimRunning, true, true},
		{[]encoder.ClaimVote_Kind{lapsed, lapsed, lapsed}, sycamorevane.ClaimUncertain, true, true},
		{[]encoder.ClaimVote_Kind{none, running, running}, 0, false, false},
		{[]encoder.ClaimVote_Kind{none, running, running, answered}, sycamorevane.ClaimAnswered, true, true},
		{[]encoder.ClaimVote_Kind{none, none, none}, 0, false, false},
		{[]encoder.ClaimVote_Kind{none, none, none, none, none}, 0, false, true},
		{[]encoder.ClaimVote_Kind{fresh, fresh, none, none, none}, 0, false, true},
	} {
		count := newVoteCount(&replicas, time.Unix(0, 0))
		for _, kind := range c.votes {
			count.addReply(time.Unix(0, 0), &encoder.ClaimVote{Kind: kind})
		}
		state, known, decided := count.result(false)
		assert.Equal(t, []any{c.want, c.known, c.decided}, []any{state, known, decided}, "%v", c.votes)
	}
}

// Guards against a vote that a replica cast before a restart and that completes a quorum after the replica has fetched.
func TestVotesOfFormerStarts(t *testing.T) {
	start := time.Unix(0, 0)
	replica := newReplica("h0", 1, start, simRetention, 1)
	replica.SetHosts(start, []string{"h0", "h1", "h2"})
	assert.Empty(t, replica.DueFetches(start.Add(voteWindow)), "a claim that counts an earlier vote may still be undecided")
	assert.NotEmpty(t, replica.DueFetches(start.Add(recoveryDelay)))
	count := newVoteCount(&replica.placement.replicaSets[0], start)
	for range 3 {
		count.addReply(start.Add(voteWindow+1), &encoder.ClaimVote{Kind: encoder.ClaimVote_FRESH})
	}
	_, known, _ := count.result(true)
	assert.False(t, known, "votes after voteWindow must not count")
}

// Guards against votes across a change of the hosts: for a replica set that differs from that of the voter, and by a
// new member that has not fetched claims.
func TestVotesAcrossAChangeOfHosts(t *testing.T) {
	start := time.Unix(0, 0)
	before := []string{"h0", "h1", "h2", "h3", "h4"}
	after := []string{"h0", "h1", "h2", "h3", "h5"}
	staying := newReplica("h0", 1, start, simRetention, 1)
	staying.SetHosts(start, before)
	staying.buckets[0].active = true
	leaving := newReplica("h4", 1, start, simRetention, 1)
	leaving.SetHosts(start, before)
	leaving.buckets[0].active = true
	entering := newReplica("h5", 1, start, simRetention, 1)
	entering.SetHosts(start, before)
	oldHash := staying.placement.replicaSets[0].hash
	for _, replica := range []*Replica{staying, leaving, entering} {
		replica.SetHosts(start, after)
	}
	newHash := staying.placement.replicaSets[0].hash
	token := uint64(0)
	expect := func(replica *Replica, hash uint64, want encoder.ClaimVote_Kind, reason string) {
		t.Helper()
		token++
		req := &encoder.ClaimAsk{Members: hash, Key: fmt.Sprint(token), Digest: 1, Token: token}
		assert.Equal(t, want, replica.Vote(start, req).Kind, reason)
	}
	expect(staying, newHash, encoder.ClaimVote_FRESH, "a member of both sets remains active")
	expect(staying, oldHash, encoder.ClaimVote_NONE, "the request is for the former replica set")
	expect(leaving, oldHash, encoder.ClaimVote_NONE, "the host is no longer a member")
	expect(entering, newHash, encoder.ClaimVote_NONE, "the new member has not fetched claims")
	leaving.SetHosts(start, before)
	expect(leaving, oldHash, encoder.ClaimVote_NONE, "claims may have been made while the host was not a member")
}

// Guards against a flood of keys that fills the memory, and against a record size that is not subtracted on expiry.
func TestRecordsAreBounded(t *testing.T) {
	sim := newSimulation(1, 1)
	replica := sim.nodes["h0"].replica
	replica.maxRecordBytes = 10_000
	hash := replica.replicaSetOf("k").hash
	votes := make(map[encoder.ClaimVote_Kind]int)
	for i := range 100 {
		key := fmt.Sprint(i)
		votes[replica.Vote(sim.now, &encoder.ClaimAsk{Members: hash, Key: key, Digest: 1, Token: 1}).Kind]++
	}
	assert.Positive(t, votes[encoder.ClaimVote_FRESH])
	assert.Positive(t, votes[encoder.ClaimVote_NONE], "above the limit, new claims must not be granted")
	replica.Update(sim.now, &encoder.ClaimRecord{
		Key: "0", Digest: 1, Token: 1, State: encoder.ClaimState_CLAIM_ANSWERED,
		Answer: &encoder.ClaimAnswer{Status: 200, Body: make([]byte, 1000)},
	})
	vote := replica.Vote(sim.now, &encoder.ClaimAsk{Members: hash, Key: "0", Digest: 1, Token: 2})
	assert.Equal(t, encoder.ClaimVote_ANSWERED, vote.Kind)
	assert.True(t, vote.Answer.Large)
	replica.RemoveExpired(sim.now.Add(2 * simRetention))
	assert.Zero(t, replica.recordBytes)
}

// Guards against a fetch that omits records when they do not fit in one page.
func TestFetchInPages(t *testing.T) {
	sim := newSimulation(1, 5)
	body := make([]byte, 60<<10)
	for i := range 100 {
		record := &encoder.ClaimRecord{
			Key: fmt.Sprintf("key%d", i), Digest: 1, Token: 1, State: encoder.ClaimState_CLAIM_ANSWERED,
			Answer: &encoder.ClaimAnswer{Status: 200, Body: body},
		}
		for _, member := range sim.nodes["h0"].replica.replicaSetOf(record.Key).members {
			sim.nodes[member].replica.Update(sim.now, record)
		}
	}
	want := sim.nodes["h1"].replica.RemoveExpired(sim.now)
	require.Positive(t, want)
	sim.lossRate = 0
	sim.startNode("h1", 0)
	sim.recoverAll()
	assert.Equal(t, want, sim.nodes["h1"].replica.RemoveExpired(sim.now))
}
