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

// mesh simulates holders and claiming entries under a schedule of loss, delay, reordering, duplication,
// restarts without memory, splits and replaced hosts.
type mesh struct {
	r       *rand.Rand
	now     time.Time
	nodes   map[string]*node
	names   []string
	configs [][]string
	flight  []func()
	claims  []*claimant
	// owner is the claim that may have run, by key; a second one breaks the invariant.
	owner   map[string]uint64
	fault   string
	granted int
	split   map[string]bool
	// partial lets only some members hear of a claim, so that a quorum is as small as it can be.
	partial bool
	// loss is the share of messages that are dropped.
	loss float64
	next uint64
}

type node struct {
	name   string
	boot   uint64
	config int
	holder *Holder
}

type claimant struct {
	node    *node
	boot    uint64
	key     string
	token   uint64
	set     set
	round   *round
	running bool
	done    bool
}

const (
	simRetention = time.Hour
	// simBuckets is small, since the cost of a step grows with it.
	simBuckets = 3
)

func newMesh(seed uint64, n int) *mesh {
	m := &mesh{
		r: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), nodes: make(map[string]*node),
		owner: make(map[string]uint64), split: make(map[string]bool),
	}
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	m.configs = [][]string{hosts}
	for _, h := range hosts {
		m.start(h, 0)
	}
	m.settle()
	m.loss = []float64{0, 0.1, 0.3, 0.5}[m.r.IntN(4)]
	return m
}

func (m *mesh) start(name string, config int) {
	m.next++
	n := &node{name: name, boot: m.next, config: config, holder: newHolder(name, m.next, m.now, simRetention, simBuckets)}
	n.holder.SetHosts(m.now, m.configs[config])
	if _, ok := m.nodes[name]; !ok {
		m.names = append(m.names, name)
	}
	m.nodes[name] = n
}

// settle runs without faults until every configured holder may vote.
func (m *mesh) settle() {
	for range 200 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.tick()
		m.drain()
		if m.lost() == 0 {
			return
		}
	}
}

func (m *mesh) drain() {
	for len(m.flight) > 0 {
		m.deliver(0)
	}
}

func (m *mesh) deliver(i int) {
	f := m.flight[i]
	m.flight = slices.Delete(m.flight, i, i+1)
	f()
}

// send queues a message between nodes; it is lost when the receiver restarts or a split separates them.
func (m *mesh) send(from, to *node, f func()) {
	if to == nil || m.r.Float64() < m.loss {
		return
	}
	m.flight = append(m.flight, func() {
		if m.nodes[to.name] == to && m.split[from.name] == m.split[to.name] {
			f()
		}
	})
}

func (m *mesh) tick() {
	for _, name := range m.names {
		n := m.nodes[name]
		due := n.holder.Fetches(m.now)
		for _, peer := range m.names {
			if ask, ok := due[peer]; ok {
				m.fetch(n, m.nodes[peer], ask)
			}
		}
	}
}

func (m *mesh) fetch(n, peer *node, ask *encoder.ClaimFetch) {
	answered := false
	m.send(n, peer, func() {
		page := peer.holder.Serve(m.now, ask)
		page = proto.Clone(page).(*encoder.ClaimPage)
		m.send(peer, n, func() {
			if !answered {
				answered = true
				n.holder.Page(m.now, peer.name, ask, page)
			}
		})
	})
	// The driver's timeout stands for a lost message.
	m.flight = append(m.flight, func() {
		if !answered && m.r.IntN(4) == 0 && m.nodes[n.name] == n {
			answered = true
			n.holder.Page(m.now, peer.name, ask, nil)
		}
	})
}

func (m *mesh) claim(n *node, key string) {
	m.next++
	c := &claimant{node: n, boot: n.boot, key: key, token: m.next}
	c.set = n.holder.set(key)
	c.round = newRound(&c.set, m.now)
	m.claims = append(m.claims, c)
	ask := &encoder.ClaimAsk{Members: c.set.hash, Key: key, Digest: 1, Token: c.token}
	deaf := 0
	if m.partial {
		deaf = m.r.IntN(4)
	}
	for i, at := range m.r.Perm(len(c.set.members)) {
		if i < deaf {
			continue
		}
		to := m.nodes[c.set.members[at]]
		voted := false
		ask := func() {
			v := to.holder.Ask(m.now, ask)
			m.send(to, n, func() {
				if !voted {
					voted = true
					c.round.add(m.now, v)
					m.decide(c, false)
				}
			})
		}
		m.send(n, to, ask)
		if m.r.IntN(5) == 0 {
			m.send(n, to, ask) // A duplicate.
		}
	}
}

