// Package saboteur runs the whole system on loopback, injects faults from a table while callers send requests, and
// judges by the callers' and the backend servers' own records which invariants held.
package saboteur

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/auditor"
)

const (
	// ConfigLimit is the longest time until an accepted configuration is in force everywhere.
	ConfigLimit = 13 * time.Second
	// DrainLimit is the longest time in which something taken out may still get new requests.
	DrainLimit = 3 * time.Second
	// warmTime lets servers warm up and callers open connections before a fault.
	warmTime = time.Second
	// tailTime is traffic after the last recovery, in which late damage would show.
	tailTime = 500 * time.Millisecond
)

// Row is one fault with its bounds.
type Row struct {
	Name string
	// Proves lists the invariants that the row is evidence for.
	Proves []string
	// During bounds the time until the rest of the system is in order while the fault lasts, and After the time
	// until the whole system is in order once it has ended.
	During time.Duration
	After  time.Duration
	// Hold is how long the fault lasts beyond the moment when the system is in order.
	Hold time.Duration
	// Refused is the share of calls that may be refused truthfully at hosts and servers without a fault, 0 to 1.
	Refused float64
	// Rate is calls a second; zero means the usual rate.
	Rate float64
	// Relay puts one server behind a relay.
	Relay bool
	// TakesControl rows kill or cut off control hosts. Exclusive rows need a quorum while they inject their fault,
	// and share no system with rows that take control hosts.
	TakesControl bool
	Exclusive    bool
	// Inject causes the fault and returns what ends it.
	Inject func(context.Context, *Scene) (heal, error)
}

// heal ends a fault.
type heal func(context.Context) error

// Config describes one run.
type Config struct {
	// Rows are injected one after another and ended in the same order.
	Rows []*Row
	Seed uint64
	// Dir holds the data folders of control hosts.
	Dir string
	Log logr.Logger
}

// Report is what a run showed.
type Report struct {
	Findings auditor.Findings
	// During and After are the measured times until the system was in order.
	During, After time.Duration
	// Excused are failed or refused calls on a host or server that had a fault.
	Excused int
	// Broken lists the promises that did not hold.
	Broken []string
	// Notes are further measured figures.
	Notes []string
}

func (r *Report) String() string {
	f := &r.Findings
	return fmt.Sprintf("calls %d, failed %d, refused %d (excused %d), p50 %.1f ms, p99 %.1f ms, in order after %d ms and %d ms %v",
		f.Calls, f.Failed, f.Refused, r.Excused, float64(f.Latency.ValueAtQuantile(50))/1000,
		float64(f.Latency.ValueAtQuantile(99))/1000, r.During.Milliseconds(), r.After.Milliseconds(), r.Notes)
}

// Run runs the rows in a system of their own.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	s, err := newScene(ctx, cfg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer s.close()
	r := &Report{}
	if err := s.play(ctx, cfg.Rows, r); err != nil {
		return nil, errors.Trace(err)
	}
	s.stopTraffic()
	s.judge(r, cfg.Rows)
	return r, nil
}

func (s *Scene) play(ctx context.Context, rows []*Row, r *Report) error {
	if err := sleep(ctx, warmTime); err != nil {
		return errors.Trace(err)
	}
	var during, after, hold time.Duration
	s.mark()
	var heals []heal
	for _, row := range rows {
		h, err := row.Inject(ctx, s)
		if err != nil {
			return errors.Annotatef(err, "fault %q", row.Name)
		}
		heals = append(heals, h)
		during, after, hold = during+row.During, after+row.After, max(hold, row.Hold)
	}
	s.loseMajority()
	r.During = s.waitOrder(ctx, "during the fault", min(during, ConfigLimit), r)
	if err := sleep(ctx, hold); err != nil {
		return errors.Trace(err)
	}
	s.mark()
	for i, h := range heals {
		if err := h(ctx); err != nil {
			return errors.Annotatef(err, "end of fault %q", rows[i].Name)
		}
	}
	r.After = s.waitOrder(ctx, "after the fault", min(after, ConfigLimit), r)
	s.found()
	return sleep(ctx, tailTime)
}

// mark sets the time from which the next recovery is measured. Faults that need preparation call it again.
func (s *Scene) mark() { s.marked = time.Now() }

// waitOrder waits until the system is in order and returns the time since mark.
func (s *Scene) waitOrder(ctx context.Context, when string, bound time.Duration, r *Report) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, 2*ConfigLimit)
	defer cancel()
	err := s.order(ctx)
	took := time.Since(s.marked)
	if err != nil {
		r.Broken = append(r.Broken, fmt.Sprintf("not in order %s after %v: %v", when, took.Round(time.Millisecond), err))
	} else if took > bound {
		r.Broken = append(r.Broken, fmt.Sprintf("in order %s only after %v, the bound is %v", when, took.Round(time.Millisecond), bound))
	}
	return took
}

// judge compares the records of both sides with what the rows allow.
func (s *Scene) judge(r *Report, rows []*Row) {
	l := auditor.NewCallLog(s.traffic, s.fakes())
	r.Findings = l.Findings()
	r.Broken = append(r.Broken, r.Findings.Violations()...)
	limit, refused := 0.0, 0
	var refusals []string
	for _, row := range rows {
		limit += row.Refused
	}
	var samples []string
	for _, t := range s.traffic {
		for _, c := range t.Calls() {
			last := c.LastResult()
			if last.Err == nil && last.Status < 500 && !last.NotRun() {
				continue
			}
			if s.excused(c, l) {
				r.Excused++
				continue
			}
			if last.NotRun() {
				refused++
				refusals = append(refusals, describe(c, l))
				continue
			}
			samples = append(samples, describe(c, l))
		}
	}
	if n := len(samples); n > 0 {
		r.Broken = append(r.Broken, fmt.Sprintf("%d calls failed that the design does not allow to: %v", n, samples[:min(n, 5)]))
	}
	if share := float64(refused) / float64(max(1, r.Findings.Calls)); share > limit {
		r.Broken = append(r.Broken, fmt.Sprintf("%.2f%% of calls (%d) refused without a fault of theirs, the bound is %.2f%%: %v", 100*share, refused, 100*limit, refusals[:min(refused, 5)]))
	}
	r.Broken = append(r.Broken, s.probeFaults()...)
	for _, check := range s.checks {
		r.Broken = append(r.Broken, check(l)...)
	}
	r.Broken = append(r.Broken, s.broken...)
	r.Notes = s.notes
}

func describe(c *auditor.Call, l *auditor.CallLog) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[%s change %t", c.ID, c.Change)
	for i := range c.Results {
		r := &c.Results[i]
		fmt.Fprintf(&text, "; entry %s, server %s, status %d, at %s for %v, body %.60q, err %v", r.Entry, r.Header.Get("X-Backend-Server"),
			r.Status, r.Start.Format("05.000"), r.Latency.Round(time.Millisecond), r.Body, r.Err)
	}
	for _, run := range l.Runs[c.ID] {
		fmt.Fprintf(&text, "; ran on %s at %s", run.Server, run.Start.Format("05.000"))
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

// Pairs lists all pairs of rows that can share a system, in an order that follows from the seed.
func Pairs(rows []*Row, seed uint64) [][]*Row {
	var pairs [][]*Row
	for i, a := range rows {
		for _, b := range rows[i+1:] {
			if a.Exclusive && b.TakesControl || b.Exclusive && a.TakesControl {
				continue
			}
			pairs = append(pairs, []*Row{a, b})
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
