package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// quarantineThreshold is the number of server deaths with which a request is quarantined.
	quarantineThreshold = 2
	// recentlyBrokenPeriod is how long a request that ended without a complete response still counts as running if its
	// server is then found to be dead.
	recentlyBrokenPeriod = 2 * time.Second
	// clearancePeriod is how long before a death a response may have arrived and still show that its request did not
	// cause the death. A request that crashes every server on which it runs gets no response. Popular requests get one
	// in every such period, so that they are not quarantined when a whole rack fails.
	clearancePeriod = time.Second
	// maxDeaths limits the number of deaths that are tracked; the oldest are evicted first.
	maxDeaths = 4096
)

// status says whether a request may run.
type status uint8

const (
	unsuspected status = iota
	// suspect means that the request may have caused a death and may run only with a lock.
	suspect
	// quarantined means that the request is considered to have caused quarantineThreshold deaths and must not run.
	quarantined
)

// death is the death of one server process that had requests running.
type death struct {
	serverID  string
	version   string
	learnedAt time.Time
	expiresAt time.Time
	// clearedByRequest has a key for each request that was running, by fingerprint. The value is true when the request
	// was shown not to have caused the death.
	clearedByRequest map[uint64]bool
}

// serverRequest is a request that this entry runs, or has recently run, on one server.
type serverRequest struct {
	// running is the number of copies that are running.
	running int
	// brokenAt is when a copy last ended without a complete response; zero for never.
	brokenAt time.Time
	version  string
}

// lock is the right of one entry to run a suspect on one server.
type lock struct {
	token     uint64
	serverID  string
	expiresAt time.Time
}

// Tracker tracks, on one entry, running requests, deaths of servers and the locks of suspects. It does no I/O and reads
// no clock: time and messages are passed in.
type Tracker struct {
	retention time.Duration
	deaths    map[string]*death
	// serversByRequest lists, by fingerprint, the IDs of the dead servers on which the request was running.
	serversByRequest map[uint64][]string
	// culprits holds the requests that had quarantineThreshold deaths which no earlier culprit explains.
	culprits         sycamorevane.Set[uint64]
	requestsByServer map[string]map[uint64]*serverRequest
	locks            map[uint64]lock
	// responses and olderResponses hold the arrival times of the last responses. They are rotated every
	// clearancePeriod, and the older ones are then dropped.
	responses      map[responseKey]time.Time
	olderResponses map[responseKey]time.Time
	rotatedAt      time.Time
}

// responseKey identifies the responses of one server version to one request.
type responseKey struct {
	fingerprint uint64
	version     string
}

// NewTracker returns an empty tracker. retention is how long a death counts against requests.
func NewTracker(retention time.Duration) *Tracker {
	return &Tracker{
		retention:        retention,
		deaths:           make(map[string]*death),
		serversByRequest: make(map[uint64][]string),
		culprits:         make(sycamorevane.Set[uint64]),
		requestsByServer: make(map[string]map[uint64]*serverRequest),
		locks:            make(map[uint64]lock),
		responses:        make(map[responseKey]time.Time),
	}
}

// StartRequest records a request that is about to be sent.
func (t *Tracker) StartRequest(fingerprint uint64, s sycamorevane.Server) {
	requests, ok := t.requestsByServer[s.ID]
	if !ok {
		requests = make(map[uint64]*serverRequest)
		t.requestsByServer[s.ID] = requests
	}
	req, ok := requests[fingerprint]
	if !ok {
		req = &serverRequest{version: s.Version}
		requests[fingerprint] = req
	}
	req.running++
}

// EndRequest records how a request ended. mayHaveDied is true when the server may have died. cleared lists the dead
// servers that the request was running on and did not crash, as its response now shows.
func (t *Tracker) EndRequest(now time.Time, fingerprint uint64, s sycamorevane.Server, kind sycamorevane.OutcomeKind) (mayHaveDied bool, cleared []string) {
	req := t.requestsByServer[s.ID][fingerprint]
	if req == nil {
		return false, nil
	}
	req.running--
	switch kind {
	case sycamorevane.OutcomeIncomplete, sycamorevane.OutcomeTimeout, sycamorevane.OutcomeCancelled:
		req.brokenAt = now
	case sycamorevane.OutcomeOK, sycamorevane.OutcomeFailed:
		cleared = t.recordResponse(now, fingerprint, s.Version)
	case sycamorevane.OutcomeShed, sycamorevane.OutcomeConnectFailed:
	}
	if req.running == 0 && req.brokenAt.IsZero() {
		t.removeRequest(s.ID, fingerprint)
	}
	return kind == sycamorevane.OutcomeIncomplete || kind == sycamorevane.OutcomeConnectFailed, cleared
}

