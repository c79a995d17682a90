package simulator

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

// Model constants of deployments with discovery.
const (
	// quantum is the time step in which a server processes its requests.
	quantum = 2 * time.Millisecond
	// callerDelay is the one-way network delay between a caller and an entry, interDCDelay between data centres.
	callerDelay  = 3 * time.Millisecond
	interDCDelay = 1400 * time.Microsecond
	// probeInterval is how often an entry checks which servers are due for a load probe.
	probeInterval = 20 * time.Millisecond
	// serviceName is the only service of the model.
	serviceName = "registry"
	// noRetry is the Retry-After of a request that may have run and that the caller must not repeat.
	noRetry = time.Hour
	// maxAttempts is the largest number of servers that one request is sent to.
	maxAttempts = 3
)

// discoverySimulation is the state of one run.
type discoverySimulation struct {
	DiscoveryConditions
	mu      sync.Mutex
	rand    *rand.Rand
	servers []*simulatedServer
	byID    map[string]*simulatedServer
	entries []*simulatedEntry
	// schedulers holds the schedulers by the data centre and the half of its entries that they serve.
	schedulers map[string]*simulatedScheduler
	state      *sycamorevane.State
	startedAt  time.Time
	res        DiscoveryResult
	// offered and served count the requests and those that were answered within their timeout, per measured second.
	offered, served []float64
	calls           sync.WaitGroup
	// probes counts running probes. Both calls and background loops start them, so it is awaited after both.
	probes sync.WaitGroup
	pairs  map[pair]bool
	// slotQuanta is the total busy slot time in quanta, and overKneeQuanta the part spent on requests that started above
	// the knee.
	slotQuanta, overKneeQuanta float64
}

// simulatedEntry is an entry host with a real dispatcher.
type simulatedEntry struct {
	dc         string
	dispatcher *dispatcher.Dispatcher
	// scheduler is nil when the entry places its requests itself.
	scheduler *schedulerSession
}

// pair is an entry and a server that it uses.
type pair struct {
	entry  *simulatedEntry
	server string
}

// simulatedServer is a backend server; discoverySimulation.mu guards it.
type simulatedServer struct {
	id            string
	dc            string
	slowdown      float64
	slowdownUntil time.Time
	running       []*simulatedJob
	waiting       []*simulatedJob
}

type simulatedJob struct {
	remaining time.Duration
	// overKnee is set when the request started above the knee.
	overKnee bool
	done     chan *sycamorevane.LoadReport
}

// RunDiscovery runs the conditions and returns the measurements.
func RunDiscovery(o DiscoveryConditions) DiscoveryResult {
	sim := &discoverySimulation{DiscoveryConditions: o, rand: rand.New(rand.NewPCG(o.Seed, 2)), startedAt: time.Now(), pairs: make(map[pair]bool)}
	sim.res = DiscoveryResult{
		Kinds:   make(map[string]*KindResult),
		Latency: hdrhistogram.New(1, 60_000_000, 3), RefusalTime: hdrhistogram.New(1, 60_000_000, 3),
		Wait: hdrhistogram.New(1, 60_000_000, 3),
	}
	seconds := int(o.Duration/time.Second) + 1
	sim.offered, sim.served = make([]float64, seconds), make([]float64, seconds)
	sim.build()
	sim.buildSchedulers()
	ctx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { sim.serverLoop(ctx) })
	for _, e := range sim.entries {
		if e.scheduler == nil {
			background.Go(func() { sim.probeLoop(ctx, e) })
		}
	}
	for _, s := range sim.schedulers {
		background.Go(func() { s.tickLoop(ctx) })
	}
	var arrivals sync.WaitGroup
	for i := range o.Kinds {
		k := &o.Kinds[i]
		sim.res.Kinds[k.Name] = &KindResult{}
		r := rand.New(rand.NewPCG(o.Seed, uint64(i)+10))
		arrivals.Go(func() { sim.generateCalls(k, r) })
	}
	arrivals.Wait()
	sim.calls.Wait()
	stop()
	background.Wait()
	sim.probes.Wait()
	return sim.finalResult()
}

func dcName(i int) string { return fmt.Sprintf("dc-%d", i) }

