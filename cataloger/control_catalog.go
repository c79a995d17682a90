package cataloger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// flushInterval is how long reports are collected before they are sent to other hosts. Entries must have stopped sending
	// requests to a leaving server 2 s after its report is acknowledged; 100 ms is a twentieth of that.
	flushInterval = 100 * time.Millisecond
	// The lease of a server is leaseReports report intervals plus leaseSlack, since a report may arrive seconds late.
	leaseReports = 3
	leaseSlack   = 2 * time.Second
	// recordRetention is how long a server that no longer reports stays in the catalog. While the later start at an address
	// is known, delayed reports of the earlier start are recognized, for example after a network partition.
	recordRetention = 2 * time.Minute
	sweepInterval   = time.Second
)

// ControlCatalogConfig holds the dependencies and settings of a ControlCatalog.
type ControlCatalogConfig struct {
	Transport sycamorevane.Transport
	// Epoch is unique per start of this host.
	Epoch uint64
	// ControlHosts lists the other control hosts, FollowingEntries the entries that follow this host, that is, receive
	// the catalog from it.
	ControlHosts     func() []string
	FollowingEntries func() []string
	// IsLeader reports whether this host is the control leader.
	IsLeader func() bool
	// HasLeaderContact reports whether this host is the leader or in contact with it. Without contact it refuses reports,
	// since they would not reach the leader, which would then let the leases of the servers expire.
	HasLeaderContact func() bool
	// NamesService reports whether the configuration that this host has applied names the service. Nil means that every
	// service is named.
	NamesService func(service string) bool
	// EndCommitted reports whether the end of a server is committed at the time of the call; CommitEnd commits it for several
	// servers.
	EndCommitted func(ctx context.Context, id string) bool
	CommitEnd    func(ctx context.Context, ids []string) error
	// CallerWaits returns nil if the server whose report ctx belongs to still waits for the response, else the reason. It is
	// asked for reports that name no start: a later start could be taken for the one that has ended. Nil means always.
	CallerWaits func(ctx context.Context) error
	// OnRemoved is called on the leader with the ids of servers that were removed from the catalog.
	OnRemoved func(ids []string)
	// File stores the catalog across restarts; it is not stored if the path is empty.
	File File
	// ReportInterval is the time between two reports of a server.
	ReportInterval time.Duration
	Log            logr.Logger
}

// UnavailableError is returned for a report that was refused because this host has no contact with the control leader.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "report not taken: " + e.Reason }

// ControlCatalog is the catalog on a control host.
type ControlCatalog struct {
	cfg  ControlCatalogConfig
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	wake chan struct{}

	mu      sync.Mutex
	catalog *Catalog
	// pending holds the reports to send to the other control hosts, by server id.
	pending map[string]Report
	// parked holds the latest report of each server whose service the configuration does not name, by server id.
	parked map[string]parkedReport
	// pushedRevision is the catalog revision up to which changes were pushed to the entries.
	pushedRevision uint64
	// savedRevision is the catalog revision that was last written to the file.
	savedRevision uint64
}

// NewControlCatalog returns a ControlCatalog and registers its message handlers.
func NewControlCatalog(cfg ControlCatalogConfig) *ControlCatalog {
	c := &ControlCatalog{cfg: cfg, catalog: NewCatalog(), pending: make(map[string]Report), parked: make(map[string]parkedReport), wake: make(chan struct{}, 1)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.Heartbeats{}, c.onHeartbeats)
	cfg.Transport.Handle(&encoder.CatalogAsk{}, c.onAsk)
	return c
}

// Start loads the saved catalog and starts sending reports to other hosts.
func (c *ControlCatalog) Start() {
	c.restore()
	c.wg.Go(c.flushLoop)
	if c.cfg.File.Path != "" {
		c.wg.Go(c.saveLoop)
	}
}

// Close stops the goroutines and waits for them.
func (c *ControlCatalog) Close() {
	c.stop()
	c.wg.Wait()
}

