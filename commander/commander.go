// Package commander implements the HTTP endpoints for operators' commands: POST /v1/commands and GET /v1/commands/{id}.
package commander

import (
	"context"
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

const (
	// MaxBodyBytes is the maximum size of a request body in bytes. It is below applier.MaxCommandBytes because the
	// commander adds fields to a command.
	MaxBodyBytes = 1 << 20
	// DefaultTimeout limits the time to commit a command. It allows for an election, which takes up to 2 s.
	DefaultTimeout = 5 * time.Second
)

// Proposer appends commands to the replicated log.
type Proposer interface {
	// Propose returns the result of the state machine after the command has been committed and applied. Errors:
	// *sycamorevane.NotLeaderError and *sycamorevane.QueueFullError if the command is not in any log; after any other
	// error it may still be committed.
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Reader provides the index for linearizable reads.
type Reader interface {
	// ReadIndex returns a commit index that a quorum has confirmed after the call began.
	ReadIndex(ctx context.Context) (uint64, error)
}

// Cluster provides information about the rest of the system.
type Cluster interface {
	// CountAcknowledged returns how many entries have acknowledged the state version or a later one, and how many
	// entries there are.
	CountAcknowledged(version uint64) (have, total int)
	// View returns the latest status view, or nil before the first one.
	View() *renderer.View
}

// Replacer replaces a member of the control cluster. Replace must be idempotent.
type Replacer interface {
	Replace(ctx context.Context, old, next string) error
}

// Config configures a Commander.
type Config struct {
	Machine  *applier.Machine
	Proposer Proposer
	Reader   Reader
	Cluster  Cluster
	// Replacer may be nil in deployments with a fixed control cluster.
	Replacer Replacer
	Auth     *authenticator.Authenticator
	Clock    sycamorevane.Clock
	Log      logr.Logger
	// MinEvidenceTime returns the least time in which a rollout can collect its evidence, by requests per second and
	// maximum trial share; nil for no minimum.
	MinEvidenceTime func(rate, ceiling float64) time.Duration
	// Timeout limits the time of one command or read; zero means DefaultTimeout.
	Timeout time.Duration
}

// Commander serves the endpoints for commands.
type Commander struct{ cfg Config }

// New returns a Commander.
func New(cfg Config) *Commander {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Commander{cfg: cfg}
}

// Register adds the handlers to mux.
func (c *Commander) Register(mux *http.ServeMux) {
	mux.Handle("POST /v1/commands", c.cfg.Auth.Wrap(http.HandlerFunc(c.handleCommand)))
	mux.Handle("GET /v1/commands/{id}", c.cfg.Auth.Wrap(http.HandlerFunc(c.handleOutcome)))
}

// CommandResponse is the response body of both handlers.
type CommandResponse struct {
	applier.Outcome
	// Entries counts the entries that have the resulting version; nil for results other than applied and unchanged.
	Entries *EntryCounts `json:"entries,omitempty"`
}

// EntryCounts counts the entries that have acknowledged a state version, and all entries.
type EntryCounts struct {
	Acknowledged int `json:"have"`
	Total        int `json:"total"`
}

func (c *Commander) handleCommand(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			responder.WriteError(w, http.StatusRequestEntityTooLarge, "body", "body is above 1 MiB")
			return
		}
		responder.WriteError(w, http.StatusBadRequest, "body", "body could not be read")
		return
	}
	cmd, reqErr := parse(body)
	if reqErr != nil {
		responder.WriteError(w, http.StatusBadRequest, reqErr.field, reqErr.reason)
		return
	}
	cmd.Actor = authenticator.Name(r.Context())
	cmd.AcceptedAt = c.cfg.Clock.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(r.Context(), c.cfg.Timeout)
	defer cancel()
	c.execute(ctx, w, cmd)
}

func (c *Commander) execute(ctx context.Context, w http.ResponseWriter, cmd request) {
	// A recorded outcome is committed, so it can be returned without going through the log.
	if o, ok := c.cfg.Machine.Outcome(cmd.ID); ok {
		c.respond(ctx, w, cmd.Command, o)
		return
	}
	if reason := c.addSystemStatus(&cmd); reason != "" {
		responder.WriteRetry(w, http.StatusServiceUnavailable, reason)
		return
	}
	data, err := applier.Encode(cmd.Command)
	if err != nil {
		responder.WriteError(w, http.StatusRequestEntityTooLarge, "args", err.Error())
		return
	}
	reply, err := c.cfg.Proposer.Propose(ctx, data)
	if err != nil {
		c.respondProposeError(w, cmd.Command, err)
		return
	}
	o, err := applier.DecodeOutcome(reply)
	if err != nil {
		c.respondProposeError(w, cmd.Command, err)
		return
	}
	c.cfg.Log.Info("command", "id", cmd.ID, "op", cmd.Op, "operator", cmd.Actor, "outcome", string(o.Result), "reason", o.Reason, "version", o.Version)
	c.respond(ctx, w, cmd.Command, o)
}

