package sycamorevane

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
)

// Clock returns the current time. Leases use only the differences between its readings, which are monotonic.
type Clock interface {
	Now() time.Time
}

// Handler handles one message from a peer and returns the reply. A nil reply to a Call is an error at the caller.
// One-way messages are handled in order on the goroutine that reads from the session, so that their handlers must not
// block. Each call is handled on its own goroutine.
type Handler func(from string, m proto.Message) proto.Message

// Transport sends messages between the processes of the load balancer.
type Transport interface {
	// Send queues a one-way message. Errors: *QueueFullError when the queue is full, *UnreachableError without a
	// session.
	Send(to string, m proto.Message) error
	// Call sends a message and waits for the reply. Errors: those of Send and of the context.
	Call(ctx context.Context, to string, m proto.Message) (proto.Message, error)
	// Handle registers the handler for messages of the type of m. It must be called before the transport starts.
	Handle(m proto.Message, h Handler)
	// Peers returns the known peers, sorted by name, without this host.
	Peers() []Peer
	// Self returns the name of this host.
	Self() string
}

// Limiter decides when a request runs and on which server.
type Limiter interface {
	// Acquire waits in the queue of the workspace until a slot is free. It returns *RefusedError as soon as it is known
	// that the request cannot run before its deadline, and the context's error when the caller has disconnected.
	Acquire(ctx context.Context, req Request) (Grant, error)
	// Release returns the slot. It must be called exactly once for each Grant.
	Release(g Grant, o Outcome)
}

// Candidate is a server that could run a request, with its estimated state.
type Candidate struct {
	Server Server
	// FreeSlots is the estimated number of free slots.
	FreeSlots int
	// Running is the estimated number of running requests, from all entries as far as known.
	Running int
	// Latency is the smoothed latency of complete successful responses; zero when unknown.
	Latency time.Duration
	// FailureRate is the smoothed share of failed responses, 0 to 1.
	FailureRate float64
	// CountsAge is the age of the counts that other entries have reported.
	CountsAge time.Duration
	// NetworkDelay is the one-way network delay to the server's data centre.
	NetworkDelay time.Duration
}

// Picker chooses a candidate. Pick returns an index into c, or -1 when no candidate should be used.
type Picker interface {
	Pick(now time.Time, req Request, c []Candidate, r *rand.Rand) int
}

// Deduplicator lets a request with an idempotency key run at most once in the whole deployment.
type Deduplicator interface {
	// Claim requests the right to run. It returns *RefusedError when no quorum of the hosts that store claims responds;
	// the request must not run then.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Finish records the response. A nil response records that the request may have run.
	Finish(ctx context.Context, c Claim, a *RecordedResponse) error
	// Abandon releases the claim. It must be called only for requests that provably have not run.
	Abandon(ctx context.Context, c Claim) error
}

// HardState is the consensus state that must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64
	// VotedFor is the candidate that this host voted for in Term; empty for none.
	VotedFor string
}

// LogEntry is one entry of the replicated log.
type LogEntry struct {
	Index uint64
	Term  uint64
	// Kind is 0 for commands, 1 for membership changes and 2 for the no-op entry of a new leader.
	Kind uint8
	Data []byte
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	// Membership is the encoded cluster membership at Index.
	Membership []byte
	Data       []byte
}

// DurableState is the content of a Store.
type DurableState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries start at Snapshot.Index+1 and have no gaps.
	Entries []LogEntry
}

// Store keeps the durable state of one control host. Each method returns only after the data is synced to disk.
// Errors: *CorruptError for damage other than an incomplete last record; any other error means that the write may not
// be durable, and the Store rejects further writes.
type Store interface {
	Load() (DurableState, error)
	SaveHardState(h HardState) error
	// Append adds entries; the first index must follow the last stored one.
	Append(entries []LogEntry) error
	// Truncate removes all entries with Index >= from.
	Truncate(from uint64) error
	// SaveSnapshot stores the snapshot and deletes the entries that it covers.
	SaveSnapshot(s Snapshot) error
	Close() error
}

// StateMachine applies the entries of the replicated log, each once and in the order of their indexes.
type StateMachine interface {
	// Apply applies the entry and returns the encoded result for the proposer.
	Apply(e LogEntry) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}
