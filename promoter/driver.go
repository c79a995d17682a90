package promoter

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// decisionInterval is the time between two decisions, and between two summaries of an entry.
	decisionInterval = time.Second
	// submitTimeout bounds one submission. A step that was not committed is decided again from the committed rollout.
	submitTimeout = 3 * time.Second
	// alarmDelay is the time from an alarm to the report, in which failures of the same moment are collected.
	alarmDelay = 100 * time.Millisecond
	// flushTime bounds the last report of an entry. It must fit into the time that is reserved for closing after the last call.
	flushTime = 20 * time.Millisecond
	// alarmInterval is the least time between two decisions on reports of failures, which may come from hundreds of entries.
	alarmInterval = 50 * time.Millisecond
)

// Config holds the parameters of a Promoter.
type Config struct {
	Transport sycamorevane.Transport
	Clock     sycamorevane.Clock
	Log       logr.Logger
	// IsLeader reports whether this host is the control leader and may act on its committed state.
	IsLeader func() bool
	// State returns the committed rollouts and the configuration.
	State func() sycamorevane.State
	// Capacity describes the servers of the services under rollout, by service.
	Capacity func() map[string]Capacity
	// Exposure limits the calls of a version that turns out to be bad; zero for no limit.
	Exposure ExposureLimit
	// Submit proposes a step to the replicated log and returns when the step is committed.
	Submit func(ctx context.Context, service string, step Step) error
}

// Promoter runs a Core on the control leader.
type Promoter struct {
	cfg  Config
	stop context.CancelFunc
	wg   sync.WaitGroup
	// failures signals that entries have reported failures of a new version.
	failures chan struct{}

	mu sync.Mutex
	// core is nil while this host is not the leader, so that each term starts without old evidence.
	core *Core
	// submitting holds the services with a submission in progress. Submissions are asynchronous, so that a slow
	// commit delays no other rollout.
	submitting sycamorevane.Set[string]
}

// New registers the handler for evidence. Decisions begin with Start.
func New(cfg Config) *Promoter {
	p := &Promoter{cfg: cfg, stop: func() {}, submitting: sycamorevane.NewSet[string](), failures: make(chan struct{}, 1)}
	cfg.Transport.Handle(&encoder.Evidence{}, p.receive)
	return p
}

// Start begins to decide once a second, and on each report of failures, until Close.
func (p *Promoter) Start() {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.wg.Go(func() {
		t := time.NewTicker(decisionInterval)
		defer t.Stop()
		p.run(ctx, t.C)
	})
}

func (p *Promoter) run(ctx context.Context, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			p.decide(ctx)
		case <-p.failures:
			p.submitSteps(ctx, (*Core).Alarms)
			wait(ctx, alarmInterval)
		}
	}
}

// Close stops the decisions and waits for running submissions.
func (p *Promoter) Close() {
	p.stop()
	p.wg.Wait()
}

// Evidence returns the state of the comparison for a service. It returns false when this host is not the leader or
// the service has no rollout.
func (p *Promoter) Evidence(service string) (Evidence, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core == nil {
		return Evidence{}, false
	}
	return p.core.Evidence(service)
}

func (p *Promoter) receive(from string, m proto.Message) proto.Message {
	e, ok := m.(*encoder.Evidence)
	if !ok {
		return nil
	}
	if a := p.Add(from, e); a != nil {
		return a
	}
	return nil
}

// Add counts evidence and returns its acknowledgement. On a host that is not the leader it returns nil, so that the
// entry keeps the evidence for the leader.
func (p *Promoter) Add(from string, e *encoder.Evidence) *encoder.EvidenceAck {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core == nil {
		return nil
	}
	if reportsFailures(e) {
		select {
		case p.failures <- struct{}{}:
		default:
		}
	}
	return p.core.Add(from, e)
}

func (p *Promoter) decide(ctx context.Context) { p.submitSteps(ctx, (*Core).Step) }

// submitSteps submits the steps that the method of the core decides on.
func (p *Promoter) submitSteps(ctx context.Context, method func(*Core, Input) map[string]Step) {
	for service, s := range p.nextSteps(method) {
		p.wg.Go(func() { p.submit(ctx, service, s) })
	}
}

