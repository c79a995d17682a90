// Package scheduler decides, for one pool (the servers of one service in one data centre), which waiting request of any
// entry runs next and on which server. It does no I/O: time and messages are arguments, decisions are return values.
package scheduler

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// Pool is the interface between a Core and the driver that exchanges messages with entries. All methods must be called
// by one goroutine at a time. Decisions may concern requests of other entries than the one in the arguments.
type Pool interface {
	// Update replaces the servers. State of servers that remain is kept.
	Update(now time.Time, servers []Server)
	// Ask adds a request that waits for a server. An Ask with a known key is ignored.
	Ask(now time.Time, a Ask) []Decision
	// Cancel withdraws a request. If it has been granted a server, it counts as not started there.
	Cancel(now time.Time, k Key) []Decision
	// Start records a request that an entry sends to a server without a grant, or that was running before this pool was
	// created.
	Start(now time.Time, s Start)
	// Finish records the end of a request on a server, with or without a grant.
	Finish(now time.Time, f Finish) []Decision
	// Report records a load report that a probe has returned; load is nil if the server did not respond.
	Report(now time.Time, server string, load *sycamorevane.LoadReport) []Decision
	// SkipProbe ends a probe of which nothing was learned: it could not be sent, or the response reported no load.
	SkipProbe(server string)
	// Tick decides what depends on the time only. It is called every few milliseconds while requests wait.
	Tick(now time.Time) []Decision
	// DueProbes lists the servers to be probed now. They count as being probed until Report.
	DueProbes(now time.Time) []string
	// ForgetEntry drops the waiting requests of an entry whose session has ended. Its running requests count until their
	// expected end.
	ForgetEntry(now time.Time, entry string)
	// Summary describes the load of the pool, for the other data centres and for metrics.
	Summary(now time.Time) Summary
}

// Key identifies a request on the way to a server.
type Key struct {
	// Entry is the mesh name of the entry, ID unique per start of that entry.
	Entry string
	ID    uint64
}

// Server is a server of the pool.
type Server struct {
	ID    string
	Slots int
	// Usable is false while the server must not be granted: it is cold, limited, leaving, drained, or its version
	// does not serve.
	Usable bool
}

// Ask describes a waiting request.
type Ask struct {
	Key
	Route     string
	Workspace string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Deadline is until when the caller waits for the response; zero for none.
	Deadline time.Time
	// Work is how long the request is expected to take on an otherwise idle host; 0 if unknown.
	Work time.Duration
	// ExcludedServers lists the servers on which the request has already failed.
	ExcludedServers []string
}

// Start describes a request that runs on a server.
type Start struct {
	Key
	Server string
	Route  string
	// Work is as in Ask, At when the request was sent.
	Work time.Duration
	At   time.Time
}

// Finish describes the end of a request on a server.
type Finish struct {
	Key
	Server  string
	Route   string
	Kind    sycamorevane.OutcomeKind
	Latency time.Duration
	// Load is the load that the response reported; nil for none. It includes the request itself.
	Load *sycamorevane.LoadReport
}

// Decision is a grant, or a rejection if Server is empty.
type Decision struct {
	Key
	Server string
	// RetryAfter is when the caller of a rejected request should return, and Reason why it was rejected.
	RetryAfter time.Duration
	Reason     string
}

// Summary describes the load of a pool.
type Summary struct {
	// Servers is the number of usable servers, Room the number of requests that they can run in addition.
	Servers, Room int
	// Waiting and Running are numbers of requests.
	Waiting, Running int
	// Demand and UrgentDemand are the smoothed rates of asks per second, of all and of the most urgent priority present.
	// Capacity is the estimated rate that the usable servers can finish.
	Demand, UrgentDemand, Capacity float64
	// ExpectedWait is the estimated wait of a request that arrives now, ExpectedLatency its time on a server.
	ExpectedWait, ExpectedLatency time.Duration
}