func (m *mesh) decide(c *claimant, closed bool) {
	if c.done || c.running || m.nodes[c.node.name] != c.node {
		return
	}
	state, known, ok := c.round.verdict(closed)
	switch {
	case !ok:
	case known && state == sycamorevane.ClaimFresh:
		c.running = true
		m.granted++
		if owner := m.owner[c.key]; owner != 0 {
			m.fault = fmt.Sprintf("key %s runs for token %d and has run for token %d", c.key, c.token, owner)
		}
		m.owner[c.key] = c.token
	default:
		c.done = true
		m.end(c, encoder.ClaimState_CLAIM_RELEASED)
	}
}

func (m *mesh) end(c *claimant, state encoder.ClaimState) {
	rec := &encoder.ClaimRecord{Key: c.key, Digest: 1, Token: c.token, State: state}
	if state == encoder.ClaimState_CLAIM_ANSWERED {
		rec.Answer = &encoder.ClaimAnswer{Status: 200}
	}
	for _, member := range c.set.members {
		to := m.nodes[member]
		m.send(c.node, to, func() { to.holder.Set(m.now, rec) })
	}
}

// finish ends a running claim: answered, uncertain, or given back as proven not run.
func (m *mesh) finish(c *claimant) {
	c.done, c.running = true, false
	switch m.r.IntN(3) {
	case 0:
		m.owner[c.key] = 0
		m.end(c, encoder.ClaimState_CLAIM_RELEASED)
	case 1:
		m.end(c, encoder.ClaimState_CLAIM_ANSWERED)
	case 2:
		m.end(c, encoder.ClaimState_CLAIM_UNCERTAIN)
	}
}

// lost counts the hosts that do not know all claims of their sets; no more than 2 of 5 may be lost at once.
func (m *mesh) lost() int {
	n := 0
	for _, node := range m.nodes {
		if node.holder.Recovering() > 0 {
			n++
		}
	}
	return n
}

func (m *mesh) step() {
	m.now = m.now.Add(time.Duration(m.r.IntN(60)) * time.Millisecond)
	name := m.names[m.r.IntN(len(m.names))]
	n := m.nodes[name]
	latest := len(m.configs) - 1
	switch p := m.r.IntN(100); {
	case p < 55 && len(m.flight) > 0:
		for range min(len(m.flight), 1+m.r.IntN(8)) {
			m.deliver(m.r.IntN(len(m.flight)))
		}
	case p < 58 && len(m.flight) > 0:
		i := m.r.IntN(len(m.flight))
		m.flight = slices.Delete(m.flight, i, i+1)
	case p < 72:
		// Few keys at a time, so that claims meet, and new ones later, since most claims are never given back.
		m.claim(n, fmt.Sprintf("k%d-%d", m.now.Unix()/4, m.r.IntN(2)))
	case p < 78:
		for _, c := range m.claims {
			if !c.done && !c.running && m.now.Sub(c.round.began) > claimWindow {
				m.decide(c, true)
			} else if c.running && m.nodes[c.node.name] == c.node && m.r.IntN(8) == 0 {
				m.finish(c)
			}
		}
	case p < 90:
		m.tick()
	case p < 93:
		m.split = make(map[string]bool)
		for range m.r.IntN(4) {
			m.split[m.names[m.r.IntN(len(m.names))]] = true
		}
	case p < 96 && m.lost() < 2:
		name = m.voter(name)
		m.start(name, m.nodes[name].config)
	case p < 98 && n.config < latest:
		// A host that was replaced never learns of it.
		if slices.Contains(m.configs[latest], name) {
			n.config = latest
			n.holder.SetHosts(m.now, m.configs[latest])
		}
	case p < 99 && m.lost() < 2 && m.agreed():
		m.replace(name)
	}
}

// voter returns a member of a running claim's set, whose loss matters most, or else the given host.
func (m *mesh) voter(name string) string {
	for _, c := range m.claims {
		if c.running && m.r.IntN(2) == 0 {
			name = c.set.members[m.r.IntN(len(c.set.members))]
		}
	}
	return name
}

// agreed reports whether all configured hosts have the latest configuration in force.
func (m *mesh) agreed() bool {
	latest := len(m.configs) - 1
	for _, h := range m.configs[latest] {
		if m.nodes[h].config != latest || m.nodes[h].holder.Recovering() > 0 {
			return false
		}
	}
	return true
}

