package simulator

import (
	"fmt"
	"time"

	"sycamorevane.example/sycamorevane"
)

// server is a backend server with a number of slots and an unbounded queue behind them.
type server struct {
	sycamorevane.Server
	sim     *simulation
	slow    bool
	failing bool
	// warmUpRemaining is the number of requests until the server is warm.
	warmUpRemaining int
	// turnedColdAt is when the server last turned cold during the run.
	turnedColdAt time.Duration
	drainAt      time.Duration
	busySlots    int
	queue        []*job
	slowUntil    time.Duration
	probeTime    time.Duration
}

type job struct {
	serviceTime time.Duration
	probe       bool
	done        func(sycamorevane.OutcomeKind)
}

func newServer(sim *simulation, i int) *server {
	s := &server{sim: sim, Server: sycamorevane.Server{
		Service: "flagboard", Version: "v1", ID: fmt.Sprintf("server-%02d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1),
		DC: "dc-a", Slots: sim.Slots, MaxConns: 240, State: sycamorevane.ServerReady,
	}}
	// Slow, failing, draining and cold servers are taken from the end of the list.
	n := sim.Servers - 1 - i
	switch {
	case n < sim.SlowServers:
		s.slow = true
	case n < sim.SlowServers+sim.FailingServers:
		s.failing = true
	case n < sim.SlowServers+sim.FailingServers+sim.DrainingServers:
		s.drainAt = sim.endTime() / 3
	case n < sim.SlowServers+sim.FailingServers+sim.DrainingServers+sim.ColdServers:
		s.warmUpRemaining = warmUpRequests
		sim.schedule(sim.endTime()*2/3, func() { s.turnCold() })
	}
	if sim.AllCold {
		s.warmUpRemaining = warmUpRequests
	}
	if sim.NoisyNeighbours {
		s.scheduleNoise()
	}
	return s
}

func (s *server) turnCold() {
	s.warmUpRemaining = warmUpRequests
	s.turnedColdAt = s.sim.now
}

func (s *server) scheduleNoise() {
	s.sim.schedule(time.Duration(s.sim.rand.ExpFloat64()*float64(meanNoiseInterval)), func() {
		s.slowUntil = s.sim.now + noiseDuration
		if s.sim.now < s.sim.endTime() {
			s.scheduleNoise()
		}
	})
}

// draining reports whether the server has announced its drain.
func (s *server) draining() bool { return s.drainAt > 0 && s.sim.now >= s.drainAt }

// submit accepts a request that has arrived at the server.
func (s *server) submit(j *job) {
	if s.drainAt > 0 && s.sim.now > s.drainAt+3*time.Second {
		s.sim.res.SentToDraining++
	}
	if s.busySlots >= s.Slots {
		s.sim.res.QueuedOnServers++
		s.queue = append(s.queue, j)
		return
	}
	s.startJob(j)
}

func (s *server) startJob(j *job) {
	s.busySlots++
	s.sim.res.PeakRunning = max(s.sim.res.PeakRunning, s.busySlots)
	if s.warmUpRemaining > 0 {
		s.recordColdLoad()
	}
	duration := s.serviceTime(j.serviceTime)
	if j.probe {
		s.probeTime += duration
	}
	outcome := sycamorevane.OutcomeOK
	if s.failing {
		outcome, duration = sycamorevane.OutcomeFailed, failureTime
	}
	s.sim.schedule(duration, func() {
		s.busySlots--
		s.warmUpRemaining = max(0, s.warmUpRemaining-1)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.startJob(next)
		}
		s.sim.schedule(serverDelay, func() { j.done(outcome) })
	})
}

// recordColdLoad records how much load a cold server got. After it has turned cold without notice, slots that were
// already lent do not count as a peak but as the time until the reduced limit took effect.
func (s *server) recordColdLoad() {
	if s.turnedColdAt > 0 {
		if s.busySlots > 1 {
			s.sim.res.ColdReactionTime = max(s.sim.res.ColdReactionTime, s.sim.now-s.turnedColdAt)
		}
		return
	}
	s.sim.res.ColdPeakRunning = max(s.sim.res.ColdPeakRunning, s.busySlots)
}

// serviceTime is the time that a request takes on this server; each concurrent request slows a cold server further.
func (s *server) serviceTime(warmTime time.Duration) time.Duration {
	d := warmTime
	if s.warmUpRemaining > 0 {
		d = time.Duration(float64(d) * coldSlowdown * float64(s.busySlots*s.busySlots))
	}
	if s.slow {
		d *= 10
	}
	if s.sim.now < s.slowUntil {
		d *= noiseSlowdown
	}
	return d
}
