package shedder

import (
	"math"
	"time"
)

const (
	// Deviations is the number of standard deviations that are allowed for in the number of requests that are still to come:
	// of normally distributed numbers, 1 in 700 is larger. A request that waits and then gives way to more of them is rejected
	// late.
	Deviations = 3
	// longestWait stands for a wait without an expected end.
	longestWait = time.Hour
)

// Forecast tells what is expected to happen to requests of one priority.
type Forecast struct {
	// Capacity is the work in seconds that is done per second, Urgent the part of it that more urgent requests are expected
	// to need.
	Capacity, Urgent float64
	// period is the time over which Urgent has been observed.
	period time.Duration
}

// WillStart reports whether a request of the given work in seconds starts within the time, after the work that is ahead of
// it, also if more of the more urgent requests arrive than expected.
func (f Forecast) WillStart(within time.Duration, ahead, work float64) bool {
	return f.starts(within, ahead, work, Deviations)
}

// MayStart reports whether the request is expected to start within the time.
func (f Forecast) MayStart(within time.Duration, ahead, work float64) bool {
	return f.starts(within, ahead, work, 0)
}

func (f Forecast) starts(within time.Duration, ahead, work, deviations float64) bool {
	if within < 0 || work <= 0 {
		return false
	}
	return ahead+f.Urgent*within.Seconds()+deviations*f.UrgentDeviation(within, work) <= f.Capacity*within.Seconds()
}

// UrgentDeviation is the standard deviation of the work of the more urgent requests, of the given work each, that arrive
// within the time. The variance of the number of independent arrivals is that number, and so is that of the observed number,
// by which their rate is known.
func (f Forecast) UrgentDeviation(within time.Duration, work float64) float64 {
	if f.Urgent <= 0 {
		return 0
	}
	expected := f.Urgent * within.Seconds() / work
	return work * math.Sqrt(expected*(1+within.Seconds()/f.period.Seconds()))
}

// Wait is the time in which the work in seconds is expected to be done besides more urgent requests.
func (f Forecast) Wait(work float64) time.Duration {
	left := f.Capacity - f.Urgent
	switch {
	case work <= 0:
		return 0
	case left <= 0 || work/left > longestWait.Seconds():
		return longestWait
	}
	return time.Duration(work / left * float64(time.Second))
}

// Interval is the mean time between two starts of requests of the given work in seconds.
func (f Forecast) Interval(work float64) time.Duration {
	return Forecast{Capacity: f.Capacity}.Wait(work)
}