func (c *Commander) respondProposeError(w http.ResponseWriter, cmd applier.Command, err error) {
	c.cfg.Log.Error(err, "command without an outcome", "id", cmd.ID, "op", cmd.Op, "operator", cmd.Actor)
	var (
		notLeader *sycamorevane.NotLeaderError
		queueFull *sycamorevane.QueueFullError
	)
	if errors.As(err, &notLeader) || errors.As(err, &queueFull) {
		responder.WriteRetry(w, http.StatusServiceUnavailable, "not accepted: "+err.Error())
		return
	}
	responder.WriteRetry(w, http.StatusGatewayTimeout, "outcome unknown: resend with the same id to learn it")
}

// respond writes the response for a committed command. For a replace command it first changes the membership.
func (c *Commander) respond(ctx context.Context, w http.ResponseWriter, cmd applier.Command, o applier.Outcome) {
	// The outcome may be that of an earlier command with the same id.
	sameCommand := o.Op == cmd.Op && o.Description == applier.Describe(cmd)
	if sameCommand && cmd.Op == applier.OpReplace && o.Result == applier.ResultApplied {
		if err := c.replace(ctx, cmd); err != nil {
			c.cfg.Log.Error(err, "replacement is not complete", "id", cmd.ID, "host", cmd.Args.Host, "with", cmd.Args.Counterpart)
			responder.WriteRetry(w, http.StatusServiceUnavailable, "replacement is recorded but not complete: resend with the same id")
			return
		}
	}
	responder.WriteJSON(w, httpStatus(o.Result), c.newResponse(o))
}

func (c *Commander) replace(ctx context.Context, cmd applier.Command) error {
	if c.cfg.Replacer == nil {
		return errors.New("this deployment has a fixed control cluster")
	}
	return c.cfg.Replacer.Replace(ctx, cmd.Args.Host, cmd.Args.Counterpart)
}

func (c *Commander) newResponse(o applier.Outcome) CommandResponse {
	resp := CommandResponse{Outcome: o}
	if o.Result == applier.ResultApplied || o.Result == applier.ResultUnchanged {
		have, total := c.cfg.Cluster.CountAcknowledged(o.Version)
		resp.Entries = &EntryCounts{Acknowledged: have, Total: total}
	}
	return resp
}

func httpStatus(r applier.Result) int {
	switch r {
	case applier.ResultApplied, applier.ResultUnchanged:
		return http.StatusOK
	case applier.ResultConflict:
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

func (c *Commander) handleOutcome(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), c.cfg.Timeout)
	defer cancel()
	id := r.PathValue("id")
	o, ok := c.cfg.Machine.Outcome(id)
	if !ok {
		index, err := c.cfg.Reader.ReadIndex(ctx)
		if err == nil {
			err = c.cfg.Machine.Wait(ctx, index)
		}
		if err != nil {
			responder.WriteRetry(w, http.StatusServiceUnavailable, "no quorum answers: "+err.Error())
			return
		}
		o, ok = c.cfg.Machine.Outcome(id)
	}
	if !ok {
		responder.WriteError(w, http.StatusNotFound, "id", "no command with this id is recorded")
		return
	}
	responder.WriteJSON(w, http.StatusOK, c.newResponse(o))
}

// addSystemStatus adds the fields of the command that describe the system at acceptance, from the status view. It
// returns why the command cannot be checked now, or "".
func (c *Commander) addSystemStatus(cmd *request) string {
	view := c.cfg.Cluster.View()
	fresh := view != nil && !view.Stale(c.cfg.Clock.Now()) && view.HasReports()
	const staleViewReason = "the status view is missing or stale; try again or use force"
	switch cmd.Op {
	case applier.OpDrain:
		if !fresh {
			if cmd.Force {
				return ""
			}
			return staleViewReason
		}
		cmd.Args.Capacity = view.Capacity()
		cmd.Args.Target = view.Target(cmd.Args.Server)
	case applier.OpUndrain:
		if fresh {
			cmd.Args.Target = view.Target(cmd.Args.Server)
		}
	case applier.OpRollout:
		if !fresh {
			return "the status view is missing or stale; try again"
		}
		cmd.Args.Versions = view.AnnouncedSlots(cmd.Args.Service)
		cmd.Args.MinEvidenceTime = c.minEvidenceMs(view, cmd.Args.Service)
		if cmd.allowedMs > 0 {
			cmd.Args.Deadline = cmd.AcceptedAt + cmd.allowedMs
		}
	case applier.OpRollback:
		// A running rollout can be rolled back without a view.
		done := c.cfg.Machine.State().Rollouts[cmd.Args.Service].Phase == sycamorevane.RolloutDone
		if !fresh && done && !cmd.Force {
			return staleViewReason
		}
		if fresh {
			cmd.Args.Versions = view.AnnouncedSlots(cmd.Args.Service)
		}
	}
	return ""
}

// minEvidenceMs returns the least time in ms in which a rollout of the service can collect its evidence at the current
// request rate.
func (c *Commander) minEvidenceMs(view *renderer.View, service string) int64 {
	s := c.cfg.Machine.State().Config.Service(service)
	if s == nil || c.cfg.MinEvidenceTime == nil {
		return 0
	}
	for i := range view.Services {
		if view.Services[i].Name == service {
			return c.cfg.MinEvidenceTime(view.Services[i].CallsPerSecond, s.MaxTrialShare).Milliseconds()
		}
	}
	return 0
}
