// Package shedder tells how much of the demand on a queue can be served when more arrives than its servers can run. It
// does no I/O and takes the time as an argument.
//
// A queue that grows as long as the time that callers have serves no more of them than a short one, since the servers are
// busy either way, but all answers come at the last moment. So what is known to exceed the capacity is rejected on arrival,
// from all callers of a group alike. A burst that can be served in the time that its callers have is no overload.
package shedder

import (
	"cmp"
	"slices"
	"time"
)

const (
	// historyStep and historySize are the resolution of the history of demand and its number of steps.
	historyStep = 50 * time.Millisecond
	historySize = 256
	// horizonWeight is the weight of one request in a mean horizon.
	horizonWeight = 0.02
	// recentShare is the recent part of a period. Overload that is over in that part is a past burst.
	recentShare = 0.25
)

// Group identifies requests that are served alike.
type Group struct {
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority  int
	Workspace string
}

// Shedder holds the demand of all groups.
type Shedder struct {
	// startedAt is the first time that was passed. Times count from it by the monotonic clock, which does not jump.
	startedAt time.Time
	demands   map[Group]*demand
	// horizons holds, by priority, the mean time in which requests must be finished.
	horizons map[int]time.Duration
}

// New returns a shedder without demand.
func New() *Shedder {
	return &Shedder{demands: make(map[Group]*demand), horizons: make(map[int]time.Duration)}
}

// Count counts the work in seconds of a request that arrives, whether it is admitted or not, and that
// must be finished within horizon.
func (s *Shedder) Count(now time.Time, g Group, work float64, horizon time.Duration) {
	mean, known := s.horizons[g.Priority]
	if !known {
		mean = horizon
	}
	s.horizons[g.Priority] = mean + time.Duration(horizonWeight*float64(horizon-mean))
	d := s.demands[g]
	if d == nil {
		d = &demand{}
		s.demands[g] = d
	}
	d.advance(s.elapsed(now))
	d.total += work
}

func (s *Shedder) elapsed(now time.Time) time.Duration {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	return now.Sub(s.startedAt)
}

// Forecast returns what requests of the priority can expect if the given work in seconds is done per second.
func (s *Shedder) Forecast(now time.Time, priority int, capacity float64) Forecast {
	at := s.elapsed(now)
	f := Forecast{Capacity: capacity, period: observedPeriod(at, s.horizon(priority))}
	if f.period <= 0 {
		return f
	}
	for g, d := range s.demands {
		if g.Priority < priority {
			d.advance(at)
			f.Urgent += d.since(at, f.period) / f.period.Seconds()
		}
	}
	return f
}

// observedPeriod is the last period, or the part of it in which demand has been observed. It is not much shorter than the
// period, since few requests do not tell their rate.
func observedPeriod(at, period time.Duration) time.Duration {
	return min(period, max(at, time.Duration(recentShare*float64(period))))
}

// horizon is the mean time in which requests of the priority must be finished, as far as the history reaches.
func (s *Shedder) horizon(priority int) time.Duration {
	return min(s.horizons[priority], historyStep*(historySize-2))
}

// Admissible returns the share of the requests of the group that can be served, from 0 to 1. It is 1 unless more work
// arrives in the time in which requests must be finished than can be done in it. That time is the mean of the priority, so
// that callers with more time and callers with less get the same share. Groups of the same priority get equal parts of the
// capacity, as far as they need them; more urgent ones go first. capacity is the work in seconds that is done per second,
// queued the work of the waiting requests that are as urgent or more urgent.
func (s *Shedder) Admissible(now time.Time, g Group, capacity, queued float64) float64 {
	horizon := s.horizon(g.Priority)
	if horizon <= 0 {
		return 1
	}
	available := capacity * horizon.Seconds()
	total := 0.0
	var same []float64
	for other, d := range s.demands {
		if other.Priority > g.Priority {
			continue
		}
		work := d.over(s.elapsed(now), horizon)
		if work <= 0 {
			continue
		}
		total += work
		if other.Priority < g.Priority {
			available -= work
		} else {
			same = append(same, work)
		}
	}
	own := 0.0
	if d := s.demands[g]; d != nil {
		own = d.over(s.elapsed(now), horizon)
	}
	if own <= 0 || total <= capacity*horizon.Seconds() {
		return 1
	}
	return min(1, fairPart(max(0, available-queued), same)/own)
}

// fairPart is the largest part that a group can get if each gets no more than its demand.
func fairPart(capacity float64, demands []float64) float64 {
	slices.SortFunc(demands, cmp.Compare[float64])
	for i, d := range demands {
		part := capacity / float64(len(demands)-i)
		if d >= part {
			return part
		}
		capacity -= d
	}
	return demands[len(demands)-1]
}

// demand is the history of the work that has arrived for a group.
type demand struct {
	total float64
	// totals holds the total at the end of each past step, at the index of the step modulo historySize.
	totals [historySize]float64
	// step is the current step.
	step int64
}

// advance ends the steps that are over.
func (d *demand) advance(at time.Duration) {
	step := int64(at / historyStep)
	for first := max(d.step, step-historySize); first < step; first++ {
		d.totals[first%historySize] = d.total
	}
	d.step = max(d.step, step)
}

// over is the work that is expected to arrive in the period: as much as in the last one, or in proportion as recently, if
// that is less.
func (d *demand) over(at, period time.Duration) float64 {
	d.advance(at)
	recent := time.Duration(recentShare * float64(period))
	return min(d.since(at, period), d.since(at, recent)/recentShare)
}

// since is the work that has arrived in the last period.
func (d *demand) since(at, period time.Duration) float64 {
	first := at - period
	if first <= 0 {
		return d.total
	}
	step := int64(first / historyStep)
	before, after := 0.0, d.totalAfter(step)
	if step > 0 {
		before = d.totalAfter(step - 1)
	}
	return d.total - before - float64(first%historyStep)/float64(historyStep)*(after-before)
}

// totalAfter is the total at the end of a step.
func (d *demand) totalAfter(step int64) float64 {
	if step >= d.step {
		return d.total
	}
	return d.totals[step%historySize]
}
