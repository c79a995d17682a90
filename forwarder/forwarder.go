// Package forwarder serves the caller listener: it selects service, workspace and route of a request, asks the
// limiter for a server, exchanges request and answer with it, and retries or hedges where that is safe.
package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/recorder"
)

// EntriesPath is served by the entry itself; every other path is proxied.
const EntriesPath = "/.vane/entries"

// GCPercent is the garbage collection target for entry processes (debug.SetGCPercent). An entry's live heap is a few
// MB, so that at the default of 100 collections are frequent and set the p99 of the added time on a busy host; above
// 300 the p99 gains nothing more and memory grows.
const GCPercent = 300

// Quarantine keeps requests that crash servers away from them.
type Quarantine interface {
	// Admit is called before each attempt. It returns *RefusedError for a quarantined request, and for a
	// suspect that runs elsewhere in the system.
	Admit(ctx context.Context, fingerprint uint64) (Permit, error)
}

// Permit is the right to make one attempt.
type Permit interface {
	// Start is called before the first byte is sent. It returns false when the server must not be used for
	// this request now; otherwise End must be called once.
	Start(server sycamorevane.Server) bool
	// End reports how the attempt ended. It returns after the other entries know of a server that died.
	End(server sycamorevane.Server, kind sycamorevane.OutcomeKind)
	// Done gives the permit back; it must be called once.
	Done()
}

// Config holds what a Forwarder is built from.
type Config struct {
	// Self is the host name; it is part of request ids.
	Self    string
	Limiter sycamorevane.Limiter
	// Dedup may be nil; requests with Idempotency-Key are then refused as not run.
	Dedup sycamorevane.Deduplicator
	// Quarantine may be nil.
	Quarantine Quarantine
	// State returns the state in force, or nil before the first one. It must not change what it returned.
	State func() *sycamorevane.State
	// First is closed when State returns the first state. Requests that come before wait for it for a moment, since an
	// entry has it soon after its start; nil refuses them at once.
	First <-chan struct{}
	// Accepting reports whether new requests are served; nil means always.
	Accepting func() bool
	// Entries serves EntriesPath; nil when callers ask elsewhere.
	Entries http.Handler
	// Dialect names the headers; the zero value is Own.
	Dialect Dialect
	// Leaving reports that the entry is shutting down, so that callers are asked to use another connection; nil for
	// never.
	Leaving func() bool
	// Dial bounds the making of a connection to a server; 0 for 1 s.
	Dial time.Duration
	// Grace is how long after its deadline a server's own answer is awaited; a server that stops at the deadline says
	// so.
	Grace time.Duration
	// Peers is the number of entries that share the connections of a server; nil for the configured entries.
	Peers func() int
	// RetryBurst bounds the retries that may follow each other on this entry without new requests; 0 for the default.
	RetryBurst func() float64
	// Slow reports whether work on a server takes much longer than usual just now, so that a second attempt elsewhere
	// may overtake it; nil for never.
	Slow func(server string) bool
	// AwaitQuiet returns when work on a server does not take much longer than usual, or at the given time; nil for at
	// once.
	AwaitQuiet func(ctx context.Context, server string, until time.Time)
	// OnDirective receives what a server asks for in the header of an answer, before the answer is passed on; nil ignores it.
	OnDirective func(server string, n sycamorevane.ServerDirective)
	// Link is what the host's link carries, in Mbit/s; 0 when unknown.
	Link float64
	// HedgeWait is how long the limiter may take to choose a server for a second attempt; 0 for the default.
	HedgeWait time.Duration
	// Observe receives the outcome of each attempt; nil ignores them.
	Observe func(service, version, route string, o sycamorevane.Outcome)
	Log     logr.Logger
	Metrics tally.Scope
}

