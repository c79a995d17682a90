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
	// limit is the number of servers that one request may take down.
	limit = 2
	// recentTime is how long a request that broke off counts as running when its server turns out to be dead.
	recentTime = 2 * time.Second
	// goodTime is how long an answer shows that a request did not cause a death that follows. A request that
	// crashes each server that runs it has no answers, and popular requests have one in every such time, so
	// that the loss of a whole rack does not quarantine them.
	goodTime = time.Second
	// maxDeaths bounds the record; the oldest go first.
	maxDeaths = 4096
)

// status is what is known of a request.
type status uint8

const (
	free status = iota
	// suspect requests have one death on record.
	suspect
	// quarantined requests have taken down limit servers.
	quarantined
)

// death is one dead start of a server.
type death struct {
	server  string
	version string
	at      time.Time
	until   time.Time
	// running holds the requests; the value is true when the request was shown not to have caused the death.
	running map[uint64]bool
}

// run is a request on a server of this entry.
type run struct {
	count   int
	broken  time.Time
	version string
}

// lock is the right of one entry to run a suspect.
type lock struct {
	token  uint64
	server string
	until  time.Time
}

// Record is the state machine of the quarantine on one entry. It is pure: time and messages are passed in.
type Record struct {
	retention time.Duration
	deaths    map[string]*death
	// of lists the servers whose deaths name a request.
	of map[uint64][]string
	// convicted holds the requests that had limit deaths which no request convicted before explains.
	convicted sycamorevane.Set[uint64]
	runs      map[string]map[uint64]*run
	locks     map[uint64]lock
	// good and older hold the latest answers of this and the former period of goodTime.
	good    map[answered]time.Time
	older   map[answered]time.Time
	rotated time.Time
}

// answered identifies the answers of one version to one request.
type answered struct {
	fingerprint uint64
	version     string
}

// NewRecord returns an empty record. Retention is how long a death counts.
func NewRecord(retention time.Duration) *Record {
	return &Record{
		retention: retention,
		deaths:    make(map[string]*death),
		of:        make(map[uint64][]string),
		convicted: make(sycamorevane.Set[uint64]),
		runs:      make(map[string]map[uint64]*run),
		locks:     make(map[uint64]lock),
		good:      make(map[answered]time.Time),
	}
}

// Start notes a request that is about to be sent.
func (r *Record) Start(fingerprint uint64, s sycamorevane.Server) {
	on, ok := r.runs[s.ID]
	if !ok {
		on = make(map[uint64]*run)
		r.runs[s.ID] = on
	}
	x, ok := on[fingerprint]
	if !ok {
		x = &run{version: s.Version}
		on[fingerprint] = x
	}
	x.count++
}

// End notes how a request ended. It returns true when the server may have died, and the deaths on record that
// the request did not cause, since it was answered after them.
func (r *Record) End(now time.Time, fingerprint uint64, s sycamorevane.Server, kind sycamorevane.OutcomeKind) (doubt bool, cleared []string) {
	x := r.runs[s.ID][fingerprint]
	if x == nil {
		return false, nil
	}
	x.count--
	switch kind {
	case sycamorevane.OutcomeIncomplete, sycamorevane.OutcomeTimeout, sycamorevane.OutcomeCancelled:
		x.broken = now
	case sycamorevane.OutcomeOK, sycamorevane.OutcomeFailed:
		cleared = r.answered(now, fingerprint, s.Version)
	case sycamorevane.OutcomeShed, sycamorevane.OutcomeConnectFailed:
	}
	if x.count == 0 && x.broken.IsZero() {
		r.drop(s.ID, fingerprint)
	}
	return kind == sycamorevane.OutcomeIncomplete || kind == sycamorevane.OutcomeConnectFailed, cleared
}

func (r *Record) drop(server string, fingerprint uint64) {
	delete(r.runs[server], fingerprint)
	if len(r.runs[server]) == 0 {
		delete(r.runs, server)
	}
}

// answered notes a complete answer and clears the request of deaths of the same version.
func (r *Record) answered(now time.Time, fingerprint uint64, version string) []string {
	if now.Sub(r.rotated) > goodTime {
		r.good, r.older, r.rotated = make(map[answered]time.Time), r.good, now
	}
	r.good[answered{fingerprint, version}] = now
	var servers []string
	for _, id := range r.of[fingerprint] {
		if d := r.deaths[id]; d.version == version && !d.running[fingerprint] {
			servers = append(servers, id)
		}
	}
	r.Clear(fingerprint, servers)
	return servers
}

