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
	// digestInterval bounds how long a lost change stays unnoticed on another entry.
	digestInterval = time.Second
	// expireInterval is how often leases are checked.
	expireInterval = 100 * time.Millisecond
	callTimeout    = time.Second
	// pendingTables bounds the queued requests to send the whole table.
	pendingTables = 64
	// ownerGrace covers the detection of a dead owner, during which nobody renews at it.
	ownerGrace = 1500 * time.Millisecond
)

// Config holds what a Registrar is built from.
type Config struct {
	Self      string
	DC        string
	Transport sycamorevane.Transport
	// State returns the state in force, or nil before the first one has arrived.
	State func() *sycamorevane.State
	// Connected reports whether this entry is in contact with control or most entries; nil means always. A server
	// that renews at an entry that is cut off would be unknown to all others.
	Connected func() bool
	// Changed is called with all live servers of the own data centre after every change.
	Changed func([]sycamorevane.Server)
	// Listener is the address of this host's announce listener, used until a configuration names it.
	Listener string
	Log      logr.Logger
	Metrics  tally.Scope
}

// Registrar runs the lease table of the own data centre on one entry.
type Registrar struct {
	cfg   Config
	wg    sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	sends *sycamorevane.Ring[string]

	mu    sync.Mutex
	table *Table
}

// New registers the message handlers. Start begins the periodic work.
func New(cfg Config) *Registrar {
	ctx, stop := context.WithCancel(context.Background())
	r := &Registrar{cfg: cfg, ctx: ctx, stop: stop, table: NewTable(), sends: sycamorevane.NewRing[string](pendingTables)}
	cfg.Transport.Handle(&encoder.Announce{}, r.onAnnounce)
	cfg.Transport.Handle(&encoder.Leave{}, r.onLeave)
	cfg.Transport.Handle(&encoder.Delta{}, r.onDelta)
	cfg.Transport.Handle(&encoder.Digest{}, r.onDigest)
	return r
}

// Start begins expiry and the comparison of tables between entries.
func (r *Registrar) Start() {
	r.wg.Go(r.expireLoop)
	r.wg.Go(r.digestLoop)
	r.wg.Go(r.tableLoop)
}

// Close ends the periodic work.
func (r *Registrar) Close() {
	r.stop()
	r.wg.Wait()
}

// Servers returns the live servers of the own data centre.
func (r *Registrar) Servers() []sycamorevane.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Live()
}

// Lease is the configured lease of a server.
func (r *Registrar) Lease() time.Duration {
	if st := r.cfg.State(); st != nil {
		return st.Config.Limits.ServerLease
	}
	return time.Second
}

// Announce registers or renews a server, at this entry or at the one that owns its lease, and returns the name of
// the entry to renew at. Errors: *UnreachableError when no entry of the server's data centre is alive, *QueueFullError
// when its table is full, *LeftError for an id that has left.
func (r *Registrar) Announce(ctx context.Context, s sycamorevane.Server) (string, error) {
	owner := r.owner(s)
	if owner == "" {
		return "", &sycamorevane.UnreachableError{Peer: "entries of data centre " + s.DC}
	}
	if owner != r.cfg.Self {
		err := r.forward(ctx, owner, s)
		var left *LeftError
		if err == nil || s.DC != r.cfg.DC || errors.As(err, &left) {
			return owner, err
		}
		// The owner is alive but does not answer: the own table keeps the server known meanwhile.
		r.cfg.Log.Info("announcement kept here, the owner does not answer", "server", s.ID, "owner", owner, "reason", err.Error())
	}
	return r.cfg.Self, r.renew(s)
}

// Leave ends the lease of a server wherever it is kept.
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

// entries lists the live entries of a data centre, this one included.
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
	answer, ok := reply.(*encoder.AnnounceReply)
	if ok && answer.Left {
		return &LeftError{ID: s.ID}
	}
	if !ok || !answer.Accepted {
		return errors.Errorf("entry %q refused the announcement: %s", owner, answer.GetReason())
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

// publish tells the other entries of the data centre and the limiter about changed records.
func (r *Registrar) publish(changed []Record) {
	if len(changed) == 0 {
		return
	}
	for _, rec := range changed {
		r.cfg.Log.Info("server changed", "server", rec.Server.ID, "service", rec.Server.Service,
			"version", rec.Server.Version, "state", string(rec.Server.State), "gone", rec.Gone)
	}
	delta := &encoder.Delta{Leases: encodeAll(changed)}
	for _, name := range r.entries(r.cfg.DC) {
		if name != r.cfg.Self {
			_ = r.cfg.Transport.Send(name, delta) // The next digest repairs a lost change.
		}
	}
	r.notify()
}

func (r *Registrar) notify() {
	live := r.Servers()
	r.cfg.Metrics.Gauge("servers").Update(float64(len(live)))
	r.cfg.Changed(live)
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
	changed, ended := r.table.Expire(now, owned)
	r.mu.Unlock()
	r.publish(changed)
	if ended > len(changed) {
		r.notify()
	}
}

// digestLoop compares the records that this entry owns with the other entries of the data centre.
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
	sum, count := r.digest(r.cfg.Self, entries)
	for _, name := range entries {
		if name != r.cfg.Self {
			_ = r.cfg.Transport.Send(name, &encoder.Digest{Sum: sum, Count: uint32(count)})
		}
	}
}

// digest summarises the records whose owner is the given entry.
func (r *Registrar) digest(owner string, entries []string) (sum uint64, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Digest(r.ownedBy(owner, entries))
}

func (r *Registrar) ownedBy(owner string, entries []string) func(sycamorevane.Server) bool {
	return func(s sycamorevane.Server) bool { return placer.PoolOwner(s.Service, s.DC, entries) == owner }
}

// onDigest extends the leases that the owner vouches for, or exchanges tables when they differ.
func (r *Registrar) onDigest(from string, m proto.Message) proto.Message {
	d, _ := m.(*encoder.Digest)
	entries := r.entries(r.cfg.DC)
	sum, count := r.digest(from, entries)
	if sum != d.Sum || count != int(d.Count) {
		r.sends.Push(from)
		return nil
	}
	r.mu.Lock()
	r.table.Extend(time.Now(), r.Lease()+ownerGrace, r.ownedBy(from, entries))
	r.mu.Unlock()
	return nil
}

// tableLoop sends the whole table to entries whose digest differed; a full table is answered by the receiver's.
func (r *Registrar) tableLoop() {
	for {
		to, ok := r.sends.Pop()
		if ok {
			r.sendTable(to, false)
			continue
		}
		select {
		case <-r.sends.Wake():
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Registrar) sendTable(to string, answer bool) {
	r.mu.Lock()
	all := r.table.All()
	r.mu.Unlock()
	_ = r.cfg.Transport.Send(to, &encoder.Delta{Leases: encodeAll(all), Full: !answer})
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
			Server: decode(l.Server), Change: l.Change, Gone: l.Gone, Left: l.Left,
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
		var left *LeftError
		return &encoder.AnnounceReply{Reason: err.Error(), Left: errors.As(err, &left)}
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
		leases[i] = &encoder.Lease{Server: encode(rec.Server), Change: rec.Change, Gone: rec.Gone, Left: rec.Left}
	}
	return leases
}
