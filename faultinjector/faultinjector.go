// Package faultinjector runs the whole system on loopback, injects faults from a table while callers send requests, and
// checks against the records of the callers and the backend servers which invariants held.
package faultinjector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/verifier"
)

const (
	// MaxConfigDelay is the longest time until an accepted configuration is in force everywhere.
	MaxConfigDelay = 13 * time.Second
	// MaxDrainDelay is the longest time after a drain in which a server may still get new requests.
	MaxDrainDelay = 3 * time.Second
	// warmupTime lets servers warm up and callers open connections before a fault.
	warmupTime = time.Second
	// observationTime is how long traffic continues after the last recovery, to detect delayed failures.
	observationTime = 500 * time.Millisecond
)

// Fault is one kind of fault with its bounds.
type Fault struct {
	Name string
	// Invariants lists the invariants that the fault tests.
	Invariants []string
	// MaxRecoveryDuring bounds the time until the rest of the system is healthy while the fault lasts.
	// MaxRecoveryAfter bounds the time until the whole system is healthy once the fault has ended.
	MaxRecoveryDuring time.Duration
	MaxRecoveryAfter  time.Duration
	// HoldTime is how long the fault continues after the rest of the system has become healthy.
	HoldTime time.Duration
	// MaxRefusedShare is the largest share of calls, 0 to 1, that hosts and servers without a fault may refuse as not
	// run.
	MaxRefusedShare float64
	// CallsPerSecond raises the rate of calls; zero means the default rate.
	CallsPerSecond float64
	// UsesRelay puts one server behind a relay.
	UsesRelay bool
	// DisruptsControl marks faults that kill or partition control hosts. Faults with NeedsControlQuorum need a quorum
	// while they are injected and are not combined with faults that disrupt control.
	DisruptsControl    bool
	NeedsControlQuorum bool
	// Alone marks stops that are not combined with faults: callers are promised an answer only while nothing else fails.
	Alone bool
	// Inject causes the fault and returns a function that ends it.
	Inject func(context.Context, *Testbed) (heal, error)
}

// heal ends a fault.
type heal func(context.Context) error

// Config describes one run.
type Config struct {
	// Faults are injected one after another and ended in the same order.
	Faults []*Fault
	Seed   uint64
	// Dir holds the data folders of control hosts.
	Dir string
	Log logr.Logger
}

// Report is the result of a run.
type Report struct {
	Findings verifier.Findings
	// RecoveryDuring and RecoveryAfter are the measured times until the system was healthy.
	RecoveryDuring, RecoveryAfter time.Duration
	// Excused counts failed or refused calls that an exemption covers, since their entry or server had a fault.
	Excused int
	// Violations lists the invariants and bounds that did not hold.
	Violations []string
	// Notes are additional measurements.
	Notes []string
}

func (r *Report) String() string {
	f := &r.Findings
	return fmt.Sprintf("calls %d, failed %d, refused %d (excused %d), p50 %.1f ms, p99 %.1f ms, in order after %d ms and %d ms %v",
		f.Calls, f.Failed, f.Refused, r.Excused, float64(f.Latency.ValueAtQuantile(50))/1000,
		float64(f.Latency.ValueAtQuantile(99))/1000, r.RecoveryDuring.Milliseconds(), r.RecoveryAfter.Milliseconds(), r.Notes)
}

// Run runs the faults in a system of their own.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	s, err := newTestbed(ctx, cfg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer s.close()
	r := &Report{}
	if err := s.runFaults(ctx, cfg.Faults, r); err != nil {
		return nil, errors.Trace(err)
	}
	s.stopTraffic()
	s.evaluate(r, cfg.Faults)
	return r, nil
}

func (s *Testbed) runFaults(ctx context.Context, faults []*Fault, r *Report) error {
	if err := sleep(ctx, warmupTime); err != nil {
		return errors.Trace(err)
	}
	var during, after, hold time.Duration
	s.startRecoveryTimer()
	var heals []heal
	for _, fault := range faults {
		h, err := fault.Inject(ctx, s)
		if err != nil {
			return errors.Annotatef(err, "fault %q", fault.Name)
		}
		heals = append(heals, h)
		during, after, hold = during+fault.MaxRecoveryDuring, after+fault.MaxRecoveryAfter, max(hold, fault.HoldTime)
	}
	s.exemptWithoutMajority()
	r.RecoveryDuring = s.awaitRecovery(ctx, "during the fault", min(during, MaxConfigDelay), r)
	if err := sleep(ctx, hold); err != nil {
		return errors.Trace(err)
	}
	s.startRecoveryTimer()
	for i, h := range heals {
		if err := h(ctx); err != nil {
			return errors.Annotatef(err, "end of fault %q", faults[i].Name)
		}
	}
	r.RecoveryAfter = s.awaitRecovery(ctx, "after the fault", min(after, MaxConfigDelay), r)
	s.endEntryExemptions()
	return sleep(ctx, observationTime)
}

