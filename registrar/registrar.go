package registrar

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/placer"
)

const (
	// digestInterval limits how long another entry can miss a change whose message was lost.
	digestInterval = time.Second
	// expireInterval is how often leases are checked.
	expireInterval = 100 * time.Millisecond
	callTimeout    = time.Second
	// maxTableRequests limits the queued requests to send the full table.
	maxTableRequests = 64
	// ownerGrace is added to leases on entries that do not own them. It covers the time until a dead owner is detected, in
	// which servers cannot renew at it.
	ownerGrace = 1500 * time.Millisecond
)

// Config holds the dependencies and settings of a Registrar.
type Config struct {
	Self      string
	DC        string
	Transport sycamorevane.Transport
	// State returns the current state, or nil before the first one has been received.
	State func() *sycamorevane.State
	// Connected reports whether this entry is in contact with the control hosts or most entries; nil means always. A
	// server that renews at a disconnected entry would be unknown to all others.
	Connected func() bool
	// OnChange is called after every change, with all servers of the entry's data centre that have a lease.
	OnChange func([]sycamorevane.Server)
	// AnnounceAddr is the address of this host's announce listener. It is used while the configuration does not contain one.
	AnnounceAddr string
	Log          logr.Logger
	Metrics      tally.Scope
}

// Registrar maintains the lease table of the entry's data centre on one entry.
type Registrar struct {
	cfg           Config
	wg            sync.WaitGroup
	ctx           context.Context
	stop          context.CancelFunc
	tableRequests *sycamorevane.Ring[string]

	mu    sync.Mutex
	table *Table
}

// New returns a Registrar and registers its message handlers. Start starts the periodic tasks.
func New(cfg Config) *Registrar {
	ctx, stop := context.WithCancel(context.Background())
	r := &Registrar{
		cfg: cfg, ctx: ctx, stop: stop, table: NewTable(), tableRequests: sycamorevane.NewRing[string](maxTableRequests),
	}
	cfg.Transport.Handle(&encoder.Announce{}, r.onAnnounce)
	cfg.Transport.Handle(&encoder.Leave{}, r.onLeave)
	cfg.Transport.Handle(&encoder.Delta{}, r.onDelta)
	cfg.Transport.Handle(&encoder.Digest{}, r.onDigest)
	return r
}

// Start starts the expiry of leases and the comparison of tables between entries.
func (r *Registrar) Start() {
	r.wg.Go(r.expireLoop)
	r.wg.Go(r.digestLoop)
	r.wg.Go(r.sendTableLoop)
}

// Close stops the periodic tasks and waits for them.
func (r *Registrar) Close() {
	r.stop()
	r.wg.Wait()
}

// Servers returns the servers of the entry's data centre that have a lease.
func (r *Registrar) Servers() []sycamorevane.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Live()
}

// Lease returns the configured duration of a lease, or 1 s before the first state.
func (r *Registrar) Lease() time.Duration {
	if st := r.cfg.State(); st != nil {
		return st.Config.Limits.ServerLease
	}
	return time.Second
}

// Announce registers a server or renews its lease, on this entry or on the one that owns the lease, and returns the name
// of the entry at which to renew. Errors: *UnreachableError if no entry of the server's data centre is alive,
// *QueueFullError if the table is full, *LeftError if the id has left.
func (r *Registrar) Announce(ctx context.Context, s sycamorevane.Server) (string, error) {
	owner := r.owner(s)
	if owner == "" {
		return "", &sycamorevane.UnreachableError{Peer: "entries of data centre " + s.DC}
	}
	if owner != r.cfg.Self {
		err := r.forward(ctx, owner, s)
		var leftErr *LeftError
		if err == nil || s.DC != r.cfg.DC || errors.As(err, &leftErr) {
			return owner, err
		}
		// The owner has a session but does not answer. Until it does, the server is recorded in the local table.
		r.cfg.Log.Info("announcement kept here, the owner does not answer", "server", s.ID, "owner", owner, "reason", err.Error())
	}
	return r.cfg.Self, r.renew(s)
}

