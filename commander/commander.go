// Package commander serves the operators' commands: POST /v1/commands and GET /v1/commands/{id}.
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
	// MaxBody bounds a request body in bytes; it leaves room in applier.MaxCommand for what the commander adds.
	MaxBody = 1 << 20
	// DefaultTimeout bounds waiting for a commit; an election takes up to 2 s.
	DefaultTimeout = 5 * time.Second
)

// Proposer puts a command into the replicated log.
type Proposer interface {
	// Propose returns what the state machine answered once the entry is committed and applied. Errors:
	// *sycamorevane.NotLeaderError and *sycamorevane.QueueFullError only when the entry is in no log; after any other
	// error the entry may still be committed.
	Propose(ctx context.Context, data []byte) ([]byte, error)
}

// Reader makes reads linearizable.
type Reader interface {
	// ReadIndex returns the commit index confirmed by a quorum after the call began.
	ReadIndex(ctx context.Context) (uint64, error)
}

// Cluster is what the process knows about the rest of the system.
type Cluster interface {
	// Acks says how many entries have the state version in force, and how many there are.
	Acks(version uint64) (have, total int)
	// View is the latest numbered view, or nil before the first one.
	View() *renderer.View
}

// Replacer changes the membership of the control cluster. It must be idempotent.
type Replacer interface {
	Replace(ctx context.Context, old, next string) error
}

// Config holds what a Commander is built from.
type Config struct {
	Machine  *applier.Machine
	Proposer Proposer
	Reader   Reader
	Cluster  Cluster
	// Replacer may be nil on deployments with a fixed control cluster.
	Replacer Replacer
	Auth     *authenticator.Authenticator
	Clock    sycamorevane.Clock
	Log      logr.Logger
	// Shortest is the time that the evidence of a rollout needs, by calls a second and ceiling; nil for no bound.
	Shortest func(rate, ceiling float64) time.Duration
	// Timeout bounds one command or read; zero means DefaultTimeout.
	Timeout time.Duration
}

// Commander serves commands.
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
	mux.Handle("POST /v1/commands", c.cfg.Auth.Wrap(http.HandlerFunc(c.post)))
	mux.Handle("GET /v1/commands/{id}", c.cfg.Auth.Wrap(http.HandlerFunc(c.get)))
}

// Answer is the body of both handlers.
type Answer struct {
	applier.Outcome
	// Entries says where the resulting version is in force; nil for commands that were not applied.
	Entries *Entries `json:"entries,omitempty"`
}

// Entries counts the entries that have a version in force.
type Entries struct {
	Have  int `json:"have"`
	Total int `json:"total"`
}

func (c *Commander) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			responder.WriteError(w, http.StatusRequestEntityTooLarge, "body", "body is above 1 MiB")
			return
		}
		responder.WriteError(w, http.StatusBadRequest, "body", "body could not be read")
		return
	}
	cmd, fault := parse(body)
	if fault != nil {
		responder.WriteError(w, http.StatusBadRequest, fault.field, fault.reason)
		return
	}
	cmd.Actor = authenticator.Name(r.Context())
	cmd.AcceptedAt = c.cfg.Clock.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(r.Context(), c.cfg.Timeout)
	defer cancel()
	c.run(ctx, w, cmd)
}

func (c *Commander) run(ctx context.Context, w http.ResponseWriter, cmd request) {
	// A recorded outcome is committed, so it can be answered without the log.
	if o, ok := c.cfg.Machine.Outcome(cmd.ID); ok {
		c.finish(ctx, w, cmd.Command, o)
		return
	}
	if reason := c.fill(&cmd); reason != "" {
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
		c.proposeFailed(w, cmd.Command, err)
		return
	}
	o, err := applier.DecodeOutcome(reply)
	if err != nil {
		c.proposeFailed(w, cmd.Command, err)
		return
	}
	c.cfg.Log.Info("command", "id", cmd.ID, "op", cmd.Op, "operator", cmd.Actor, "outcome", string(o.Result), "reason", o.Reason, "version", o.Version)
	c.finish(ctx, w, cmd.Command, o)
}

