// Package administrator carries out the orders of operators who number their configurations and resend an order until
// it is answered: an order that was accepted once is accepted again.
package administrator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
)

// resendLife is how long after its end a rollout is still acknowledged again to a resent order. Operators resend for
// the acknowledgement time-out of the deployment, 4 s at most so far.
const resendLife = 10 * time.Second

// InvalidError says that an order cannot be carried out as it is.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "order is invalid: " + e.Reason }

// ConflictError says that another order is in progress.
type ConflictError struct{ Reason string }

func (e *ConflictError) Error() string { return "order conflicts with another: " + e.Reason }

// UnavailableError says that this host cannot tell or decide now; the order may or may not take effect.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "control is not available here: " + e.Reason }

// Config holds what an Administrator is built from.
type Config struct {
	// State returns the applied state of this host.
	State func() *sycamorevane.State
	// Propose commits a command and returns its encoded outcome.
	Propose func(ctx context.Context, data []byte) ([]byte, error)
	// ReadBarrier returns when this host has applied everything that was acknowledged before the call.
	ReadBarrier func(ctx context.Context) error
	// Versions returns the announced slots per version of a service.
	Versions func(service string) map[string]int
	// Policy completes the services of a configuration.
	Policy Policy
	Clock  sycamorevane.Clock
	Log    logr.Logger
}

// Policy is what services get that a configuration says nothing about.
type Policy struct {
	// RetryRatio, HedgeRatio and MaxTrialShare are as in sycamorevane.Service.
	RetryRatio    float64
	HedgeRatio    float64
	MaxTrialShare float64
}

const (
	// retryPart of the allowed retries is used, since those that servers reject count as well; hedgePart of them are
	// early ones.
	retryPart = 0.75
	hedgePart = 0.6
	// trialPart of the requests that a bad version may get is the largest share of one that has not shown itself good.
	// The rest is for the share that it gets while the calls move.
	trialPart = 0.8
)

// NewPolicy derives the policy from the promises of a deployment: the share of requests that may be sent once more, and
// the share that a bad version may get.
func NewPolicy(retries, trial float64) Policy {
	return Policy{RetryRatio: retryPart * retries, HedgeRatio: hedgePart * retries, MaxTrialShare: trialPart * trial}
}

func (p Policy) complete(cfg *sycamorevane.Config) *sycamorevane.Config {
	out := *cfg
	out.Services = slices.Clone(cfg.Services)
	for i := range out.Services {
		s := &out.Services[i]
		s.RetryRatio = cmp.Or(s.RetryRatio, p.RetryRatio)
		s.HedgeRatio = cmp.Or(s.HedgeRatio, p.HedgeRatio)
		s.MaxTrialShare = cmp.Or(s.MaxTrialShare, p.MaxTrialShare)
	}
	return &out
}

// Administrator is safe for concurrent use.
type Administrator struct{ cfg Config }

// New returns an administrator.
func New(cfg Config) *Administrator { return &Administrator{cfg: cfg} }

// Configure puts a numbered configuration into force. An older or equal number is accepted and changes nothing.
// Errors: *InvalidError, *UnavailableError.
func (a *Administrator) Configure(ctx context.Context, cfg *sycamorevane.Config) error {
	if reason := applier.CheckRules(cfg); reason != "" {
		a.cfg.Log.Info("configuration refused", "number", cfg.SequenceNumber, "reason", reason)
		return &InvalidError{Reason: reason}
	}
	if a.cfg.State().Config.SequenceNumber >= cfg.SequenceNumber {
		return nil
	}
	return a.commit(ctx, applier.Command{Op: applier.OpConfigure, Args: applier.Args{Config: a.cfg.Policy.complete(cfg)}})
}

// Configuration returns the newest configuration. Errors: *UnavailableError when this host cannot be sure which one is
// the newest, or there is none.
func (a *Administrator) Configuration(ctx context.Context) (*sycamorevane.Config, error) {
	if err := a.cfg.ReadBarrier(ctx); err != nil {
		return nil, &UnavailableError{Reason: err.Error()}
	}
	cfg := &a.cfg.State().Config
	if cfg.SequenceNumber == 0 {
		return nil, &UnavailableError{Reason: "no configuration is stored"}
	}
	return cfg, nil
}

// Evacuate takes a data centre out, or back with out false. Errors: *InvalidError, *UnavailableError.
func (a *Administrator) Evacuate(ctx context.Context, dc string, out bool) error {
	if _, drained := a.cfg.State().DrainedDCs[dc]; drained && out {
		return nil
	}
	op := applier.OpUndrain
	if out {
		op = applier.OpDrain
	}
	return a.commit(ctx, applier.Command{Op: op, Args: applier.Args{DC: dc}, Force: true})
}

// StartRollout moves a service to a version within the allowed time. The same order again is accepted. Errors:
// *InvalidError, *ConflictError, *UnavailableError.
func (a *Administrator) StartRollout(ctx context.Context, service, version string, allowed time.Duration) error {
	now := a.cfg.Clock.Now()
	if r, ok := a.cfg.State().Rollouts[service]; ok {
		recent := now.Sub(time.UnixMilli(r.ChangedAt)) < resendLife
		switch {
		case r.ToVersion == version && (!r.Phase.Terminal() || recent):
			return nil
		case !r.Phase.Terminal() && r.Phase != sycamorevane.RolloutReverting:
			return &ConflictError{Reason: fmt.Sprintf("service %q moves to %q", service, r.ToVersion)}
		}
	}
	return a.commit(ctx, applier.Command{
		Op: applier.OpRollout, Force: true,
		Args: applier.Args{
			Service: service, ToVersion: version, Deadline: now.Add(allowed).UnixMilli(), Versions: a.cfg.Versions(service), Irreversible: true,
		},
	})
}

// Rollout returns the latest rollout of a service. Errors: *UnavailableError.
func (a *Administrator) Rollout(ctx context.Context, service string) (sycamorevane.Rollout, bool, error) {
	if err := a.cfg.ReadBarrier(ctx); err != nil {
		return sycamorevane.Rollout{}, false, &UnavailableError{Reason: err.Error()}
	}
	r, ok := a.cfg.State().Rollouts[service]
	return r, ok, nil
}

// RecordLeaving records servers that are leaving. Errors: *UnavailableError.
func (a *Administrator) RecordLeaving(ctx context.Context, ids []string) error {
	return a.commit(ctx, applier.Command{Op: applier.OpLeave, Args: applier.Args{RemovedServers: ids}})
}

func (a *Administrator) commit(ctx context.Context, c applier.Command) error {
	c.Actor, c.AcceptedAt = "operator", a.cfg.Clock.Now().UnixMilli()
	c.ID = fmt.Sprintf("%016x", rand.Uint64())
	data, err := applier.Encode(c)
	if err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	reply, err := a.cfg.Propose(ctx, data)
	if err != nil {
		a.cfg.Log.Info("order not committed", "op", c.Op, "what", applier.Describe(c), "reason", err.Error())
		return &UnavailableError{Reason: err.Error()}
	}
	o, err := applier.DecodeOutcome(reply)
	if err != nil {
		return &UnavailableError{Reason: errors.Trace(err).Error()}
	}
	a.cfg.Log.Info("order decided", "op", c.Op, "what", o.Description, "outcome", string(o.Result), "reason", o.Reason, "version", o.Version)
	if o.Result == applier.ResultRefused {
		return &InvalidError{Reason: o.Reason}
	}
	return nil
}