func (m *mesh) replace(name string) {
	latest := m.configs[len(m.configs)-1]
	i := slices.Index(latest, name)
	if i < 0 {
		return
	}
	next := slices.Clone(latest)
	next[i] = fmt.Sprintf("n%d", len(m.configs))
	m.configs = append(m.configs, next)
	m.start(next[i], len(m.configs)-1)
}

// Guards against a second run of a keyed request when holders restart without memory, the mesh splits, hosts
// are replaced and messages are lost, delayed, reordered or repeated.
func TestNoSecondRunUnderAnySchedule(t *testing.T) {
	t.Parallel()
	granted := 0
	seeder.FixSeed(t, 150)
	rapid.Check(t, func(rt *rapid.T) {
		m := newMesh(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(5, 7).Draw(rt, "hosts"))
		m.partial = true
		for range 1500 {
			m.step()
			if m.fault != "" {
				rt.Fatal(m.fault)
			}
		}
		granted += m.granted
	})
	assert.Greater(t, granted, 300, "the schedules must let claims through, or they check nothing")
}

// Guards against holders that never vote again after all have restarted, which is also the first start.
func TestHoldersRecoverTogether(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5, 16} {
		m := newMesh(1, n)
		require.Zero(t, m.lost(), "%d hosts", n)
		m.loss = 0
		m.claim(m.nodes["h0"], "k")
		m.drain()
		assert.Equal(t, 1, m.granted, "%d hosts", n)
	}
}

// Guards against a restarted holder that votes before it knows the claims of its sets.
func TestRestartedHolderFetchesBeforeItVotes(t *testing.T) {
	m := newMesh(1, 5)
	m.loss = 0
	m.claim(m.nodes["h0"], "k")
	m.drain()
	m.loss = 0
	m.start("h1", 0)
	h := m.nodes["h1"].holder
	ask := &encoder.ClaimAsk{Members: h.set("k").hash, Key: "k", Digest: 1, Token: 99}
	assert.Equal(t, encoder.ClaimVote_NONE, h.Ask(m.now, ask).Kind)
	fetch := &encoder.ClaimFetch{Buckets: []uint32{0, 1}, Members: []uint64{h.ring.sets[0].hash, 1}}
	assert.False(t, h.Serve(m.now, fetch).Buckets[0].Active, "others must not rely on it yet")
	m.settle()
	page := h.Serve(m.now, fetch)
	assert.True(t, page.Buckets[0].Active)
	assert.False(t, page.Buckets[1].Same, "the asker sees another set")
	assert.Equal(t, encoder.ClaimVote_RUNNING, h.Ask(m.now, ask).Kind)
}

// Guards against answers to a key that differ from what the claim's state says.
func TestVotes(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    encoder.ClaimState
		digest uint64
		after  time.Duration
		want   encoder.ClaimVote_Kind
	}{
		{"running", encoder.ClaimState_CLAIM_RUNNING, 1, 0, encoder.ClaimVote_RUNNING},
		{"not renewed", encoder.ClaimState_CLAIM_RUNNING, 1, leaseTime + 1, encoder.ClaimVote_LAPSED},
		{"answered", encoder.ClaimState_CLAIM_ANSWERED, 1, 0, encoder.ClaimVote_ANSWERED},
		{"uncertain", encoder.ClaimState_CLAIM_UNCERTAIN, 1, 0, encoder.ClaimVote_LOST},
		{"given back", encoder.ClaimState_CLAIM_RELEASED, 1, 0, encoder.ClaimVote_FRESH},
		{"given back, other body", encoder.ClaimState_CLAIM_RELEASED, 2, 0, encoder.ClaimVote_FRESH},
		{"other body", encoder.ClaimState_CLAIM_ANSWERED, 2, 0, encoder.ClaimVote_MISMATCH},
		{"expired", encoder.ClaimState_CLAIM_ANSWERED, 1, simRetention + 1, encoder.ClaimVote_FRESH},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(1, 1)
			h := m.nodes["h0"].holder
			h.Set(m.now, &encoder.ClaimRecord{Key: "k", Digest: 1, Token: 1, State: c.set})
			ask := &encoder.ClaimAsk{Members: h.set("k").hash, Key: "k", Digest: c.digest, Token: 2}
			assert.Equal(t, c.want, h.Ask(m.now.Add(c.after), ask).Kind)
		})
	}
}

