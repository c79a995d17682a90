package shedder

import "time"

const (
	// DefaultRetryAfter is when callers return if it is not known when there will be room.
	DefaultRetryAfter = time.Second
	// maxRetryShare is the largest part of the time that a rejected caller has left after which it may be told to return.
	// Clients wait no longer than that.
	maxRetryShare = 1.0 / 3
	// returnSpread is the part of a delay by which it is randomized, so that callers do not return at the same moment.
	returnSpread = 0.2
)

// Returns spreads the times at which rejected callers return, so that each finds room when it comes.
type Returns struct {
	// next is the earliest time for the next caller.
	next time.Time
}

// Reserve returns how long from now there is expected to be room for one more caller, if there is room after the given
// wait and then for one caller per interval.
func (r *Returns) Reserve(now time.Time, wait, interval time.Duration) time.Duration {
	if first := now.Add(wait); r.next.Before(first) {
		r.next = first
	}
	r.next = r.next.Add(interval)
	if latest := now.Add(DefaultRetryAfter); r.next.After(latest) {
		r.next = latest // A later time could not be foretold.
	}
	return r.next.Sub(now)
}

// RetryAfter randomizes a delay and keeps it within what clients accept. left is the time until the caller's deadline; 0
// for none. random is between 0 and 1.
func RetryAfter(delay, left time.Duration, random float64) time.Duration {
	if left > 0 {
		delay = min(delay, time.Duration(maxRetryShare*float64(left)))
	}
	return max(time.Millisecond, time.Duration(float64(delay)*(1-returnSpread*random)))
}
