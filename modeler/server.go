package modeler

import (
	"fmt"
	"time"

	"sycamorevane.example/sycamorevane"
)

// server is a backend server with a number of slots and an unbounded queue behind them.
type server struct {
	sycamorevane.Server
	w       *world
	slow    bool
	failing bool
	// cold counts the requests until the server is warm.
	cold int
	// turned is when the server last turned cold.
	turned time.Duration
	drain  time.Duration
	busy   int
	queue  []*job
	noise  time.Duration
	probed time.Duration
}

type job struct {
	work  time.Duration
	probe bool
	done  func(sycamorevane.OutcomeKind)
}

func newServer(w *world, i int) *server {
	s := &server{w: w, Server: sycamorevane.Server{
		Service: "flagboard", Version: "v1", ID: fmt.Sprintf("server-%02d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1),
		DC: "dc-a", Slots: w.Slots, MaxConns: 240, State: sycamorevane.ServerReady,
	}}
	// The special servers come from the end of the list.
	n := w.Servers - 1 - i
	switch {
	case n < w.Slow:
		s.slow = true
	case n < w.Slow+w.Failing:
		s.failing = true
	case n < w.Slow+w.Failing+w.Draining:
		s.drain = w.end() / 3
	case n < w.Slow+w.Failing+w.Draining+w.Cold:
		s.cold = coldAnswers
		w.after(w.end()*2/3, func() { s.turnCold() })
	}
	if w.AllCold {
		s.cold = coldAnswers
	}
	if w.Noisy {
		s.planNoise()
	}
	return s
}

func (s *server) turnCold() {
	s.cold = coldAnswers
	s.turned = s.w.now
}

func (s *server) planNoise() {
	s.w.after(time.Duration(s.w.rand.ExpFloat64()*float64(noiseGap)), func() {
		s.noise = s.w.now + noiseTime
		if s.w.now < s.w.end() {
			s.planNoise()
		}
	})
}

// draining reports whether the server has announced that it leaves.
func (s *server) draining() bool { return s.drain > 0 && s.w.now >= s.drain }

// submit takes a request that has arrived at the server.
func (s *server) submit(j *job) {
	if s.drain > 0 && s.w.now > s.drain+3*time.Second {
		s.w.res.Drained++
	}
	if s.busy >= s.Slots {
		s.w.res.Over++
		s.queue = append(s.queue, j)
		return
	}
	s.run(j)
}

func (s *server) run(j *job) {
	s.busy++
	s.w.res.Peak = max(s.w.res.Peak, s.busy)
	if s.cold > 0 {
		s.noteCold()
	}
	took := s.duration(j.work)
	if j.probe {
		s.probed += took
	}
	outcome := sycamorevane.OutcomeOK
	if s.failing {
		outcome, took = sycamorevane.OutcomeFailed, failTime
	}
	s.w.after(took, func() {
		s.busy--
		s.cold = max(0, s.cold-1)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.run(next)
		}
		s.w.after(hop, func() { j.done(outcome) })
	})
}

// noteCold records how much work a cold server got. After a turn without notice the work that was already lent
// does not count as a peak, but as the time until the limit took hold.
func (s *server) noteCold() {
	if s.turned > 0 {
		if s.busy > 1 {
			s.w.res.ColdAgain = max(s.w.res.ColdAgain, s.w.now-s.turned)
		}
		return
	}
	s.w.res.ColdPeak = max(s.w.res.ColdPeak, s.busy)
}

// duration is the time on this server: a cold server suffers from each further request at once.
func (s *server) duration(work time.Duration) time.Duration {
	d := work
	if s.cold > 0 {
		d = time.Duration(float64(d) * coldFactor * float64(s.busy*s.busy))
	}
	if s.slow {
		d *= 10
	}
	if s.w.now < s.noise {
		d *= noiseFactor
	}
	return d
}
