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
	askTimeout = time.Second
	// unlistedLife is how long an entry goes on using servers that a new leader does not list: after a restart of all
	// control hosts the servers report again within seconds.
	unlistedLife = 10 * time.Second
)

// FollowerConfig holds what a Follower is built from.
type FollowerConfig struct {
	Transport sycamorevane.Transport
	// Source names the control host whose pushes are taken; nil takes those of all.
	Source func() string
	// Changed is called after the servers have changed.
	Changed func()
	Log     logr.Logger
}

// Follower is the catalog on an entry.
type Follower struct {
	cfg    FollowerConfig
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
	asking atomic.Bool

	mu       sync.Mutex
	catalog  *Catalog
	epoch    uint64
	revision uint64
	// unlisted is when a full push first did not name a server.
	unlisted map[string]time.Time
}

// NewFollower registers the message handler.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, catalog: NewCatalog(), unlisted: make(map[string]time.Time)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.CatalogPush{}, f.onPush)
	return f
}

// Close ends a running request.
func (f *Follower) Close() {
	f.stop()
	f.wg.Wait()
}

// All lists the servers, without those that control has not listed for a while.
func (f *Follower) All() []ServerRecord {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.catalog.All()
	out := list[:0]
	for _, e := range list {
		if since, ok := f.unlisted[e.Server.ID]; ok && now.Sub(since) > unlistedLife {
			continue
		}
		out = append(out, e)
	}
	return out
}

// Announced compares the revision that a control host announces with the one here and asks for the catalog when a push
// was missed. One without contact to a leader announces epoch 0; it is asked while no server is known.
func (f *Follower) Announced(from string, epoch, revision uint64) {
	f.mu.Lock()
	current := f.epoch == epoch && f.revision >= revision
	if epoch == 0 {
		current = len(f.catalog.entries) > 0
	}
	f.mu.Unlock()
	if !current {
		f.Ask(from)
	}
}

// Ask fetches the catalog of a control host without waiting for it.
func (f *Follower) Ask(from string) {
	if !f.asking.CompareAndSwap(false, true) {
		return
	}
	f.wg.Go(func() {
		defer f.asking.Store(false)
		ctx, cancel := context.WithTimeout(f.ctx, askTimeout)
		defer cancel()
		reply, err := f.cfg.Transport.Call(ctx, from, &encoder.CatalogAsk{})
		if err != nil {
			f.cfg.Log.Info("catalog not received", "from", from, "reason", err.Error())
			return
		}
		f.take(from, reply)
	})
}

func (f *Follower) onPush(from string, m proto.Message) proto.Message {
	if f.cfg.Source == nil || f.cfg.Source() == from {
		f.take(from, m)
	}
	return nil
}

func (f *Follower) take(from string, m proto.Message) {
	push, ok := m.(*encoder.CatalogPush)
	if !ok {
		return
	}
	if f.apply(push) {
		f.cfg.Changed()
		return
	}
	f.Announced(from, push.Epoch, push.Revision)
}

// apply merges a push and reports false when one before it is missing.
func (f *Follower) apply(push *encoder.CatalogPush) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !push.Full && (push.Epoch != f.epoch || push.Base > f.revision) {
		return false
	}
	for _, r := range decode(push.Records) {
		f.catalog.Merge(r, now)
		delete(f.unlisted, r.Server.ID)
	}
	if push.Full && push.Epoch != 0 {
		f.noteUnlisted(push, now)
		f.epoch, f.revision = push.Epoch, push.Revision
	}
	if push.Epoch != 0 {
		f.revision = max(f.revision, push.Revision)
	}
	f.catalog.Forget(now, forgetAfter)
	f.cfg.Log.Info("catalog changed", "epoch", push.Epoch, "revision", push.Revision, "full", push.Full,
		"records", len(push.Records), "servers", len(f.catalog.entries))
	return true
}

func (f *Follower) noteUnlisted(push *encoder.CatalogPush, now time.Time) {
	listed := sycamorevane.NewSet[string]()
	for _, r := range push.Records {
		listed.Add(r.Id)
	}
	for id := range f.catalog.entries {
		if _, noted := f.unlisted[id]; !noted && !listed.Has(id) {
			f.unlisted[id] = now
		}
	}
	for id := range f.unlisted {
		if _, known := f.catalog.entries[id]; !known {
			delete(f.unlisted, id)
		}
	}
}
