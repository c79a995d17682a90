// Package administrator executes the commands of operators who assign sequence numbers to their configurations and who
// resend a command until they receive a response. A command that was accepted once is therefore accepted again.
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

// resendWindow is how long after the end of a rollout a resent command to start it is still accepted. Operators resend
// until the acknowledgement timeout of the deployment, which has been at most 4 s so far.
const resendWindow = 10 * time.Second

// InvalidError reports that a command is invalid or was refused.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "order is invalid: " + e.Reason }

// ConflictError reports that the service has another rollout in progress.
type ConflictError struct{ Reason string }

func (e *ConflictError) Error() string { return "order conflicts with another: " + e.Reason }

// UnavailableError reports that this host currently cannot read the state or commit a command. It is unknown whether
// the command takes effect.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "control is not available here: " + e.Reason }

// Config configures an Administrator.
type Config struct {
	// State returns the applied state of this host.
	State func() *sycamorevane.State
	// Propose commits a command and returns its encoded outcome.
	Propose func(ctx context.Context, data []byte) ([]byte, error)
	// AppliedIndex returns the log index of the last command in State.
	AppliedIndex func() uint64
	// CallerWaits returns nil if the caller whose command ctx belongs to still waits for the response, else the reason. A
	// command whose caller has given up must not be proposed: the caller may have sent a later one to another host. Nil
	// means that callers always wait.
	CallerWaits func(ctx context.Context) error
	// ReadBarrier returns when this host has applied every command that was acknowledged before the call.
	ReadBarrier func(ctx context.Context) error
	// Versions returns the announced slots per version of a service.
	Versions func(service string) map[string]int
	// Policy holds defaults for the services of a configuration.
	Policy Policy
	Clock  sycamorevane.Clock
	Log    logr.Logger
}

// Policy holds the values for services for which a configuration does not set them.
type Policy struct {
	// RetryRatio, HedgeRatio and MaxTrialShare are as in sycamorevane.Service.
	RetryRatio    float64
	HedgeRatio    float64
	MaxTrialShare float64
}

const (
	// retryFraction is the fraction of NewPolicy's maxRetryShare that retries and hedges may use. The rest is a reserve,
	// because retries that servers reject count as well. hedgeFraction is the fraction of maxRetryShare that hedges may
	// use.
	retryFraction = 0.75
	hedgeFraction = 0.6
	// trialFraction is the largest fraction of NewPolicy's maxBadVersionShare that a version under trial may get. The rest
	// is a reserve for the requests that the version gets while its share grows after the trial.
	trialFraction = 0.8
)