// Leave ends the lease of a server on all entries.
func (r *Registrar) Leave(id string) {
	for _, p := range r.cfg.Transport.Peers() {
		if p.Alive && p.Roles.Has(sycamorevane.RoleEntry) {
			_ = r.cfg.Transport.Send(p.Name, &encoder.Leave{Id: id})
		}
	}
	r.leave(id)
}

func (r *Registrar) owner(s sycamorevane.Server) string {
	return placer.PoolOwner(s.Service, s.DC, r.entries(s.DC))
}

// entries lists the live entries of a data centre, including this one if it is there.
func (r *Registrar) entries(dc string) []string {
	var names []string
	if dc == r.cfg.DC {
		names = append(names, r.cfg.Self)
	}
	for _, p := range r.cfg.Transport.Peers() {
		if p.Alive && p.DC == dc && p.Roles.Has(sycamorevane.RoleEntry) {
			names = append(names, p.Name)
		}
	}
	return names
}

func (r *Registrar) forward(ctx context.Context, owner string, s sycamorevane.Server) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.cfg.Transport.Call(ctx, owner, &encoder.Announce{Server: encode(s)})
	if err != nil {
		return errors.Trace(err)
	}
	announceReply, ok := reply.(*encoder.AnnounceReply)
	if ok && announceReply.Left {
		return &LeftError{ID: s.ID}
	}
	if !ok || !announceReply.Accepted {
		return errors.Errorf("entry %q refused the announcement: %s", owner, announceReply.GetReason())
	}
	return nil
}

func (r *Registrar) renew(s sycamorevane.Server) error {
	r.mu.Lock()
	changed, err := r.table.Renew(time.Now(), s, r.Lease())
	r.mu.Unlock()
	r.publish(changed)
	return err
}

func (r *Registrar) leave(id string) {
	r.mu.Lock()
	changed := r.table.Leave(time.Now(), id)
	r.mu.Unlock()
	r.publish(changed)
}

// publish sends changed records to the other entries of the data centre and passes the servers to Config.OnChange.
func (r *Registrar) publish(changed []Record) {
	if len(changed) == 0 {
		return
	}
	for _, rec := range changed {
		r.cfg.Log.Info("server changed", "server", rec.Server.ID, "service", rec.Server.Service,
			"version", rec.Server.Version, "state", string(rec.Server.State), "gone", rec.LeaseEnded)
	}
	delta := &encoder.Delta{Leases: encodeAll(changed)}
	for _, name := range r.entries(r.cfg.DC) {
		if name != r.cfg.Self {
			_ = r.cfg.Transport.Send(name, delta) // A lost message is detected by the next digest.
		}
	}
	r.notify()
}

func (r *Registrar) notify() {
	live := r.Servers()
	r.cfg.Metrics.Gauge("servers").Update(float64(len(live)))
	r.cfg.OnChange(live)
}

func (r *Registrar) expireLoop() {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.expire()
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Registrar) expire() {
	now := time.Now()
	owned := r.ownedBy(r.cfg.Self, r.entries(r.cfg.DC))
	r.mu.Lock()
	changed, expired := r.table.Expire(now, owned)
	r.mu.Unlock()
	r.publish(changed)
	if expired > len(changed) {
		r.notify()
	}
}