func (sim *discoverySimulation) build() {
	sim.byID = make(map[string]*simulatedServer)
	sim.state = &sycamorevane.State{Version: 1, Config: sycamorevane.Config{
		SequenceNumber: 1, Services: []sycamorevane.Service{{Name: serviceName, HealthPath: "/health"}},
	}}
	var catalog []cataloger.ServerRecord
	for i := range sim.DCs {
		sim.state.Config.DCs = append(sim.state.Config.DCs, dcName(i))
	}
	for i := range sim.Servers {
		s := &simulatedServer{id: fmt.Sprintf("s%d", i), dc: dcName(i % sim.DCs), slowdown: 1}
		sim.servers = append(sim.servers, s)
		sim.byID[s.id] = s
		catalog = append(catalog, cataloger.ServerRecord{
			Report: cataloger.Report{Server: sycamorevane.Server{
				ID: s.id, InstanceName: s.id, Service: serviceName, Addr: s.id, DC: s.dc, Slots: sim.Slots,
			}},
			ReportedAt: sim.startedAt,
		})
	}
	n := sim.Entries
	if sim.omniscient() {
		n = 1
	}
	for i := range n {
		e := &simulatedEntry{dc: dcName(i % sim.DCs)}
		cfg := dispatcher.Config{
			DC: e.dc, Servers: func() []cataloger.ServerRecord { return catalog },
			State:     func() *sycamorevane.State { return sim.state },
			EntryRank: func() (int, int) { return i, n }, Log: logr.Discard(),
		}
		if !sim.omniscient() {
			cfg.SendProbe = func(p dispatcher.Probe) { sim.probes.Go(func() { sim.probe(e, p.Server) }) }
		}
		e.dispatcher = dispatcher.New(cfg)
		e.dispatcher.Update()
		sim.entries = append(sim.entries, e)
	}
}

// omniscient reports whether one entry knows the load of all servers at all times.
func (sim *discoverySimulation) omniscient() bool {
	return sim.Design == OmniscientDispatcher || sim.Design == OmniscientScheduler
}

// generateCalls starts calls of one kind with exponentially distributed gaps.
func (sim *discoverySimulation) generateCalls(k *RequestKind, r *rand.Rand) {
	end := sim.startedAt.Add(sim.WarmUp + sim.Duration)
	for {
		time.Sleep(time.Duration(r.ExpFloat64() / (k.Rate * (1 + sim.Wave.Depth)) * float64(time.Second)))
		now := time.Now()
		if !now.Before(end) {
			return
		}
		serviceTime := time.Duration(float64(k.MeanServiceTime) * math.Exp(
			k.ServiceTimeSigma*r.NormFloat64()-k.ServiceTimeSigma*k.ServiceTimeSigma/2))
		// The numbers are drawn in the same way for all designs, so that they get the same arrivals.
		i := r.IntN(sim.Entries)
		if sim.Wave.Depth > 0 && r.Float64() > sim.relativeDemand(i%sim.DCs, now)/(1+sim.Wave.Depth) {
			continue
		}
		e := sim.entries[i%len(sim.entries)]
		sim.calls.Go(func() { sim.sendCall(k, e, serviceTime, now) })
	}
}

// relativeDemand is the demand of a data centre relative to its mean.
func (sim *discoverySimulation) relativeDemand(dc int, now time.Time) float64 {
	phase := now.Sub(sim.startedAt).Seconds()/sim.Wave.Period.Seconds() + float64(dc)/float64(sim.DCs)
	return 1 + sim.Wave.Depth*math.Sin(2*math.Pi*phase)
}

// sendCall sends one call of a caller, with its retries.
func (sim *discoverySimulation) sendCall(k *RequestKind, e *simulatedEntry, serviceTime time.Duration, startedAt time.Time) {
	deadline := startedAt.Add(k.Timeout)
	for attempt := 0; ; attempt++ {
		time.Sleep(callerDelay)
		sent := time.Now()
		ok, retryAfter := sim.forward(k, e, serviceTime, startedAt)
		if !ok {
			sim.mu.Lock()
			_ = sim.res.RefusalTime.RecordValue(time.Since(sent).Microseconds())
			if attempt > 0 {
				sim.res.VainReturns++
			}
			sim.mu.Unlock()
		}
		time.Sleep(callerDelay)
		if ok || attempt >= k.MaxRetries || time.Now().Add(retryAfter).After(deadline) {
			sim.recordCall(k, startedAt, ok)
			return
		}
		time.Sleep(retryAfter)
		sim.mu.Lock()
		sim.res.Returns++
		sim.mu.Unlock()
	}
}

