package sycamorevane

import (
	"fmt"
	"time"
)

// RefusedError means that the load balancer did not run the request. It is returned only when that is certain.
type RefusedError struct {
	Service   string
	Workspace string
	// Reason is a short phrase for the caller and the log, for example "queue is full".
	Reason string
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
	// WorkspaceLimit is set when a limit of the workspace caused the refusal (status 429), and not set when capacity was
	// lacking (status 503).
	WorkspaceLimit bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("service %q refused a request of firm %q: %s; retry after %v", e.Service, e.Workspace, e.Reason, e.RetryAfter)
}

// UncertainError means that the request may have run.
type UncertainError struct {
	Server string
	Reason string
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("request may have run on server %q: %s", e.Server, e.Reason)
}

// QueueFullError means that a bounded queue is full.
type QueueFullError struct {
	Queue string
	Size  int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue %q is full at %d", e.Queue, e.Size)
}

// UnreachableError means that there is no session with a peer.
type UnreachableError struct{ Peer string }

func (e *UnreachableError) Error() string { return fmt.Sprintf("no session with peer %q", e.Peer) }

// VersionConflictError means that a command requires a state version other than the current one.
type VersionConflictError struct {
	Version uint64
	Actor   string
	Time    time.Time
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("current version is %d, set by %q at %s", e.Version, e.Actor, e.Time.UTC().Format(time.RFC3339))
}

// ConfigError is an invalid value in settings, in the configuration or in the answers to the questionnaire.
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

// CorruptError means that a file is damaged, other than by an incomplete last record.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// NotLeaderError means that this control host is not the leader. Leader is empty when no leader is known.
type NotLeaderError struct{ Leader string }

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no control leader is known"
	}
	return fmt.Sprintf("control leader is %q", e.Leader)
}
