package forwarder

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// answerMargin is how long before the end of the process a request is refused at the latest. On a narrow link, other
	// responses may be in front of the refusal.
	answerMargin = 250 * time.Millisecond
	// unreadAnswerMargin is the same for a request of which a part is unread. Its connection must stay open until the caller
	// has noticed the refusal, since closing it resets it.
	unreadAnswerMargin = 750 * time.Millisecond
	// uncertainMargin is how long before the end of the process a request that still runs on a server is answered as one that
	// may have run.
	uncertainMargin = 30 * time.Millisecond
	// stopCheckInterval is how often a process that stops checks for requests to refuse.
	stopCheckInterval = 10 * time.Millisecond
)

// The states of call.wait. The last two are final.
const (
	// waitOpen means that no attempt is running and the waits of the call may be interrupted.
	waitOpen int32 = iota
	// waitOver means that an attempt is running or its response is being passed on.
	waitOver
	waitInterrupted
	// attemptAbandoned means that the process ends before the server has responded.
	attemptAbandoned
)

var errProcessStops = errors.New("process stops")

// BeginStop announces that the remaining connections are closed at end. Requests that are not on a server are refused in time
// for the response to arrive; those that still run on one just before end are answered as requests that may have run. Later
// calls have no effect.
func (f *Forwarder) BeginStop(end time.Time) {
	if !f.stopEnd.CompareAndSwap(nil, &end) {
		return
	}
	f.background.Go(func() {
		t := time.NewTicker(stopCheckInterval)
		defer t.Stop()
		for {
			select {
			case now := <-t.C:
				f.interruptCalls(now, end)
			case <-f.closed:
				return
			}
		}
	})
}

func (f *Forwarder) interruptCalls(now, end time.Time) {
	for _, c := range f.calls.list() {
		switch {
		case c.wait.Load() == waitOpen && !now.Before(c.latestWait(end)):
			c.interrupt(waitOpen, waitInterrupted)
		case c.wait.Load() == waitOver && c.progress.stage() < stageResponse && !now.Before(c.latestRun(end)):
			c.interrupt(waitOver, attemptAbandoned)
		}
	}
}

// latestWait returns until when a request that is not on a server may wait if the process ends at end. A request whose deadline
// is later needs the time that an attempt usually takes as well.
func (c *call) latestWait(end time.Time) time.Time {
	latest := end.Add(-answerMargin)
	if c.bodyUnread() {
		latest = end.Add(-unreadAnswerMargin)
	}
	if c.progress.stage() == stageState || c.serviceState == nil {
		return latest
	}
	if deadline := c.bodyDeadline(0); !deadline.IsZero() && !deadline.After(latest) {
		return latest
	}
	return latest.Add(-c.usualAttemptTime())
}

// usualAttemptTime is the time that an attempt usually takes, including that to send the body.
func (c *call) usualAttemptTime() time.Duration {
	if c.ruleState == nil {
		return c.serviceState.tailLatency.get()
	}
	usual := c.plannedLatency()
	if c.upload != nil && c.upload.length > 0 {
		usual += c.transmissionTime(c.upload.length)
	}
	return usual
}

// transmissionTime is how long the link of this host takes to send the bytes; 0 if its speed is unknown.
func (c *call) transmissionTime(bytes int64) time.Duration {
	if c.f.cfg.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) * bitsPerByte / (c.f.cfg.LinkMbps * bitsPerMegabit) * float64(time.Second))
}

// latestRun returns until when the response of a server is awaited if the process ends at end.
func (c *call) latestRun(end time.Time) time.Time {
	latest := end.Add(-uncertainMargin)
	if deadline := c.bodyDeadline(0); deadline.After(latest) && deadline.Before(end) {
		return deadline
	}
	return latest
}

// interrupt ends the waits or the attempt of a call whose wait is in the state from.
func (c *call) interrupt(from, to int32) {
	if c.wait.CompareAndSwap(from, to) {
		c.cancel(errProcessStops)
	}
}

// endWait is called before an attempt is sent and before most responses are written. It returns false if the call has been
// interrupted: nothing may be sent to a server then.
func (c *call) endWait() bool {
	return c.wait.CompareAndSwap(waitOpen, waitOver) || !c.interrupted()
}

func (c *call) interrupted() bool { return c.wait.Load() >= waitInterrupted }

// interruptedError returns the error for a call that has been interrupted.
func (c *call) interruptedError() error {
	switch {
	case c.uncertain == nil:
		return c.newShutdownError()
	case c.wait.Load() == attemptAbandoned:
		return &timeoutError{c.uncertain}
	}
	return c.uncertain
}

// resumeWait is called when no attempt is running any more and another one may follow.
func (c *call) resumeWait() { c.wait.CompareAndSwap(waitOver, waitOpen) }

// stopReadingOnInterrupt makes reads from the caller fail when the waits of the call are interrupted, until end is called.
func (c *call) stopReadingOnInterrupt() (end func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(c.ctx, func() {
		defer close(ended)
		if c.wait.Load() == waitInterrupted {
			c.upload.stopReading()
		}
	})
	return func() {
		if !stop() {
			<-ended
		}
	}
}

// checkShutdown refuses a request that may take longer than the process still runs. The caller may return at once, since
// other entries can serve it.
func (c *call) checkShutdown() error {
	limit := c.f.cfg.DeadlineLimit()
	if limit.IsZero() {
		return nil
	}
	if end := c.bodyDeadline(0); !end.IsZero() && !end.After(limit) {
		return nil
	}
	return c.newShutdownError()
}

// attemptOutlastsProcess reports whether an attempt that starts now would usually still run when the process stops.
func (c *call) attemptOutlastsProcess(now, deadline time.Time) bool {
	if end := c.f.stopEnd.Load(); end != nil && !now.Before(c.latestWait(*end)) {
		return true
	}
	limit := c.f.cfg.DeadlineLimit()
	return !limit.IsZero() && deadline.After(limit) && now.Add(c.usualAttemptTime()).After(limit)
}

func (c *call) newShutdownError() *sycamorevane.RefusedError {
	return c.newRefusedError("entry is shutting down and the request may take longer", 0)
}
