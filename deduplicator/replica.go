package deduplicator

import (
	"maps"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// voteWindow is the longest time from the first vote request of a claim to the last vote that counts.
	voteWindow = 500 * time.Millisecond
	// recoveryDelay is how long a restarted replica waits before it fetches claims. A vote that it cast before the
	// restart counts for at most voteWindow, so that by the time of the fetch the other voters have recorded every
	// claim that used the vote. The factor 2 allows for clocks that run at different rates.
	recoveryDelay = 2 * voteWindow
	// fetchInterval is the time between two fetches from the same peer.
	fetchInterval = 250 * time.Millisecond
	// missingHostTimeout applies when so many replicas of a bucket lost their records at once that no quorum with
	// records is left. It is how long recovery then waits for hosts that are unreachable or have another configuration.
	// A new configuration is in force on all hosts within 13 s.
	missingHostTimeout = 15 * time.Second
	// claimLease is how long a claim counts as running after its last renewal.
	claimLease = 5 * time.Second
	// releasedRetention is how long the token of a released claim is kept, so that a delayed vote request for the claim
	// cannot claim the key again.
	releasedRetention = 5 * time.Second
	// defaultMaxRecordBytes limits the total size of a replica's records. Above the limit the replica casts no votes
	// for new keys, whose requests are then refused as not run, and it stores responses without their headers and
	// bodies.
	defaultMaxRecordBytes = 256 << 20
	// pageBytes is the total size of records above which a reply to a fetch is sent and the rest follows in another
	// page.
	pageBytes = 1 << 20
)

// record is what one replica knows of a claim.
type record struct {
	digest   uint64
	token    uint64
	state    encoder.ClaimState
	response *encoder.ClaimAnswer
	// leaseExpiresAt is when a running claim starts to count as uncertain.
	leaseExpiresAt time.Time
	// expiresAt is when the record is removed.
	expiresAt time.Time
}

// peerState is the state of one bucket on a peer as of the last completed fetch from it.
type peerState struct {
	incarnation uint64
	// sameReplicaSet is set when the bucket has the same replica set in the peer's configuration.
	sameReplicaSet bool
	active         bool
	// The peer was recovering, without a restart in between, at least from recoveringFrom, when the first reply that
	// said so arrived, to recoveringTo, when the request for the last such reply was sent. A single reply proves no
	// such period, because its request was sent before it arrived. Both fields are meaningful only if recovering
	// returns true.
	recoveringFrom time.Time
	recoveringTo   time.Time
}

// bucket holds the claims of the keys that hash to one bucket.
type bucket struct {
	records map[string]*record
	// isMember is set while this replica is in the replica set of the bucket.
	isMember bool
	// active is set while this replica may vote: it is a member and its records are complete.
	active bool
	// recoveryStartedAt is when the replica set of the bucket last changed without this replica being active
	// afterwards. The first list of hosts after a start counts as a change.
	recoveryStartedAt time.Time
	// peers holds the replies to fetches, by host.
	peers map[string]peerState
}

// Replica stores the claims of one entry host and votes on new ones. It does no I/O and reads no clock: time and
// messages are passed in.
//
// A replica that has restarted, or has entered the replica set of a bucket, recovers: it fetches the records of the
// bucket from all other hosts and does not vote on new keys of the bucket until it is certain to know all claims that
// may have run.
type Replica struct {
	self        string
	incarnation uint64
	startedAt   time.Time
	retention   time.Duration
	placement   *placement
	buckets     []bucket
	fetches     map[string]*fetch
	// recordBytes is the estimated size of all records.
	recordBytes    int
	maxRecordBytes int
}

// fetch is the state of fetching all recovering buckets from one peer, page by page.
type fetch struct {
	// req requests the next page; nil when the previous fetch is complete or has failed.
	req *encoder.ClaimFetch
	// nextAt is the earliest time of the next request.
	nextAt time.Time
	// sentAt is when the last request was sent.
	sentAt time.Time
	// pending is set while a request has been returned by DueFetches and HandlePage has not been called for it.
	pending bool
}

// NewReplica returns a replica without records. incarnation must be unique per start of the process.
func NewReplica(self string, incarnation uint64, now time.Time, retention time.Duration) *Replica {
	return newReplica(self, incarnation, now, retention, bucketCount)
}

func newReplica(self string, incarnation uint64, now time.Time, retention time.Duration, buckets int) *Replica {
	r := &Replica{
		self: self, incarnation: incarnation, startedAt: now, retention: retention,
		buckets: make([]bucket, buckets), fetches: make(map[string]*fetch), maxRecordBytes: defaultMaxRecordBytes,
	}
	for i := range r.buckets {
		r.buckets[i].records = make(map[string]*record)
	}
	return r
}

