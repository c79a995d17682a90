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
	// flushInterval batches the reports that a control host passes on. A leaving server has 2 s until its
	// acknowledgement binds; the batch takes a twentieth of that.
	flushInterval = 100 * time.Millisecond
	// lapseBeats is how many missed reports make a server silent, and lapseSlack what a report may be late besides:
	// a report may arrive seconds late.
	lapseBeats = 3
	lapseSlack = 2 * time.Second
	// forgetAfter is how long an unheard server stays in the catalog. Reports delayed by a partition are told from
	// new ones as long as the later start is known.
	forgetAfter = 2 * time.Minute
	sweepEvery  = time.Second
)

// ControlCatalogConfig holds what a ControlCatalog is built from.
type ControlCatalogConfig struct {
	Transport sycamorevane.Transport
	// Epoch is new for each start of this host.
	Epoch uint64
	// Controls lists the other control hosts, Entries the entries that follow this one.
	Controls func() []string
	Entries  func() []string
	// IsLeader reports whether this host is the control leader.
	IsLeader func() bool
	// HasLeaderContact reports whether this host is in contact with a leader, itself included. Without contact reports
	// are refused, since the leader would take the servers for silent.
	HasLeaderContact func() bool
	// EndCommitted reports whether the end of the server is committed, CommitEnd commits it.
	EndCommitted func(id string) bool
	CommitEnd    func(ctx context.Context, ids []string) error
	// OnRemoved is called on the leader with servers that are not in the catalog any more.
	OnRemoved func(ids []string)
	// File keeps the catalog over restarts; none without a path.
	File File
	// Interval is the time between two reports of a server.
	Interval time.Duration
	Log      logr.Logger
}

// UnavailableError says that a report was not taken, because this host is cut off from the control leader.
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
	// pending are the reports to pass on, by server.
	pending map[string]Report
	// pushed is the revision that the entries have been sent.
	pushed uint64
	// saved is the revision that the file has.
	saved uint64
}

// NewControlCatalog registers the message handlers.
func NewControlCatalog(cfg ControlCatalogConfig) *ControlCatalog {
	k := &ControlCatalog{cfg: cfg, catalog: NewCatalog(), pending: make(map[string]Report), wake: make(chan struct{}, 1)}
	k.ctx, k.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.Heartbeats{}, k.onHeartbeats)
	cfg.Transport.Handle(&encoder.CatalogAsk{}, k.onAsk)
	return k
}

// Start begins to pass reports on.
func (k *ControlCatalog) Start() {
	k.restore()
	k.wg.Go(k.loop)
	if k.cfg.File.Path != "" {
		k.wg.Go(k.saveLoop)
	}
}

// Close ends the work.
func (k *ControlCatalog) Close() {
	k.stop()
	k.wg.Wait()
}

// Report takes what a server said of itself. It returns when the report may be acknowledged: for a server that leaves
// when that is committed. Errors: *UnavailableError, and those of CommitEnd.
func (k *ControlCatalog) Report(ctx context.Context, r Report) error {
	if !k.cfg.HasLeaderContact() {
		return &UnavailableError{Reason: "no control leader is known"}
	}
	if !r.Ended && !r.Draining {
		k.take(r)
		return nil
	}
	ids := k.ends(r)
	for _, id := range ids {
		end := r
		end.Server.ID = id
		k.take(end)
	}
	k.signal()
	if !r.anyStart() && k.cfg.EndCommitted(r.Server.ID) {
		return nil
	}
	err := k.cfg.CommitEnd(ctx, ids)
	k.cfg.Log.Info("server leaves", "server", r.Server.ID, "service", r.Server.Service, "left", r.Ended,
		"starts", len(ids), "committed", err == nil)
	return errors.Trace(err)
}

// anyStart reports whether a server says that it has ended, but not which start of it that was.
func (r *Report) anyStart() bool { return r.Ended && r.StartedAt == 0 }

