package accountant

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// stepInterval is the time between two steps.
	stepInterval = 100 * time.Millisecond
	// clockInterval is the time between two readings of the other control hosts' wall clocks, clockTimeout the time limit of
	// one.
	clockInterval = time.Second
	clockTimeout  = 500 * time.Millisecond
	// confirmTimeout limits the confirmation of leadership before a call.
	confirmTimeout = 500 * time.Millisecond
	// callTimeout limits a call to the platform. A call that takes longer is repeated, which the platform ignores.
	callTimeout = 3 * time.Second
)

// DriverConfig holds the parameters of an Accountant.
type DriverConfig struct {
	Config
	// Name is the name of this host for the platform.
	Name      string
	Transport sycamorevane.Transport
	Sender    Sender
	// Leader reports whether this host is the control leader, and the term.
	Leader func() (bool, uint64)
	// Confirm returns nil when a majority has confirmed a leader after the call began.
	Confirm func(ctx context.Context) error
	// Members returns the members of the control group, including this host.
	Members func() []string
	// Committed returns the windows in the replicated log.
	Committed func() *applier.UsageState
	// Propose commits a change to the replicated log.
	Propose func(change *applier.UsageChange) error
	Log     logr.Logger
	Metrics tally.Scope
}

// Accountant runs a Core on a control host.
type Accountant struct {
	cfg    DriverConfig
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	core *Core

	// The fields below are used only by the step loop.
	askedClocksAt time.Time
	holder        uint64
	outliers      []string
	metrics       accountantMetrics
}

type accountantMetrics struct {
	windows, skipped tally.Counter
	results          map[Result]tally.Counter
	pending, missing tally.Gauge
	clockDeviation   tally.Gauge
}

// NewAccountant registers the handlers for messages. Decisions begin with Start.
func NewAccountant(cfg DriverConfig) *Accountant {
	a := &Accountant{cfg: cfg, start: time.Now(), core: NewCore(cfg.Config)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	m := cfg.Metrics.SubScope("usage")
	a.metrics = accountantMetrics{
		windows: m.Counter("windows"), skipped: m.Counter("skipped_windows"),
		results: map[Result]tally.Counter{
			ResultUnknown: m.Counter("calls_failed"), ResultAccepted: m.Counter("calls_accepted"),
			ResultSuperseded: m.Counter("calls_superseded"), ResultThrottled: m.Counter("calls_throttled"),
		},
		pending: m.Gauge("pending_windows"), missing: m.Gauge("missing_entries"), clockDeviation: m.Gauge("clock_deviation_seconds"),
	}
	cfg.Transport.Handle(&encoder.UsageReport{}, a.receiveReport)
	cfg.Transport.Handle(&encoder.ClockAsk{}, func(string, proto.Message) proto.Message {
		return &encoder.ClockReply{Wall: time.Now().UnixMicro()}
	})
	return a
}

// Start decides until Close.
func (a *Accountant) Start() { a.wg.Go(a.loop) }

// Close ends the decisions and the calls.
func (a *Accountant) Close() {
	a.cancel()
	a.wg.Wait()
}

func (a *Accountant) now() time.Duration { return time.Since(a.start) }

// input must be called with mu held: a commit that has ended, as far as the core knows, is then in the input.
func (a *Accountant) input() Input {
	leader, term := a.cfg.Leader()
	return Input{Now: a.now(), Leader: leader, Term: term, Members: a.cfg.Members(), Committed: a.cfg.Committed()}
}

// receiveReport returns nil on a host that is not the leader, so that the entry sends its counts again.
func (a *Accountant) receiveReport(from string, m proto.Message) proto.Message {
	r, ok := m.(*encoder.UsageReport)
	if !ok {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	in := a.input()
	if ack := a.core.AddReport(in, from, r); ack != nil {
		return ack
	}
	return nil
}

func (a *Accountant) loop() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.step()
		case <-a.ctx.Done():
			return
		}
	}
}

func (a *Accountant) step() {
	if leader, _ := a.cfg.Leader(); leader {
		a.readClocks(a.cfg.Members())
	}
	a.mu.Lock()
	in := a.input()
	out := a.core.Step(in)
	a.mu.Unlock()
	a.observe(in, out)
	if out.Commit != nil {
		a.wg.Go(func() { a.commit(out) })
	}
	if out.Send != nil {
		a.wg.Go(func() { a.send(*out.Send) })
	}
}

// readClocks reads this host's wall clock and, once per clockInterval, those of the other members.
func (a *Accountant) readClocks(members []string) {
	self := a.cfg.Transport.Self()
	a.addClock(self, time.Now().UnixMicro(), a.now(), a.now())
	if time.Since(a.askedClocksAt) < clockInterval {
		return
	}
	a.askedClocksAt = time.Now()
	for _, name := range members {
		if name != self {
			a.wg.Go(func() { a.askClock(name) })
		}
	}
}