// forward acts as an entry for one request. Servers that refused it are excluded from the next choice.
func (sim *discoverySimulation) forward(
	k *RequestKind, e *simulatedEntry, serviceTime time.Duration, startedAt time.Time,
) (ok bool, retryAfter time.Duration) {
	req := sycamorevane.Request{
		Service: serviceName, Route: k.Name, Priority: k.Priority,
		Deadline: startedAt.Add(k.Timeout - callerDelay),
	}
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	if e.scheduler != nil {
		return sim.forwardScheduled(ctx, k, e, &req, serviceTime)
	}
	for range maxAttempts {
		asked := time.Now()
		g, err := e.dispatcher.Acquire(ctx, req)
		if err != nil {
			var refused *sycamorevane.RefusedError
			if errors.As(err, &refused) {
				return false, refused.RetryAfter
			}
			return false, 0
		}
		sent := time.Now()
		sim.recordWait(sent.Sub(asked))
		sim.countPair(e, g.Server, &sim.res.RemoteAttempts)
		if g.Server.DC != e.dc {
			time.Sleep(interDCDelay)
		}
		o := sim.runOnServer(g.Server.ID, serviceTime)
		if g.Server.DC != e.dc {
			time.Sleep(interDCDelay)
		}
		o.Route, o.Latency = k.Name, time.Since(sent)
		e.dispatcher.Release(g, o)
		sim.shareReport(e, g.Server, o.Load, o.Kind == sycamorevane.OutcomeOK)
		if o.Kind == sycamorevane.OutcomeOK {
			return true, 0
		}
		if o.Kind == sycamorevane.OutcomeIncomplete && k.NotIdempotent {
			return false, noRetry
		}
		req.ExcludedServers = append(req.ExcludedServers, g.Server.ID)
	}
	return false, time.Second
}

func (sim *discoverySimulation) recordWait(wait time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	_ = sim.res.Wait.RecordValue(wait.Microseconds())
}

// countPair records that the entry uses the server, in remote if that is in another data centre.
func (sim *discoverySimulation) countPair(e *simulatedEntry, srv sycamorevane.Server, remote *int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.pairs[pair{e, srv.ID}] = true
	if srv.DC != e.dc {
		*remote++
	}
}

// runOnServer queues the request on a server and waits for its end.
func (sim *discoverySimulation) runOnServer(id string, serviceTime time.Duration) sycamorevane.Outcome {
	j := &simulatedJob{remaining: serviceTime, done: make(chan *sycamorevane.LoadReport, 1)}
	sim.mu.Lock()
	sim.res.Attempts++
	s := sim.findServer(id)
	switch {
	case len(s.running) < sim.Slots:
		sim.startJob(s, j)
	case len(s.waiting) < sim.MaxQueued:
		s.waiting = append(s.waiting, j)
	case sim.ResetWhenFull:
		sim.res.Shed++
		sim.mu.Unlock()
		return sycamorevane.Outcome{Kind: sycamorevane.OutcomeIncomplete}
	default:
		sim.res.Shed++
		l := s.loadReport(sim.Slots)
		sim.mu.Unlock()
		return sycamorevane.Outcome{Kind: sycamorevane.OutcomeShed, Load: l}
	}
	sim.mu.Unlock()
	return sycamorevane.Outcome{Load: <-j.done}
}

func (sim *discoverySimulation) findServer(id string) *simulatedServer {
	return sim.byID[id]
}

func (s *simulatedServer) loadReport(slots int) *sycamorevane.LoadReport {
	return &sycamorevane.LoadReport{Running: len(s.running), Waiting: len(s.waiting), Slots: slots, Slowdown: s.slowdown}
}

