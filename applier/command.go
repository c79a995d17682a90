// Package applier is the state machine of the replicated log. Its state consists of the configuration, drains,
// rollouts, the outcomes of commands by id, and the audit trail. Apply depends only on the log, so that every control
// host computes the same state.
package applier

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// FormatVersion is the version of the command encoding.
const FormatVersion = 1

// MaxCommandBytes is the maximum size of an encoded command in bytes. A configuration of 190 services takes about a
// tenth of it.
const MaxCommandBytes = 4 << 20

// MaxIDBytes is the maximum length of a command id in bytes. It is limited because ids are stored for a long time.
const MaxIDBytes = 128

// Operations of commands.
const (
	OpApply    = "apply"
	OpDrain    = "drain"
	OpUndrain  = "undrain"
	OpRollout  = "rollout"
	OpRollback = "rollback"
	OpReplace  = "replace"
	// OpStep records a decision of the control leader about a rollout; operators cannot send it.
	OpStep = "rollout step"
	// OpForget removes the drain records of servers that have shut down; operators cannot send it.
	OpForget = "forget"
	// OpConfigure replaces the configuration by one with a sequence number, if that number is the highest so far.
	OpConfigure = "configure"
	// OpLeave records servers that have reported that they are leaving; operators cannot send it.
	OpLeave = "leave"
	// OpServe records the version that handles a service's requests outside of rollouts; operators cannot send it.
	OpServe = "serve"
	// OpQuarantine changes which requests are quarantined because they crash servers; operators cannot send it.
	OpQuarantine = "quarantine"
	// OpUsage records the counts of usage windows and the delivery of their reports; operators cannot send it.
	OpUsage = "usage"
)

// Command is one command in the log.
type Command struct {
	Format int `json:"format"`
	// ID is chosen by the client. A command whose id is already recorded is not applied again; the recorded outcome
	// is returned. Only internal commands may have an empty id.
	ID   string `json:"id,omitempty"`
	Op   string `json:"op"`
	Args Args   `json:"args"`
	// ExpectedVersion is the state version that the command requires; nil accepts any.
	ExpectedVersion *uint64 `json:"if,omitempty"`
	// Actor is the operator or, for internal commands, the control host that sent the command.
	Actor string `json:"by"`
	// AcceptedAt is when a control host accepted the command, by the wall clock of that host; Unix ms.
	AcceptedAt int64 `json:"at"`
	// Force skips the checks of capacity, known servers and known versions.
	Force bool `json:"force,omitempty"`
	// SeenIndex is the log index of the last entry that the sending host had applied while the client was waiting for the
	// outcome. The command does not change the state if a later command was decided on the same subject, because the
	// client may have sent that one after giving this one up. Nil means no such check.
	SeenIndex *uint64 `json:"seen,omitempty"`
}

// Args holds the arguments of all operations. The commander sets the fields that describe the system at acceptance
// (Capacity, Target, Versions, MinEvidenceTime), so that Apply stays deterministic.
type Args struct {
	Config *sycamorevane.Config `json:"config,omitempty"`
	// DC or Server is what a drain or undrain command refers to.
	DC      string `json:"dc,omitempty"`
	Server  string `json:"server,omitempty"`
	Service string `json:"service,omitempty"`
	// ToVersion is the new version of a rollout, or the version that a serve command records.
	ToVersion string `json:"to,omitempty"`
	// Deadline is the deadline of a rollout; Unix ms.
	Deadline int64 `json:"deadline,omitempty"`
	// Irreversible means that the old servers of a rollout stop as soon as the new version has taken over, so that a
	// rollback is not possible.
	Irreversible bool `json:"final,omitempty"`
	// Host is the control host that a replace command removes from the membership.
	Host string `json:"host,omitempty"`
	// Counterpart is the control host that a replace command adds in place of Host, or the version that a serve command
	// expects to be recorded.
	Counterpart string `json:"with,omitempty"`
	// RemovedServers lists the servers of a forget or leave command.
	RemovedServers []string `json:"gone,omitempty"`
	Step           *Step    `json:"step,omitempty"`

	Capacity []Capacity `json:"capacity,omitempty"`
	// Target describes Server; nil when the commander does not know the server.
	Target *Target `json:"target,omitempty"`
	// Versions is the announced slots per version of the service.
	Versions map[string]int `json:"versions,omitempty"`
	// MinEvidenceTime is the least time in which a rollout can collect its evidence at the current request rate; ms.
	MinEvidenceTime int64 `json:"shortest,omitempty"`

	Usage *UsageChange `json:"usage,omitempty"`

	// Quarantined and Released list requests, by sycamorevane.FormatFingerprint, that are quarantined from now on and no
	// longer.
	Quarantined []string `json:"quarantined,omitempty"`
	Released    []string `json:"released,omitempty"`
}

