package simulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sycamorevane.example/sycamorevane"
)

// Model constants.
const (
	// serverDelay is the one-way delay between an entry and a server of its data centre.
	serverDelay = 100 * time.Microsecond
	// failureTime is the time in which a failing server responds.
	failureTime = 200 * time.Microsecond
	// warmUpRequests is the number of requests after which a cold server is warm.
	warmUpRequests = 40
	// coldSlowdown is the latency of a cold server that runs one request, relative to a warm one.
	coldSlowdown = 1.5
	// In each burstPeriod, arrivals come at burstRateFactor times the mean rate for burstLength.
	burstPeriod     = 20 * time.Millisecond
	burstLength     = 4 * time.Millisecond
	burstRateFactor = 2.5
	// meanNoiseInterval is the mean time between slow phases of a server, noiseDuration their length.
	meanNoiseInterval = 300 * time.Millisecond
	noiseDuration     = 20 * time.Millisecond
	noiseSlowdown     = 3
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000_000, 0)

type event struct {
	dueAt  time.Duration
	seq    uint64
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].dueAt < e[j].dueAt || e[i].dueAt == e[j].dueAt && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any) {
	if ev, ok := x.(event); ok {
		*e = append(*e, ev)
	}
}

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// call is one request.
type call struct {
	workspace   *Workspace
	stats       *WorkspaceResult
	entry       int
	arrivedAt   time.Duration
	serviceTime time.Duration
	// measured is false for calls that arrive during the warm-up.
	measured bool
}

// policy assigns calls to servers.
type policy interface {
	start()
	arrive(c *call)
}

type simulation struct {
	Conditions
	now        time.Duration
	seq        uint64
	eventQueue events
	rand       *rand.Rand
	servers    []*server
	policy     policy
	res        Result
	// unusedSlots and rampLimitSlots are divided by sampledSlots for the shares in the result.
	unusedSlots, sampledSlots, rampLimitSlots float64
}

func newSimulation(c Conditions) *simulation {
	sim := &simulation{Conditions: c, rand: rand.New(rand.NewPCG(c.Seed, 1))}
	sim.res = Result{WorkspaceResult: newWorkspaceResult(), Workspaces: make(map[string]*WorkspaceResult)}
	for i := range c.Workspaces {
		r := newWorkspaceResult()
		sim.res.Workspaces[c.Workspaces[i].Name] = &r
	}
	for i := range c.Servers {
		sim.servers = append(sim.servers, newServer(sim, i))
	}
	return sim
}

func (sim *simulation) currentTime() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) endTime() time.Duration { return sim.WarmUp + sim.Duration }

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.eventQueue, event{dueAt: sim.now + max(d, 0), seq: sim.seq, action: do})
}

func (sim *simulation) scheduleEvery(d time.Duration, do func()) {
	sim.schedule(d, func() {
		do()
		if sim.now < sim.endTime()+sim.Timeout {
			sim.scheduleEvery(d, do)
		}
	})
}

// meshDelay draws the delay of one message between two entries.
func (sim *simulation) meshDelay() time.Duration {
	return sim.MinMeshDelay + time.Duration(sim.rand.Int64N(int64(sim.MaxMeshDelay-sim.MinMeshDelay)+1))
}

// capacity is the service time that the healthy servers can spend per second, in seconds.
func (sim *simulation) capacity() float64 {
	slots := float64(sim.Servers-sim.SlowServers-sim.FailingServers-sim.DrainingServers) + float64(sim.SlowServers)/10
	return slots * float64(sim.Slots)
}

func (sim *simulation) run() {
	sim.policy.start()
	for i := range sim.Workspaces {
		if sim.Workspaces[i].Load > 0 {
			sim.scheduleArrival(&sim.Workspaces[i])
		}
	}
	for len(sim.eventQueue) > 0 {
		ev, ok := heap.Pop(&sim.eventQueue).(event)
		if !ok || ev.dueAt > sim.endTime()+2*sim.Timeout {
			return
		}
		sim.now = ev.dueAt
		ev.action()
	}
}

// scheduleArrival schedules the workspace's next call: Poisson arrivals, thinned between bursts.
func (sim *simulation) scheduleArrival(ws *Workspace) {
	rate := ws.Load * sim.capacity() / sim.MeanServiceTime.Seconds()
	if sim.Bursts {
		rate *= burstRateFactor
	}
	sim.schedule(time.Duration(sim.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.now >= sim.endTime() {
			return
		}
		sim.scheduleArrival(ws)
		if sim.Bursts && !sim.keepArrival() || sim.inStartPhase() && sim.rand.Float64() < 0.5 {
			return
		}
		sim.policy.arrive(sim.newCall(ws))
	})
}

