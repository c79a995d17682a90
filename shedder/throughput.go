package shedder

import (
	"math"
	"time"
)

const (
	// busyWindow is the time constant with which the observed use of a limit fades.
	busyWindow = time.Second
	// speedWeight is the weight of one finished request in the mean speed.
	speedWeight = 0.05
)

// Throughput estimates the work that the servers of a queue do per second while requests wait for them.
type Throughput struct {
	// idle is the mean share of the limit that is not used while requests wait.
	idle float64
	// speed is the mean ratio of the work of finished requests to the time that they took; 0 before the first.
	speed float64
	// waiting is set while requests wait for room, unused is the share of the limit that is not used since updatedAt.
	waiting   bool
	unused    float64
	updatedAt time.Time
}

// Update records whether requests wait for room from now on, and how many run of the number that may run at once.
func (t *Throughput) Update(now time.Time, waiting bool, running int, limit float64) {
	if t.waiting {
		weight := math.Exp(-float64(max(0, now.Sub(t.updatedAt))) / float64(busyWindow))
		t.idle = t.unused + (t.idle-t.unused)*weight
	}
	t.waiting, t.updatedAt = waiting, now
	t.unused = 1 - min(1, float64(running)/max(1, limit))
}

// Finish records that a request has taken some time for its work.
func (t *Throughput) Finish(work, took time.Duration) {
	if work <= 0 || took <= 0 {
		return
	}
	speed := float64(work) / float64(took)
	if t.speed == 0 {
		t.speed = speed
	}
	t.speed += speedWeight * (speed - t.speed)
}

// Capacity is the work in seconds that is done per second when the given number of requests may run at once. Before the
// first request has finished, servers are assumed to be as fast as idle ones, since nothing says that requests cannot be
// served.
func (t *Throughput) Capacity(limit float64) float64 {
	speed := t.speed
	if speed == 0 {
		speed = 1
	}
	return limit * (1 - t.idle) * speed
}