func (t *Tracker) removeRequest(server string, fingerprint uint64) {
	delete(t.requestsByServer[server], fingerprint)
	if len(t.requestsByServer[server]) == 0 {
		delete(t.requestsByServer, server)
	}
}

// recordResponse records a complete response and clears the request of the deaths of servers of the same version. It
// returns these servers.
func (t *Tracker) recordResponse(now time.Time, fingerprint uint64, version string) []string {
	if now.Sub(t.rotatedAt) > clearancePeriod {
		t.responses, t.olderResponses, t.rotatedAt = make(map[responseKey]time.Time), t.responses, now
	}
	t.responses[responseKey{fingerprint, version}] = now
	var servers []string
	for _, id := range t.serversByRequest[fingerprint] {
		if d := t.deaths[id]; d.version == version && !d.clearedByRequest[fingerprint] {
			servers = append(servers, id)
		}
	}
	t.Clear(fingerprint, servers)
	return servers
}

// isResponse reports whether an outcome means that the server has responded to the request, having run it.
func isResponse(kind sycamorevane.OutcomeKind) bool {
	return kind == sycamorevane.OutcomeOK || kind == sycamorevane.OutcomeFailed
}

// respondingVersions returns the versions from which a response to the request has arrived less than clearancePeriod ago.
func (t *Tracker) respondingVersions(now time.Time, fingerprint uint64) []string {
	var versions []string
	for _, responses := range []map[responseKey]time.Time{t.responses, t.olderResponses} {
		for key, at := range responses {
			if key.fingerprint == fingerprint && now.Sub(at) < clearancePeriod && !slices.Contains(versions, key.version) {
				versions = append(versions, key.version)
			}
		}
	}
	return versions
}

// isCleared reports whether the request was running on servers that died and has been cleared of all of these deaths.
func (t *Tracker) isCleared(fingerprint uint64) bool {
	for _, id := range t.serversByRequest[fingerprint] {
		if !t.deaths[id].clearedByRequest[fingerprint] {
			return false
		}
	}
	return len(t.serversByRequest[fingerprint]) > 0
}

// relatedDeaths returns the recorded form of the deaths and, for each request that may have caused one of them, as many of
// the other deaths as are needed to quarantine it.
func (t *Tracker) relatedDeaths(now time.Time, deaths []*encoder.Death) []*encoder.Death {
	listed := sycamorevane.NewSet[string]()
	var list []*encoder.Death
	add := func(id string) {
		if d, ok := t.deaths[id]; ok && !listed.Has(id) {
			listed.Add(id)
			list = append(list, t.encodeDeath(now, d))
		}
	}
	for _, m := range deaths {
		add(m.Server)
		for _, fingerprint := range m.Running {
			related := t.unclearedDeaths(now, fingerprint)
			for _, d := range related[:min(len(related), quarantineThreshold)] {
				add(d.serverID)
			}
		}
	}
	return list
}

// clearedByResponse reports whether a response shows that the request did not cause a death at diedAt. The response
// must have arrived after the death, or less than clearancePeriod before it.
func (t *Tracker) clearedByResponse(diedAt time.Time, fingerprint uint64, version string) bool {
	key := responseKey{fingerprint, version}
	last, ok := t.responses[key]
	if !ok {
		last, ok = t.olderResponses[key]
	}
	return ok && last.After(diedAt.Add(-clearancePeriod))
}

// Clear records that the request did not cause the deaths of the servers.
func (t *Tracker) Clear(fingerprint uint64, servers []string) {
	for _, id := range servers {
		if d, ok := t.deaths[id]; ok {
			d.clearedByRequest[fingerprint] = true
			delete(t.culprits, fingerprint)
		}
	}
}

// RecordDeath records the death of a server with the requests that this entry had running on it. It returns the report
// for the other entries, or nil when there were no such requests.
func (t *Tracker) RecordDeath(now time.Time, s sycamorevane.Server) *encoder.Death {
	m := &encoder.Death{Server: s.ID, Version: s.Version, Left: milliseconds(t.retention)}
	for fingerprint, req := range t.requestsByServer[s.ID] {
		if req.running > 0 || now.Sub(req.brokenAt) < recentlyBrokenPeriod {
			m.Running = append(m.Running, fingerprint)
		}
	}
	if len(m.Running) == 0 {
		return nil
	}
	slices.Sort(m.Running)
	t.MergeReport(now, m)
	return t.encodeDeath(now, t.deaths[s.ID])
}