// NewPolicy derives the policy from the limits of a deployment: the share of requests that may be sent again, and
// the share of requests that a bad version may get.
func NewPolicy(maxRetryShare, maxBadVersionShare float64) Policy {
	return Policy{
		RetryRatio: retryFraction * maxRetryShare, HedgeRatio: hedgeFraction * maxRetryShare,
		MaxTrialShare: trialFraction * maxBadVersionShare,
	}
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

// Configure replaces the configuration by one with a higher sequence number. A lower or equal number is accepted and
// changes nothing. Errors: *InvalidError, *UnavailableError.
func (a *Administrator) Configure(ctx context.Context, cfg *sycamorevane.Config) error {
	if reason := applier.CheckNumberedConfig(cfg); reason != "" {
		a.cfg.Log.Info("configuration refused", "number", cfg.SequenceNumber, "reason", reason)
		return &InvalidError{Reason: reason}
	}
	if a.cfg.State().Config.SequenceNumber >= cfg.SequenceNumber {
		return nil
	}
	return a.commit(ctx, applier.Command{Op: applier.OpConfigure, Args: applier.Args{Config: a.cfg.Policy.complete(cfg)}})
}

// Configuration returns the newest configuration. Errors: *UnavailableError if this host cannot determine which one is
// the newest, or if there is none.
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

// Evacuate drains a data centre, or undrains it if drain is false. Errors: *InvalidError, *UnavailableError.
//
// A resent command is committed again: the state of this host may be older than a drain that was taken back.
func (a *Administrator) Evacuate(ctx context.Context, dc string, drain bool) error {
	op := applier.OpUndrain
	if drain {
		op = applier.OpDrain
	}
	return a.commitInOrder(ctx, func() (*applier.Command, error) {
		return &applier.Command{Op: op, Args: applier.Args{DC: dc}, Force: true}, nil
	})
}

// StartRollout starts a rollout of a service to a version with the given time limit. Sending the same command again is
// accepted. Errors: *InvalidError, *ConflictError, *UnavailableError.
func (a *Administrator) StartRollout(ctx context.Context, service, version string, timeLimit time.Duration) error {
	if err := a.cfg.ReadBarrier(ctx); err != nil {
		return &UnavailableError{Reason: err.Error()}
	}
	return a.commitInOrder(ctx, func() (*applier.Command, error) { return a.rolloutCommand(service, version, timeLimit) })
}

// rolloutCommand returns the command that starts a rollout, or nil if the rollout was started before.
func (a *Administrator) rolloutCommand(service, version string, timeLimit time.Duration) (*applier.Command, error) {
	now := a.cfg.Clock.Now()
	if r, ok := a.cfg.State().Rollouts[service]; ok {
		recent := now.Sub(time.UnixMilli(r.ChangedAt)) < resendWindow
		switch {
		case r.ToVersion == version && (!r.Phase.Terminal() || recent):
			return nil, nil
		case !r.Phase.Terminal() && r.Phase != sycamorevane.RolloutReverting:
			return nil, &ConflictError{Reason: fmt.Sprintf("service %q moves to %q", service, r.ToVersion)}
		}
	}
	return &applier.Command{
		Op: applier.OpRollout, Force: true,
		Args: applier.Args{
			Service: service, ToVersion: version, Deadline: now.Add(timeLimit).UnixMilli(), Versions: a.cfg.Versions(service), Irreversible: true,
		},
	}, nil
}

// Rollout returns the latest rollout of a service. Errors: *UnavailableError.
func (a *Administrator) Rollout(ctx context.Context, service string) (sycamorevane.Rollout, bool, error) {
	if err := a.cfg.ReadBarrier(ctx); err != nil {
		return sycamorevane.Rollout{}, false, &UnavailableError{Reason: err.Error()}
	}
	r, ok := a.cfg.State().Rollouts[service]
	return r, ok, nil
}

// RecordLeaving records servers that are leaving. Errors: *InvalidError, *UnavailableError.
func (a *Administrator) RecordLeaving(ctx context.Context, ids []string) error {
	return a.commit(ctx, applier.Command{Op: applier.OpLeave, Args: applier.Args{RemovedServers: ids}})
}

// LeavingRecorded reports whether the server is recorded as leaving. It confirms a record in the state of this host with a
// read barrier, since records are removed again.
func (a *Administrator) LeavingRecorded(ctx context.Context, id string) bool {
	isRecorded := func() bool {
		_, ok := a.cfg.State().DrainedServers[id]
		return ok
	}
	return isRecorded() && a.cfg.ReadBarrier(ctx) == nil && isRecorded()
}

// commitInOrder commits the command that newCommand returns, or nothing if it returns nil. The command takes effect only if
// no other one on the same subject was decided since the caller was known to wait; otherwise newCommand is called again
// with the current state.
func (a *Administrator) commitInOrder(ctx context.Context, newCommand func() (*applier.Command, error)) error {
	for {
		// Read before the check: a caller that waits has sent no later command, so that any later one gets a higher index.
		seen := a.cfg.AppliedIndex()
		if err := a.checkCaller(ctx); err != nil {
			return err
		}
		c, err := newCommand()
		if c == nil || err != nil {
			return err
		}
		c.SeenIndex = &seen
		var stale *staleError
		if err := a.commit(ctx, *c); !errors.As(err, &stale) {
			return err
		}
		if err := a.cfg.ReadBarrier(ctx); err != nil {
			return &UnavailableError{Reason: err.Error()}
		}
	}
}

func (a *Administrator) checkCaller(ctx context.Context) error {
	if a.cfg.CallerWaits == nil {
		return nil
	}
	if err := a.cfg.CallerWaits(ctx); err != nil {
		a.cfg.Log.Info("order dropped, its caller no longer waits", "reason", err.Error())
		return &UnavailableError{Reason: err.Error()}
	}
	return nil
}

// staleError reports that a command had no effect because it was based on an outdated state.
type staleError struct{ Reason string }

func (e *staleError) Error() string { return "order is outdated: " + e.Reason }

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
	switch o.Result {
	case applier.ResultRefused:
		return &InvalidError{Reason: o.Reason}
	case applier.ResultStale:
		return &staleError{Reason: o.Reason}
	}
	return nil
}
