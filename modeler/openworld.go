package modeler

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/dispatcher"
)

// Model constants of open deployments.
const (
	// quantum is the step in which a server works on its requests.
	quantum = 2 * time.Millisecond
	// callerHop is the one-way delay between a caller and an entry, zoneHop between data centres.
	callerHop = 3 * time.Millisecond
	zoneHop   = 1400 * time.Microsecond
	// openProbeTick is how often an entry looks for servers to ask for their load.
	openProbeTick = 20 * time.Millisecond
	// openService is the name of the one service of the model.
	openService = "registry"
	// openAttempts bounds the servers that one request is sent to.
	openAttempts = 3
)

// openWorld is one run.
type openWorld struct {
	Open
	mu      sync.Mutex
	rand    *rand.Rand
	servers []*openServer
	entries []*openEntry
	state   *sycamorevane.State
	began   time.Time
	res     OpenResult
	// owed and earned are the worth by second of the measured time.
	owed, earned []float64
	calls        sync.WaitGroup
	// probes are those of calls and duties, so that it must be waited for after both.
	probes sync.WaitGroup
	// work is all slot time in use, overKnee the part of it above the knee, in quanta.
	work, overKnee float64
}

// openEntry is one entry.
type openEntry struct {
	dc    string
	place *dispatcher.Dispatcher
}

// openServer is one server; openWorld.mu guards it.
type openServer struct {
	id      string
	dc      string
	pace    float64
	until   time.Time
	running []*openJob
	waiting []*openJob
}

type openJob struct {
	left time.Duration
	// over is set when it began above the knee.
	over bool
	done chan *sycamorevane.LoadReport
}

// RunOpen plays the conditions and returns the figures.
func RunOpen(o Open) OpenResult {
	w := &openWorld{Open: o, rand: rand.New(rand.NewPCG(o.Seed, 2)), began: time.Now()}
	w.res = OpenResult{
		Kinds:   make(map[string]*KindResult),
		Latency: hdrhistogram.New(1, 60_000_000, 3), RefusalTime: hdrhistogram.New(1, 60_000_000, 3),
	}
	seconds := int(o.Length/time.Second) + 1
	w.owed, w.earned = make([]float64, seconds), make([]float64, seconds)
	w.build()
	ctx, stop := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { w.serveLoop(ctx) })
	for _, e := range w.entries {
		duties.Go(func() { w.probeLoop(ctx, e) })
	}
	var arrivals sync.WaitGroup
	for i := range o.Kinds {
		k := &o.Kinds[i]
		w.res.Kinds[k.Name] = &KindResult{}
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)+10))
		arrivals.Go(func() { w.arrive(k, r) })
	}
	arrivals.Wait()
	w.calls.Wait()
	stop()
	duties.Wait()
	w.probes.Wait()
	return w.result()
}

func dcName(i int) string { return fmt.Sprintf("dc-%d", i) }

func (w *openWorld) build() {
	w.state = &sycamorevane.State{Version: 1, Config: sycamorevane.Config{
		SequenceNumber: 1, Services: []sycamorevane.Service{{Name: openService, HealthPath: "/health"}},
	}}
	var catalog []cataloger.ServerRecord
	for i := range w.DCs {
		w.state.Config.DCs = append(w.state.Config.DCs, dcName(i))
	}
	for i := range w.Servers {
		s := &openServer{id: fmt.Sprintf("s%d", i), dc: dcName(i % w.DCs), pace: 1}
		w.servers = append(w.servers, s)
		catalog = append(catalog, cataloger.ServerRecord{
			Report: cataloger.Report{Server: sycamorevane.Server{
				ID: s.id, InstanceName: s.id, Service: openService, Addr: s.id, DC: s.dc, Slots: w.Slots,
			}},
			ReportedAt: w.began,
		})
	}
	n := w.Entries
	if w.Oracle {
		n = 1
	}
	for i := range n {
		e := &openEntry{dc: dcName(i % w.DCs)}
		cfg := dispatcher.Config{
			DC: e.dc, Servers: func() []cataloger.ServerRecord { return catalog },
			State:     func() *sycamorevane.State { return w.state },
			EntryRank: func() (int, int) { return i, n }, Log: logr.Discard(),
		}
		if !w.Oracle {
			cfg.SendProbe = func(p dispatcher.Probe) { w.probes.Go(func() { w.probe(e, p.Server) }) }
		}
		e.place = dispatcher.New(cfg)
		e.place.Update()
		w.entries = append(w.entries, e)
	}
}