// MergeReport merges the report of a death. It returns the requests that were cleared because this entry got a response
// to them.
func (t *Tracker) MergeReport(now time.Time, m *encoder.Death) []uint64 {
	if m.Left == 0 {
		return nil
	}
	d, ok := t.deaths[m.Server]
	if !ok {
		d = &death{
			serverID: m.Server, version: m.Version, learnedAt: now, clearedByRequest: make(map[uint64]bool),
			expiresAt: now.Add(time.Duration(m.Left) * time.Millisecond),
		}
		t.evictOldest()
		t.deaths[m.Server] = d
	}
	var newlyCleared []uint64
	for _, fingerprint := range m.Running {
		cleared, ok := d.clearedByRequest[fingerprint]
		if !ok {
			t.serversByRequest[fingerprint] = append(t.serversByRequest[fingerprint], m.Server)
		}
		if !cleared && t.clearedByResponse(d.learnedAt, fingerprint, d.version) {
			cleared = true
			newlyCleared = append(newlyCleared, fingerprint)
		}
		d.clearedByRequest[fingerprint] = cleared
	}
	for _, fingerprint := range m.Cleared {
		if _, ok := d.clearedByRequest[fingerprint]; ok {
			d.clearedByRequest[fingerprint] = true
		}
	}
	t.updateCulprits(now, d)
	return newlyCleared
}

// evictOldest removes the oldest death when maxDeaths is reached.
func (t *Tracker) evictOldest() {
	if len(t.deaths) < maxDeaths {
		return
	}
	var oldest *death
	for _, d := range t.deaths {
		if oldest == nil || d.learnedAt.Before(oldest.learnedAt) {
			oldest = d
		}
	}
	t.removeDeath(oldest)
}

func (t *Tracker) removeDeath(d *death) {
	delete(t.deaths, d.serverID)
	for fingerprint := range d.clearedByRequest {
		t.serversByRequest[fingerprint] = slices.DeleteFunc(t.serversByRequest[fingerprint],
			func(id string) bool { return id == d.serverID })
		if len(t.serversByRequest[fingerprint]) == 0 {
			delete(t.serversByRequest, fingerprint)
			delete(t.culprits, fingerprint)
		}
	}
}

// unclearedDeaths returns the unexpired deaths that the request may have caused.
func (t *Tracker) unclearedDeaths(now time.Time, fingerprint uint64) []*death {
	var list []*death
	for _, id := range t.serversByRequest[fingerprint] {
		if d := t.deaths[id]; !d.clearedByRequest[fingerprint] && now.Before(d.expiresAt) {
			list = append(list, d)
		}
	}
	return list
}

// Status returns the status of a request and, if it is quarantined, the remaining time of the quarantine.
func (t *Tracker) Status(now time.Time, fingerprint uint64) (status, time.Duration) {
	if len(t.serversByRequest[fingerprint]) == 0 {
		return unsuspected, 0
	}
	list := t.unclearedDeaths(now, fingerprint)
	if t.culprits.Has(fingerprint) && len(list) >= quarantineThreshold {
		var remaining time.Duration
		for _, d := range list {
			remaining = max(remaining, d.expiresAt.Sub(now))
		}
		return quarantined, remaining
	}
	if t.countUnexplained(list, fingerprint) > 0 {
		return suspect, 0
	}
	return unsuspected, 0
}

// countUnexplained returns the number of deaths in the list that no other culprit explains. A culprit explains a death
// if it was running on the server and has not been cleared of the death.
func (t *Tracker) countUnexplained(list []*death, fingerprint uint64) int {
	n := 0
	for _, d := range list {
		explained := false
		for other, cleared := range d.clearedByRequest {
			if other != fingerprint && !cleared && t.culprits.Has(other) {
				explained = true
			}
		}
		if !explained {
			n++
		}
	}
	return n
}

// updateCulprits adds the requests of a death that reach quarantineThreshold to the culprits. It is called for deaths
// in the order in which they are learned, so that a request that ran beside an earlier culprit and beside a later one
// is blamed for neither death.
func (t *Tracker) updateCulprits(now time.Time, d *death) {
	var found []uint64
	for fingerprint, cleared := range d.clearedByRequest {
		if !cleared && t.countUnexplained(t.unclearedDeaths(now, fingerprint), fingerprint) >= quarantineThreshold {
			found = append(found, fingerprint)
		}
	}
	for _, fingerprint := range found {
		t.culprits.Add(fingerprint)
	}
}