// wasAnswered reports whether the request was answered shortly before or after the time.
func (r *Record) wasAnswered(at time.Time, fingerprint uint64, version string) bool {
	key := answered{fingerprint, version}
	last, ok := r.good[key]
	if !ok {
		last, ok = r.older[key]
	}
	return ok && last.After(at.Add(-goodTime))
}

// Clear notes that the request did not cause the deaths.
func (r *Record) Clear(fingerprint uint64, servers []string) {
	for _, id := range servers {
		if d, ok := r.deaths[id]; ok {
			d.running[fingerprint] = true
			delete(r.convicted, fingerprint)
		}
	}
}

// Died records the death of a server with the requests of this entry on it, and returns the report for the
// other entries, or nil when there were none.
func (r *Record) Died(now time.Time, s sycamorevane.Server) *encoder.Death {
	m := &encoder.Death{Server: s.ID, Version: s.Version, Left: milliseconds(r.retention)}
	for fingerprint, x := range r.runs[s.ID] {
		if x.count > 0 || now.Sub(x.broken) < recentTime {
			m.Running = append(m.Running, fingerprint)
		}
	}
	if len(m.Running) == 0 {
		return nil
	}
	slices.Sort(m.Running)
	r.Learn(now, m)
	return r.message(now, r.deaths[s.ID])
}

// Learn merges a report. It returns the requests that this entry can clear of the death.
func (r *Record) Learn(now time.Time, m *encoder.Death) []uint64 {
	if m.Left == 0 {
		return nil
	}
	d, ok := r.deaths[m.Server]
	if !ok {
		d = &death{
			server: m.Server, version: m.Version, at: now, running: make(map[uint64]bool),
			until: now.Add(time.Duration(m.Left) * time.Millisecond),
		}
		r.makeRoom()
		r.deaths[m.Server] = d
	}
	var cleared []uint64
	for _, fingerprint := range m.Running {
		known, ok := d.running[fingerprint]
		if !ok {
			r.of[fingerprint] = append(r.of[fingerprint], m.Server)
		}
		if !known && r.wasAnswered(d.at, fingerprint, d.version) {
			known = true
			cleared = append(cleared, fingerprint)
		}
		d.running[fingerprint] = known
	}
	for _, fingerprint := range m.Cleared {
		if _, ok := d.running[fingerprint]; ok {
			d.running[fingerprint] = true
		}
	}
	r.convict(now, d)
	return cleared
}

func (r *Record) makeRoom() {
	if len(r.deaths) < maxDeaths {
		return
	}
	var oldest *death
	for _, d := range r.deaths {
		if oldest == nil || d.at.Before(oldest.at) {
			oldest = d
		}
	}
	r.forget(oldest)
}

func (r *Record) forget(d *death) {
	delete(r.deaths, d.server)
	for fingerprint := range d.running {
		r.of[fingerprint] = slices.DeleteFunc(r.of[fingerprint], func(id string) bool { return id == d.server })
		if len(r.of[fingerprint]) == 0 {
			delete(r.of, fingerprint)
			delete(r.convicted, fingerprint)
		}
	}
}

// open returns the deaths that the request may have caused.
func (r *Record) open(now time.Time, fingerprint uint64) []*death {
	var list []*death
	for _, id := range r.of[fingerprint] {
		if d := r.deaths[id]; !d.running[fingerprint] && now.Before(d.until) {
			list = append(list, d)
		}
	}
	return list
}

// Status returns what is known of the request and, for a quarantined one, for how long.
func (r *Record) Status(now time.Time, fingerprint uint64) (status, time.Duration) {
	if len(r.of[fingerprint]) == 0 {
		return free, 0
	}
	list := r.open(now, fingerprint)
	if r.convicted.Has(fingerprint) && len(list) >= limit {
		var left time.Duration
		for _, d := range list {
			left = max(left, d.until.Sub(now))
		}
		return quarantined, left
	}
	if r.unexplained(list, fingerprint) > 0 {
		return suspect, 0
	}
	return free, 0
}

// unexplained counts the deaths on which no other request was convicted.
func (r *Record) unexplained(list []*death, fingerprint uint64) int {
	n := 0
	for _, d := range list {
		explained := false
		for other, cleared := range d.running {
			if other != fingerprint && !cleared && r.convicted.Has(other) {
				explained = true
			}
		}
		if !explained {
			n++
		}
	}
	return n
}

