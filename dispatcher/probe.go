package dispatcher

import (
	"strconv"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// backgroundReportAge is the age of a load report from which the server is probed in the background. The load
	// changes several times a second, and a probe costs far less than a request on a slow host.
	backgroundReportAge = 120 * time.Millisecond
	// backgroundProbesPerSecond bounds the background probes of a server over all entries, far below the limit of
	// 60 per second that deployments set.
	backgroundProbesPerSecond = 16
	// outsideSubsetProbesPerSecond bounds the probes of a server by entries that do not have it in their subset, over
	// all of them.
	outsideSubsetProbesPerSecond = 16
	// outsideSubsetBurst is how many such probes an entry saves up: enough for a few requests, which come at random. During
	// congestion it saves up one only, since several entries would find the same free slots.
	outsideSubsetBurst = 3 * probesPerRequest
	// probedAfterRequest is how long after its last request on this entry the servers of a service are probed.
	probedAfterRequest = time.Second
	// missedProbesToPause is the number of unanswered probes in a row that pause a server.
	missedProbesToPause = 2
)

// Probe names a server that is to be asked for its load.
type Probe struct {
	Server sycamorevane.Server
	// Path is the path of the health check, whose response reports the load.
	Path string
}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	// Answered is false when the server did not answer in time.
	Answered bool
	Load     *sycamorevane.LoadReport
	// ColdRemaining is how long the server stays cold; negative when it did not say.
	ColdRemaining time.Duration
	// AddressReused is set when another server now listens on the address.
	AddressReused bool
}

// maxColdRemaining limits the cold time that a server may state, far above any real value.
const maxColdRemaining = 24 * time.Hour

// ParseColdRemaining parses the milliseconds for which a server states that it stays cold. It returns -1 if the value is
// missing or out of range.
func ParseColdRemaining(value string) time.Duration {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxColdRemaining.Milliseconds() {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// DueProbes lists the servers that are due for a background probe: those of this entry's subset in its own data
// centre. Only entries that callers are sent to send them, and only for services with recent requests.
func (d *Dispatcher) DueProbes(now time.Time) []Probe {
	st := d.cfg.State()
	if st == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(now)
	if !v.position.ranked() {
		return nil // Callers are not sent here.
	}
	probingEntries := min(entriesPerServer, v.entriesPerDC())
	minInterval := max(backgroundReportAge, time.Duration(probingEntries)*time.Second/backgroundProbesPerSecond)
	var probes []Probe
	for service, p := range d.core.pools {
		svc := st.Config.Service(service)
		if svc == nil || svc.HealthPath == "" || now.Sub(p.lastRequest) > probedAfterRequest {
			continue
		}
		for _, s := range p.servers {
			if s.record.Server.DC != d.core.dc || s.probePending || d.decidedByScheduler(v, s) || !d.core.inSubset(v, s) || !usable(v, s, "", nil) || s.isLeaving() || s.limited() {
				continue
			}
			if now.Sub(s.reportedAt) < backgroundReportAge || now.Sub(s.probedAt) < minInterval {
				continue
			}
			probes = append(probes, d.startProbe(now, s, svc))
		}
	}
	return probes
}

// outsideSubsetRate is the rate of the probes that this entry sends to servers outside its subset. An entry without a rank
// counts as one more.
func (p *pool) outsideSubsetRate(v *view) float64 {
	entries := v.position.entries
	if !v.position.ranked() {
		entries++
	}
	return float64(outsideSubsetProbesPerSecond*len(p.servers)) / float64(max(1, entries))
}

// startBudgets begins the budgets of a service when its servers become known. They accrue from then on, so that a restarted
// entry does not exceed the rates together with its previous start.
func (p *pool) startBudgets(now time.Time) {
	if p.outsideSubsetProbes.refilledAt.IsZero() {
		p.outsideSubsetProbes.refilledAt, p.oldReportBudget.refilledAt = now, now
	}
}

// HandleProbeResult applies the result of a probe.
func (d *Dispatcher) HandleProbeResult(now time.Time, id string, r ProbeResult) {
	d.mu.Lock()
	s := d.core.byID[id]
	if s == nil {
		d.mu.Unlock()
		return
	}
	inTime := r.Answered && now.Sub(s.probedAt) <= freshReportWait
	d.recordTimeliness(inTime)
	if inTime {
		d.core.pool(s.record.Server.Service).answeredAt = now
	}
	d.applyProbeResult(now, s, r)
	probes := d.serveQueue(now, s.record.Server.Service)
	d.mu.Unlock()
	d.send(probes)
}

func (d *Dispatcher) applyProbeResult(now time.Time, s *server, r ProbeResult) {
	s.probePending = false
	s.addressReused = s.addressReused || r.AddressReused
	if !r.Answered {
		s.missedProbes++
		if s.missedProbes >= missedProbesToPause {
			s.missedProbes = 0
			s.pause(now, failurePause)
		}
		return
	}
	s.missedProbes = 0
	if r.Load != nil {
		p := d.core.pool(s.record.Server.Service)
		p.markReportsLoad()
		s.applyLoadReport(now, r.Load)
		p.recordReport(s)
	}
	if r.ColdRemaining >= 0 {
		s.record.ColdUntil = now.Add(r.ColdRemaining)
	}
}