// Report accepts a report that a server has sent. It returns when the report may be acknowledged; for a server that drains
// or ends that is after the commit. Errors: *InvalidReportError, *UnavailableError, and those of CommitEnd.
func (c *ControlCatalog) Report(ctx context.Context, r Report) error {
	if err := r.validate(); err != nil {
		return err
	}
	if !c.cfg.HasLeaderContact() {
		return &UnavailableError{Reason: "no control leader is known"}
	}
	if r.endsAllStarts() && c.cfg.CallerWaits != nil {
		if err := c.cfg.CallerWaits(ctx); err != nil {
			return &UnavailableError{Reason: err.Error()}
		}
	}
	if !r.Ended && !r.Draining {
		c.mergeReport(r)
		return nil
	}
	ids := c.endedIDs(r)
	for _, id := range ids {
		end := r
		end.Server.ID = id
		c.mergeReport(end)
	}
	c.signal()
	if !r.endsAllStarts() && c.cfg.EndCommitted(ctx, r.Server.ID) {
		return nil
	}
	err := c.cfg.CommitEnd(ctx, ids)
	c.cfg.Log.Info("server leaves", "server", r.Server.ID, "service", r.Server.Service, "left", r.Ended,
		"starts", len(ids), "committed", err == nil)
	return errors.Trace(err)
}

// endsAllStarts reports whether the report announces the end of a server without naming the start that has ended. It then
// applies to all starts.
func (r *Report) endsAllStarts() bool { return r.Ended && r.StartedAt == 0 }

// endedIDs lists the ids under which the end of a server is recorded. A report that names no start ends all starts that
// this host knows. It is also recorded under its own id, the instance name, for starts that this host does not know yet.
func (c *ControlCatalog) endedIDs(r Report) []string {
	ids := []string{r.Server.ID}
	if !r.endsAllStarts() {
		return ids
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, rec := range c.catalog.servers {
		if rec.Server.InstanceName == r.Server.InstanceName && id != r.Server.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids[1:])
	return ids
}

// mergeReport merges a report and queues it for the other control hosts.
func (c *ControlCatalog) mergeReport(r Report) {
	id := r.Server.ID
	c.mu.Lock()
	if !c.namesService(&r) {
		_, known := c.parked[id]
		kept := c.park(r, time.Now())
		c.mu.Unlock()
		if !known {
			c.cfg.Log.Info("server of an unknown service reported first", "server", id, "service", r.Server.Service, "addr", r.Server.Addr, "kept", kept)
		}
		return
	}
	old, known := c.catalog.Get(id)
	if known && r.Server.Addr == "" {
		r = completeReport(old, r)
	}
	if c.catalog.Merge(r, time.Now()) {
		c.pending[id] = r
	}
	_, accepted := c.catalog.Get(id)
	c.mu.Unlock()
	if !known {
		c.cfg.Log.Info("server reported first", "server", id, "service", r.Server.Service, "addr", r.Server.Addr,
			"version", r.Server.Version, "born", r.StartedAt, "sequence", r.Sequence, "taken", accepted)
	}
}

// completeReport returns the known report of a server with the draining and ended states of r, which names the server
// only by its id.
func completeReport(known ServerRecord, r Report) Report {
	out := known.Report
	out.Ended, out.Draining = out.Ended || r.Ended, out.Draining || r.Draining
	out.LeaseExpired, out.Limit = false, nil
	return out
}

// FindByInstanceName returns the latest start of the server with the instance name.
func (c *ControlCatalog) FindByInstanceName(instanceName string) (ServerRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best ServerRecord
	found := false
	for _, rec := range c.catalog.servers {
		if rec.Server.InstanceName == instanceName && (!found || rec.StartedAt > best.StartedAt) {
			best, found = *rec, true
		}
	}
	return best, found
}

// All lists the servers.
func (c *ControlCatalog) All() []ServerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.All()
}