// convict judges the requests of a death. Deaths are judged in the order in which they are learned: a request
// that ran beside an earlier culprit and beside a later one is then convicted of neither death.
func (r *Record) convict(now time.Time, d *death) {
	var guilty []uint64
	for fingerprint, cleared := range d.running {
		if !cleared && r.unexplained(r.open(now, fingerprint), fingerprint) >= limit {
			guilty = append(guilty, fingerprint)
		}
	}
	for _, fingerprint := range guilty {
		r.convicted.Add(fingerprint)
	}
}

// Vote answers another entry, or this one, that wants to run a suspect.
func (r *Record) Vote(now time.Time, m *encoder.SuspectAsk) *encoder.SuspectVote {
	vote := &encoder.SuspectVote{}
	held, ok := r.locks[m.Fingerprint]
	mine := !ok || held.token == m.Token || now.After(held.until)
	if m.Release {
		if mine {
			delete(r.locks, m.Fingerprint)
		}
		return vote
	}
	vote.Deaths = r.Reports(now, m.Fingerprint)
	vote.Occupied = r.occupied(now, m)
	if !mine || vote.Occupied {
		return vote
	}
	vote.Granted = true
	r.locks[m.Fingerprint] = lock{
		token: m.Token, server: m.Server, until: now.Add(time.Duration(m.Lease) * time.Millisecond),
	}
	return vote
}

// occupied reports whether the request runs on another server, or another suspect on the same one. Requests
// that were sent before they became suspects hold no lock, so that what runs here is looked at, too.
func (r *Record) occupied(now time.Time, m *encoder.SuspectAsk) bool {
	for fingerprint, l := range r.locks {
		if fingerprint != m.Fingerprint && m.Server != "" && l.server == m.Server && now.Before(l.until) {
			return true
		}
	}
	for server, on := range r.runs {
		if x, ok := on[m.Fingerprint]; ok && x.count > 0 && server != m.Server {
			return true
		}
	}
	for fingerprint, x := range r.runs[m.Server] {
		if s, _ := r.Status(now, fingerprint); fingerprint != m.Fingerprint && x.count > 0 && s == suspect {
			return true
		}
	}
	return false
}

// Reports returns the deaths that name the request; with fingerprint 0 all of them.
func (r *Record) Reports(now time.Time, fingerprint uint64) []*encoder.Death {
	ids := r.of[fingerprint]
	if fingerprint == 0 {
		ids = slices.Sorted(maps.Keys(r.deaths))
	}
	var list []*encoder.Death
	for _, id := range ids {
		if d := r.deaths[id]; now.Before(d.until) {
			list = append(list, r.message(now, d))
		}
	}
	// The oldest first, so that the receiver judges them in order.
	slices.SortStableFunc(list, func(a, b *encoder.Death) int { return cmp.Compare(a.Left, b.Left) })
	return list
}

func (r *Record) message(now time.Time, d *death) *encoder.Death {
	m := &encoder.Death{Server: d.server, Version: d.version, Left: milliseconds(d.until.Sub(now))}
	for _, fingerprint := range slices.Sorted(maps.Keys(d.running)) {
		m.Running = append(m.Running, fingerprint)
		if d.running[fingerprint] {
			m.Cleared = append(m.Cleared, fingerprint)
		}
	}
	return m
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// Sweep drops what has expired.
func (r *Record) Sweep(now time.Time) {
	for _, d := range r.deaths {
		if now.After(d.until) {
			r.forget(d)
		}
	}
	for fingerprint, l := range r.locks {
		if now.After(l.until) {
			delete(r.locks, fingerprint)
		}
	}
	for server, on := range r.runs {
		for fingerprint, x := range on {
			if x.count == 0 && now.Sub(x.broken) > recentTime {
				r.drop(server, fingerprint)
			}
		}
	}
	if now.Sub(r.rotated) > 2*goodTime {
		r.good, r.older = make(map[answered]time.Time), nil
	}
}

// Counts returns the number of deaths on record and of quarantined requests.
func (r *Record) Counts(now time.Time) (deaths, held int) {
	for fingerprint := range r.of {
		if s, _ := r.Status(now, fingerprint); s == quarantined {
			held++
		}
	}
	return len(r.deaths), held
}
