package applier

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"sycamorevane.example/sycamorevane"
)

// kindCommand is the LogEntry kind of commands; other kinds belong to the replicator.
const kindCommand = 0

// Machine implements sycamorevane.StateMachine. Apply and Restore are called by one goroutine; all other methods
// may be called at any time.
type Machine struct {
	state atomic.Pointer[sycamorevane.State]

	mu sync.RWMutex
	// index is the last log entry applied.
	index uint64
	// by and at say who set the current version and when, in Unix ms.
	by string
	at int64
	// targets describes the drained servers that were known when they were drained.
	targets map[string]Target
	trail   *trail
	// applied is closed and replaced when index moves.
	applied chan struct{}
}

var _ sycamorevane.StateMachine = (*Machine)(nil)

// New returns an empty state machine at version 0.
func New() *Machine {
	m := &Machine{targets: map[string]Target{}, trail: newTrail(), applied: make(chan struct{})}
	m.state.Store(emptyState())
	return m
}

func emptyState() *sycamorevane.State {
	return &sycamorevane.State{
		DrainedDCs:      map[string]int64{},
		DrainedServers:  map[string]int64{},
		UndrainedDCs:    map[string]int64{},
		Rollouts:        map[string]sycamorevane.Rollout{},
		ServingVersions: map[string]string{},
	}
}

// State returns the current state. It is shared and must not be changed.
func (m *Machine) State() *sycamorevane.State { return m.state.Load() }

// Index is the last log entry applied.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Wait returns when the entry at index has been applied. Errors: the context's.
func (m *Machine) Wait(ctx context.Context, index uint64) error {
	for {
		m.mu.RLock()
		done, moved := m.index >= index, m.applied
		m.mu.RUnlock()
		if done {
			return nil
		}
		select {
		case <-moved:
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
	if e.Index <= m.index || e.Kind != kindCommand {
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
	close(m.applied)
	m.applied = make(chan struct{})
}

func (m *Machine) applyCommand(e sycamorevane.LogEntry) Outcome {
	c, err := Decode(e.Data)
	if err != nil {
		return m.outcome(c, m.State().Version, refuse("malformed command: %v", err))
	}
	if first, ok := m.trail.byID(c.ID); ok {
		return first.Outcome
	}
	was := m.State().Version
	v := m.decide(c, e.Index)
	if v.next != nil {
		v.next.Version = e.Index
		m.state.Store(v.next)
		m.by = c.Actor
		m.at = c.AcceptedAt
	}
	o := m.outcome(c, was, v)
	if recorded(c, v) {
		m.trail.add(Record{Index: e.Index, Actor: c.Actor, Time: c.AcceptedAt, Outcome: o})
	}
	return o
}

// recorded keeps steps that change only a share out of the trail, since a rollout has many of them.
func recorded(c Command, v verdict) bool {
	switch c.Op {
	case OpStep:
		return v.result == ResultApplied && c.Args.Step.Phase != c.Args.Step.FromPhase
	case OpForget, OpLeave:
		return false
	case OpServe:
		return v.result == ResultApplied
	}
	return true
}

func (m *Machine) outcome(c Command, was uint64, v verdict) Outcome {
	return Outcome{
		ID: c.ID, Op: c.Op, Description: Describe(c), Result: v.result, Reason: clip(v.reason),
		PreviousVersion: was, Version: m.State().Version, Actor: m.by, ChangedAt: m.at,
	}
}

func timeOf(ms int64) time.Time { return time.UnixMilli(ms) }