// Guards against a late ask that claims a key after its claim was given back.
func TestLateAskOfReleasedClaim(t *testing.T) {
	m := newMesh(1, 1)
	h := m.nodes["h0"].holder
	h.Set(m.now, &encoder.ClaimRecord{Key: "k", Digest: 1, Token: 7, State: encoder.ClaimState_CLAIM_RELEASED})
	hash := h.set("k").hash
	assert.Equal(t, encoder.ClaimVote_NONE, h.Ask(m.now, &encoder.ClaimAsk{Members: hash, Key: "k", Digest: 1, Token: 7}).Kind)
	assert.Equal(t, encoder.ClaimVote_FRESH, h.Ask(m.now, &encoder.ClaimAsk{Members: hash, Key: "k", Digest: 1, Token: 8}).Kind)
}

// Guards against a holder that votes although a claim that ran may be unknown to it.
func TestWhatAHolderMustHear(t *testing.T) {
	type reply struct {
		peer         string
		same, active bool
		// at is the time in ms.
		at int
	}
	both := []reply{{"h1", true, true, 1000}, {"h2", true, true, 1001}}
	for _, c := range []struct {
		name    string
		replies []reply
		want    bool
	}{
		{"nothing", nil, false},
		{"two active members", both, false},
		{"three active members", append(both, reply{"h3", true, true, 1002}), true},
		{"a third that is recovering", append(both, reply{"h3", true, false, 1002}, reply{"h3", true, false, 1500}), false},
		{"a third with another set", append(both, reply{"h3", false, false, 1002}, reply{"h3", false, false, 1500}), false},
		{"three new members at once", append(both, reply{"h3", true, false, 1002}, reply{"h4", true, false, 1003},
			reply{"h3", true, false, 1500}, reply{"h4", true, false, 1501}), true},
		{"three new members seen once", append(both, reply{"h3", true, false, 1002}, reply{"h4", true, false, 1003}), false},
		{"three new members at different times", append(both, reply{"h3", true, false, 1002}, reply{"h3", true, false, 1500},
			reply{"h4", true, false, 2000}, reply{"h4", true, false, 2500}), false},
		{"three new members, one host silent", append(both[:1:1], reply{"h3", true, false, 1002}, reply{"h4", true, false, 1003},
			reply{"h3", true, false, 1500}, reply{"h4", true, false, 1501}), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(0, 0)
			h := newHolder("h0", 1, start, simRetention, 1)
			h.SetHosts(start, []string{"h0", "h1", "h2", "h3", "h4"})
			for _, r := range c.replies {
				now := start.Add(time.Duration(r.at) * time.Millisecond)
				ask := h.Fetches(now)[r.peer]
				require.NotNil(t, ask)
				bucket := &encoder.ClaimBucket{Same: r.same, Active: r.active}
				h.Page(now, r.peer, ask, &encoder.ClaimPage{Boot: 9, Buckets: []*encoder.ClaimBucket{bucket}})
				for _, other := range h.scans {
					other.pending = false // The others are asked anew.
				}
			}
			h.Fetches(start.Add(5 * time.Second))
			assert.Equal(t, c.want, h.buckets[0].active)
		})
	}
}

// Guards against "still running" for a claim that has ended, while some members have not heard of the end.
func TestVerdicts(t *testing.T) {
	const (
		fresh    = encoder.ClaimVote_FRESH
		running  = encoder.ClaimVote_RUNNING
		lost     = encoder.ClaimVote_LOST
		lapsed   = encoder.ClaimVote_LAPSED
		answered = encoder.ClaimVote_ANSWERED
		none     = encoder.ClaimVote_NONE
	)
	s := chooseSet(0, []string{"a", "b", "c", "d", "e"})
	for _, c := range []struct {
		votes     []encoder.ClaimVote_Kind
		want      sycamorevane.ClaimState
		known, ok bool
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
		r := newRound(&s, time.Unix(0, 0))
		for _, kind := range c.votes {
			r.add(time.Unix(0, 0), &encoder.ClaimVote{Kind: kind})
		}
		state, known, ok := r.verdict(false)
		assert.Equal(t, []any{c.want, c.known, c.ok}, []any{state, known, ok}, "%v", c.votes)
	}
}

