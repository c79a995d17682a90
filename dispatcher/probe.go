package dispatcher

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// probeAge is how old what is known of a server's load may be before the server is asked: its pace changes several
	// times a second, and a probe costs far less than a request on a slow machine.
	probeAge = 120 * time.Millisecond
	// probeRate bounds the probes of a server per second over all entries, far below the 60 that the users allow.
	probeRate = 16
	// foreignRate bounds the probes of a server per second by entries to which it is foreign, over all of them.
	foreignRate = 16
	// probeTime is how long a service is watched after its last request on this entry.
	probeTime = time.Second
	// probeMisses is how many probes in a row without an answer pause a server.
	probeMisses = 2
)

// Probe is a server whose load should be asked for.
type Probe struct {
	Server sycamorevane.Server
	// Path is where the server says how it is.
	Path string
}

// ProbeResult is what a probe brought.
type ProbeResult struct {
	// Answered is false when the server gave no answer in time.
	Answered bool
	Load     *sycamorevane.LoadReport
	// ColdRemaining is how long the server stays cold; negative when it did not say.
	ColdRemaining time.Duration
	// AddressReused is set when another server has the address now.
	AddressReused bool
}

// DueProbes lists the home servers of this entry that should be asked now. Only an entry that callers are sent to asks,
// and only for services that it has requests for.
func (d *Dispatcher) DueProbes(now time.Time) []Probe {
	st := d.cfg.State()
	if st == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(now)
	if v.share.rank >= v.share.entries {
		return nil // Callers are not sent here.
	}
	sharers := min(homeEntries, v.nearEntries())
	pause := max(probeAge, time.Duration(sharers)*time.Second/probeRate)
	var list []Probe
	for service, p := range d.core.pools {
		svc := st.Config.Service(service)
		if svc == nil || svc.HealthPath == "" || now.Sub(p.asked) > probeTime {
			continue
		}
		for _, s := range p.servers {
			if s.entry.Server.DC != d.core.dc || s.probing || !d.core.home(v, s) || !usable(v, s, "", nil) || s.leaves() {
				continue
			}
			if now.Sub(s.loadAt) < probeAge || now.Sub(s.probed) < pause {
				continue
			}
			s.probed, s.probing = now, true
			list = append(list, Probe{Server: withConns(s.entry.Server, svc), Path: svc.HealthPath})
		}
		if len(d.queue[service]) > 0 {
			if probe, ok := d.probeForeign(v, p, svc); ok {
				list = append(list, probe)
			}
		}
	}
	return list
}

// probeForeign picks a foreign server to ask while requests wait, since such a server gets requests only just after it has
// reported its load.
func (d *Dispatcher) probeForeign(v *view, p *pool, svc *sycamorevane.Service) (Probe, bool) {
	for _, i := range d.core.rand.Perm(len(p.servers)) {
		s := p.servers[i]
		if s.probing || d.core.home(v, s) || !usable(v, s, "", nil) || s.leaves() || v.now.Sub(s.loadAt) < foreignAge || s.pausedAt(v.now) {
			continue
		}
		rate := float64(foreignRate*len(p.servers)) / float64(max(1, v.share.entries))
		if !d.foreign.take(v.now, rate) {
			break
		}
		s.probed, s.probing = v.now, true
		return Probe{Server: withConns(s.entry.Server, svc), Path: svc.HealthPath}, true
	}
	return Probe{}, false
}

// HandleProbeResult takes the result of a probe.
func (d *Dispatcher) HandleProbeResult(now time.Time, id string, r ProbeResult) {
	d.mu.Lock()
	s := d.core.byID[id]
	if s == nil {
		d.mu.Unlock()
		return
	}
	d.noteAnswer(r.Answered && now.Sub(s.probed) <= askWait)
	d.probed(now, s, r)
	list := d.serve(now, s.entry.Server.Service)
	d.mu.Unlock()
	d.send(list)
}

func (d *Dispatcher) probed(now time.Time, s *server, r ProbeResult) {
	s.probing = false
	s.addressReused = s.addressReused || r.AddressReused
	if !r.Answered {
		s.missed++
		if s.missed >= probeMisses {
			s.missed = 0
			s.pause(now, brokenPause)
		}
		return
	}
	s.missed = 0
	if r.Load != nil {
		d.core.pool(s.entry.Server.Service).told()
		s.report(now, r.Load)
	}
	if r.ColdRemaining >= 0 {
		s.entry.ColdUntil = now.Add(r.ColdRemaining)
	}
}