// Revision returns the epoch and revision that entries should have if they follow this host; zeros without contact with
// the leader.
func (c *ControlCatalog) Revision() (epoch, revision uint64) {
	if !c.cfg.HasLeaderContact() {
		return 0, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Epoch, c.pushedRevision
}

// MergeLimits adds what servers have stated about their request limits in responses to entries. Changes are pushed to the
// entries that follow this host.
func (c *ControlCatalog) MergeLimits(list []*encoder.ServerLimit, age time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range list {
		l := decodeLimit(m)
		l.Age += age
		c.catalog.MergeLimit(l, now)
	}
}

func (c *ControlCatalog) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *ControlCatalog) flushLoop() {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-t.C:
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(lastSweep) >= sweepInterval {
			lastSweep = now
			c.sweep(now)
		}
		c.flush(now)
	}
}

// lease is the time without a report after which a server gets no more requests.
func (c *ControlCatalog) lease() time.Duration { return leaseReports*c.cfg.ReportInterval + leaseSlack }

func (c *ControlCatalog) sweep(now time.Time) {
	hasContact := c.cfg.HasLeaderContact()
	c.mu.Lock()
	if hasContact {
		c.catalog.ExpireLeases(now, c.lease())
	}
	removed := c.catalog.RemoveUnreported(now, recordRetention)
	c.mu.Unlock()
	if len(removed) > 0 && c.cfg.IsLeader() {
		c.cfg.OnRemoved(removed)
	}
}

// flush sends new reports to the other control hosts, and changes to the entries that follow this host.
func (c *ControlCatalog) flush(now time.Time) {
	hasContact := c.cfg.HasLeaderContact()
	c.mu.Lock()
	c.mergeParked(now)
	var reports []Report
	for id, r := range c.pending {
		reports = append(reports, r)
		delete(c.pending, id)
	}
	var push *encoder.CatalogPush
	if hasContact {
		push = c.nextPush(now)
	}
	c.mu.Unlock()
	if len(reports) > 0 {
		m := &encoder.Heartbeats{Records: encode(reports)}
		for _, name := range c.cfg.ControlHosts() {
			c.send(name, m)
		}
	}
	if push == nil {
		return
	}
	for _, name := range c.cfg.FollowingEntries() {
		c.send(name, push)
	}
}

// nextPush returns the changes since the last push, or nil if there are none. c.mu must be held.
func (c *ControlCatalog) nextPush(now time.Time) *encoder.CatalogPush {
	if c.pushedRevision == c.catalog.Revision() {
		return nil
	}
	m := &encoder.CatalogPush{
		Epoch: c.cfg.Epoch, Base: c.pushedRevision, Revision: c.catalog.Revision(),
		Records: encode(c.catalog.ChangedSince(c.pushedRevision, now)),
	}
	c.pushedRevision = m.Revision
	return m
}

func (c *ControlCatalog) send(to string, m proto.Message) {
	if err := c.cfg.Transport.Send(to, m); err != nil {
		c.cfg.Log.V(1).Info("could not send a catalog message", "peer", to, "reason", err.Error())
	}
}

func (c *ControlCatalog) onHeartbeats(_ string, m proto.Message) proto.Message {
	heartbeats, _ := m.(*encoder.Heartbeats)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range decode(heartbeats.GetRecords()) {
		c.catalog.Merge(r, now)
	}
	return nil
}

// onAsk returns the full catalog to an entry that has missed a change or has changed to this control host. Without contact
// with the leader the reply has no epoch; such a reply serves entries that have just started and know no server.
func (c *ControlCatalog) onAsk(string, proto.Message) proto.Message {
	hasContact := c.cfg.HasLeaderContact()
	c.mu.Lock()
	defer c.mu.Unlock()
	push := &encoder.CatalogPush{Full: true, Records: encode(c.catalog.ChangedSince(0, time.Now()))}
	if hasContact {
		push.Epoch, push.Revision = c.cfg.Epoch, c.pushedRevision
	}
	return push
}
