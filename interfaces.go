package sycamorevane

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
)

// Clock gives the current time. Leases use only differences of its readings, which are monotonic.
type Clock interface {
	Now() time.Time
}

// Handler answers one message from a peer. A nil reply to a Call is an error at the calling side.
// One-way messages are handled in order on the reader of the session and must not block; each call is handled
// on a goroutine of its own.
type Handler func(from string, m proto.Message) proto.Message

// Transport moves messages between the system's own processes.
type Transport interface {
	// Send queues a one-way message. Errors: *BusyError when the queue is full, *UnreachableError without a session.
	Send(to string, m proto.Message) error
	// Call sends a message and waits for the reply. Errors: as Send, and the context's.
	Call(ctx context.Context, to string, m proto.Message) (proto.Message, error)
	// Handle registers the handler for messages of m's type. It must be called before Start.
	Handle(m proto.Message, h Handler)
	// Peers lists the known peers, sorted by name, without this host.
	Peers() []Peer
	// Self is this host's name.
	Self() string
}

// Limiter decides which server carries a request and when.
type Limiter interface {
	// Acquire waits in the workspace queue until a slot is free. It returns *RefusedError at once when the
	// request cannot be served before its deadline, and the context's error when the caller is gone.
	Acquire(ctx context.Context, req Request) (Grant, error)
	// Release gives the slot back. It must be called exactly once for each Grant.
	Release(g Grant, o Outcome)
}

// Candidate is one server that could take a request, with what is known about it.
type Candidate struct {
	Server Server
	// FreeSlots is the number of slots believed free.
	FreeSlots int
	// Running is the number of requests believed running, over all entries as far as known.
	Running int
	// Latency is the smoothed latency of complete good answers; zero when unknown.
	Latency time.Duration
	// FailureRate is the smoothed share of failed answers, 0 to 1.
	FailureRate float64
	// CountsAge is how old the shared part of the counts is.
	CountsAge time.Duration
	// NetworkDelay is the one-way delay to the server's data centre.
	NetworkDelay time.Duration
}

// Picker ranks candidates. Pick returns an index into c, or -1 when no candidate should be used.
type Picker interface {
	Pick(now time.Time, req Request, c []Candidate, r *rand.Rand) int
}

// Deduplicator lets a keyed request run at most once over the whole system.
type Deduplicator interface {
	// Claim asks for the right to run. *RefusedError when no quorum of claim holders answers: not run.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Finish records the answer. A nil answer records that the request may have run.
	Finish(ctx context.Context, c Claim, a *RecordedResponse) error
	// Abandon gives the claim back; only for requests proven not run.
	Abandon(ctx context.Context, c Claim) error
}

// HardState is the part of consensus state that must be durable before any answer that depends on it.
type HardState struct {
	Term uint64
	// VotedFor is the candidate voted for in Term; empty for none.
	VotedFor string
}

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index uint64
	Term  uint64
	// Kind is 0 for commands, 1 for membership changes, 2 for the no-op of a new leader.
	Kind uint8
	Data []byte
}

// Snapshot replaces all log entries up to Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	// Membership is the encoded membership in force at Index.
	Membership []byte
	Data       []byte
}

// DurableState is what a Store holds.
type DurableState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries start at Snapshot.Index+1 and have no gaps.
	Entries []LogEntry
}

// Store is the durable state of one control host. Each method returns only after the data is synced.
// Errors: *CorruptError for damage other than a torn tail; any other error means that the write may not be
// durable and the Store refuses further writes.
type Store interface {
	Load() (DurableState, error)
	SaveHardState(h HardState) error
	// Append adds entries; the first index must follow the last stored one.
	Append(entries []LogEntry) error
	// Truncate removes all entries with Index >= from.
	Truncate(from uint64) error
	// SaveSnapshot stores the snapshot and drops the entries it covers.
	SaveSnapshot(s Snapshot) error
	Close() error
}

// StateMachine is fed by the replicated log, in index order, each entry once.
type StateMachine interface {
	// Apply returns the encoded outcome for the proposer.
	Apply(e LogEntry) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}