// arrive lets the callers of a kind come at random times.
func (w *openWorld) arrive(k *Kind, r *rand.Rand) {
	end := w.began.Add(w.Warm + w.Length)
	for {
		time.Sleep(time.Duration(r.ExpFloat64() / k.Rate * float64(time.Second)))
		now := time.Now()
		if !now.Before(end) {
			return
		}
		work := time.Duration(float64(k.Work) * math.Exp(k.Spread*r.NormFloat64()-k.Spread*k.Spread/2))
		e := w.entries[r.IntN(len(w.entries))]
		w.calls.Go(func() { w.call(k, e, work, now) })
	}
}

// call is a caller with its retries.
func (w *openWorld) call(k *Kind, e *openEntry, work time.Duration, began time.Time) {
	deadline := began.Add(k.Deadline)
	for try := 0; ; try++ {
		time.Sleep(callerHop)
		sent := time.Now()
		ok, after := w.forward(k, e, work, began)
		if !ok {
			w.mu.Lock()
			_ = w.res.RefusalTime.RecordValue(time.Since(sent).Microseconds())
			w.mu.Unlock()
		}
		time.Sleep(callerHop)
		if ok || try >= k.Retries || time.Now().Add(after).After(deadline) {
			w.count(k, began, ok)
			return
		}
		time.Sleep(after)
	}
}

// forward is what an entry does with a request: servers that refuse it are left out of the next choice.
func (w *openWorld) forward(k *Kind, e *openEntry, work time.Duration, began time.Time) (ok bool, after time.Duration) {
	ask := sycamorevane.Request{
		Service: openService, Route: k.Name, Priority: k.Priority,
		Deadline: began.Add(k.Deadline - callerHop), SoftDeadline: began.Add(k.Aim - callerHop),
	}
	ctx, cancel := context.WithDeadline(context.Background(), ask.Deadline)
	defer cancel()
	for range openAttempts {
		g, err := e.place.Acquire(ctx, ask)
		if err != nil {
			var refused *sycamorevane.RefusedError
			if errors.As(err, &refused) {
				return false, refused.RetryAfter
			}
			return false, 0
		}
		sent := time.Now()
		if g.Server.DC != e.dc {
			time.Sleep(zoneHop)
		}
		o := w.run(g.Server.ID, work)
		if g.Server.DC != e.dc {
			time.Sleep(zoneHop)
		}
		o.Route, o.Latency = k.Name, time.Since(sent)
		e.place.Release(g, o)
		if o.Kind == sycamorevane.OutcomeOK {
			return true, 0
		}
		ask.ExcludedServers = append(ask.ExcludedServers, g.Server.ID)
	}
	return false, time.Second
}

// run gives the work to a server and waits for its end.
func (w *openWorld) run(id string, work time.Duration) sycamorevane.Outcome {
	j := &openJob{left: work, done: make(chan *sycamorevane.LoadReport, 1)}
	w.mu.Lock()
	w.res.Attempts++
	s := w.server(id)
	switch {
	case len(s.running) < w.Slots:
		w.begin(s, j)
	case len(s.waiting) < w.Queue:
		s.waiting = append(s.waiting, j)
	default:
		w.res.Shed++
		l := s.load(w.Slots)
		w.mu.Unlock()
		return sycamorevane.Outcome{Kind: sycamorevane.OutcomeShed, Load: l}
	}
	w.mu.Unlock()
	return sycamorevane.Outcome{Load: <-j.done}
}

