package accountant

import (
	"maps"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// closeDelay is the least time between the end of a window and its commit. By then each entry has reported at least once
	// after the end, and servers have sent the rejections of what they had received in the window.
	closeDelay = 3 * time.Second
	// failoverTime is what an election and the commit of the next leader take. A window is closed this much and the lease
	// before its report is due, so that the report is still in time when the leader dies at that moment.
	failoverTime = 1500 * time.Millisecond
	// sendTime is what is left for the call when a window is closed although too many entries are missing: one that is lost
	// and one after it.
	sendTime = 2500 * time.Millisecond
	// warmupTime is how long after it became leader, after a pause of its process of at least minPause, or after a time without
	// true time, a host closes no window. Entries know a new leader within a few 100 ms and then send it all their cells.
	warmupTime = 2500 * time.Millisecond
	minPause   = time.Second
	// maxWindowsPerCommit limits the windows in one command.
	maxWindowsPerCommit = 16
	// maxMissedTime is how long windows without counts are made up for after a time without a leader. Entries may have
	// dropped the counts of older windows.
	maxMissedTime = 10 * time.Minute

	// defaultCallRate is the limit of calls per second in deployments that set none, and paceMargin the factor by which calls
	// are further apart than the limit requires, since they may be delayed differently on the way.
	defaultCallRate = 1
	paceMargin      = 1.2
	// maxCallsInFlight lets a second call pass one that gets no response.
	maxCallsInFlight = 2
	// retryDelay is the time after a failed call before the same window is sent again. minBackoff to maxBackoff is the time
	// without calls after consecutive failures; it doubles with each of them.
	retryDelay = time.Second
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Input is what a step of a Core depends on. Now is the time of the monotonic clock of this host.
type Input struct {
	Now time.Duration
	// Leader is true when this host is the control leader, in the given term.
	Leader bool
	Term   uint64
	// Members are the members of the control group, whose wall clocks determine true time.
	Members []string
	// Committed are the windows in the replicated log.
	Committed *applier.UsageState
}

// Output is what a step of a Core requests.
type Output struct {
	// Commit is to be proposed to the replicated log, followed by CommitEnded; nil for nothing.
	Commit *applier.UsageChange
	// Send is to be sent, followed by CallEnded; nil for nothing. The Holder is not set.
	Send *Report
	// Missing is the number of entries that were expected to report but whose counts are not complete in Commit.
	Missing int
	// Skipped is the number of windows that get no counts because they are too old.
	Skipped int64
	// ClockOffset is the difference between true time and the monotonic clock of this host; ClockKnown tells whether it is
	// known. Outliers are the members whose wall clocks are wrong.
	ClockOffset time.Duration
	ClockKnown  bool
	Outliers    []string
}

// Core decides on the control leader what to commit and what to send. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	clock  trueClock
	ledger ledger

	leader bool
	term   uint64
	// since is when this host became leader in the term.
	since time.Duration
	// steppedAt is the time of the last step as leader. Since listeningSince, reports of entries could be taken in.
	steppedAt      time.Duration
	listeningSince time.Duration
	committing     bool

	// superseded is the highest token with which no more calls are made.
	superseded uint64
	inFlight   map[int64]bool
	retryAt    map[int64]time.Duration
	// accepted holds the windows that the platform has accepted and that are not yet committed as delivered.
	accepted map[int64]bool
	nextCall time.Duration
	failures int
}

// NewCore returns a Core.
func NewCore(cfg Config) *Core {
	if cfg.CallRate <= 0 {
		cfg.CallRate = defaultCallRate
	}
	return &Core{cfg: cfg, inFlight: make(map[int64]bool), retryAt: make(map[int64]time.Duration), accepted: make(map[int64]bool)}
}

// Validity is how long after the start of a confirmation of leadership a call may begin. The next leader sends no earlier
// than Lease after it was elected, which is after the confirmation. The other half is for the connection.
func (c *Core) Validity() time.Duration { return max(0, c.cfg.Lease-c.cfg.ThawSlack) / 2 }

