package sycamorevane

import (
	"fmt"
	"time"
)

// RefusedError says that the system did not run the request. It is returned only when that is proven.
type RefusedError struct {
	Service   string
	Workspace string
	// Reason is one word or short phrase for the caller and the log, for example "queue full".
	Reason string
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
	// WorkspaceLimit is true when the workspace's own limit caused the refusal (429), false for lack of capacity (503).
	WorkspaceLimit bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %q refused a request of firm %q: %s; retry after %v", e.Service, e.Workspace, e.Reason, e.RetryAfter)
}

// UncertainError says that the request may have run.
type UncertainError struct {
	Server string
	Reason string
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("request may have run on server %q: %s", e.Server, e.Reason)
}

// QueueFullError says that a bounded queue is full.
type QueueFullError struct {
	Queue string
	Size  int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue %q is full at %d", e.Queue, e.Size)
}

// UnreachableError says that there is no session with a peer.
type UnreachableError struct{ Peer string }

func (e *UnreachableError) Error() string { return fmt.Sprintf("no session with peer %q", e.Peer) }

// VersionConflictError says that a command named another version than the current one.
type VersionConflictError struct {
	Version uint64
	Actor   string
	Time    time.Time
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("current version is %d, set by %q at %s", e.Version, e.Actor, e.Time.UTC().Format(time.RFC3339))
}

// ConfigError is one fault in settings, configuration or answers.
type ConfigError struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: %s", e.File, e.Section, e.Key, e.Value, e.Reason)
}

// CorruptError says that a file is damaged in a place that is not a torn tail.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// NotLeaderError says that this control host cannot answer; Leader is empty when none is known.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no control leader is known"
	}
	return fmt.Sprintf("control leader is %q", e.Leader)
}