// serverLoop advances all servers by one quantum per tick. With OmniscientDispatcher it also reports their load to the only entry.
func (sim *discoverySimulation) serverLoop(ctx context.Context) {
	t := time.NewTicker(quantum)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			sim.mu.Lock()
			for _, s := range sim.servers {
				sim.advance(s, now)
			}
			if sim.Design == OmniscientDispatcher {
				for _, s := range sim.servers {
					sim.entries[0].dispatcher.HandleProbeResult(now, s.id, dispatcher.ProbeResult{
						Answered: true, Load: s.loadReport(sim.Slots), ColdRemaining: -1,
					})
				}
			}
			sim.mu.Unlock()
			if sim.Design == OmniscientScheduler {
				sim.reportAll(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// advance processes one quantum on a server.
func (sim *discoverySimulation) advance(s *simulatedServer, now time.Time) {
	if sim.Noise.TimeShare > 0 && !now.Before(s.slowdownUntil) {
		s.slowdown = 1
		if sim.rand.Float64() < sim.Noise.TimeShare {
			s.slowdown = sim.Noise.Slowdown
		}
		s.slowdownUntil = now.Add(time.Duration((0.5 + sim.rand.Float64()) * float64(sim.Noise.MeanInterval)))
	}
	sim.slotQuanta += float64(len(s.running))
	unfinished := s.running[:0]
	var finished []*simulatedJob
	for _, j := range s.running {
		if j.overKnee {
			sim.overKneeQuanta++
		}
		if j.remaining -= quantum; j.remaining > 0 {
			unfinished = append(unfinished, j)
		} else {
			finished = append(finished, j)
		}
	}
	for _, j := range finished {
		l := s.loadReport(sim.Slots)
		l.Running = len(unfinished) + 1
		j.done <- l
	}
	s.running = unfinished
	for len(s.running) < sim.Slots && len(s.waiting) > 0 {
		sim.startJob(s, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// startJob starts a request. Its duration is fixed at that moment, as on the users' servers: later changes on the
// machine affect only requests that start later.
func (sim *discoverySimulation) startJob(s *simulatedServer, j *simulatedJob) {
	s.running = append(s.running, j)
	factor := s.slowdown
	if j.overKnee = float64(len(s.running)) > max(1, sim.KneeShare*float64(sim.Slots)); j.overKnee {
		factor *= cmp.Or(sim.KneeSlowdown, 1)
	}
	j.remaining = time.Duration(factor * float64(j.remaining))
}

// probeLoop sends the load probes that the entry's dispatcher has due.
func (sim *discoverySimulation) probeLoop(ctx context.Context, e *simulatedEntry) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, p := range e.dispatcher.DueProbes(now) {
				sim.probes.Go(func() { sim.probe(e, p.Server) })
			}
		case <-ctx.Done():
			return
		}
	}
}

func (sim *discoverySimulation) probe(e *simulatedEntry, srv sycamorevane.Server) {
	delay := cmp.Or(sim.ProbeTime, 2*time.Millisecond) / 2
	if srv.DC != e.dc {
		delay += interDCDelay
	}
	time.Sleep(delay)
	sim.mu.Lock()
	sim.res.Probes++
	sim.mu.Unlock()
	sim.countPair(e, srv, &sim.res.RemoteProbes)
	sim.mu.Lock()
	l := sim.findServer(srv.ID).loadReport(sim.Slots)
	sim.mu.Unlock()
	time.Sleep(delay)
	e.dispatcher.HandleProbeResult(time.Now(), srv.ID, dispatcher.ProbeResult{Answered: true, Load: l, ColdRemaining: -1})
	sim.shareReport(e, srv, l, false)
}

// recordCall records how a call ended, in the second in which it arrived.
func (sim *discoverySimulation) recordCall(k *RequestKind, startedAt time.Time, ok bool) {
	now := time.Now()
	sinceWarmUp := startedAt.Sub(sim.startedAt) - sim.WarmUp
	if sinceWarmUp < 0 {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r := sim.res.Kinds[k.Name]
	if ok {
		_ = sim.res.Latency.RecordValue(now.Sub(startedAt).Microseconds())
	}
	second := int(sinceWarmUp / time.Second)
	r.Requests++
	sim.offered[second]++
	switch {
	case ok && now.Sub(startedAt) <= k.Timeout:
		r.Served++
		sim.served[second]++
	case ok:
		r.Late++
	default:
		r.Refused++
	}
}

func (sim *discoverySimulation) finalResult() DiscoveryResult {
	var offered, served float64
	sim.res.WorstServedShare = 1
	for i := range sim.offered {
		offered += sim.offered[i]
		served += sim.served[i]
		if i > 0 && sim.offered[i] > 0 {
			sim.res.WorstServedShare = min(sim.res.WorstServedShare, (sim.served[i-1]+sim.served[i])/(sim.offered[i-1]+sim.offered[i]))
		}
	}
	sim.res.ServedShare = served / cmp.Or(offered, 1)
	sim.res.Pairs = len(sim.pairs)
	sim.res.OverKneeShare = sim.overKneeQuanta / cmp.Or(sim.slotQuanta, 1)
	return sim.res
}
