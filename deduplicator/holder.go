package deduplicator

import (
	"maps"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// claimWindow bounds the time from the first ask to the last vote that counts.
	claimWindow = 500 * time.Millisecond
	// recoverWait is how long a restarted holder waits before it fetches. Votes of its former start count for
	// at most claimWindow, so every claim that used one is recorded by the other voters before the fetch; the
	// difference covers clocks that run at different rates.
	recoverWait = 2 * claimWindow
	// roundInterval is the time between fetch rounds.
	roundInterval = 250 * time.Millisecond
	// graceTime is how long hosts that cannot be reached, or have another configuration, are awaited when so
	// many holders are new that a quorum is lost. A configuration is in force everywhere within 13 s.
	graceTime = 15 * time.Second
	// leaseTime is how long a running claim stays "running" without a renewal.
	leaseTime = 5 * time.Second
	// releasedTime keeps the token of a released claim, so that a late ask of it claims nothing.
	releasedTime = 5 * time.Second
	// maxBytes bounds the records of one holder. Above it new keys are refused as not run, and answers are
	// recorded without their bodies.
	maxBytes = 256 << 20
	// pageSize bounds the records in one answer to a fetch, in bytes.
	pageSize = 1 << 20
)

// record is a claim as one holder knows it.
type record struct {
	digest uint64
	token  uint64
	state  encoder.ClaimState
	answer *encoder.ClaimAnswer
	// lease is when a running claim counts as uncertain; until is when the record is dropped.
	lease time.Time
	until time.Time
}

// peerState is what the last completed fetch from a peer said about one bucket.
type peerState struct {
	incarnation uint64
	// same is set when the peer sees the same holder set.
	same   bool
	active bool
	// The peer was recovering, in the same start, from first to last.
	first time.Time
	last  time.Time
}

// bucket is the holder's part of the keys with the same holder set.
type bucket struct {
	records map[string]*record
	// member is set while the holder is in the set; active while it may vote.
	member bool
	active bool
	// since is when the holder entered the set or started.
	since time.Time
	peers map[string]peerState
}

// Holder is the state machine of one claim holder. It is pure: time and messages are passed in.
type Holder struct {
	self        string
	incarnation uint64
	began       time.Time
	retention   time.Duration
	ring        *ring
	buckets     []bucket
	scans       map[string]*scan
	// bytes is the size of all records; limit bounds it.
	bytes int
	limit int
}

// scan is a fetch of all recovering buckets from one peer, page by page.
type scan struct {
	ask  *encoder.ClaimFetch
	next time.Time
	sent time.Time
	// pending is set between Fetches and Page.
	pending bool
}

// NewHolder returns an empty holder. incarnation must be unique per start of the process.
func NewHolder(self string, incarnation uint64, now time.Time, retention time.Duration) *Holder {
	return newHolder(self, incarnation, now, retention, buckets)
}

func newHolder(self string, incarnation uint64, now time.Time, retention time.Duration, n int) *Holder {
	h := &Holder{
		self: self, incarnation: incarnation, began: now, retention: retention,
		buckets: make([]bucket, n), scans: make(map[string]*scan), limit: maxBytes,
	}
	for i := range h.buckets {
		h.buckets[i].records = make(map[string]*record)
	}
	return h
}

// SetHosts puts a list of configured hosts in force. A holder that was active for a bucket and stays in its
// set remains active; one that enters a set must fetch before it votes.
func (h *Holder) SetHosts(now time.Time, hosts []string) {
	if h.ring != nil && slices.Equal(h.ring.hosts, hosts) {
		return
	}
	old := h.ring
	h.ring = newRing(hosts, len(h.buckets))
	h.scans = make(map[string]*scan)
	for i := range h.buckets {
		b := &h.buckets[i]
		if old != nil && old.sets[i].hash == h.ring.sets[i].hash {
			continue
		}
		member := h.ring.sets[i].has(h.self)
		if b.active = b.active && b.member && member; !b.active {
			b.since = now
		}
		b.member = member
		b.peers = make(map[string]peerState)
	}
}

