package quarantiner

import (
	"context"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// leaderReportTimeout limits how long the response to a caller is delayed until the control leader knows of a death. It
	// should know because the caller may resend the request through any entry.
	leaderReportTimeout = 100 * time.Millisecond
	// leaderCallTimeout limits one message to the leader, and reportRetryInterval is the time until the next one if the leader
	// has not acknowledged it.
	leaderCallTimeout   = 500 * time.Millisecond
	reportRetryInterval = 200 * time.Millisecond
	// maxReportedDeaths limits the deaths in one message.
	maxReportedDeaths = 64
	// maxLoggedFingerprints limits the requests in one log line.
	maxLoggedFingerprints = 32
)

// leaderReporter reports what an entry knows of deaths to the control leader, and all of it again to each new leader. Its fields
// are guarded by Quarantiner.mu.
type leaderReporter struct {
	q    *Quarantiner
	wake chan struct{}
	// unreported holds the dead servers whose deaths the leader has not acknowledged, with channels to close when it has.
	unreported map[string][]chan struct{}
	// responded holds the quarantined requests to which servers have responded.
	responded map[responseKey]struct{}
	term      uint64
}

func newLeaderReporter(q *Quarantiner) *leaderReporter {
	return &leaderReporter{
		q: q, wake: make(chan struct{}, 1), unreported: make(map[string][]chan struct{}), responded: make(map[responseKey]struct{}),
	}
}

// report reports a death and waits until the leader has acknowledged it, but at most leaderReportTimeout.
func (r *leaderReporter) report(server string) {
	done := make(chan struct{})
	r.enqueue(server, done)
	timer := time.NewTimer(leaderReportTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-r.q.ctx.Done():
	}
}

// enqueue adds a death to the unreported ones. done is closed when the leader has acknowledged it; nil if nobody waits.
func (r *leaderReporter) enqueue(server string, done chan struct{}) {
	r.q.mu.Lock()
	r.enqueueLocked(server, done)
	r.q.mu.Unlock()
	r.signal()
}

func (r *leaderReporter) enqueueLocked(server string, done ...chan struct{}) {
	waiting := r.unreported[server]
	for _, c := range done {
		if c != nil {
			waiting = append(waiting, c)
		}
	}
	r.unreported[server] = waiting
}

func (r *leaderReporter) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// addResponded records a response to a quarantined request. Quarantiner.mu must be held.
func (r *leaderReporter) addResponded(key responseKey) {
	r.responded[key] = struct{}{}
	r.signal()
}

// SetTerm is called with the term of the control leader whenever a control host has sent it. A new leader may not have the reports
// that the previous one has collected.
func (q *Quarantiner) SetTerm(term uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if term <= q.leader.term {
		return
	}
	q.leader.term = term
	for server := range q.tracker.deaths {
		q.leader.enqueueLocked(server)
	}
	q.leader.signal()
}

// SetQuarantined is called with the requests that are quarantined in each new state. If this entry has just got responses to one
// of them, or gets one later, it tells the leader. A request that is no longer quarantined is cleared of all deaths.
func (q *Quarantiner) SetQuarantined(fingerprints map[string]int64) {
	now := time.Now()
	current := make(map[uint64]time.Time, len(fingerprints))
	q.mu.Lock()
	defer q.mu.Unlock()
	for text := range fingerprints {
		fingerprint, err := sycamorevane.ParseFingerprint(text)
		if err != nil {
			q.cfg.Log.Error(err, "quarantined request is ignored", "fingerprint", text)
			continue
		}
		since, known := q.quarantined[fingerprint]
		if !known {
			since = now
			q.cfg.Log.Info("request quarantined", "fingerprint", text)
			for _, version := range q.tracker.respondingVersions(now, fingerprint) {
				q.leader.addResponded(responseKey{fingerprint, version})
			}
		}
		current[fingerprint] = since
	}
	for fingerprint := range q.quarantined {
		if _, ok := current[fingerprint]; !ok {
			q.cfg.Log.Info("quarantine of a request ended", "fingerprint", sycamorevane.FormatFingerprint(fingerprint))
			q.tracker.Clear(fingerprint, q.tracker.serversByRequest[fingerprint])
		}
	}
	q.quarantined = current
}

func (r *leaderReporter) loop() {
	ticker := time.NewTicker(reportRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.wake:
		case <-ticker.C:
		case <-r.q.ctx.Done():
			return
		}
		for r.sendBatch() {
		}
	}
}

// leaderBatch is the content of one message to the leader.
type leaderBatch struct {
	message *encoder.DeathReport
	deaths  map[string][]chan struct{}
}

// sendBatch reports up to maxReportedDeaths deaths. It returns false if there are none or the leader has not acknowledged them.
func (r *leaderReporter) sendBatch() bool {
	leader := r.q.cfg.Leader()
	if leader == "" {
		return false
	}
	batch, ok := r.takeBatch(time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(r.q.ctx, leaderCallTimeout)
	defer cancel()
	reply, err := r.q.cfg.Transport.Call(ctx, leader, batch.message)
	ack, ok := reply.(*encoder.DeathAck)
	if err != nil || !ok {
		r.q.cfg.Log.V(1).Info("deaths of servers were not acknowledged and will be reported again", "leader", leader, "deaths", len(batch.deaths))
		r.returnBatch(batch)
		return false
	}
	r.acknowledge(batch, ack)
	return true
}

func (r *leaderReporter) takeBatch(now time.Time) (leaderBatch, bool) {
	batch := leaderBatch{message: &encoder.DeathReport{}, deaths: make(map[string][]chan struct{})}
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	for server, waiting := range r.unreported {
		if len(batch.deaths) >= maxReportedDeaths {
			break
		}
		delete(r.unreported, server)
		batch.deaths[server] = waiting
		if d, ok := r.q.tracker.deaths[server]; ok {
			batch.message.Deaths = append(batch.message.Deaths, r.q.tracker.encodeDeath(now, d))
		}
	}
	for key := range r.responded {
		batch.message.Responded = append(batch.message.Responded, &encoder.Responded{Fingerprint: key.fingerprint, Version: key.version})
	}
	clear(r.responded)
	return batch, len(batch.deaths) > 0 || len(batch.message.Responded) > 0
}

// returnBatch makes the content of a message that was not acknowledged unreported again.
func (r *leaderReporter) returnBatch(batch leaderBatch) {
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	for server, waiting := range batch.deaths {
		r.enqueueLocked(server, waiting...)
	}
	for _, m := range batch.message.Responded {
		r.responded[responseKey{m.Fingerprint, m.Version}] = struct{}{}
	}
}

// acknowledge merges the reports of the leader, so that a request that other entries have seen crash a server is known here before
// the quarantine is committed.
func (r *leaderReporter) acknowledge(batch leaderBatch, ack *encoder.DeathAck) {
	now := time.Now()
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	for _, d := range ack.Deaths {
		if len(r.q.tracker.MergeReport(now, d)) > 0 {
			r.enqueueLocked(d.Server)
		}
	}
	for _, waiting := range batch.deaths {
		for _, c := range waiting {
			close(c)
		}
	}
}

func formatFingerprints(list []uint64) []string {
	texts := make([]string, 0, min(len(list), maxLoggedFingerprints))
	for _, fingerprint := range list[:min(len(list), maxLoggedFingerprints)] {
		texts = append(texts, sycamorevane.FormatFingerprint(fingerprint))
	}
	return texts
}