// SetHosts applies a list of configured hosts. A replica that is active in a bucket and stays in its replica set
// remains active. One that enters a replica set must recover before it votes.
func (r *Replica) SetHosts(now time.Time, hosts []string) {
	if r.placement != nil && slices.Equal(r.placement.hosts, hosts) {
		return
	}
	old := r.placement
	r.placement = newPlacement(hosts, len(r.buckets))
	r.fetches = make(map[string]*fetch)
	for i := range r.buckets {
		b := &r.buckets[i]
		if old != nil && old.replicaSets[i].hash == r.placement.replicaSets[i].hash {
			continue
		}
		isMember := r.placement.replicaSets[i].contains(r.self)
		if b.active = b.active && b.isMember && isMember; !b.active {
			b.recoveryStartedAt = now
		}
		b.isMember = isMember
		b.peers = make(map[string]peerState)
	}
}

// Vote replies to a vote request. It records the claim if it votes for it.
func (r *Replica) Vote(now time.Time, m *encoder.ClaimAsk) *encoder.ClaimVote {
	i := bucketIndex(m.Key, len(r.buckets))
	b := &r.buckets[i]
	if r.placement == nil || !b.isMember || r.placement.replicaSets[i].hash != m.Members {
		return &encoder.ClaimVote{}
	}
	rec := r.lookup(b, now, m.Key)
	if rec == nil || (rec.state == encoder.ClaimState_CLAIM_RELEASED && rec.token != m.Token) {
		if !b.active || r.recordBytes > r.maxRecordBytes {
			return &encoder.ClaimVote{}
		}
		r.store(b, m.Key, &record{
			digest: m.Digest, token: m.Token, state: encoder.ClaimState_CLAIM_RUNNING,
			leaseExpiresAt: now.Add(claimLease), expiresAt: now.Add(claimLease + r.retention),
		})
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_FRESH}
	}
	return rec.vote(now, m, b.active)
}

// replicaSetOf returns the replica set of a key.
func (r *Replica) replicaSetOf(key string) replicaSet {
	return r.placement.replicaSets[bucketIndex(key, len(r.buckets))]
}

// lookup returns the record of a key, or nil if there is none. It removes the record if it has expired.
func (r *Replica) lookup(b *bucket, now time.Time, key string) *record {
	rec, ok := b.records[key]
	if !ok {
		return nil
	}
	if now.After(rec.expiresAt) {
		delete(b.records, key)
		r.recordBytes -= len(key) + rec.size()
		return nil
	}
	return rec
}

// store replaces the record of a key. Above maxRecordBytes it stores a response without its header and body.
func (r *Replica) store(b *bucket, key string, rec *record) {
	if old, ok := b.records[key]; ok {
		r.recordBytes -= len(key) + old.size()
	}
	if r.recordBytes+len(key)+rec.size() > r.maxRecordBytes && rec.response != nil {
		rec.response = &encoder.ClaimAnswer{Status: rec.response.Status, Large: true}
	}
	b.records[key] = rec
	r.recordBytes += len(key) + rec.size()
}

// vote returns the vote on a claim of a key that has a record.
func (rec *record) vote(now time.Time, m *encoder.ClaimAsk, active bool) *encoder.ClaimVote {
	switch {
	case rec.digest != m.Digest:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_MISMATCH}
	case rec.state == encoder.ClaimState_CLAIM_ANSWERED:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_ANSWERED, Answer: rec.response}
	case rec.state == encoder.ClaimState_CLAIM_RELEASED:
		return &encoder.ClaimVote{} // A delayed request for a claim that has been released.
	case rec.state == encoder.ClaimState_CLAIM_UNCERTAIN:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_LOST}
	case now.After(rec.leaseExpiresAt):
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_LAPSED}
	case rec.token == m.Token && active:
		return &encoder.ClaimVote{Kind: encoder.ClaimVote_FRESH}
	}
	return &encoder.ClaimVote{Kind: encoder.ClaimVote_RUNNING}
}

// Update stores a record that the entry which made the claim has sent: a renewal or the end of the claim.
func (r *Replica) Update(now time.Time, m *encoder.ClaimRecord) {
	b := &r.buckets[bucketIndex(m.Key, len(r.buckets))]
	rec := r.lookup(b, now, m.Key)
	if rec != nil && rec.token != m.Token && !overrides(m.State, rec.state) {
		return
	}
	if rec != nil && rec.token == m.Token && rec.state != encoder.ClaimState_CLAIM_RUNNING {
		return // The first recorded end of a claim is final.
	}
	if m.State == encoder.ClaimState_CLAIM_RELEASED && rec != nil && rec.token != m.Token {
		return
	}
	r.store(b, m.Key, r.decodeRecord(now, m))
}

