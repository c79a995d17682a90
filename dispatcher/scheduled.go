package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/scheduler"
)

// maxScheduledAttempts is how often a request asks the scheduler again after it was granted a server that this entry must
// not use. Such a server is excluded when it asks again.
const maxScheduledAttempts = 2

// ErrOwnView is returned by Scheduler.Place when the entry should place the request by what it knows itself.
var ErrOwnView = errors.New("no scheduler decides")

// Scheduler decides for the servers of a service in this entry's data centre, with the requests of all entries in view.
type Scheduler interface {
	// Place waits for a decision. Errors: ErrOwnView, *sycamorevane.RefusedError, and those of the context.
	Place(ctx context.Context, service string, a scheduler.Ask) (Placement, error)
	// Return gives back an unused placement. mustNotUse is set when a rule of this entry forbids the server.
	Return(service string, p Placement, mustNotUse bool)
	// ReportStart reports a request that was placed by the entry's own view, and returns the ID to pass to ReportFinish.
	ReportStart(service string, s scheduler.Start) uint64
	// ReportFinish reports the end of a request with the ID of its Placement or ReportStart.
	ReportFinish(service string, f scheduler.Finish)
	// Decides reports whether the scheduler of the service works, so that this entry need not probe its servers.
	Decides(service string) bool
}

// Placement is a server that a scheduler has granted.
type Placement struct {
	ID uint64
	// Server is the ServerNumber of the server.
	Server uint32
	// Scheduler is the name of the host that has granted it.
	Scheduler string
}

// ServerNumber identifies a server in messages about placement. Among the few hundred servers of a pool, two with the same
// number are so unlikely that the first of them is used for both.
func ServerNumber(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// scheduledRequest is what the scheduler has to be told when a request ends.
type scheduledRequest struct {
	id              uint64
	service, server string
}

// schedulable reports whether the scheduler places the request. Trials of a version and servers that do not report their load
// are left to the entry, as are checks of whether a server's request limit has ended. The caller holds the lock.
func (d *Dispatcher) schedulable(v *view, req *sycamorevane.Request, chosen *versionChoice) bool {
	p := d.core.pools[req.Service]
	if d.cfg.Scheduler == nil || req.Hedge || req.Version != "" || chosen.trial || p == nil || !p.reportsLoad {
		return false
	}
	return !slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.limitCheckDue(v.now) && usable(v, s, chosen.version, req.ExcludedServers)
	})
}

// decidedByScheduler reports whether the scheduler keeps itself informed about the server, so that this entry need not probe
// it. It does not for servers of other data centres and for versions under trial.
func (d *Dispatcher) decidedByScheduler(v *view, s *server) bool {
	if d.cfg.Scheduler == nil || s.record.Server.DC != d.core.dc || !d.cfg.Scheduler.Decides(s.record.Server.Service) {
		return false
	}
	return !UnderTrial(v.state, &s.record.Server)
}

// UnderTrial reports whether the server runs a version that a rollout has not accepted yet.
func UnderTrial(st *sycamorevane.State, s *sycamorevane.Server) bool {
	r, ok := st.Rollouts[s.Service]
	return ok && !r.Phase.Terminal() && r.ToVersion == s.Version
}

// acquireScheduled asks the scheduler for a server. ErrOwnView means that this entry places the request itself.
func (d *Dispatcher) acquireScheduled(ctx context.Context, w *waiter) (sycamorevane.Grant, error) {
	excluded := w.req.ExcludedServers
	for range maxScheduledAttempts {
		placement, err := d.cfg.Scheduler.Place(ctx, w.req.Service, d.ask(w.req, excluded))
		var refused *sycamorevane.RefusedError
		if errors.As(err, &refused) {
			return d.placeUnscheduled(w, refused)
		}
		if err != nil {
			return sycamorevane.Grant{}, err
		}
		g, fit := d.useGrant(w, placement)
		if fit == fits {
			return g, nil
		}
		d.cfg.Scheduler.Return(w.req.Service, placement, fit == forbidden)
		if g.Server.ID == "" {
			break
		}
		excluded = append(slices.Clip(excluded), g.Server.ID)
	}
	return sycamorevane.Grant{}, ErrOwnView
}

