package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// askAge is how old a server's report may be when a request is placed there. How long a request takes is settled by
	// the load of the machine at its start, which changes several times a second.
	askAge = 10 * time.Millisecond
	// askWait is how long a request waits for the answers of the servers that were asked; the slowest of the users'
	// servers take 6 ms. Then what is known has to do.
	askWait = 20 * time.Millisecond
	// asksEach is how many servers are asked at a time for one waiting request, asksMost for all of a service.
	asksEach = 2
	asksMost = 16
	// askRate bounds the questions to a server per second over all entries; with probeRate it stays below the 60 that
	// the users allow.
	askRate = 40
	// quietTick is how often a server is looked at on which a request is to start, and quietGap how often it is asked.
	quietTick = 5 * time.Millisecond
	quietGap  = 40 * time.Millisecond
	// timelyWeight is the weight of one answer in the part of the answers that come in time. Requests wait for answers until
	// fewer than timelyLeast come in time, and again from timelyAgain on. While this host is short of processor time,
	// questions only make it slower.
	timelyWeight = 0.05
	timelyLeast  = 0.5
	timelyAgain  = 0.8
)

// draw is the version that a request goes to, for as long as the state stays the same: drawn anew while it waits, the
// version with fewer servers would get less than its share.
type draw struct {
	version string
	trial   bool
	state   uint64
}

// questions lists the servers to ask for their load on behalf of the requests that wait for fresh reports. It is called with
// the lock held.
func (d *Dispatcher) questions(v *view, service string) []Probe {
	if d.cfg.Probe == nil || v.share.rank >= v.share.entries {
		return nil
	}
	svc := v.state.Config.Service(service)
	if svc == nil || svc.HealthPath == "" {
		return nil
	}
	var list []Probe
	p := d.core.pool(service)
	room := asksMost - p.unanswered(v.now)
	for _, w := range d.queue[service] {
		if room <= 0 {
			break
		}
		if !v.now.Before(w.freshUntil) {
			continue
		}
		found := d.core.candidates(v, w, p, svc, min(asksEach, room)-w.unanswered(v.now))
		for _, s := range found {
			s.probed, s.probing = v.now, true
			w.asked = append(w.asked, s)
			list = append(list, Probe{Server: withConns(s.entry.Server, svc), Path: svc.HealthPath})
		}
		room -= len(found)
	}
	return list
}

// unanswered is how many servers have been asked and may still answer in time.
func (p *pool) unanswered(now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if s.unanswered(now) {
			n++
		}
	}
	return n
}

// unanswered is how many servers have been asked for this request and may still answer in time.
func (w *waiter) unanswered(now time.Time) int {
	w.asked = slices.DeleteFunc(w.asked, func(s *server) bool { return !s.unanswered(now) })
	return len(w.asked)
}

// unanswered reports whether the server may still answer a question in time.
func (s *server) unanswered(now time.Time) bool { return s.probing && now.Sub(s.probed) < askWait }

// candidates lists the most promising servers that the request may go to and whose reports are too old.
func (c *core) candidates(v *view, w *waiter, p *pool, svc *sycamorevane.Service, n int) []*server {
	if n <= 0 {
		return nil
	}
	type option struct {
		s    *server
		cost float64
	}
	var list []option
	usual := p.timesOf(w.req.Route).usual
	crowded := p.crowdedAt(v.now)
	gap := time.Duration(min(homeEntries, v.nearEntries())) * time.Second / askRate
	for _, s := range p.servers {
		if s.probing || v.now.Sub(s.loadAt) <= askAge || v.now.Sub(s.probed) < gap || s.pausedAt(v.now) || s.entry.LeaseExpired {
			continue
		}
		if !usable(v, s, w.draw.version, w.req.ExcludedServers) || !c.home(v, s) || s.leaves() {
			continue
		}
		cold := isCold(v, s, svc)
		if cold && !c.allowsCold(v, s, svc) {
			continue
		}
		cost := s.cost(v.now, usual, c.dc, cold) * (1 + jitter*c.rand.Float64())
		if !s.free(v.now, usual, v.share.entries, s.roomFor(false, crowded)) {
			cost *= fullCost
		}
		list = append(list, option{s, cost})
	}
	slices.SortFunc(list, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	var found []*server
	for _, e := range list[:min(n, len(list))] {
		found = append(found, e.s)
	}
	return found
}

// noteAnswer takes into account whether a question was answered in time.
func (d *Dispatcher) noteAnswer(inTime bool) {
	value := 0.0
	if inTime {
		value = 1
	} else {
		d.untimely.Inc(1)
	}
	d.timely += timelyWeight * (value - d.timely)
	if d.hasty && d.timely < timelyAgain || !d.hasty && d.timely >= timelyLeast {
		return
	}
	d.hasty = !d.hasty
	d.cfg.Log.Info("requests wait for the load of servers", "waiting", !d.hasty, "intime", d.timely)
}

// freshUntil is until when a request that comes now waits for fresh reports.
func (d *Dispatcher) freshUntil(now time.Time) time.Time {
	if d.cfg.Probe == nil || d.hasty {
		return now
	}
	return now.Add(askWait)
}

// send asks the servers.
func (d *Dispatcher) send(list []Probe) {
	d.asked.Inc(int64(len(list)))
	for _, p := range list {
		d.cfg.Probe(p)
	}
}

// AwaitQuiet returns when the server has just reported that its machine is not slow, at until, or when the context ends. It
// does not wait for servers that do not tell their load, nor while answers come too late.
func (d *Dispatcher) AwaitQuiet(ctx context.Context, server string, until time.Time) {
	t := time.NewTicker(quietTick)
	defer t.Stop()
	for now := time.Now(); now.Before(until); {
		quiet, list := d.quiet(now, server)
		if quiet {
			return
		}
		d.send(list)
		select {
		case now = <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// quiet reports whether a request may start on the server, and lists the server when it has to be asked.
func (d *Dispatcher) quiet(now time.Time, server string) (bool, []Probe) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.core.byID[server]
	if s == nil || !s.tells || d.cfg.Probe == nil || d.hasty || s.heldAt(now) || s.leaves() {
		return true, nil
	}
	age := now.Sub(s.loadAt)
	if age <= askAge {
		return s.slowdown < slowPace, nil
	}
	st := d.cfg.State()
	svc := st.Config.Service(s.entry.Server.Service)
	if svc == nil || svc.HealthPath == "" {
		return true, nil
	}
	if s.probing || now.Sub(s.probed) < quietGap {
		return false, nil
	}
	s.probed, s.probing = now, true
	return false, []Probe{{Server: withConns(s.entry.Server, svc), Path: svc.HealthPath}}
}
