// Package applier is the state machine of the replicated log: configuration, drains, rollouts, command ids and
// the audit trail. Apply depends only on the log, so that every control host computes the same state.
package applier

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// Format is the version of the command encoding.
const Format = 1

// MaxCommand bounds an encoded command in bytes. The configuration of 190 services takes about a tenth of it.
const MaxCommand = 4 << 20

// MaxID bounds a command id in bytes, since ids are kept for a long time.
const MaxID = 128

// Ops of the log.
const (
	OpApply    = "apply"
	OpDrain    = "drain"
	OpUndrain  = "undrain"
	OpRollout  = "rollout"
	OpRollback = "rollback"
	OpReplace  = "replace"
	// OpStep records the control leader's decision about a rollout; operators cannot send it.
	OpStep = "rollout step"
	// OpForget removes the drain records of servers that have left; operators cannot send it.
	OpForget = "forget"
	// OpConfigure puts a whole numbered configuration into force when its number is the highest so far.
	OpConfigure = "configure"
	// OpLeave records servers that said that they are leaving; operators cannot send it.
	OpLeave = "leave"
	// OpServe records the version that serves a service outside of rollouts; operators cannot send it.
	OpServe = "serve"
)

// Command is one command in the log.
type Command struct {
	Format int `json:"format"`
	// ID is chosen by the client; a repeated id gets the first outcome. It may be empty for internal ops only.
	ID   string `json:"id,omitempty"`
	Op   string `json:"op"`
	Args Args   `json:"args"`
	// ExpectedVersion is the state version the command requires; nil applies to any.
	ExpectedVersion *uint64 `json:"if,omitempty"`
	// Actor is the operator or, for internal ops, the control host.
	Actor string `json:"by"`
	// AcceptedAt is the wall-clock time of acceptance in Unix ms, by the control host that took the command.
	AcceptedAt int64 `json:"at"`
	// Force skips the checks against capacity, known servers and known versions.
	Force bool `json:"force,omitempty"`
}

// Args holds the arguments of all ops. The fields that describe the system at acceptance (Capacity, Target,
// Versions, MinEvidenceTime) are filled in by the commander, so that Apply stays deterministic.
type Args struct {
	Config *sycamorevane.Config `json:"config,omitempty"`
	// DC or Server is what a drain or undrain names.
	DC      string `json:"dc,omitempty"`
	Server  string `json:"server,omitempty"`
	Service string `json:"service,omitempty"`
	// ToVersion is the new version of a rollout, or the version to adopt.
	ToVersion string `json:"to,omitempty"`
	// Deadline of a rollout in Unix ms.
	Deadline int64 `json:"deadline,omitempty"`
	// Irreversible says that the old servers of a rollout end when the new version has taken over.
	Irreversible bool `json:"final,omitempty"`
	// Host is the control host that a replace command takes out of the group.
	Host string `json:"host,omitempty"`
	// Counterpart is the control host that a replace command puts in place of Host, or the version that a serve command
	// expects to be recorded.
	Counterpart string `json:"with,omitempty"`
	// RemovedServers lists the servers of a forget or leave.
	RemovedServers []string `json:"gone,omitempty"`
	Step           *Step    `json:"step,omitempty"`

	Capacity []Capacity     `json:"capacity,omitempty"`
	Target   *Target        `json:"target,omitempty"`
	Versions map[string]int `json:"versions,omitempty"`
	// MinEvidenceTime is the time in ms that the evidence of a rollout needs at the present rate of calls.
	MinEvidenceTime int64 `json:"shortest,omitempty"`
}

// Capacity is what one service has in one data centre, without regard to drains.
type Capacity struct {
	Service string `json:"service"`
	DC      string `json:"dc"`
	// Slots is the sum over warm servers, including drained ones.
	Slots int `json:"slots"`
	// BusySlots is how many slots are busy.
	BusySlots int `json:"use"`
}

// Target is the server that a drain names.
type Target struct {
	Service string `json:"service"`
	DC      string `json:"dc"`
	Slots   int    `json:"slots"`
}

// Step is one decision of the control leader about a rollout.
type Step struct {
	// Rollout is the ID of the rollout that the decision is about.
	Rollout string `json:"rollout"`
	// FromPhase is the phase that the decision is based on; another current phase makes the step a no-op.
	FromPhase sycamorevane.RolloutPhase `json:"was"`
	// FromShare, when set, is the share that the decision is based on; another current share makes the step a no-op.
	FromShare      *float64                  `json:"held,omitempty"`
	Phase          sycamorevane.RolloutPhase `json:"phase"`
	Share          float64                   `json:"share"`
	Reason         string                    `json:"reason"`
	DeadlineAtRisk bool                      `json:"late,omitempty"`
}

// Result says what became of a command.
type Result string

// Results of a command.
const (
	// ResultApplied changed the state.
	ResultApplied Result = "applied"
	// ResultUnchanged found the state already as wanted.
	ResultUnchanged Result = "unchanged"
	// ResultConflict named another version than the current one.
	ResultConflict Result = "conflict"
	// ResultRefused was not applied for the given reason.
	ResultRefused Result = "refused"
	// ResultStale is an internal step based on an older rollout state.
	ResultStale Result = "stale"
)

// Outcome is the recorded answer to a command.
type Outcome struct {
	ID string `json:"id,omitempty"`
	// Op and Description describe the command that the outcome belongs to, which may differ from a resent one.
	Op          string `json:"op"`
	Description string `json:"what"`
	Result      Result `json:"outcome"`
	// PreviousVersion is the version that the command met.
	PreviousVersion uint64 `json:"was"`
	// Version is in force after the command; Actor and ChangedAt say who set it and when (Unix ms).
	Version   uint64 `json:"version"`
	Actor     string `json:"by,omitempty"`
	ChangedAt int64  `json:"at,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// Conflict returns the conflict as an error value, or nil for other results.
func (o Outcome) Conflict() *sycamorevane.VersionConflictError {
	if o.Result != ResultConflict {
		return nil
	}
	return &sycamorevane.VersionConflictError{Version: o.Version, Actor: o.Actor, Time: timeOf(o.ChangedAt)}
}

// Encode returns the log form of a command.
func Encode(c Command) ([]byte, error) {
	c.Format = Format
	data, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > MaxCommand {
		return nil, errors.Errorf("command of %d bytes is above the limit of %d", len(data), MaxCommand)
	}
	return data, nil
}

// Decode reads the log form of a command and checks what holds for every op.
func Decode(data []byte) (Command, error) {
	var c Command
	if len(data) > MaxCommand {
		return c, errors.Errorf("command of %d bytes is above the limit of %d", len(data), MaxCommand)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, errors.Annotate(err, "command")
	}
	if d.More() {
		return c, errors.New("data after the command")
	}
	if c.Format != Format {
		return c, errors.Errorf("command format %d is not supported", c.Format)
	}
	if len(c.ID) > MaxID {
		return c, errors.Errorf("command id has %d bytes; at most %d are allowed", len(c.ID), MaxID)
	}
	if c.ID == "" && !internal(c.Op) {
		return c, errors.New("command has no id")
	}
	return c, nil
}

// DecodeOutcome reads what Apply returned.
func DecodeOutcome(data []byte) (Outcome, error) {
	var o Outcome
	if err := json.Unmarshal(data, &o); err != nil {
		return o, errors.Annotate(err, "outcome")
	}
	return o, nil
}

func internal(op string) bool {
	return op == OpStep || op == OpForget || op == OpServe || op == OpLeave
}