func (a *Accountant) askClock(name string) {
	ctx, cancel := context.WithTimeout(a.ctx, clockTimeout)
	defer cancel()
	asked := a.now()
	reply, err := a.cfg.Transport.Call(ctx, name, &encoder.ClockAsk{})
	if err != nil {
		a.cfg.Log.V(1).Info("wall clock of a control host is not known", "peer", name, "reason", err.Error())
		return
	}
	if r, ok := reply.(*encoder.ClockReply); ok {
		a.addClock(name, r.Wall, asked, a.now())
	}
}

func (a *Accountant) addClock(name string, wallMicroseconds int64, asked, replied time.Duration) {
	if wallMicroseconds < 0 || wallMicroseconds > maxMicroseconds {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.AddClock(name, time.Duration(wallMicroseconds)*time.Microsecond, asked, replied)
}

// observe updates the metrics and logs what has changed since the last step.
func (a *Accountant) observe(in Input, out Output) {
	pending := 0
	for _, w := range in.Committed.Windows {
		if !w.Delivered {
			pending++
		}
	}
	a.metrics.pending.Update(float64(pending))
	if holder := in.Term; in.Leader && holder != a.holder {
		a.holder = holder
		a.cfg.Log.Info("host sends usage reports", "token", in.Term, "after", a.cfg.Lease.String(), "pending", pending, "last", in.Committed.Last)
	} else if !in.Leader && a.holder != 0 {
		a.holder = 0
		a.cfg.Log.Info("host sends no usage reports any more")
	}
	if !out.ClockKnown {
		return
	}
	wall := time.Duration(time.Now().UnixMicro()) * time.Microsecond
	a.metrics.clockDeviation.Update((wall - a.now() - out.ClockOffset).Seconds())
	if !slices.Equal(out.Outliers, a.outliers) {
		a.outliers = out.Outliers
		a.cfg.Log.Info("wall clocks that deviate from the median of the control hosts", "hosts", a.outliers)
	}
}

func (a *Accountant) commit(out Output) {
	err := a.cfg.Propose(out.Commit)
	a.mu.Lock()
	a.core.CommitEnded()
	a.mu.Unlock()
	if err != nil {
		a.cfg.Log.Info("usage was not committed", "windows", len(out.Commit.Windows), "delivered", out.Commit.Delivered, "reason", err.Error())
		return
	}
	if out.Skipped > 0 {
		a.metrics.skipped.Inc(out.Skipped)
		a.cfg.Log.Info("usage windows without counts are skipped because they are too old", "windows", out.Skipped)
	}
	for _, w := range out.Commit.Windows {
		a.metrics.windows.Inc(1)
		a.metrics.missing.Update(float64(out.Missing))
		total := uint64(0)
		for _, n := range w.Counts {
			total += n
		}
		a.cfg.Log.Info("usage window committed", "window", w.Number, "workspaces", len(w.Counts), "requests", total, "entries", w.Sources, "missing", out.Missing)
	}
}

// send makes one call if leadership is confirmed immediately before it.
func (a *Accountant) send(r Report) {
	r.Holder = a.cfg.Name
	result, err, made := ResultUnknown, error(nil), false
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.core.CallEnded(a.now(), r, made, result)
	}()
	confirmed := a.now()
	ctx, cancel := context.WithTimeout(a.ctx, confirmTimeout)
	err = a.cfg.Confirm(ctx)
	cancel()
	if err == nil && a.mayStillSend(confirmed, r.Token) {
		made = true
		ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
		result, err = a.cfg.Sender.Send(ctx, r)
		cancel()
	}
	a.logCall(r, made, result, err)
}

func (a *Accountant) mayStillSend(confirmed time.Duration, token uint64) bool {
	leader, term := a.cfg.Leader()
	a.mu.Lock()
	defer a.mu.Unlock()
	return leader && term == token && a.core.MaySend(a.now(), confirmed, token)
}

func (a *Accountant) logCall(r Report, made bool, result Result, err error) {
	log := a.cfg.Log.WithValues("window", r.Window, "token", r.Token)
	if err != nil {
		log = log.WithValues("reason", err.Error())
	}
	if !made {
		log.Info("usage report was not sent, because leadership is not confirmed")
		return
	}
	a.metrics.results[result].Inc(1)
	log.Info("usage report sent", "result", result.String())
	if result == ResultSuperseded {
		log.Info("another host sends usage reports with a higher token; this host stops")
	}
}