// digestLoop sends the digest of the records that this entry owns to the other entries of the data centre.
func (r *Registrar) digestLoop() {
	t := time.NewTicker(digestInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.sendDigests()
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Registrar) sendDigests() {
	entries := r.entries(r.cfg.DC)
	sum, count := r.ownedDigest(r.cfg.Self, entries)
	for _, name := range entries {
		if name != r.cfg.Self {
			_ = r.cfg.Transport.Send(name, &encoder.Digest{Sum: sum, Count: uint32(count)})
		}
	}
}

// ownedDigest returns the digest of the records that the given entry owns.
func (r *Registrar) ownedDigest(owner string, entries []string) (sum uint64, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Digest(r.ownedBy(owner, entries))
}

func (r *Registrar) ownedBy(owner string, entries []string) func(sycamorevane.Server) bool {
	return func(s sycamorevane.Server) bool { return placer.PoolOwner(s.Service, s.DC, entries) == owner }
}

// onDigest extends the leases of the records that the sender owns if the digests match, and otherwise starts an exchange of
// the full tables.
func (r *Registrar) onDigest(from string, m proto.Message) proto.Message {
	d, _ := m.(*encoder.Digest)
	entries := r.entries(r.cfg.DC)
	sum, count := r.ownedDigest(from, entries)
	if sum != d.Sum || count != int(d.Count) {
		r.tableRequests.Push(from)
		return nil
	}
	r.mu.Lock()
	r.table.Extend(time.Now(), r.Lease()+ownerGrace, r.ownedBy(from, entries))
	r.mu.Unlock()
	return nil
}

// sendTableLoop sends the full table to entries whose digest differed. The receiver replies with its own table.
func (r *Registrar) sendTableLoop() {
	for {
		to, ok := r.tableRequests.Pop()
		if ok {
			r.sendTable(to, false)
			continue
		}
		select {
		case <-r.tableRequests.Wake():
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Registrar) sendTable(to string, isReply bool) {
	r.mu.Lock()
	all := r.table.All()
	r.mu.Unlock()
	_ = r.cfg.Transport.Send(to, &encoder.Delta{Leases: encodeAll(all), Full: !isReply})
}

func (r *Registrar) onDelta(from string, m proto.Message) proto.Message {
	d, _ := m.(*encoder.Delta)
	records := make([]Record, 0, len(d.Leases))
	now := time.Now()
	for _, l := range d.Leases {
		if l.Server == nil || l.Server.Dc != r.cfg.DC {
			continue
		}
		records = append(records, Record{
			Server: decode(l.Server), Change: l.Change, LeaseEnded: l.Gone, HasLeft: l.Left,
			Expires: now.Add(r.Lease() + ownerGrace),
		})
	}
	r.mu.Lock()
	changed := r.table.Merge(now, records)
	r.mu.Unlock()
	if changed {
		r.notify()
	}
	if d.Full {
		r.sendTable(from, true)
	}
	return nil
}

func (r *Registrar) onAnnounce(_ string, m proto.Message) proto.Message {
	a, _ := m.(*encoder.Announce)
	if a.Server == nil || a.Server.Dc != r.cfg.DC {
		return &encoder.AnnounceReply{Reason: "server is not in data centre " + r.cfg.DC}
	}
	if err := r.renew(decode(a.Server)); err != nil {
		var leftErr *LeftError
		return &encoder.AnnounceReply{Reason: err.Error(), Left: errors.As(err, &leftErr)}
	}
	return &encoder.AnnounceReply{Accepted: true}
}

func (r *Registrar) onLeave(_ string, m proto.Message) proto.Message {
	l, _ := m.(*encoder.Leave)
	r.leave(l.Id)
	return nil
}

func encode(s sycamorevane.Server) *encoder.Server {
	return &encoder.Server{
		Service: s.Service, Version: s.Version, Id: s.ID, Addr: s.Addr, Dc: s.DC, Slots: clamp(s.Slots),
		Conns: clamp(s.MaxConns), State: string(s.State), Load: clamp(s.Load),
	}
}

func clamp(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func decode(s *encoder.Server) sycamorevane.Server {
	return sycamorevane.Server{
		Service: s.Service, Version: s.Version, ID: s.Id, Addr: s.Addr, DC: s.Dc, Slots: int(s.Slots),
		MaxConns: int(s.Conns), State: sycamorevane.ServerState(s.State), Load: int(s.Load),
	}
}

func encodeAll(records []Record) []*encoder.Lease {
	leases := make([]*encoder.Lease, len(records))
	for i, rec := range records {
		leases[i] = &encoder.Lease{Server: encode(rec.Server), Change: rec.Change, Gone: rec.LeaseEnded, Left: rec.HasLeft}
	}
	return leases
}