// overrides reports whether a record in state incoming replaces a record with another token in state existing. Tokens
// of a key differ when an earlier claim was released and this replica missed the release, or when two claims were made
// at the same time.
func overrides(incoming, existing encoder.ClaimState) bool {
	if existing == encoder.ClaimState_CLAIM_RELEASED {
		return true
	}
	return existing == encoder.ClaimState_CLAIM_RUNNING &&
		(incoming == encoder.ClaimState_CLAIM_ANSWERED || incoming == encoder.ClaimState_CLAIM_UNCERTAIN)
}

func (r *Replica) decodeRecord(now time.Time, m *encoder.ClaimRecord) *record {
	rec := &record{digest: m.Digest, token: m.Token, state: m.State, response: m.Answer}
	remaining := time.Duration(m.Left) * time.Millisecond
	switch {
	case remaining > 0:
		rec.expiresAt = now.Add(remaining)
		rec.leaseExpiresAt = now.Add(time.Duration(m.Lease) * time.Millisecond)
	case m.State == encoder.ClaimState_CLAIM_RELEASED:
		rec.expiresAt = now.Add(releasedRetention)
	case m.State == encoder.ClaimState_CLAIM_RUNNING:
		rec.leaseExpiresAt = now.Add(claimLease)
		rec.expiresAt = now.Add(claimLease + r.retention)
	default:
		rec.expiresAt = now.Add(r.retention)
	}
	return rec
}

func (rec *record) encode(now time.Time, key string) *encoder.ClaimRecord {
	return &encoder.ClaimRecord{
		Key: key, Digest: rec.digest, Token: rec.token, State: rec.state, Answer: rec.response,
		Lease: milliseconds(rec.leaseExpiresAt.Sub(now)), Left: max(1, milliseconds(rec.expiresAt.Sub(now))),
	}
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// ServeFetch replies to a fetch with one page of records.
func (r *Replica) ServeFetch(now time.Time, m *encoder.ClaimFetch) *encoder.ClaimPage {
	page := &encoder.ClaimPage{Boot: r.incarnation}
	size := 0
	for position, i := range m.Buckets {
		if i < m.Bucket || int(i) >= len(r.buckets) || position >= len(m.Members) {
			continue
		}
		b := &r.buckets[i]
		for _, key := range slices.Sorted(maps.Keys(b.records)) {
			if i == m.Bucket && key <= m.After {
				continue
			}
			rec := r.lookup(b, now, key)
			if rec == nil || rec.state == encoder.ClaimState_CLAIM_RELEASED {
				continue
			}
			if size > pageBytes {
				page.More = true
				return page
			}
			page.Records = append(page.Records, rec.encode(now, key))
			page.Bucket, page.After = i, key
			size += len(key) + rec.size()
		}
		sameReplicaSet := r.placement != nil && r.placement.replicaSets[i].hash == m.Members[position]
		page.Buckets = append(page.Buckets, &encoder.ClaimBucket{Bucket: i, Same: sameReplicaSet, Active: sameReplicaSet && b.active})
	}
	return page
}

// size estimates the memory use of a record in bytes, without its key.
func (rec *record) size() int {
	const overhead = 320 // The other fields and the map entry.
	if rec.response == nil {
		return overhead
	}
	n := overhead + len(rec.response.Body)
	for _, f := range rec.response.Fields {
		n += len(f.Name) + overhead/4
		for _, v := range f.Values {
			n += len(v)
		}
	}
	return n
}

// DueFetches returns the fetch requests to send now, by peer.
func (r *Replica) DueFetches(now time.Time) map[string]*encoder.ClaimFetch {
	if r.placement == nil || now.Sub(r.startedAt) < recoveryDelay {
		return nil
	}
	r.activateBuckets(now)
	due := make(map[string]*encoder.ClaimFetch)
	for _, peer := range r.placement.hosts {
		if peer == r.self {
			continue
		}
		f, ok := r.fetches[peer]
		if !ok {
			f = &fetch{nextAt: now}
			r.fetches[peer] = f
		}
		if f.pending || now.Before(f.nextAt) {
			continue
		}
		if f.req == nil {
			f.req = r.newFetchRequest()
		}
		if len(f.req.Buckets) == 0 {
			f.req = nil
			continue
		}
		f.pending = true
		f.sentAt = now
		due[peer] = f.req
	}
	return due
}

// newFetchRequest returns a request for every bucket that this replica is recovering.
func (r *Replica) newFetchRequest() *encoder.ClaimFetch {
	m := &encoder.ClaimFetch{}
	for i := range r.buckets {
		if b := &r.buckets[i]; b.isMember && !b.active {
			m.Buckets = append(m.Buckets, uint32(i))
			m.Members = append(m.Members, r.placement.replicaSets[i].hash)
		}
	}
	return m
}

// HandlePage takes the reply to the fetch request req; a nil page means that there was none.
func (r *Replica) HandlePage(now time.Time, peer string, req *encoder.ClaimFetch, page *encoder.ClaimPage) {
	f, ok := r.fetches[peer]
	if !ok || req == nil || f.req != req {
		return // The hosts have changed since the request was sent.
	}
	f.pending = false
	if page == nil {
		f.req = nil
		f.nextAt = now.Add(fetchInterval)
		return
	}
	for _, rec := range page.Records {
		r.mergeRecord(now, rec)
	}
	for _, peerBucket := range page.Buckets {
		r.updatePeer(now, f.sentAt, peer, page.Boot, peerBucket)
	}
	f.req = nil
	f.nextAt = now.Add(fetchInterval)
	if page.More {
		f.req = &encoder.ClaimFetch{Buckets: req.Buckets, Members: req.Members, Bucket: page.Bucket, After: page.After}
		f.nextAt = now
	}
	r.activateBuckets(now)
}

// mergeRecord stores a record that was fetched from a peer unless the existing record takes precedence.
func (r *Replica) mergeRecord(now time.Time, m *encoder.ClaimRecord) {
	b := &r.buckets[bucketIndex(m.Key, len(r.buckets))]
	if rec := r.lookup(b, now, m.Key); rec != nil && !overrides(m.State, rec.state) {
		return
	}
	r.store(b, m.Key, r.decodeRecord(now, m))
}

// updatePeer stores what a completed fetch says about one bucket of the peer.
func (r *Replica) updatePeer(now, sentAt time.Time, peer string, incarnation uint64, m *encoder.ClaimBucket) {
	if int(m.Bucket) >= len(r.buckets) || r.buckets[m.Bucket].peers == nil {
		return
	}
	b := &r.buckets[m.Bucket]
	state := peerState{
		incarnation: incarnation, sameReplicaSet: m.Same, active: m.Active, recoveringFrom: now, recoveringTo: sentAt,
	}
	if old, ok := b.peers[peer]; ok && old.incarnation == incarnation && old.recovering() {
		state.recoveringFrom = old.recoveringFrom
	}
	b.peers[peer] = state
}

func (p *peerState) recovering() bool { return p.sameReplicaSet && !p.active }

// activateBuckets ends the recovery of each bucket whose records are complete.
func (r *Replica) activateBuckets(now time.Time) {
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.isMember && !b.active {
			b.active = r.recoveryComplete(now, i)
		}
	}
}

