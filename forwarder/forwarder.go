// Package forwarder handles the requests of callers: it selects the service, the workspace and the route of a request,
// acquires a server from the limiter, exchanges the request and the response with that server, and retries or hedges
// where that is safe.
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

// EntriesPath is served by the entry itself; requests for all other paths are proxied.
const EntriesPath = "/.vane/entries"

// GCPercent is the garbage collection target of entry processes (debug.SetGCPercent). The live heap of an entry is only
// a few MB, so at the default of 100 collections are so frequent that they determine the p99 of the added latency on a
// busy host. Above 300 the p99 improves no further and memory use grows.
const GCPercent = 300

// Quarantine limits where requests that are suspected of crashing servers may run.
type Quarantine interface {
	// Admit is called before each attempt. It returns *RefusedError for a quarantined request, and for a suspected request
	// that is already running anywhere in the system.
	Admit(ctx context.Context, fingerprint uint64) (Permit, error)
}

// Permit allows one attempt.
type Permit interface {
	// Start is called before the first byte is sent. It returns false when this request must not be sent to the server now.
	// When it returns true, End must be called once.
	Start(server sycamorevane.Server) bool
	// End reports how the attempt ended, and returns whether the server has died. If it has, End returns only after those who
	// decide on a quarantine have been informed, or a short time without an answer from them.
	End(server sycamorevane.Server, kind sycamorevane.OutcomeKind) (died bool)
	// Done releases the permit; it must be called exactly once.
	Done()
}

// RunCounter counts the requests that servers began to run.
type RunCounter interface {
	// Started is called when a request of the workspace has been sent completely and the server may begin to run it, or when
	// the server has responded before.
	Started(workspace string, at time.Time)
	// Rejected takes back a call of Started with the same arguments: the server has not run the request.
	Rejected(workspace string, at time.Time)
}

// Config configures a Forwarder.
type Config struct {
	// Self is the host name; request IDs contain it.
	Self    string
	Limiter sycamorevane.Limiter
	// Dedup may be nil; requests with an idempotency key are then refused as not run.
	Dedup sycamorevane.Deduplicator
	// Quarantine may be nil.
	Quarantine Quarantine
	// State returns the current state, or nil before the first one. A returned state must not be modified.
	State func() *sycamorevane.State
	// FirstState is closed when the first state is available. Requests that arrive earlier wait for it for up to
	// firstStateTimeout, since an entry receives its state soon after its start. If it is nil, they are refused at once.
	FirstState <-chan struct{}
	// Accepting reports whether new requests are accepted; nil means always.
	Accepting func() bool
	// EntriesHandler serves EntriesPath; nil when callers get the list of entries from elsewhere.
	EntriesHandler http.Handler
	// Dialect names the headers; the zero value means DefaultDialect.
	Dialect Dialect
	// ShuttingDown reports whether the entry is shutting down. Responses then ask callers to use another connection. Nil
	// means never.
	ShuttingDown func() bool
	// DeadlineLimit returns the latest deadline of the requests that are accepted, or zero while any deadline is. Nil means
	// that there is no limit.
	DeadlineLimit func() time.Time
	// DialTimeout is the time limit for connecting to a server; 0 means 1 s.
	DialTimeout time.Duration
	// ResponseGrace is how long after the deadline of a request the server's response is still awaited, since a server that
	// stops at the deadline sends a response that says so.
	ResponseGrace time.Duration
	// EntryCount returns the number of entries that share the connection limit of a server; nil means the configured entry
	// hosts.
	EntryCount func() int
	// RetryBurst returns the number of retries that this entry may make in a row without new requests; nil means
	// defaultRetryBurst.
	RetryBurst func() float64
	// IsSlow reports whether requests on a server currently take much longer than usual, so that a second attempt elsewhere
	// may finish first. Nil means never.
	IsSlow func(server string) bool
	// WaitWhileSlow blocks while requests on a server take much longer than usual, at most until the given time. Nil means
	// no waiting.
	WaitWhileSlow func(ctx context.Context, server string, until time.Time)
	// OnDirective receives what a server requests in a response header, before the response is forwarded; nil ignores it.
	OnDirective func(server string, d sycamorevane.ServerDirective)
	// LinkMbps is the bandwidth of the host's network link in Mbit/s; 0 when unknown.
	LinkMbps float64
	// PaceTransfers limits large bodies to a share of the link, so that small requests keep their time. It has no effect
	// if LinkMbps is 0 or more than maxPacedLinkMbps.
	PaceTransfers bool
	// HedgeAcquireTimeout is the time limit for acquiring a server for a hedge; 0 means the default.
	HedgeAcquireTimeout time.Duration
	// Observe receives the outcome of each attempt; may be nil.
	Observe func(service, version, route string, o sycamorevane.Outcome)
	// Runs may be nil.
	Runs    RunCounter
	Log     logr.Logger
	Metrics tally.Scope
}

