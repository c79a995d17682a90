package cataloger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	fetchTimeout = time.Second
	// unlistedGracePeriod is how long an entry keeps using servers that a full push does not list. After a restart of all
	// control hosts the servers report again within seconds.
	unlistedGracePeriod = 10 * time.Second
)

// FollowerConfig holds the dependencies and settings of a Follower.
type FollowerConfig struct {
	Transport sycamorevane.Transport
	// Source returns the control host whose pushes are accepted; if nil, pushes of all hosts are accepted.
	Source func() string
	// OnChange is called after a push has been applied.
	OnChange func()
	Log      logr.Logger
}

// Follower is the catalog on an entry, which follows the pushes of a control host.
type Follower struct {
	cfg      FollowerConfig
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	fetching atomic.Bool

	mu       sync.Mutex
	catalog  *Catalog
	epoch    uint64
	revision uint64
	// unlistedSince maps a server id to the time of the first full push that did not list it.
	unlistedSince map[string]time.Time
}

// NewFollower returns a Follower and registers its message handler.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, catalog: NewCatalog(), unlistedSince: make(map[string]time.Time)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.CatalogPush{}, f.onPush)
	return f
}

// Close cancels a running fetch and waits for it.
func (f *Follower) Close() {
	f.stop()
	f.wg.Wait()
}

// All lists the servers, except those that the control host has not listed for longer than unlistedGracePeriod.
func (f *Follower) All() []ServerRecord {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.catalog.All()
	out := list[:0]
	for _, rec := range list {
		if since, ok := f.unlistedSince[rec.Server.ID]; ok && now.Sub(since) > unlistedGracePeriod {
			continue
		}
		out = append(out, rec)
	}
	return out
}

// HandleRevision compares the revision that a control host announces with the local one and fetches the catalog if a push
// was missed. A control host without contact with the leader announces epoch 0; its catalog is fetched only while no server
// is known.
func (f *Follower) HandleRevision(from string, epoch, revision uint64) {
	f.mu.Lock()
	current := f.epoch == epoch && f.revision >= revision
	if epoch == 0 {
		current = len(f.catalog.servers) > 0
	}
	f.mu.Unlock()
	if !current {
		f.Fetch(from)
	}
}

// Fetch starts to fetch the catalog of a control host and does not wait for the reply. It does nothing while another fetch
// is running.
func (f *Follower) Fetch(from string) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	f.wg.Go(func() {
		defer f.fetching.Store(false)
		ctx, cancel := context.WithTimeout(f.ctx, fetchTimeout)
		defer cancel()
		reply, err := f.cfg.Transport.Call(ctx, from, &encoder.CatalogAsk{})
		if err != nil {
			f.cfg.Log.Info("could not fetch the catalog from a control host", "from", from, "reason", err.Error())
			return
		}
		f.handlePush(from, reply)
	})
}

func (f *Follower) onPush(from string, m proto.Message) proto.Message {
	if f.cfg.Source == nil || f.cfg.Source() == from {
		f.handlePush(from, m)
	}
	return nil
}

func (f *Follower) handlePush(from string, m proto.Message) {
	push, ok := m.(*encoder.CatalogPush)
	if !ok {
		return
	}
	if f.apply(push) {
		f.cfg.OnChange()
		return
	}
	f.HandleRevision(from, push.Epoch, push.Revision)
}

// apply merges a push. It returns false and merges nothing if a preceding push is missing.
func (f *Follower) apply(push *encoder.CatalogPush) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !push.Full && (push.Epoch != f.epoch || push.Base > f.revision) {
		return false
	}
	for _, r := range decode(push.Records) {
		f.catalog.Merge(r, now)
		if push.Full && push.Epoch != 0 && r.Limit == nil {
			f.catalog.forgetLimit(r.Server.ID)
		}
		delete(f.unlistedSince, r.Server.ID)
	}
	if push.Full && push.Epoch != 0 {
		f.updateUnlisted(push, now)
		f.epoch, f.revision = push.Epoch, push.Revision
	}
	if push.Epoch != 0 {
		f.revision = max(f.revision, push.Revision)
	}
	f.catalog.RemoveUnreported(now, recordRetention)
	f.cfg.Log.Info("catalog changed", "epoch", push.Epoch, "revision", push.Revision, "full", push.Full,
		"records", len(push.Records), "servers", len(f.catalog.servers))
	return true
}

func (f *Follower) updateUnlisted(push *encoder.CatalogPush, now time.Time) {
	listed := sycamorevane.NewSet[string]()
	for _, r := range push.Records {
		listed.Add(r.Id)
	}
	for id := range f.catalog.servers {
		if _, recorded := f.unlistedSince[id]; !recorded && !listed.Has(id) {
			f.unlistedSince[id] = now
		}
	}
	for id := range f.unlistedSince {
		if _, known := f.catalog.servers[id]; !known {
			delete(f.unlistedSince, id)
		}
	}
}