// Guards against a vote of a former start that completes a quorum after the holder has fetched.
func TestVotesOfFormerStarts(t *testing.T) {
	start := time.Unix(0, 0)
	h := newHolder("h0", 1, start, simRetention, 1)
	h.SetHosts(start, []string{"h0", "h1", "h2"})
	assert.Empty(t, h.Fetches(start.Add(claimWindow)), "a claim that counts an old vote may still be open")
	assert.NotEmpty(t, h.Fetches(start.Add(recoverWait)))
	r := newRound(&h.ring.sets[0], start)
	for range 3 {
		r.add(start.Add(claimWindow+1), &encoder.ClaimVote{Kind: encoder.ClaimVote_FRESH})
	}
	_, known, _ := r.verdict(true)
	assert.False(t, known, "votes after the window must not count")
}

// Guards against votes across a change of the hosts: for a set that the holder does not see, and by a new member
// that has not fetched.
func TestVotesAcrossAChangeOfHosts(t *testing.T) {
	start := time.Unix(0, 0)
	before := []string{"h0", "h1", "h2", "h3", "h4"}
	after := []string{"h0", "h1", "h2", "h3", "h5"}
	stays := newHolder("h0", 1, start, simRetention, 1)
	stays.SetHosts(start, before)
	stays.buckets[0].active = true
	leaves := newHolder("h4", 1, start, simRetention, 1)
	leaves.SetHosts(start, before)
	leaves.buckets[0].active = true
	enters := newHolder("h5", 1, start, simRetention, 1)
	enters.SetHosts(start, before)
	old := stays.ring.sets[0].hash
	for _, h := range []*Holder{stays, leaves, enters} {
		h.SetHosts(start, after)
	}
	now := stays.ring.sets[0].hash
	token := uint64(0)
	expect := func(h *Holder, hash uint64, want encoder.ClaimVote_Kind, why string) {
		t.Helper()
		token++
		ask := &encoder.ClaimAsk{Members: hash, Key: fmt.Sprint(token), Digest: 1, Token: token}
		assert.Equal(t, want, h.Ask(start, ask).Kind, why)
	}
	expect(stays, now, encoder.ClaimVote_FRESH, "a member that stays keeps its right")
	expect(stays, old, encoder.ClaimVote_NONE, "the claimant sees the former set")
	expect(leaves, old, encoder.ClaimVote_NONE, "it has left")
	expect(enters, now, encoder.ClaimVote_NONE, "it has not fetched")
	leaves.SetHosts(start, before)
	expect(leaves, old, encoder.ClaimVote_NONE, "claims were made while it was away")
}

// Guards against a flood of keys that fills the memory, and against a size that is not given back.
func TestRecordsAreBounded(t *testing.T) {
	m := newMesh(1, 1)
	h := m.nodes["h0"].holder
	h.limit = 10_000
	hash := h.set("k").hash
	votes := make(map[encoder.ClaimVote_Kind]int)
	for i := range 100 {
		key := fmt.Sprint(i)
		votes[h.Ask(m.now, &encoder.ClaimAsk{Members: hash, Key: key, Digest: 1, Token: 1}).Kind]++
	}
	assert.Positive(t, votes[encoder.ClaimVote_FRESH])
	assert.Positive(t, votes[encoder.ClaimVote_NONE], "above the limit nothing may run")
	h.Set(m.now, &encoder.ClaimRecord{
		Key: "0", Digest: 1, Token: 1, State: encoder.ClaimState_CLAIM_ANSWERED,
		Answer: &encoder.ClaimAnswer{Status: 200, Body: make([]byte, 1000)},
	})
	vote := h.Ask(m.now, &encoder.ClaimAsk{Members: hash, Key: "0", Digest: 1, Token: 2})
	assert.Equal(t, encoder.ClaimVote_ANSWERED, vote.Kind)
	assert.True(t, vote.Answer.Large)
	h.Sweep(m.now.Add(2 * simRetention))
	assert.Zero(t, h.bytes)
}

// Guards against a fetch that leaves out records when they do not fit one page.
func TestFetchInPages(t *testing.T) {
	m := newMesh(1, 5)
	body := make([]byte, 60<<10)
	for i := range 100 {
		rec := &encoder.ClaimRecord{
			Key: fmt.Sprintf("key%d", i), Digest: 1, Token: 1, State: encoder.ClaimState_CLAIM_ANSWERED,
			Answer: &encoder.ClaimAnswer{Status: 200, Body: body},
		}
		for _, member := range m.nodes["h0"].holder.set(rec.Key).members {
			m.nodes[member].holder.Set(m.now, rec)
		}
	}
	want := m.nodes["h1"].holder.Sweep(m.now)
	require.Positive(t, want)
	m.loss = 0
	m.start("h1", 0)
	m.settle()
	assert.Equal(t, want, m.nodes["h1"].holder.Sweep(m.now))
}