// ends lists the ids under which the end of a server is recorded. One that names no start ends those that this host
// knows and, recorded under the label, those that it has not heard yet.
func (k *ControlCatalog) ends(r Report) []string {
	ids := []string{r.Server.ID}
	if !r.anyStart() {
		return ids
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, e := range k.catalog.entries {
		if e.Server.InstanceName == r.Server.InstanceName && id != r.Server.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids[1:])
	return ids
}

// take merges a report and has it passed on.
func (k *ControlCatalog) take(r Report) {
	id := r.Server.ID
	k.mu.Lock()
	old, known := k.catalog.Get(id)
	if known && r.Server.Addr == "" {
		r = merged(old, r)
	}
	if k.catalog.Merge(r, time.Now()) {
		k.pending[id] = r
	}
	_, taken := k.catalog.Get(id)
	k.mu.Unlock()
	if !known {
		k.cfg.Log.Info("server reported first", "server", id, "service", r.Server.Service, "addr", r.Server.Addr,
			"version", r.Server.Version, "born", r.StartedAt, "sequence", r.Sequence, "taken", taken)
	}
}

// merged completes a report that names a server only by its id.
func merged(known ServerRecord, r Report) Report {
	out := known.Report
	out.Ended, out.Draining = out.Ended || r.Ended, out.Draining || r.Draining
	out.LeaseExpired = false
	return out
}

// Find returns the latest start of a server by what it calls itself.
func (k *ControlCatalog) Find(label string) (ServerRecord, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var best ServerRecord
	found := false
	for _, e := range k.catalog.entries {
		if e.Server.InstanceName == label && (!found || e.StartedAt > best.StartedAt) {
			best, found = *e, true
		}
	}
	return best, found
}

// All lists the servers.
func (k *ControlCatalog) All() []ServerRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.catalog.All()
}

// Revision is the epoch and revision that the entries that follow this host should have; 0 without contact to a leader.
func (k *ControlCatalog) Revision() (epoch, revision uint64) {
	if !k.cfg.HasLeaderContact() {
		return 0, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg.Epoch, k.pushed
}

func (k *ControlCatalog) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *ControlCatalog) loop() {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-t.C:
		case <-k.wake:
		case <-k.ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(swept) >= sweepEvery {
			swept = now
			k.sweep(now)
		}
		k.flush(now)
	}
}

func (k *ControlCatalog) sweep(now time.Time) {
	follows := k.cfg.HasLeaderContact()
	k.mu.Lock()
	if follows {
		k.catalog.Lapse(now, lapseBeats*k.cfg.Interval+lapseSlack)
	}
	gone := k.catalog.Forget(now, forgetAfter)
	k.mu.Unlock()
	if len(gone) > 0 && k.cfg.IsLeader() {
		k.cfg.OnRemoved(gone)
	}
}

// flush passes new reports to the other control hosts, and changes to the entries that follow this one.
func (k *ControlCatalog) flush(now time.Time) {
	follows := k.cfg.HasLeaderContact()
	k.mu.Lock()
	var reports []Report
	for id, r := range k.pending {
		reports = append(reports, r)
		delete(k.pending, id)
	}
	var push *encoder.CatalogPush
	if follows {
		push = k.nextPush(now)
	}
	k.mu.Unlock()
	if len(reports) > 0 {
		m := &encoder.Heartbeats{Records: encode(reports)}
		for _, name := range k.cfg.Controls() {
			k.send(name, m)
		}
	}
	if push == nil {
		return
	}
	for _, name := range k.cfg.Entries() {
		k.send(name, push)
	}
}

// nextPush returns the changes since the last push, or nil when there are none. It is called with the lock held.
func (k *ControlCatalog) nextPush(now time.Time) *encoder.CatalogPush {
	if k.pushed == k.catalog.Revision() {
		return nil
	}
	m := &encoder.CatalogPush{
		Epoch: k.cfg.Epoch, Base: k.pushed, Revision: k.catalog.Revision(), Records: encode(k.catalog.Since(k.pushed, now)),
	}
	k.pushed = m.Revision
	return m
}

func (k *ControlCatalog) send(to string, m proto.Message) {
	if err := k.cfg.Transport.Send(to, m); err != nil {
		k.cfg.Log.V(1).Info("catalog message not sent", "peer", to, "reason", err.Error())
	}
}

func (k *ControlCatalog) onHeartbeats(_ string, m proto.Message) proto.Message {
	beats, _ := m.(*encoder.Heartbeats)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range decode(beats.GetRecords()) {
		k.catalog.Merge(r, now)
	}
	return nil
}

// onAsk answers an entry that has missed a change or follows this host from now on. Without contact to a leader it
// answers without an epoch, for entries that have just started and know no server.
func (k *ControlCatalog) onAsk(string, proto.Message) proto.Message {
	follows := k.cfg.HasLeaderContact()
	k.mu.Lock()
	defer k.mu.Unlock()
	push := &encoder.CatalogPush{Full: true, Records: encode(k.catalog.Since(0, time.Now()))}
	if follows {
		push.Epoch, push.Revision = k.cfg.Epoch, k.pushed
	}
	return push
}
