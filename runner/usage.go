package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/accountant"
	"sycamorevane.example/sycamorevane/applier"
)

// proposeUsageTimeout limits the commit of usage. A commit that takes longer is decided again from the log.
const proposeUsageTimeout = time.Second

// newAccountant returns nil in a deployment without usage reports.
func (c *discoveryControl) newAccountant() *accountant.Accountant {
	s := c.p.cfg.Settings
	sender := c.p.cfg.Adapter.UsageSender(s)
	if sender == nil {
		return nil
	}
	b := s.Bounds
	return accountant.NewAccountant(accountant.DriverConfig{
		Config: accountant.Config{
			Window: b.ReportWindow, Late: b.UsageLate, Lease: b.Lease, ThawSlack: b.ThawSlack, Tolerance: b.UsageTolerance,
			CallRate: s.Cloud.DutyRate,
		},
		Name: s.Name, Transport: c.p.mesh, Sender: sender, Leader: c.isLeader, Members: c.members,
		Confirm: func(ctx context.Context) error {
			_, err := c.replicator.ReadIndex(ctx)
			return errors.Trace(err)
		},
		Committed: c.stateMachine.Usage, Propose: c.proposeUsage, Log: c.p.cfg.Log, Metrics: c.p.metrics,
	})
}

// proposeUsage commits a change of the usage windows. It returns an error if the change is refused.
func (c *discoveryControl) proposeUsage(change *applier.UsageChange) error {
	data, err := applier.Encode(applier.Command{
		Op: applier.OpUsage, Actor: c.p.mesh.Self(), AcceptedAt: processClock.Now().UnixMilli(), Args: applier.Args{Usage: change},
	})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(c.proposals, proposeUsageTimeout)
	defer cancel()
	reply, err := c.replicator.Propose(ctx, data)
	if err != nil {
		return errors.Trace(err)
	}
	o, err := applier.DecodeOutcome(reply)
	if err == nil && o.Result != applier.ResultApplied {
		err = errors.Errorf("%s: %s", o.Result, o.Reason)
	}
	return errors.Trace(err)
}

// newUsageReporter returns nil in a deployment without usage reports.
func (e *discoveryEntry) newUsageReporter() (*accountant.Reporter, *accountant.Counter) {
	if e.p.cfg.Adapter.UsageSender(e.p.cfg.Settings) == nil {
		return nil, nil
	}
	counter := accountant.NewCounter(e.startedAt)
	return accountant.NewReporter(accountant.ReporterConfig{
		Transport: e.p.mesh, Counter: counter, LeaderName: e.subscriber.Leader, Log: e.p.cfg.Log, Metrics: e.p.metrics,
	}), counter
}