// inStartPhase reports whether the offered load is still halved, so that the backlog of a start with cold servers is
// not measured as steady state.
func (sim *simulation) inStartPhase() bool { return !sim.AllCold && sim.now < sim.WarmUp*3/4 }

// keepArrival thins the arrivals between bursts so that the mean rate is unchanged.
func (sim *simulation) keepArrival() bool {
	const on = float64(burstLength) / float64(burstPeriod)
	const low = (1 - burstRateFactor*on) / (1 - on) / burstRateFactor
	return sim.now%burstPeriod < burstLength || sim.rand.Float64() < low
}

func (sim *simulation) newCall(ws *Workspace) *call {
	entries := sim.Entries
	if ws.MaxEntries > 0 {
		entries = ws.MaxEntries
	}
	c := &call{
		workspace: ws, stats: sim.res.Workspaces[ws.Name], entry: sim.rand.IntN(entries), arrivedAt: sim.now,
		serviceTime: sim.drawServiceTime(),
	}
	c.measured = sim.now >= sim.WarmUp
	if c.measured {
		c.stats.Offered++
	}
	return c
}

// drawServiceTime draws the service time of a request from a log-normal distribution with the configured mean.
func (sim *simulation) drawServiceTime() time.Duration {
	mu := math.Log(float64(sim.MeanServiceTime)) - sim.ServiceTimeSigma*sim.ServiceTimeSigma/2
	return time.Duration(math.Exp(mu + sim.ServiceTimeSigma*sim.rand.NormFloat64()))
}

// recordResponse records the response to a call as its entry sees it.
func (sim *simulation) recordResponse(c *call, kind sycamorevane.OutcomeKind) {
	if !c.measured {
		return
	}
	latency := sim.now - c.arrivedAt
	switch {
	case kind != sycamorevane.OutcomeOK:
		c.stats.Failed++
	case latency > sim.Timeout:
		c.stats.Late++
	default:
		c.stats.Good++
		_ = c.stats.Latency.RecordValue(int64(latency / time.Microsecond))
	}
}

func (sim *simulation) recordRefusal(c *call, retryAfter time.Duration) {
	if !c.measured {
		return
	}
	c.stats.Refused++
	if retryAfter <= 0 {
		c.stats.NoRetryAfter++
	}
	_ = c.stats.RefusalTime.RecordValue(int64((sim.now - c.arrivedAt) / time.Microsecond))
}

func (sim *simulation) finalResult() Result {
	for _, ws := range sim.res.Workspaces {
		sim.res.Offered += ws.Offered
		sim.res.Good += ws.Good
		sim.res.Late += ws.Late
		sim.res.Failed += ws.Failed
		sim.res.Refused += ws.Refused
		sim.res.NoRetryAfter += ws.NoRetryAfter
		sim.res.Latency.Merge(ws.Latency)
		sim.res.RefusalTime.Merge(ws.RefusalTime)
	}
	if sim.sampledSlots > 0 {
		sim.res.UnusedSlotShare = sim.unusedSlots / sim.sampledSlots
		sim.res.RampLimitShare = sim.rampLimitSlots / sim.sampledSlots
	}
	total := sim.endTime().Seconds() * float64(sim.Servers*sim.Slots)
	for _, s := range sim.servers {
		sim.res.ProbeShare += s.probeTime.Seconds() / total
	}
	return sim.res
}

// String prints the measurements with times in milliseconds.
func (r Result) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf(
		"p50=%.1f p99=%.1f p99.9=%.1f good=%d late=%d failed=%d refused=%d wasted=%.3f limit=%.3f over=%d peak=%d coldpeak=%d "+
			"warmup=%.0fms coldagain=%.0fms drained=%d probes=%d probeshare=%.5f messages=%d",
		ms(r.LatencyPercentile(50)), ms(r.LatencyPercentile(99)), ms(r.LatencyPercentile(99.9)), r.Good, r.Late, r.Failed, r.Refused,
		r.UnusedSlotShare, r.RampLimitShare, r.QueuedOnServers, r.PeakRunning, r.ColdPeakRunning,
		ms(r.WarmUpTime), ms(r.ColdReactionTime), r.SentToDraining, r.Probes, r.ProbeShare, r.Messages)
}