// Ask votes on a claim.
func (h *Holder) Ask(now time.Time, m *encoder.ClaimAsk) *encoder.ClaimVote {
	i := bucketOf(m.Key, len(h.buckets))
	b := &h.buckets[i]
	if h.ring == nil || !b.member || h.ring.sets[i].hash != m.Members {
		return &encoder.ClaimVote{}
	}
	r := h.live(b, now, m.Key)
	if r == nil || (r.state == encoder.ClaimState_CLAIM_RELEASED && r.token != m.Token) {
		if !b.active || h.bytes > h.limit {
			return &encoder.ClaimVote{}
		}
		h.put(b, m.Key, &record{
			digest: m.Digest, token: m.Token, state: encoder.ClaimState_CLAIM_RUNNING,
			lease: now.Add(leaseTime), until: now.Add(leaseTime + h.retention),
		})
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_FRESH}
	}
	return r.vote(now, m, b.active)
}

// set returns the holder set of a key.
func (h *Holder) set(key string) set { return h.ring.sets[bucketOf(key, len(h.buckets))] }

// live returns the record of the key unless it has expired.
func (h *Holder) live(b *bucket, now time.Time, key string) *record {
	r, ok := b.records[key]
	if !ok {
		return nil
	}
	if now.After(r.until) {
		delete(b.records, key)
		h.bytes -= len(key) + r.size()
		return nil
	}
	return r
}

// put stores a record in place of the former one.
func (h *Holder) put(b *bucket, key string, r *record) {
	if old, ok := b.records[key]; ok {
		h.bytes -= len(key) + old.size()
	}
	if h.bytes+len(key)+r.size() > h.limit && r.answer != nil {
		r.answer = &encoder.ClaimAnswer{Status: r.answer.Status, Large: true}
	}
	b.records[key] = r
	h.bytes += len(key) + r.size()
}

func (r *record) vote(now time.Time, m *encoder.ClaimAsk, active bool) *encoder.ClaimVote {
	switch {
	case r.digest != m.Digest:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_MISMATCH}
	case r.state == encoder.ClaimState_CLAIM_ANSWERED:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_ANSWERED, Answer: r.answer}
	case r.state == encoder.ClaimState_CLAIM_RELEASED:
		return &encoder.ClaimVote{} // A late ask of a claim that was given back.
	case r.state == encoder.ClaimState_CLAIM_UNCERTAIN:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_LOST}
	case now.After(r.lease):
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_LAPSED}
	case r.token == m.Token && active:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_FRESH}
	}
	return &encoder.ClaimVote{Kind: encoder.ClaimVote_RUNNING}
}

// Set stores what the owner of a claim says about it.
func (h *Holder) Set(now time.Time, m *encoder.ClaimRecord) {
	b := &h.buckets[bucketOf(m.Key, len(h.buckets))]
	r := h.live(b, now, m.Key)
	if r != nil && r.token != m.Token && !overrides(m.State, r.state) {
		return
	}
	if r != nil && r.token == m.Token && r.state != encoder.ClaimState_CLAIM_RUNNING {
		return // The first end of a claim stands.
	}
	if m.State == encoder.ClaimState_CLAIM_RELEASED && r != nil && r.token != m.Token {
		return
	}
	h.put(b, m.Key, h.fromMessage(now, m))
}

// overrides reports whether a record of another token gives way. The tokens of a key differ when an earlier
// claim was given back and this holder has missed it, or when two claims were made at once.
func overrides(fresh, old encoder.ClaimState) bool {
	if old == encoder.ClaimState_CLAIM_RELEASED {
		return true
	}
	return old == encoder.ClaimState_CLAIM_RUNNING &&
		(fresh == encoder.ClaimState_CLAIM_ANSWERED || fresh == encoder.ClaimState_CLAIM_UNCERTAIN)
}