func (c *Commander) proposeFailed(w http.ResponseWriter, cmd applier.Command, err error) {
	c.cfg.Log.Error(err, "command without an outcome", "id", cmd.ID, "op", cmd.Op, "operator", cmd.Actor)
	var (
		other *sycamorevane.NotLeaderError
		busy  *sycamorevane.QueueFullError
	)
	if errors.As(err, &other) || errors.As(err, &busy) {
		responder.WriteRetry(w, http.StatusServiceUnavailable, "not accepted: "+err.Error())
		return
	}
	responder.WriteRetry(w, http.StatusGatewayTimeout, "outcome unknown: resend with the same id to learn it")
}

// finish carries out what a committed command asks of the cluster and writes the answer.
func (c *Commander) finish(ctx context.Context, w http.ResponseWriter, cmd applier.Command, o applier.Outcome) {
	// The id may belong to another command than the one that was sent.
	same := o.Op == cmd.Op && o.Description == applier.Describe(cmd)
	if same && cmd.Op == applier.OpReplace && o.Result == applier.ResultApplied {
		if err := c.replace(ctx, cmd); err != nil {
			c.cfg.Log.Error(err, "replacement is not complete", "id", cmd.ID, "host", cmd.Args.Host, "with", cmd.Args.Counterpart)
			responder.WriteRetry(w, http.StatusServiceUnavailable, "replacement is recorded but not complete: resend with the same id")
			return
		}
	}
	responder.WriteJSON(w, status(o.Result), c.answer(o))
}

func (c *Commander) replace(ctx context.Context, cmd applier.Command) error {
	if c.cfg.Replacer == nil {
		return errors.New("this deployment has a fixed control cluster")
	}
	return c.cfg.Replacer.Replace(ctx, cmd.Args.Host, cmd.Args.Counterpart)
}

func (c *Commander) answer(o applier.Outcome) Answer {
	a := Answer{Outcome: o}
	if o.Result == applier.ResultApplied || o.Result == applier.ResultUnchanged {
		have, total := c.cfg.Cluster.Acks(o.Version)
		a.Entries = &Entries{Have: have, Total: total}
	}
	return a
}

func status(r applier.Result) int {
	switch r {
	case applier.ResultApplied, applier.ResultUnchanged:
		return http.StatusOK
	case applier.ResultConflict:
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

func (c *Commander) get(w http.ResponseWriter, r *http.Request) {
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
	responder.WriteJSON(w, http.StatusOK, c.answer(o))
}

// fill adds what the status view says at acceptance. It returns why the command cannot be judged now, or "".
func (c *Commander) fill(cmd *request) string {
	view := c.cfg.Cluster.View()
	fresh := view != nil && !view.Stale(c.cfg.Clock.Now()) && view.HasReports()
	const missing = "the status view is missing or stale; try again or use force"
	switch cmd.Op {
	case applier.OpDrain:
		if !fresh {
			if cmd.Force {
				return ""
			}
			return missing
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
		cmd.Args.MinEvidenceTime = c.shortest(view, cmd.Args.Service)
		if cmd.allowed > 0 {
			cmd.Args.Deadline = cmd.AcceptedAt + cmd.allowed
		}
	case applier.OpRollback:
		// A rollout that still runs can be ended without a view.
		done := c.cfg.Machine.State().Rollouts[cmd.Args.Service].Phase == sycamorevane.RolloutDone
		if !fresh && done && !cmd.Force {
			return missing
		}
		if fresh {
			cmd.Args.Versions = view.AnnouncedSlots(cmd.Args.Service)
		}
	}
	return ""
}

// shortest is the time in ms that the evidence of a rollout of the service needs at its present rate of calls.
func (c *Commander) shortest(view *renderer.View, service string) int64 {
	s := c.cfg.Machine.State().Config.Service(service)
	if s == nil || c.cfg.Shortest == nil {
		return 0
	}
	for i := range view.Services {
		if view.Services[i].Name == service {
			return c.cfg.Shortest(view.Services[i].CallsPerSecond, s.MaxTrialShare).Milliseconds()
		}
	}
	return 0
}
