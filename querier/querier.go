// Package querier implements the HTTP endpoints for operators' queries: the status view and its stream, the audit
// trail, the configuration, rollouts, members and health.
package querier

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/authenticator"
	"sycamorevane.example/sycamorevane/renderer"
	"sycamorevane.example/sycamorevane/responder"
)

// DefaultTimeout limits the time of a linearizable read.
const DefaultTimeout = 3 * time.Second

// Reader provides the index for linearizable reads.
type Reader interface {
	// ReadIndex returns a commit index that a quorum has confirmed after the call began.
	ReadIndex(ctx context.Context) (uint64, error)
}

// Cluster provides information about the rest of the system.
type Cluster interface {
	// Leader returns the known control leader, or "".
	Leader() string
	// Members lists the members of the control cluster.
	Members() []renderer.Control
	// View returns the latest status view, or nil before the first one. It must not be modified.
	View() *renderer.View
}

// Config configures a Querier.
type Config struct {
	Machine *applier.Machine
	Reader  Reader
	Cluster Cluster
	Auth    *authenticator.Authenticator
	// Metrics handles /metrics; nil leaves the endpoint out.
	Metrics http.Handler
	Clock   sycamorevane.Clock
	Log     logr.Logger
	// Timeout limits the time of one read; zero means DefaultTimeout.
	Timeout time.Duration
}

// Querier serves the endpoints for queries. Close ends its streams.
type Querier struct {
	cfg    Config
	stream *streamer
}

// New returns a Querier and starts its goroutine that polls the view.
func New(cfg Config) *Querier {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Querier{cfg: cfg, stream: newStreamer(cfg.Cluster, cfg.Clock)}
}

// Close ends the open streams and waits for the polling goroutine to end. It must be called before
// http.Server.Shutdown, which waits for open streams.
func (q *Querier) Close() { q.stream.close() }

// Register adds the handlers to mux. All endpoints except / and /healthz require a token.
func (q *Querier) Register(mux *http.ServeMux) {
	handle := func(pattern string, h http.HandlerFunc) { mux.Handle(pattern, q.cfg.Auth.Wrap(h)) }
	handle("GET /v1/status", q.status)
	handle("GET /v1/status/stream", q.stream.serve)
	handle("GET /v1/audit", q.audit)
	handle("GET /v1/config", q.config)
	handle("GET /v1/rollouts", q.rollouts)
	handle("GET /v1/members", q.members)
	if q.cfg.Metrics != nil {
		handle("GET /metrics", q.cfg.Metrics.ServeHTTP)
	}
	mux.HandleFunc("GET /healthz", q.health)
	mux.HandleFunc("GET /{$}", q.page)
}

// status writes the view unchanged, so that all control hosts respond with the same bytes for the same view number.
func (q *Querier) status(w http.ResponseWriter, _ *http.Request) {
	view := q.stream.pollLatest()
	if view == nil {
		responder.WriteRetry(w, http.StatusServiceUnavailable, "no view has arrived yet")
		return
	}
	age := view.age(q.cfg.Clock.Now())
	if age > renderer.StaleAfter {
		w.Header().Set("X-Stale", "true")
	}
	w.Header().Set("X-Age-Ms", formatMs(age))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(view.encode())
	_, _ = io.WriteString(w, "\n")
}

// waitUntilCurrent waits until this host has applied everything that the quorum has committed. On failure it writes the
// error response and returns false.
func (q *Querier) waitUntilCurrent(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), q.cfg.Timeout)
	defer cancel()
	index, err := q.cfg.Reader.ReadIndex(ctx)
	if err == nil {
		err = q.cfg.Machine.Wait(ctx, index)
	}
	if err == nil {
		return true
	}
	var notLeader *sycamorevane.NotLeaderError
	reason := "no quorum answers"
	if errors.As(err, &notLeader) {
		reason = err.Error()
	}
	q.cfg.Log.Info("read without a quorum", "path", r.URL.Path, "reason", err.Error())
	responder.WriteRetry(w, http.StatusServiceUnavailable, reason)
	return false
}

// ConfigResponse is the response body of /v1/config.
type ConfigResponse struct {
	Version uint64 `json:"version"`
	// Config is in the external form of applier.EncodeConfig.
	Config json.RawMessage `json:"config"`
	// Drained holds the drained data centres and servers with the times at which the drains were accepted, in Unix ms.
	Drained Drained `json:"drained"`
}

// Drained holds the drained data centres and servers with the time of each drain in Unix ms.
type Drained struct {
	DCs     map[string]int64 `json:"dcs"`
	Servers map[string]int64 `json:"servers"`
}

func (q *Querier) config(w http.ResponseWriter, r *http.Request) {
	if !q.waitUntilCurrent(w, r) {
		return
	}
	s := q.cfg.Machine.State()
	cfg, err := applier.EncodeConfig(&s.Config)
	if err != nil {
		q.cfg.Log.Error(err, "configuration could not be encoded", "version", s.Version)
		responder.WriteError(w, http.StatusInternalServerError, "", "configuration could not be encoded")
		return
	}
	responder.WriteJSON(w, http.StatusOK, ConfigResponse{
		Version: s.Version, Config: cfg, Drained: Drained{DCs: s.DrainedDCs, Servers: s.DrainedServers},
	})
}

// RolloutsResponse is the response body of /v1/rollouts.
type RolloutsResponse struct {
	Version  uint64             `json:"version"`
	Rollouts []renderer.Rollout `json:"rollouts"`
}

func (q *Querier) rollouts(w http.ResponseWriter, r *http.Request) {
	if !q.waitUntilCurrent(w, r) {
		return
	}
	s := q.cfg.Machine.State()
	responder.WriteJSON(w, http.StatusOK, RolloutsResponse{
		Version: s.Version, Rollouts: renderer.Rollouts(s, q.cfg.Cluster.View()),
	})
}

func (q *Querier) audit(w http.ResponseWriter, r *http.Request) {
	query, field, reason := parseQuery(r.URL.Query())
	if reason != "" {
		responder.WriteError(w, http.StatusBadRequest, field, reason)
		return
	}
	if !q.waitUntilCurrent(w, r) {
		return
	}
	responder.WriteJSON(w, http.StatusOK, q.cfg.Machine.Audit(query))
}

// MembersResponse is the response body of /v1/members.
type MembersResponse struct {
	Leader  string             `json:"leader"`
	Members []renderer.Control `json:"members"`
}

func (q *Querier) members(w http.ResponseWriter, _ *http.Request) {
	responder.WriteJSON(w, http.StatusOK, MembersResponse{Leader: q.cfg.Cluster.Leader(), Members: q.cfg.Cluster.Members()})
}

// Health is the response body of /healthz.
type Health struct {
	State  string `json:"state"`
	Leader string `json:"leader"`
}

func (q *Querier) health(w http.ResponseWriter, _ *http.Request) {
	h := Health{State: "ok", Leader: q.cfg.Cluster.Leader()}
	if h.Leader == "" {
		h.State = "no leader"
		responder.WriteJSON(w, http.StatusServiceUnavailable, h)
		return
	}
	responder.WriteJSON(w, http.StatusOK, h)
}

func (q *Querier) page(w http.ResponseWriter, _ *http.Request) {
	h := w.Header()
	h.Set("Content-Type", "text/html; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'; img-src data:")
	h.Set("X-Frame-Options", "DENY")
	_, _ = w.Write(renderer.Page)
}
