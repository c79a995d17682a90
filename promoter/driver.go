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
	// decisionInterval is the time between two decisions and between two summaries of an entry.
	decisionInterval = time.Second
	// submitTimeout bounds one submission; an unfinished step is decided anew from the committed rollout.
	submitTimeout = 3 * time.Second
)

// Config holds what a Promoter is built from.
type Config struct {
	Transport sycamorevane.Transport
	Clock     sycamorevane.Clock
	Log       logr.Logger
	// Leader reports whether this host is the control leader and may act on its committed state.
	Leader func() bool
	// State returns the committed rollouts and the configuration.
	State func() sycamorevane.State
	// Capacity returns what is known about the servers of the services under rollout, by service.
	Capacity func() map[string]Capacity
	// Submit proposes a step to the replicated log and returns when it is committed.
	Submit func(ctx context.Context, service string, step Step) error
}

// Promoter runs the Core at the control leader.
type Promoter struct {
	cfg  Config
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu sync.Mutex
	// core is nil while this host is not the leader, so that each term of office begins with fresh evidence.
	core *Core
	// submitting holds the services whose step is on its way, so that a slow commit delays no other rollout.
	submitting sycamorevane.Set[string]
}

// New registers the handler for evidence; Start begins to decide.
func New(cfg Config) *Promoter {
	p := &Promoter{cfg: cfg, stop: func() {}, submitting: sycamorevane.NewSet[string]()}
	cfg.Transport.Handle(&encoder.Evidence{}, p.receive)
	return p
}

// Start decides once a second until Close.
func (p *Promoter) Start() {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.wg.Go(func() { every(ctx, decisionInterval, p.decide) })
}

// Close ends the decisions and waits for a running submission.
func (p *Promoter) Close() {
	p.stop()
	p.wg.Wait()
}

// Evidence returns the state of the comparison for a service; false when this host is not the leader or the
// service has no rollout.
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

// Add counts evidence and returns its acknowledgement. It returns nil on a host that is not the leader, so
// that the entry keeps the evidence for the leader.
func (p *Promoter) Add(from string, e *encoder.Evidence) *encoder.EvidenceAck {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core == nil {
		return nil
	}
	return p.core.Add(from, e)
}

func (p *Promoter) decide(ctx context.Context) {
	for service, s := range p.steps() {
		p.wg.Go(func() { p.submit(ctx, service, s) })
	}
}

func (p *Promoter) steps() map[string]Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cfg.Leader() {
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
	steps := p.core.Step(Input{Now: p.cfg.Clock.Now(), Rollouts: state.Rollouts, Ceilings: ceilings, Capacity: p.cfg.Capacity()})
	for service := range steps {
		if p.submitting.Has(service) {
			delete(steps, service)
			continue
		}
		p.submitting.Add(service)
	}
	return steps
}

func (p *Promoter) submitted(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.submitting, service)
}

func (p *Promoter) submit(ctx context.Context, service string, s Step) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	defer p.submitted(service)
	if err := p.cfg.Submit(ctx, service, s); err != nil {
		p.cfg.Log.Info("rollout step was not committed", "service", service, "phase", s.Phase, "share", s.Share, "error", err.Error())
		return
	}
	p.cfg.Log.Info("rollout step", "service", service, "phase", s.Phase, "share", s.Share, "reason", s.Reason, "late", s.Late)
}

// ReporterConfig holds what a Reporter is built from.
type ReporterConfig struct {
	Transport sycamorevane.Transport
	Collector *Collector
	Log       logr.Logger
	// Leader returns the name of the control leader, or "" when none is known.
	Leader func() string
	// Promoter takes the evidence without the transport while this host itself leads; nil on hosts without
	// the control role.
	Promoter *Promoter
}

// Reporter sends the summaries of an entry to the control leader.
type Reporter struct {
	cfg  ReporterConfig
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// NewReporter returns a reporter; Start begins to send.
func NewReporter(cfg ReporterConfig) *Reporter { return &Reporter{cfg: cfg, stop: func() {}} }

// Start sends once a second until Close.
func (r *Reporter) Start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.wg.Go(func() { every(ctx, decisionInterval, r.report) })
}

// Close ends the reports.
func (r *Reporter) Close() {
	r.stop()
	r.wg.Wait()
}

func (r *Reporter) report(ctx context.Context) {
	leader := r.cfg.Leader()
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

func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}