func (w *openWorld) server(id string) *openServer {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (s *openServer) load(slots int) *sycamorevane.LoadReport {
	return &sycamorevane.LoadReport{Running: len(s.running), Waiting: len(s.waiting), Slots: slots, Slowdown: s.pace}
}

// serveLoop lets the servers work.
func (w *openWorld) serveLoop(ctx context.Context) {
	t := time.NewTicker(quantum)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			w.mu.Lock()
			for _, s := range w.servers {
				w.step(s, now)
			}
			if w.Oracle {
				for _, s := range w.servers {
					w.entries[0].place.HandleProbeResult(now, s.id, dispatcher.ProbeResult{Answered: true, Load: s.load(w.Slots), ColdRemaining: -1})
				}
			}
			w.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// step lets a server work for one quantum.
func (w *openWorld) step(s *openServer, now time.Time) {
	if w.Noise.Share > 0 && !now.Before(s.until) {
		s.pace = 1
		if w.rand.Float64() < w.Noise.Share {
			s.pace = w.Noise.Factor
		}
		s.until = now.Add(time.Duration((0.5 + w.rand.Float64()) * float64(w.Noise.Every)))
	}
	w.work += float64(len(s.running))
	kept := s.running[:0]
	var ended []*openJob
	for _, j := range s.running {
		if j.over {
			w.overKnee++
		}
		if j.left -= quantum; j.left > 0 {
			kept = append(kept, j)
		} else {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		l := s.load(w.Slots)
		l.Running = len(kept) + 1
		j.done <- l
	}
	s.running = kept
	for len(s.running) < w.Slots && len(s.waiting) > 0 {
		w.begin(s, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// begin starts a request. How long it takes is settled then, as on the users' servers: what changes on the machine later
// is felt by the requests that start later.
func (w *openWorld) begin(s *openServer, j *openJob) {
	s.running = append(s.running, j)
	factor := s.pace
	if j.over = float64(len(s.running)) > max(1, w.Knee*float64(w.Slots)); j.over {
		factor *= cmp.Or(w.KneeFactor, 1)
	}
	j.left = time.Duration(factor * float64(j.left))
}

// probeLoop asks servers for their load.
func (w *openWorld) probeLoop(ctx context.Context, e *openEntry) {
	t := time.NewTicker(openProbeTick)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, p := range e.place.DueProbes(now) {
				w.probes.Go(func() { w.probe(e, p.Server) })
			}
		case <-ctx.Done():
			return
		}
	}
}

func (w *openWorld) probe(e *openEntry, srv sycamorevane.Server) {
	hop := time.Millisecond
	if srv.DC != e.dc {
		hop += zoneHop
	}
	time.Sleep(hop)
	w.mu.Lock()
	w.res.Probes++
	l := w.server(srv.ID).load(w.Slots)
	w.mu.Unlock()
	time.Sleep(hop)
	e.place.HandleProbeResult(time.Now(), srv.ID, dispatcher.ProbeResult{Answered: true, Load: l, ColdRemaining: -1})
}

// count books what a caller got, in the second in which it came.
func (w *openWorld) count(k *Kind, began time.Time, ok bool) {
	now := time.Now()
	since := began.Sub(w.began) - w.Warm
	if since < 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.res.Kinds[k.Name]
	if ok {
		_ = w.res.Latency.RecordValue(now.Sub(began).Microseconds())
	}
	second := int(since / time.Second)
	r.Asked++
	w.owed[second] += k.Worth
	switch {
	case ok && now.Sub(began) <= k.Aim:
		r.InAim++
		w.earned[second] += k.Worth
	case ok:
		r.Late++
		w.earned[second] += k.Worth / 10
	default:
		r.Refused++
	}
}

func (w *openWorld) result() OpenResult {
	var owed, earned float64
	w.res.Worst = 1
	for i := range w.owed {
		owed += w.owed[i]
		earned += w.earned[i]
		if i > 0 && w.owed[i] > 0 {
			w.res.Worst = min(w.res.Worst, (w.earned[i-1]+w.earned[i])/(w.owed[i-1]+w.owed[i]))
		}
	}
	w.res.Worth = earned / cmp.Or(owed, 1)
	w.res.OverKnee = w.overKnee / cmp.Or(w.work, 1)
	return w.res
}