func (h *Holder) fromMessage(now time.Time, m *encoder.ClaimRecord) *record {
	r := &record{digest: m.Digest, token: m.Token, state: m.State, answer: m.Answer}
	left := time.Duration(m.Left) * time.Millisecond
	switch {
	case left > 0:
		r.until = now.Add(left)
		r.lease = now.Add(time.Duration(m.Lease) * time.Millisecond)
	case m.State == encoder.ClaimState_CLAIM_RELEASED:
		r.until = now.Add(releasedTime)
	case m.State == encoder.ClaimState_CLAIM_RUNNING:
		r.lease = now.Add(leaseTime)
		r.until = now.Add(leaseTime + h.retention)
	default:
		r.until = now.Add(h.retention)
	}
	return r
}

func (r *record) message(now time.Time, key string) *encoder.ClaimRecord {
	return &encoder.ClaimRecord{
		Key: key, Digest: r.digest, Token: r.token, State: r.state, Answer: r.answer,
		Lease: milliseconds(r.lease.Sub(now)), Left: max(1, milliseconds(r.until.Sub(now))),
	}
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// Serve answers a fetch with one page.
func (h *Holder) Serve(now time.Time, m *encoder.ClaimFetch) *encoder.ClaimPage {
	page := &encoder.ClaimPage{Boot: h.incarnation}
	size := 0
	for n, i := range m.Buckets {
		if i < m.Bucket || int(i) >= len(h.buckets) || n >= len(m.Members) {
			continue
		}
		b := &h.buckets[i]
		for _, key := range slices.Sorted(maps.Keys(b.records)) {
			if i == m.Bucket && key <= m.After {
				continue
			}
			r := h.live(b, now, key)
			if r == nil || r.state == encoder.ClaimState_CLAIM_RELEASED {
				continue
			}
			if size > pageSize {
				page.More = true
				return page
			}
			page.Records = append(page.Records, r.message(now, key))
			page.Bucket, page.After = i, key
			size += len(key) + r.size()
		}
		same := h.ring != nil && h.ring.sets[i].hash == m.Members[n]
		page.Buckets = append(page.Buckets, &encoder.ClaimBucket{Bucket: i, Same: same, Active: same && b.active})
	}
	return page
}

func (r *record) size() int {
	const overhead = 320 // Of the other fields and the map entry.
	if r.answer == nil {
		return overhead
	}
	n := overhead + len(r.answer.Body)
	for _, f := range r.answer.Fields {
		n += len(f.Name) + overhead/4
		for _, v := range f.Values {
			n += len(v)
		}
	}
	return n
}

// Fetches returns the fetches that are due, by peer.
func (h *Holder) Fetches(now time.Time) map[string]*encoder.ClaimFetch {
	if h.ring == nil || now.Sub(h.began) < recoverWait {
		return nil
	}
	h.activate(now)
	due := make(map[string]*encoder.ClaimFetch)
	for _, peer := range h.ring.hosts {
		if peer == h.self {
			continue
		}
		s, ok := h.scans[peer]
		if !ok {
			s = &scan{next: now}
			h.scans[peer] = s
		}
		if s.pending || now.Before(s.next) {
			continue
		}
		if s.ask == nil {
			s.ask = h.missing()
		}
		if len(s.ask.Buckets) == 0 {
			s.ask = nil
			continue
		}
		s.pending = true
		s.sent = now
		due[peer] = s.ask
	}
	return due
}

// missing asks for every bucket for which the holder may not vote yet.
func (h *Holder) missing() *encoder.ClaimFetch {
	m := &encoder.ClaimFetch{}
	for i := range h.buckets {
		if b := &h.buckets[i]; b.member && !b.active {
			m.Buckets = append(m.Buckets, uint32(i))
			m.Members = append(m.Members, h.ring.sets[i].hash)
		}
	}
	return m
}

// Page takes the answer to a fetch; a nil page means that there was none.
func (h *Holder) Page(now time.Time, peer string, ask *encoder.ClaimFetch, page *encoder.ClaimPage) {
	s, ok := h.scans[peer]
	if !ok || ask == nil || s.ask != ask {
		return // The hosts have changed since.
	}
	s.pending = false
	if page == nil {
		s.ask = nil
		s.next = now.Add(roundInterval)
		return
	}
	for _, r := range page.Records {
		h.merge(now, r)
	}
	for _, done := range page.Buckets {
		h.noteBucket(now, s.sent, peer, page.Boot, done)
	}
	s.ask = nil
	s.next = now.Add(roundInterval)
	if page.More {
		s.ask = &encoder.ClaimFetch{Buckets: ask.Buckets, Members: ask.Members, Bucket: page.Bucket, After: page.After}
		s.next = now
	}
	h.activate(now)
}

func (h *Holder) merge(now time.Time, m *encoder.ClaimRecord) {
	b := &h.buckets[bucketOf(m.Key, len(h.buckets))]
	if r := h.live(b, now, m.Key); r != nil && !overrides(m.State, r.state) {
		return
	}
	h.put(b, m.Key, h.fromMessage(now, m))
}

func (h *Holder) noteBucket(now, sent time.Time, peer string, incarnation uint64, m *encoder.ClaimBucket) {
	if int(m.Bucket) >= len(h.buckets) || h.buckets[m.Bucket].peers == nil {
		return
	}
	b := &h.buckets[m.Bucket]
	fresh := peerState{incarnation: incarnation, same: m.Same, active: m.Active, first: now, last: sent}
	if old, ok := b.peers[peer]; ok && old.incarnation == incarnation && old.recovering() {
		fresh.first = old.first
	}
	b.peers[peer] = fresh
}

func (p *peerState) recovering() bool { return p.same && !p.active }

// activate lets the holder vote for each bucket whose claims it is sure to know.
func (h *Holder) activate(now time.Time) {
	for i := range h.buckets {
		b := &h.buckets[i]
		if b.member && !b.active {
			b.active = h.complete(now, i)
		}
	}
}

// complete reports whether no claim that ran can be unknown here: enough active members were heard, or claims
// of before the start have expired, or so many members are new at once that a quorum of memories is lost and
// nothing more can be learned.
func (h *Holder) complete(now time.Time, i int) bool {
	b, s := &h.buckets[i], &h.ring.sets[i]
	active := 0
	for _, host := range s.members {
		if p, ok := b.peers[host]; ok && p.same && p.active {
			active++
		}
	}
	if active >= s.fetches() || now.Sub(b.since) > h.retention+leaseTime {
		return true
	}
	if b.recoveringAtOnce(s) < s.quorum() {
		return false
	}
	return h.heardAll(b) || now.Sub(b.since) > graceTime
}

// recoveringAtOnce returns the largest number of members, with this one, known to have been recovering at the
// same time.
func (b *bucket) recoveringAtOnce(s *set) int {
	most := 1
	for _, at := range b.peers {
		n := 1
		for _, host := range s.members {
			if p, ok := b.peers[host]; ok && p.recovering() && !p.first.After(at.first) && !p.last.Before(at.first) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// heardAll reports whether every configured host sees the same set and has sent what it knows.
func (h *Holder) heardAll(b *bucket) bool {
	for _, host := range h.ring.hosts {
		if p, ok := b.peers[host]; host != h.self && (!ok || !p.same) {
			return false
		}
	}
	return true
}

// Sweep drops expired records and returns how many are left.
func (h *Holder) Sweep(now time.Time) int {
	n := 0
	for i := range h.buckets {
		b := &h.buckets[i]
		for key := range b.records {
			h.live(b, now, key)
		}
		n += len(b.records)
	}
	return n
}

// Recovering returns the number of buckets for which the holder may not vote yet.
func (h *Holder) Recovering() int {
	n := 0
	for i := range h.buckets {
		if b := &h.buckets[i]; b.member && !b.active {
			n++
		}
	}
	return n
}