// ask describes the request to the scheduler.
func (d *Dispatcher) ask(req *sycamorevane.Request, excluded []string) scheduler.Ask {
	a := scheduler.Ask{
		Route: req.Route, Workspace: req.Workspace, Priority: req.Priority, Deadline: req.Deadline,
		ExcludedServers: excluded,
	}
	if end := d.cfg.StopsAt(); !end.IsZero() && end.Before(a.Deadline) {
		a.Deadline = end
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	latency := d.core.pool(req.Service).latencyOf(req.Route)
	if latency.initialized {
		a.Work = latency.base
	}
	return a
}

// fit tells whether a granted server may be used.
type fit uint8

const (
	fits fit = iota
	// unfit means that this request cannot use the server, or that this entry does not know it.
	unfit
	// forbidden means that no request of this entry may use the server.
	forbidden
)

// useGrant starts the request on the granted server if this entry's own rules allow it. If they do not, the grant names only
// the server, if this entry knows it.
func (d *Dispatcher) useGrant(w *waiter, placement Placement) (sycamorevane.Grant, fit) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(now)
	if w.versionChoice.stateVersion != v.state.Version {
		w.versionChoice = d.core.chooseVersion(v, w.req)
	}
	p := d.core.pool(w.req.Service)
	i := slices.IndexFunc(p.servers, func(s *server) bool {
		return uint32(s.hash) == placement.Server && s.record.Server.DC == d.core.dc
	})
	if i < 0 {
		return sycamorevane.Grant{}, unfit
	}
	s := p.servers[i]
	svc := v.state.Config.Service(w.req.Service)
	if !usable(v, s, "", nil) || s.isLeaving() || s.limited() || isCold(v, s, svc) {
		return sycamorevane.Grant{Server: s.record.Server}, forbidden
	}
	if w.versionChoice.trial || !usable(v, s, w.versionChoice.version, w.req.ExcludedServers) {
		return sycamorevane.Grant{Server: s.record.Server}, unfit
	}
	p.lastRequest = now
	d.countRequest(s)
	g := sycamorevane.Grant{ID: d.core.startRequest(now, s), Server: withMaxConns(s.record.Server, svc), Scheduler: placement.Scheduler}
	d.scheduled[g.ID] = scheduledRequest{placement.ID, w.req.Service, s.record.Server.ID}
	return g, fits
}

// placeUnscheduled offers a request that the scheduler has refused to the servers that it does not grant: cold and limited
// ones, and those of other data centres.
func (d *Dispatcher) placeUnscheduled(w *waiter, refused *sycamorevane.RefusedError) (sycamorevane.Grant, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(now)
	v.unscheduledOnly, w.freshUntil = true, now // Nothing is left to wait for.
	if got := d.place(v, w); got.server != nil {
		return d.grant(v, w.req.Route, got), nil
	}
	d.refused.Inc(1)
	return sycamorevane.Grant{}, refused
}

// grantedByScheduler reports whether the scheduler may grant the server, apart from its load.
func (c *core) grantedByScheduler(s *server, cold bool) bool {
	return s.record.Server.DC == c.dc && !cold && !s.limited() && !s.record.LeaseExpired && !s.isLeaving()
}

// reportStart reports a request that this entry has placed itself. The caller holds the lock.
func (d *Dispatcher) reportStart(now time.Time, route string, s *server, grant uint64) {
	if d.cfg.Scheduler == nil || s.record.Server.DC != d.core.dc {
		return
	}
	start := scheduler.Start{Server: s.record.Server.ID, Route: route, At: now}
	if latency := d.core.pool(s.record.Server.Service).latencyOf(route); latency.initialized {
		start.Work = latency.base
	}
	id := d.cfg.Scheduler.ReportStart(s.record.Server.Service, start)
	d.scheduled[grant] = scheduledRequest{id, s.record.Server.Service, s.record.Server.ID}
}

// reportFinish reports the end of a request. The caller holds the lock.
func (d *Dispatcher) reportFinish(grant uint64, o *sycamorevane.Outcome) {
	r, ok := d.scheduled[grant]
	if !ok {
		return
	}
	delete(d.scheduled, grant)
	d.cfg.Scheduler.ReportFinish(r.service, scheduler.Finish{
		Key: scheduler.Key{ID: r.id}, Server: r.server, Route: o.Route, Kind: o.Kind, Latency: o.Latency, Load: o.Load,
	})
}