// startRecoveryTimer starts the measurement of the next recovery. Faults that need preparation call it again.
func (s *Testbed) startRecoveryTimer() { s.recoveryStart = time.Now() }

// awaitRecovery waits until the system is healthy and returns the time since startRecoveryTimer.
func (s *Testbed) awaitRecovery(ctx context.Context, when string, bound time.Duration, r *Report) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, 2*MaxConfigDelay)
	defer cancel()
	err := s.awaitHealthy(ctx)
	elapsed := time.Since(s.recoveryStart)
	if err != nil {
		r.Violations = append(r.Violations, fmt.Sprintf("not in order %s after %v: %v", when, elapsed.Round(time.Millisecond), err))
	} else if elapsed > bound {
		r.Violations = append(r.Violations, fmt.Sprintf("in order %s only after %v, the bound is %v", when, elapsed.Round(time.Millisecond), bound))
	}
	return elapsed
}

// evaluate compares the records of callers and servers with what the faults allow.
func (s *Testbed) evaluate(r *Report, faults []*Fault) {
	log := verifier.NewCallLog(s.traffic, s.fakeServers())
	r.Findings = log.Findings()
	r.Violations = append(r.Violations, r.Findings.Violations()...)
	maxRefusedShare, refused := 0.0, 0
	var refusals []string
	for _, fault := range faults {
		maxRefusedShare += fault.MaxRefusedShare
	}
	var failures []string
	for _, t := range s.traffic {
		for _, c := range t.Calls() {
			last := c.LastResult()
			if last.Err == nil && last.Status < 500 && !last.NotRun() {
				continue
			}
			if s.excused(c, log) {
				r.Excused++
				continue
			}
			if last.NotRun() {
				refused++
				refusals = append(refusals, describeCall(c, log))
				continue
			}
			failures = append(failures, describeCall(c, log))
		}
	}
	if n := len(failures); n > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d calls failed that the design does not allow to: %v", n, failures[:min(n, 5)]))
	}
	if share := float64(refused) / float64(max(1, r.Findings.Calls)); share > maxRefusedShare {
		r.Violations = append(r.Violations, fmt.Sprintf("%.2f%% of calls (%d) refused without a fault on their entry or server, the bound is %.2f%%: %v",
			100*share, refused, 100*maxRefusedShare, refusals[:min(refused, 5)]))
	}
	r.Violations = append(r.Violations, s.probeBudgetViolations()...)
	for _, check := range s.checks {
		r.Violations = append(r.Violations, check(log)...)
	}
	r.Violations = append(r.Violations, s.violations...)
	r.Notes = s.notes
}

func describeCall(c *verifier.Call, log *verifier.CallLog) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s change %t", c.ID, c.Change)
	for i := range c.Results {
		r := &c.Results[i]
		fmt.Fprintf(&text, "; entry %s, server %s, status %d, at %s for %v, body %.60q, err %v", r.EntryAddr, r.Header.Get("X-Backend-Server"),
			r.Status, r.Start.Format("05.000"), r.Latency.Round(time.Millisecond), r.Body, r.Err)
	}
	for _, run := range log.Runs[c.ID] {
		fmt.Fprintf(&text, "; ran on %s at %s", run.ServerID, run.Start.Format("05.000"))
	}
	return text.String() + "]"
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pairs lists all pairs of faults that can be combined, in an order determined by the seed.
func Pairs(faults []*Fault, seed uint64) [][]*Fault {
	var pairs [][]*Fault
	for i, a := range faults {
		for _, b := range faults[i+1:] {
			if a.Alone || b.Alone || a.NeedsControlQuorum && b.DisruptsControl || b.NeedsControlQuorum && a.DisruptsControl {
				continue
			}
			pairs = append(pairs, []*Fault{a, b})
		}
	}
	r := rand.New(rand.NewPCG(seed, 0))
	r.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	for _, p := range pairs {
		if r.IntN(2) == 0 {
			slices.Reverse(p)
		}
	}
	return pairs
}