// Capacity is the number of slots of one service in one data centre, drained or not.
type Capacity struct {
	Service string `json:"service"`
	DC      string `json:"dc"`
	// Slots is the sum over all warm servers, including drained ones.
	Slots     int `json:"slots"`
	BusySlots int `json:"use"`
}

// Target describes the server that a drain or undrain command refers to.
type Target struct {
	Service string `json:"service"`
	DC      string `json:"dc"`
	Slots   int    `json:"slots"`
}

// Step is one decision of the control leader about a rollout.
type Step struct {
	// Rollout is the ID of the rollout that the decision is about.
	Rollout string `json:"rollout"`
	// FromPhase is the phase that the decision is based on. If the rollout is in another phase, the step has no effect.
	FromPhase sycamorevane.RolloutPhase `json:"was"`
	// FromShare, if set, is the share that the decision is based on. If the rollout has another share, the step has no
	// effect.
	FromShare      *float64                  `json:"held,omitempty"`
	Phase          sycamorevane.RolloutPhase `json:"phase"`
	Share          float64                   `json:"share"`
	Reason         string                    `json:"reason"`
	DeadlineAtRisk bool                      `json:"late,omitempty"`
}

// Result is the result of applying a command.
type Result string

// Results of a command.
const (
	// ResultApplied means that the command took effect.
	ResultApplied Result = "applied"
	// ResultUnchanged means that the state already was as the command requires.
	ResultUnchanged Result = "unchanged"
	// ResultConflict means that the command's ExpectedVersion is not the current version.
	ResultConflict Result = "conflict"
	// ResultRefused means that the command was rejected for the given reason.
	ResultRefused Result = "refused"
	// ResultStale means that the command was based on an outdated state.
	ResultStale Result = "stale"
)

// Outcome is the recorded response to a command.
type Outcome struct {
	ID string `json:"id,omitempty"`
	// Op and Description describe the command that was applied. A later command with the same id may differ from it.
	Op          string `json:"op"`
	Description string `json:"what"`
	Result      Result `json:"outcome"`
	// PreviousVersion is the state version before the command.
	PreviousVersion uint64 `json:"was"`
	// Version is the state version after the command. Actor and ChangedAt say who set that version and when; Unix ms.
	Version   uint64 `json:"version"`
	Actor     string `json:"by,omitempty"`
	ChangedAt int64  `json:"at,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// Conflict returns the error for ResultConflict, and nil for other results.
func (o Outcome) Conflict() *sycamorevane.VersionConflictError {
	if o.Result != ResultConflict {
		return nil
	}
	return &sycamorevane.VersionConflictError{Version: o.Version, Actor: o.Actor, Time: timeOf(o.ChangedAt)}
}

// Encode returns a command in the encoding of the log.
func Encode(c Command) ([]byte, error) {
	c.Format = FormatVersion
	data, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > MaxCommandBytes {
		return nil, errors.Errorf("command of %d bytes is above the limit of %d", len(data), MaxCommandBytes)
	}
	return data, nil
}

// Decode decodes a command from the log and checks the fields that all operations have in common.
func Decode(data []byte) (Command, error) {
	var c Command
	if len(data) > MaxCommandBytes {
		return c, errors.Errorf("command of %d bytes is above the limit of %d", len(data), MaxCommandBytes)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, errors.Annotate(err, "command")
	}
	if d.More() {
		return c, errors.New("data after the command")
	}
	if c.Format != FormatVersion {
		return c, errors.Errorf("command format %d is not supported", c.Format)
	}
	if len(c.ID) > MaxIDBytes {
		return c, errors.Errorf("command id has %d bytes; at most %d are allowed", len(c.ID), MaxIDBytes)
	}
	if c.ID == "" && !isInternalOp(c.Op) {
		return c, errors.New("command has no id")
	}
	return c, nil
}

// DecodeOutcome decodes an outcome that Apply returned.
func DecodeOutcome(data []byte) (Outcome, error) {
	var o Outcome
	if err := json.Unmarshal(data, &o); err != nil {
		return o, errors.Annotate(err, "outcome")
	}
	return o, nil
}

func isInternalOp(op string) bool {
	return op == OpStep || op == OpForget || op == OpServe || op == OpLeave || op == OpUsage || op == OpQuarantine
}
