// Package querier serves the operators' queries: the numbered view and its stream, the audit trail, the
// configuration, rollouts, members and health.
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

// DefaultTimeout bounds a linearizable read.
const DefaultTimeout = 3 * time.Second

// Reader makes reads linearizable.
type Reader interface {
	// ReadIndex returns the commit index confirmed by a quorum after the call began.
	ReadIndex(ctx context.Context) (uint64, error)
}

// Cluster is what the process knows about the rest of the system.
type Cluster interface {
	// Leader is the known control leader, or "".
	Leader() string
	// Members lists the control cluster.
	Members() []renderer.Control
	// View is the latest numbered view, or nil before the first one. It must not be changed.
	View() *renderer.View
}

// Config holds what a Querier is built from.
type Config struct {
	Machine *applier.Machine
	Reader  Reader
	Cluster Cluster
	Auth    *authenticator.Authenticator
	// Metrics serves /metrics; nil for none.
	Metrics http.Handler
	Clock   sycamorevane.Clock
	Log     logr.Logger
	// Timeout bounds one read; zero means DefaultTimeout.
	Timeout time.Duration
}

// Querier serves queries. Close ends its streams.
type Querier struct {
	cfg    Config
	stream *streamer
}

// New returns a Querier and starts to follow the view.
func New(cfg Config) *Querier {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Querier{cfg: cfg, stream: newStreamer(cfg.Cluster, cfg.Clock)}
}

// Close ends the open streams and waits for the goroutine that follows the view. It must come before
// http.Server.Shutdown, which waits for open streams.
func (q *Querier) Close() { q.stream.close() }

// Register adds the handlers to mux. Every endpoint but / and /healthz needs a token.
func (q *Querier) Register(mux *http.ServeMux) {
	guard := func(pattern string, h http.HandlerFunc) { mux.Handle(pattern, q.cfg.Auth.Wrap(h)) }
	guard("GET /v1/status", q.status)
	guard("GET /v1/status/stream", q.stream.serve)
	guard("GET /v1/audit", q.audit)
	guard("GET /v1/config", q.config)
	guard("GET /v1/rollouts", q.rollouts)
	guard("GET /v1/members", q.members)
	if q.cfg.Metrics != nil {
		guard("GET /metrics", q.cfg.Metrics.ServeHTTP)
	}
	mux.HandleFunc("GET /healthz", q.health)
	mux.HandleFunc("GET /{$}", q.page)
}

// status writes the view without additions, so that all control hosts answer the same bytes for the same number.
func (q *Querier) status(w http.ResponseWriter, _ *http.Request) {
	last := q.stream.last()
	if last == nil {
		responder.WriteRetry(w, http.StatusServiceUnavailable, "no view has arrived yet")
		return
	}
	age := last.age(q.cfg.Clock.Now())
	if age > renderer.StaleAfter {
		w.Header().Set("X-Stale", "true")
	}
	w.Header().Set("X-Age-Ms", formatMs(age))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(last.data())
	_, _ = io.WriteString(w, "\n")
}

// current waits until the local state is as new as the quorum's. It writes the answer on failure.
func (q *Querier) current(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), q.cfg.Timeout)
	defer cancel()
	index, err := q.cfg.Reader.ReadIndex(ctx)
	if err == nil {
		err = q.cfg.Machine.Wait(ctx, index)
	}
	if err == nil {
		return true
	}
	var other *sycamorevane.NotLeaderError
	reason := "no quorum answers"
	if errors.As(err, &other) {
		reason = err.Error()
	}
	q.cfg.Log.Info("read without a quorum", "path", r.URL.Path, "reason", err.Error())
	responder.WriteRetry(w, http.StatusServiceUnavailable, reason)
	return false
}

// ConfigResponse is the body of /v1/config.
type ConfigResponse struct {
	Version uint64 `json:"version"`
	// Config is in the external form of applier.EncodeConfig.
	Config json.RawMessage `json:"config"`
	// Drained lists the data centres and servers taken out, with the Unix ms time of acceptance.
	Drained Drained `json:"drained"`
}

// Drained lists what operators have taken out.
type Drained struct {
	DCs     map[string]int64 `json:"dcs"`
	Servers map[string]int64 `json:"servers"`
}

func (q *Querier) config(w http.ResponseWriter, r *http.Request) {
	if !q.current(w, r) {
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

// RolloutsResponse is the body of /v1/rollouts.
type RolloutsResponse struct {
	Version  uint64             `json:"version"`
	Rollouts []renderer.Rollout `json:"rollouts"`
}

func (q *Querier) rollouts(w http.ResponseWriter, r *http.Request) {
	if !q.current(w, r) {
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
	if !q.current(w, r) {
		return
	}
	responder.WriteJSON(w, http.StatusOK, q.cfg.Machine.Audit(query))
}

// MembersResponse is the body of /v1/members.
type MembersResponse struct {
	Leader  string             `json:"leader"`
	Members []renderer.Control `json:"members"`
}

func (q *Querier) members(w http.ResponseWriter, _ *http.Request) {
	responder.WriteJSON(w, http.StatusOK, MembersResponse{Leader: q.cfg.Cluster.Leader(), Members: q.cfg.Cluster.Members()})
}

// Health is the body of /healthz.
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
