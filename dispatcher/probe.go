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
// centre, and one outside the subset while requests wait. Only entries that callers are sent to send probes, and only
// for services with recent requests.
func (d *Dispatcher) DueProbes(now time.Time) []Probe {
	st := d.cfg.State()
	if st == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(now)
	if v.position.rank >= v.position.entries {
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
		if len(d.queue[service]) > 0 {
			if probe, ok := d.probeOutsideSubset(v, p, svc); ok {
				probes = append(probes, probe)
			}
		}
	}
	return probes
}

// probeOutsideSubset picks a server outside the subset to probe while requests wait, since such a server gets
// requests only shortly after it has reported its load.
func (d *Dispatcher) probeOutsideSubset(v *view, p *pool, svc *sycamorevane.Service) (Probe, bool) {
	for _, i := range d.core.rand.Perm(len(p.servers)) {
		s := p.servers[i]
		if s.probePending || d.decidedByScheduler(v, s) || d.core.inSubset(v, s) || !usable(v, s, "", nil) || s.isLeaving() || s.limited() ||
			v.now.Sub(s.reportedAt) < outsideSubsetReportAge || s.pausedAt(v.now) {
			continue
		}
		rate := float64(outsideSubsetProbesPerSecond*len(p.servers)) / float64(max(1, v.position.entries))
		if !d.outsideSubsetBucket.take(v.now, rate) {
			break
		}
		return d.startProbe(v.now, s, svc), true
	}
	return Probe{}, false
}

// HandleProbeResult applies the result of a probe.
func (d *Dispatcher) HandleProbeResult(now time.Time, id string, r ProbeResult) {
	d.mu.Lock()
	s := d.core.byID[id]
	if s == nil {
		d.mu.Unlock()
		return
	}
	d.recordTimeliness(r.Answered && now.Sub(s.probedAt) <= freshReportWait)
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
		d.core.pool(s.record.Server.Service).markReportsLoad()
		s.applyLoadReport(now, r.Load)
	}
	if r.ColdRemaining >= 0 {
		s.record.ColdUntil = now.Add(r.ColdRemaining)
	}
}