// Forwarder is the http.Handler of the caller listener.
type Forwarder struct {
	cfg     Config
	dialect Dialect
	// internalHeaders are the headers that the load balancer sets in requests to servers.
	internalHeaders []string

	incarnation string
	lastID      atomic.Uint64
	index       atomic.Pointer[index]
	pools       connPools
	bodyMemory  *bodyMemory
	// pacer is nil if bodies are not paced.
	pacer *pacer
	calls callSet
	// stopEnd is when the connections that remain are closed; nil until BeginStop.
	stopEnd atomic.Pointer[time.Time]
	// closed ends the goroutine in background that BeginStop starts.
	closed     chan struct{}
	background sync.WaitGroup
	// hedges counts running hedges, which may end shortly after the request that started them.
	hedges sync.WaitGroup

	mu            sync.Mutex
	serviceStates map[string]*serviceState
	metrics       metrics
	sampler       *recorder.Sampler
}

// metrics are the metrics of a Forwarder.
type metrics struct {
	calls, refused, uncertain, retries, hedges, panics, truncated, mismatched, malformed, unauthorized, streamedForMemory, falseRefusals tally.Counter
	// unanswered counts the calls without a complete response when their connections are closed.
	unanswered [stageCount]tally.Counter
	// latency is the time from the arrival of a request to the end of its handling.
	latency tally.Histogram
}

// latencyBuckets cover 2 ms to 16 s in powers of two, which includes the longest deadlines that callers set.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// New returns a Forwarder. Close closes its connections.
func New(cfg Config) *Forwarder {
	if cfg.Accepting == nil {
		cfg.Accepting = func() bool { return true }
	}
	if cfg.Dialect.RequestID == "" {
		cfg.Dialect = DefaultDialect()
	}
	if cfg.ShuttingDown == nil {
		cfg.ShuttingDown = func() bool { return false }
	}
	if cfg.DeadlineLimit == nil {
		cfg.DeadlineLimit = func() time.Time { return time.Time{} }
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
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
	f := &Forwarder{
		cfg: cfg, dialect: cfg.Dialect, internalHeaders: cfg.Dialect.internalHeaders(),
		incarnation: fmt.Sprintf("%08x", rand.Uint32()), serviceStates: make(map[string]*serviceState),
		calls: callSet{calls: make(map[*call]struct{})}, closed: make(chan struct{}),
	}
	f.metrics = metrics{
		calls: m.Counter("calls"), refused: m.Counter("refused"), uncertain: m.Counter("uncertain"),
		retries: m.Counter("retries"), hedges: m.Counter("hedges"), panics: m.Counter("panics"),
		truncated: m.Counter("truncated"), mismatched: m.Counter("mismatched"),
		malformed: m.Counter("malformed"), unauthorized: m.Counter("unauthorized"), streamedForMemory: m.Counter("streamed_for_memory"),
		falseRefusals: m.Counter("false_refusals"), unanswered: newUnansweredCounters(m),
		latency: m.Histogram("latency", latencyBuckets),
	}
	f.sampler = recorder.NewSampler(cfg.Log)
	f.bodyMemory = newBodyMemory()
	if cfg.PaceTransfers {
		f.pacer = newPacer(cfg.LinkMbps, m)
	}
	f.pools.init(cfg.DialTimeout)
	return f
}

// Close waits for running hedges and closes idle connections to servers. It must be called after the caller listener has
// stopped.
func (f *Forwarder) Close() {
	close(f.closed)
	f.background.Wait()
	f.hedges.Wait()
	f.pools.close()
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.cfg.EntriesHandler != nil && r.URL.Path == EntriesPath {
		f.cfg.EntriesHandler.ServeHTTP(w, r)
		return
	}
	c := &call{f: f, w: w, r: r, startedAt: time.Now(), rc: http.NewResponseController(w), memory: callMemory{total: f.bodyMemory}}
	c.ctx, c.cancel = context.WithCancelCause(r.Context())
	defer c.cancel(nil)
	f.calls.add(c)
	defer f.calls.remove(c)
	defer c.memory.release()
	if f.cfg.ShuttingDown() {
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

// serviceState is the state that is kept for a service across requests.
type serviceState struct {
	retryBudget retryBudget
	tailLatency quantileEstimate
}

func (f *Forwarder) serviceState(name string) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.serviceStates[name]
	if !ok {
		s = &serviceState{
			retryBudget: retryBudget{tokens: min(initialTokens, f.cfg.RetryBurst())},
			tailLatency: quantileEstimate{value: initialHedgeDelay.Seconds()},
		}
		f.serviceStates[name] = s
	}
	return s
}