// AddClock records that the wall clock of a host showed wall, since the start of 1970, at a time between asked and replied.
func (c *Core) AddClock(host string, wall, asked, replied time.Duration) {
	c.clock.add(host, wall, asked, replied)
}

// AddReport takes in the counts of an entry. It returns nil when they are not taken.
func (c *Core) AddReport(in Input, from string, m *encoder.UsageReport) *encoder.UsageAck {
	offset, known := c.clock.offset(in.Now, in.Members)
	if !in.Leader || !known || c.ledger.pairs > maxLedgerPairs || !c.ledger.add(in.Now, from, m) {
		return nil
	}
	a := &encoder.UsageAck{Boot: m.Boot}
	if in.Committed.Last > 0 {
		a.Settled = c.ledger.settled(from, m.Boot, c.end(in.Committed.Last)-offset)
	}
	return a
}

// end returns the end of a window in true time.
func (c *Core) end(window int64) time.Duration { return time.Duration(window+1) * c.cfg.Window }

// Step decides what to commit and what to send now.
func (c *Core) Step(in Input) Output {
	var out Output
	out.ClockOffset, out.ClockKnown = c.clock.offset(in.Now, in.Members)
	if out.ClockKnown {
		out.Outliers = c.clock.outliers(in.Now, out.ClockOffset, in.Members)
	}
	if !in.Leader {
		c.leader = false
		return out
	}
	if !c.leader || c.term != in.Term {
		c.leader, c.term, c.since, c.listeningSince = true, in.Term, in.Now, in.Now
	} else if in.Now-c.steppedAt >= minPause || !out.ClockKnown {
		c.listeningSince = in.Now
	}
	c.steppedAt = in.Now
	c.dropDelivered(in.Committed)
	if !c.committing {
		c.decideCommit(in, &out)
		c.committing = out.Commit != nil
	}
	out.Send = c.decideSend(in, &out)
	return out
}

// CommitEnded tells that the proposal of the last Commit has ended. Whether it was committed follows from the log.
func (c *Core) CommitEnded() { c.committing = false }

func (c *Core) dropDelivered(s *applier.UsageState) {
	undelivered := make(map[int64]bool)
	for _, w := range s.Windows {
		if !w.Delivered {
			undelivered[w.Number] = true
		}
	}
	isDone := func(window int64) bool { return !undelivered[window] }
	maps.DeleteFunc(c.accepted, func(window int64, _ bool) bool { return isDone(window) })
	maps.DeleteFunc(c.retryAt, func(window int64, _ time.Duration) bool { return isDone(window) })
}

func (c *Core) decideCommit(in Input, out *Output) {
	change := &applier.UsageChange{Delivered: slices.Sorted(maps.Keys(c.accepted))}
	if out.ClockKnown && in.Now-c.listeningSince >= warmupTime {
		c.closeWindows(in, out, change)
	}
	if len(change.Windows) > 0 || len(change.Delivered) > 0 {
		out.Commit = change
	}
}

func (c *Core) closeWindows(in Input, out *Output, change *applier.UsageChange) {
	offset := out.ClockOffset
	window := c.firstWindow(in, out)
	counted := make(map[string]uint64)
	for len(change.Windows) < maxWindowsPerCommit {
		end := c.end(window) - offset
		age := in.Now - end
		expected, missing, ready := c.ready(in, age, end)
		if !ready {
			return
		}
		if len(change.Windows) == 0 {
			// Entries that this host has heard for the first time may have sent cells of committed windows, and others hold
			// cells of skipped ones.
			c.ledger.close(in.Now, c.end(window-1)-offset)
		}
		total := c.ledger.sum(end)
		counts := make(map[string]uint64)
		for workspace, n := range total {
			if n > counted[workspace] {
				counts[workspace] = n - counted[workspace]
			}
		}
		counted = total
		out.Missing = missing
		change.Windows = append(change.Windows, applier.UsageWindow{Number: window, Counts: counts, Sources: expected})
		window++
	}
}