// recoveryComplete reports whether this replica knows every claim of bucket i that ran and that can still be known.
// That is so when it has fetched from enough active members, or when all claims made before the recovery started have
// expired. It is also so when a quorum of members was recovering at the same time, which means that their records are
// lost: the replica then takes the records that other hosts still have, and waits up to missingHostTimeout for hosts
// that have not replied or have another replica set.
func (r *Replica) recoveryComplete(now time.Time, i int) bool {
	b, s := &r.buckets[i], &r.placement.replicaSets[i]
	active := 0
	for _, host := range s.members {
		if p, ok := b.peers[host]; ok && p.sameReplicaSet && p.active {
			active++
		}
	}
	if active >= s.recoveryQuorum() || now.Sub(b.recoveryStartedAt) > r.retention+claimLease {
		return true
	}
	if b.maxRecoveringTogether(s) < s.quorum() {
		return false
	}
	return r.allHostsReplied(b) || now.Sub(b.recoveryStartedAt) > missingHostTimeout
}

// maxRecoveringTogether returns the largest number of members, including this one, that are known to have been
// recovering at the same time.
func (b *bucket) maxRecoveringTogether(s *replicaSet) int {
	result := 1
	for _, peer := range b.peers {
		n := 1
		for _, host := range s.members {
			if p, ok := b.peers[host]; ok && p.recovering() &&
				!p.recoveringFrom.After(peer.recoveringFrom) && !p.recoveringTo.Before(peer.recoveringFrom) {
				n++
			}
		}
		result = max(result, n)
	}
	return result
}

// allHostsReplied reports whether every other configured host has sent its records and has the same replica set for the
// bucket.
func (r *Replica) allHostsReplied(b *bucket) bool {
	for _, host := range r.placement.hosts {
		if p, ok := b.peers[host]; host != r.self && (!ok || !p.sameReplicaSet) {
			return false
		}
	}
	return true
}

// RemoveExpired removes expired records and returns the number of remaining records.
func (r *Replica) RemoveExpired(now time.Time) int {
	n := 0
	for i := range r.buckets {
		b := &r.buckets[i]
		for key := range b.records {
			r.lookup(b, now, key)
		}
		n += len(b.records)
	}
	return n
}

// RecoveringBuckets returns the number of buckets in whose replica set this replica is without being active.
func (r *Replica) RecoveringBuckets() int {
	n := 0
	for i := range r.buckets {
		if b := &r.buckets[i]; b.isMember && !b.active {
			n++
		}
	}
	return n
}