// Forwarder is the caller listener's http.Handler.
type Forwarder struct {
	cfg     Config
	dialect Dialect
	// internalHeaders are the headers that the system sets in requests to servers.
	internalHeaders []string

	incarnation string
	lastID      atomic.Uint64
	index       atomic.Pointer[index]
	pools       pools
	// hedges counts hedged attempts, which may outlive the request that started them for a moment.
	hedges sync.WaitGroup

	mu            sync.Mutex
	serviceStates map[string]*serviceState
	metrics       metrics
	sampler       *recorder.Sampler
}

// metrics are the metrics of a forwarder.
type metrics struct {
	calls, refused, uncertain, retries, hedges, panics, truncated, mismatched, malformed tally.Counter
	// latency is the time from the request to its answer.
	latency tally.Histogram
}

// latencyBuckets reach from 2 ms to 16 s in steps of two, far enough for the longest deadlines of the users.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// New returns a handler. Close ends its connections.
func New(cfg Config) *Forwarder {
	if cfg.Accepting == nil {
		cfg.Accepting = func() bool { return true }
	}
	if cfg.Dialect.RequestID == "" {
		cfg.Dialect = DefaultDialect()
	}
	if cfg.Leaving == nil {
		cfg.Leaving = func() bool { return false }
	}
	if cfg.Dial == 0 {
		cfg.Dial = defaultDialTimeout
	}
	if cfg.RetryBurst == nil {
		cfg.RetryBurst = func() float64 { return defaultRetryBurst }
	}
	if cfg.Observe == nil {
		cfg.Observe = func(string, string, string, sycamorevane.Outcome) {}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	m := cfg.Metrics.SubScope("forwarder")
	f := &Forwarder{cfg: cfg, dialect: cfg.Dialect, internalHeaders: cfg.Dialect.internalHeaders(), incarnation: fmt.Sprintf("%08x", rand.Uint32()), serviceStates: make(map[string]*serviceState)}
	f.metrics = metrics{
		calls: m.Counter("calls"), refused: m.Counter("refused"), uncertain: m.Counter("uncertain"),
		retries: m.Counter("retries"), hedges: m.Counter("hedges"), panics: m.Counter("panics"),
		truncated: m.Counter("truncated"), mismatched: m.Counter("mismatched"),
		malformed: m.Counter("malformed"),
		latency:   m.Histogram("latency", latencyBuckets),
	}
	f.sampler = recorder.NewSampler(cfg.Log)
	f.pools.init(cfg.Dial)
	return f
}

// Close closes idle connections to servers and waits for hedged attempts. It must be called after the caller
// listener has ended.
func (f *Forwarder) Close() {
	f.hedges.Wait()
	f.pools.close()
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.cfg.Entries != nil && r.URL.Path == EntriesPath {
		f.cfg.Entries.ServeHTTP(w, r)
		return
	}
	c := &call{f: f, w: w, r: r, startedAt: time.Now(), rc: http.NewResponseController(w)}
	if f.cfg.Leaving() {
		w.Header().Set("Connection", "close")
	}
	defer c.recoverPanic()
	defer func() { f.metrics.latency.RecordDuration(time.Since(c.startedAt)) }()
	f.metrics.calls.Inc(1)
	if err := c.prepare(); err != nil {
		c.writeError(err)
		return
	}
	c.serve()
}

func (f *Forwarder) requestID() string {
	b := make([]byte, 0, len(f.cfg.Self)+len(f.incarnation)+12)
	b = append(b, f.cfg.Self...)
	b = append(b, '-')
	b = append(b, f.incarnation...)
	b = append(b, '-')
	b = strconv.AppendUint(b, f.lastID.Add(1), 36)
	return string(b)
}

// serviceState is what the forwarder keeps for one service from request to request.
type serviceState struct {
	retryBudget retryBudget
	hedgeDelay  quantileEstimate
}

func (f *Forwarder) serviceState(name string) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.serviceStates[name]
	if !ok {
		s = &serviceState{retryBudget: retryBudget{tokens: min(initialTokens, f.cfg.RetryBurst())}, hedgeDelay: quantileEstimate{value: initialHedgeDelay.Seconds()}}
		f.serviceStates[name] = s
	}
	return s
}