// firstWindow returns the first window without counts. If no window has counts yet, this is the window in which the process
// started or the oldest request was counted.
func (c *Core) firstWindow(in Input, out *Output) int64 {
	oldest := int64(max(0, in.Now+out.ClockOffset-maxMissedTime) / c.cfg.Window)
	if last := in.Committed.Last; last > 0 {
		out.Skipped = max(0, oldest-last-1)
		return max(last+1, oldest)
	}
	start := time.Duration(0)
	if t, ok := c.ledger.oldest(); ok {
		start = min(start, t)
	}
	return max(oldest, int64(max(0, start+out.ClockOffset)/c.cfg.Window))
}

// ready reports whether a window that ended at the given time of this host can be closed: when all expected entries have
// reported all of it; from a certain age on, when at most a tolerable part of them has not; and finally in any case. As many
// entries are expected as are known or, on a leader that may not have heard all of them yet, were expected for the last window.
func (c *Core) ready(in Input, age, end time.Duration) (expected, missing int, ready bool) {
	if age < closeDelay {
		return 0, 0, false
	}
	expected, complete := c.ledger.coverage(in.Now, end)
	if n := len(in.Committed.Windows); n > 0 && in.Now-c.listeningSince < expectedAge {
		expected = max(expected, in.Committed.Windows[n-1].Sources-c.ledger.endedHosts())
	}
	missing = max(0, expected-complete)
	latest := max(closeDelay, c.cfg.Late-sendTime)
	partial := max(closeDelay, c.cfg.Late-c.cfg.Lease-failoverTime)
	switch {
	case missing == 0 || age >= latest:
		return expected, missing, true
	case age >= partial:
		return expected, missing, float64(missing) <= c.cfg.Tolerance*float64(expected)
	}
	return expected, missing, false
}

func (c *Core) decideSend(in Input, out *Output) *Report {
	if in.Now-c.since < c.cfg.Lease || c.superseded >= c.term || in.Now < c.nextCall || len(c.inFlight) >= maxCallsInFlight {
		return nil
	}
	var chosen *applier.UsageWindow
	for i := range in.Committed.Windows {
		w := &in.Committed.Windows[i]
		if w.Delivered || c.accepted[w.Number] || c.inFlight[w.Number] || in.Now < c.retryAt[w.Number] {
			continue
		}
		// The oldest window whose report is not late yet goes first, since late ones can only become later.
		inTime := out.ClockKnown && in.Now+out.ClockOffset < c.end(w.Number)+c.cfg.Late
		if chosen == nil || inTime {
			chosen = w
		}
		if inTime {
			break
		}
	}
	if chosen == nil {
		return nil
	}
	c.inFlight[chosen.Number] = true
	c.nextCall = in.Now + time.Duration(paceMargin/c.cfg.CallRate*float64(time.Second))
	return &Report{Window: chosen.Number, Counts: chosen.Counts, Token: c.term}
}

// MaySend reports whether a call that Step requested may begin at the given time, when a confirmation of leadership that
// began at confirmed has succeeded.
func (c *Core) MaySend(now, confirmed time.Duration, token uint64) bool {
	return c.leader && c.term == token && c.superseded < token && now-confirmed < c.Validity()
}

// CallEnded takes in the result of a call, or that the call was not made.
func (c *Core) CallEnded(now time.Duration, r Report, made bool, result Result) {
	delete(c.inFlight, r.Window)
	if !made {
		return
	}
	switch result {
	case ResultAccepted:
		c.accepted[r.Window] = true
		c.failures = 0
	case ResultSuperseded:
		c.superseded = max(c.superseded, r.Token)
	default:
		c.retryAt[r.Window] = now + retryDelay
		c.nextCall = max(c.nextCall, now+min(maxBackoff, minBackoff<<min(c.failures, 8)))
		c.failures++
	}
}
