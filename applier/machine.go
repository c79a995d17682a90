package applier

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"sycamorevane.example/sycamorevane"
)

// commandEntryKind is the LogEntry.Kind of commands. The replicator uses the other kinds.
const commandEntryKind = 0

// Machine implements sycamorevane.StateMachine. Apply and Restore must be called by one goroutine; all other methods
// are safe for concurrent use.
type Machine struct {
	state atomic.Pointer[sycamorevane.State]
	usage atomic.Pointer[UsageState]

	mu sync.RWMutex
	// index is the index of the last applied log entry.
	index uint64
	// actor and changedAt say who set the current version and when; Unix ms.
	actor     string
	changedAt int64
	// targets describes those drained servers that were known when they were drained.
	targets map[string]Target
	trail   *auditTrail
	// orders holds the index of the last command that was decided on each subject.
	orders orderIndex
	// indexChanged is closed and replaced when index changes.
	indexChanged chan struct{}
}

var _ sycamorevane.StateMachine = (*Machine)(nil)

// New returns an empty state machine at version 0.
func New() *Machine {
	m := &Machine{targets: map[string]Target{}, trail: newAuditTrail(), orders: newOrderIndex(), indexChanged: make(chan struct{})}
	m.state.Store(emptyState())
	m.usage.Store(&UsageState{})
	return m
}

func emptyState() *sycamorevane.State {
	return &sycamorevane.State{
		DrainedDCs:      map[string]int64{},
		DrainedServers:  map[string]int64{},
		UndrainedDCs:    map[string]int64{},
		Rollouts:        map[string]sycamorevane.Rollout{},
		ServingVersions: map[string]string{},
		Quarantined:     map[string]int64{},
	}
}

// State returns the current state. It is shared and must not be changed.
func (m *Machine) State() *sycamorevane.State { return m.state.Load() }

// Index returns the index of the last applied log entry.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Wait blocks until the entry at index has been applied. Errors: those of the context.
func (m *Machine) Wait(ctx context.Context, index uint64) error {
	for {
		m.mu.RLock()
		done, changed := m.index >= index, m.indexChanged
		m.mu.RUnlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Outcome returns the recorded outcome of a command id.
func (m *Machine) Outcome(id string) (Outcome, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.trail.byID(id)
	return r.Outcome, ok
}

// Audit returns one page of the audit trail.
func (m *Machine) Audit(q Query) Page {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.trail.page(q)
}

// Apply implements sycamorevane.StateMachine. It returns an encoded Outcome for commands and nil for other entries.
func (m *Machine) Apply(e sycamorevane.LogEntry) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.advance(e.Index)
	if e.Index <= m.index || e.Kind != commandEntryKind {
		return nil
	}
	data, err := json.Marshal(m.applyCommand(e))
	if err != nil {
		return nil
	}
	return data
}

func (m *Machine) advance(index uint64) {
	if index <= m.index {
		return
	}
	m.index = index
	close(m.indexChanged)
	m.indexChanged = make(chan struct{})
}

func (m *Machine) applyCommand(e sycamorevane.LogEntry) Outcome {
	c, err := Decode(e.Data)
	if err != nil {
		return m.outcome(c, m.State().Version, refuse("malformed command: %v", err))
	}
	if record, ok := m.trail.byID(c.ID); ok {
		return record.Outcome
	}
	previousVersion := m.State().Version
	decided := m.decide(c, e.Index)
	if decided.newState != nil && m.orders.isOutdated(c) {
		decided = decision{result: ResultStale, reason: "a later command was decided meanwhile"}
	}
	m.orders.record(c, decided, e.Index)
	if decided.newState != nil {
		decided.newState.Version = e.Index
		m.state.Store(decided.newState)
		m.actor = c.Actor
		m.changedAt = c.AcceptedAt
	}
	o := m.outcome(c, previousVersion, decided)
	if isAudited(c, decided) {
		m.trail.add(Record{Index: e.Index, Actor: c.Actor, Time: c.AcceptedAt, Outcome: o})
	}
	return o
}

// isAudited reports whether a command is recorded in the audit trail. Steps that change only the share of a rollout are
// not, because a rollout has many of them. Neither are forget, leave and usage commands.
func isAudited(c Command, decided decision) bool {
	switch c.Op {
	case OpStep:
		return decided.result == ResultApplied && c.Args.Step.Phase != c.Args.Step.FromPhase
	case OpForget, OpLeave, OpUsage:
		return false
	case OpServe, OpQuarantine:
		return decided.result == ResultApplied
	}
	return true
}

func (m *Machine) outcome(c Command, previousVersion uint64, decided decision) Outcome {
	return Outcome{
		ID: c.ID, Op: c.Op, Description: Describe(c), Result: decided.result, Reason: truncateText(decided.reason),
		PreviousVersion: previousVersion, Version: m.State().Version, Actor: m.actor, ChangedAt: m.changedAt,
	}
}

func timeOf(ms int64) time.Time { return time.UnixMilli(ms) }