func (p *Promoter) nextSteps(method func(*Core, Input) map[string]Step) map[string]Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cfg.IsLeader() {
		p.core = nil
		return nil
	}
	if p.core == nil {
		p.core = NewCore()
	}
	state := p.cfg.State()
	ceilings := make(map[string]float64, len(state.Config.Services))
	for _, s := range state.Config.Services {
		ceilings[s.Name] = s.MaxTrialShare
	}
	steps := method(p.core, Input{
		Now: p.cfg.Clock.Now(), Rollouts: state.Rollouts, Ceilings: ceilings, Capacity: p.cfg.Capacity(), Exposure: p.cfg.Exposure,
	})
	for service := range steps {
		if p.submitting.Has(service) {
			delete(steps, service)
			continue
		}
		p.submitting.Add(service)
	}
	return steps
}

func (p *Promoter) submissionEnded(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.submitting, service)
}

func (p *Promoter) submit(ctx context.Context, service string, s Step) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	defer p.submissionEnded(service)
	if err := p.cfg.Submit(ctx, service, s); err != nil {
		p.cfg.Log.Info("rollout step was not committed", "service", service, "phase", s.Phase, "share", s.Share, "error", err.Error())
		return
	}
	e, _ := p.Evidence(service)
	p.cfg.Log.Info("rollout step", "service", service, "phase", s.Phase, "share", s.Share, "reason", s.Reason, "late", s.DeadlineAtRisk,
		"evidence", e.Strongest, "about", e.Description, "threshold", e.Threshold,
		"acceptance", e.Acceptance, "acceptedat", e.AcceptanceThreshold, "calls", e.NewCalls, "used", e.Used, "left", e.Left)
}

// ReporterConfig holds the parameters of a Reporter.
type ReporterConfig struct {
	Transport sycamorevane.Transport
	Collector *Collector
	Log       logr.Logger
	// LeaderName returns the name of the control leader, or "" when none is known.
	LeaderName func() string
	// Promoter takes the evidence directly while this host is the leader; nil on hosts without the control role.
	Promoter *Promoter
}

// Reporter sends the summaries of an entry to the control leader.
type Reporter struct {
	cfg  ReporterConfig
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// NewReporter returns a Reporter. Reports begin with Start.
func NewReporter(cfg ReporterConfig) *Reporter { return &Reporter{cfg: cfg, stop: func() {}} }

// Start begins to send once a second, and soon after each alarm, until Close.
func (r *Reporter) Start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.wg.Go(func() {
		t := time.NewTicker(decisionInterval)
		defer t.Stop()
		r.run(ctx, t.C)
	})
}

func (r *Reporter) run(ctx context.Context, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
		case <-r.cfg.Collector.Alarm():
			wait(ctx, alarmDelay)
		}
		r.report(ctx)
	}
}

// Flush reports what has been observed since the last report. An entry that stops calls it after its last call.
func (r *Reporter) Flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	r.report(ctx)
}

// Close stops the reports.
func (r *Reporter) Close() {
	r.stop()
	r.wg.Wait()
}

func (r *Reporter) report(ctx context.Context) {
	leader := r.cfg.LeaderName()
	if err := r.send(ctx, leader); err != nil {
		r.cfg.Log.V(1).Info("evidence was not acknowledged and will be sent again", "leader", leader, "error", err.Error())
	}
}

func (r *Reporter) send(ctx context.Context, leader string) error {
	e := r.cfg.Collector.Summary()
	if e == nil {
		return nil
	}
	if leader == r.cfg.Transport.Self() && r.cfg.Promoter != nil {
		if a := r.cfg.Promoter.Add(leader, e); a != nil {
			r.cfg.Collector.Acknowledge(a)
		}
		return nil
	}
	if leader == "" {
		return &sycamorevane.UnreachableError{Peer: "control leader"}
	}
	ctx, cancel := context.WithTimeout(ctx, decisionInterval)
	defer cancel()
	reply, err := r.cfg.Transport.Call(ctx, leader, e)
	if err != nil {
		return errors.Trace(err)
	}
	if a, ok := reply.(*encoder.EvidenceAck); ok {
		r.cfg.Collector.Acknowledge(a)
	}
	return nil
}

// wait returns after the time, or when the context ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