// Vote replies to a request of an entry, which may be this one, to lock a suspect or to release its lock.
func (t *Tracker) Vote(now time.Time, m *encoder.SuspectAsk) *encoder.SuspectVote {
	vote := &encoder.SuspectVote{}
	current, ok := t.locks[m.Fingerprint]
	available := !ok || current.token == m.Token || now.After(current.expiresAt)
	if m.Release {
		if available {
			delete(t.locks, m.Fingerprint)
		}
		return vote
	}
	vote.Deaths = t.Reports(now, m.Fingerprint)
	vote.Occupied = t.isOccupied(now, m)
	if !available || vote.Occupied {
		return vote
	}
	vote.Granted = true
	t.locks[m.Fingerprint] = lock{
		token: m.Token, serverID: m.Server, expiresAt: now.Add(time.Duration(m.Lease) * time.Millisecond),
	}
	return vote
}

// isOccupied reports whether the suspect runs on another server, or another suspect on the same server. Requests that
// were sent before they became suspects have no lock, so the running requests of this entry are checked as well.
func (t *Tracker) isOccupied(now time.Time, m *encoder.SuspectAsk) bool {
	for fingerprint, l := range t.locks {
		if fingerprint != m.Fingerprint && m.Server != "" && l.serverID == m.Server && now.Before(l.expiresAt) {
			return true
		}
	}
	for server, requests := range t.requestsByServer {
		if req, ok := requests[m.Fingerprint]; ok && req.running > 0 && server != m.Server {
			return true
		}
	}
	for fingerprint, req := range t.requestsByServer[m.Server] {
		if s, _ := t.Status(now, fingerprint); fingerprint != m.Fingerprint && req.running > 0 && s == suspect {
			return true
		}
	}
	return false
}

// Reports returns the reports of the deaths at which the request was running; with fingerprint 0 those of all deaths.
func (t *Tracker) Reports(now time.Time, fingerprint uint64) []*encoder.Death {
	ids := t.serversByRequest[fingerprint]
	if fingerprint == 0 {
		ids = slices.Sorted(maps.Keys(t.deaths))
	}
	var list []*encoder.Death
	for _, id := range ids {
		if d := t.deaths[id]; now.Before(d.expiresAt) {
			list = append(list, t.encodeDeath(now, d))
		}
	}
	// The oldest come first, so that the receiver merges them in order; see updateCulprits.
	slices.SortStableFunc(list, func(a, b *encoder.Death) int { return cmp.Compare(a.Left, b.Left) })
	return list
}

func (t *Tracker) encodeDeath(now time.Time, d *death) *encoder.Death {
	m := &encoder.Death{Server: d.serverID, Version: d.version, Left: milliseconds(d.expiresAt.Sub(now))}
	for _, fingerprint := range slices.Sorted(maps.Keys(d.clearedByRequest)) {
		m.Running = append(m.Running, fingerprint)
		if d.clearedByRequest[fingerprint] {
			m.Cleared = append(m.Cleared, fingerprint)
		}
	}
	return m
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// RemoveExpired removes expired deaths, locks, requests and responses.
func (t *Tracker) RemoveExpired(now time.Time) {
	for _, d := range t.deaths {
		if now.After(d.expiresAt) {
			t.removeDeath(d)
		}
	}
	for fingerprint, l := range t.locks {
		if now.After(l.expiresAt) {
			delete(t.locks, fingerprint)
		}
	}
	for server, requests := range t.requestsByServer {
		for fingerprint, req := range requests {
			if req.running == 0 && now.Sub(req.brokenAt) > recentlyBrokenPeriod {
				t.removeRequest(server, fingerprint)
			}
		}
	}
	if now.Sub(t.rotatedAt) > 2*clearancePeriod {
		t.responses, t.olderResponses = make(map[responseKey]time.Time), nil
	}
}

// Counts returns the number of tracked deaths and of quarantined requests.
func (t *Tracker) Counts(now time.Time) (deaths, quarantinedRequests int) {
	for fingerprint := range t.serversByRequest {
		if s, _ := t.Status(now, fingerprint); s == quarantined {
			quarantinedRequests++
		}
	}
	return len(t.deaths), quarantinedRequests
}
