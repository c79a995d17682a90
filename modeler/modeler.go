// Package modeler runs the pure cores of the limiter in virtual time against simple servers, to compare policies, and
// the dispatchers of open deployments against servers with noisy neighbours (RunOpen). It is a benchmark of the policy,
// not a simulator of a cluster: hosts, sockets and processes do not appear in it.
package modeler

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Policy is how entries choose servers.
type Policy string

// Policies that are compared.
const (
	// Leases is the limiter with its owner and borrowers.
	Leases Policy = "leases"
	// Local is the power of two choices on local counts and latencies.
	Local Policy = "local"
	// Shared is the power of two choices on shared counts discounted by age.
	Shared Policy = "shared"
	// Central is the lower bound: one queue that knows every server at once and loses no time to messages.
	Central Policy = "central"
)

// Workspace is the traffic of one workspace.
type Workspace struct {
	Name   string
	Weight float64
	// Load is the offered work relative to the capacity of the healthy servers.
	Load float64
	// Entries bounds the entries that the workspace's calls use; 0 means all.
	Entries int
}

// Conditions describe one run.
type Conditions struct {
	Policy     Policy
	Entries    int
	Servers    int
	Slots      int
	Workspaces []Workspace
	// Service is the mean time of a request on a warm server; Spread is the sigma of its log-normal distribution.
	Service time.Duration
	Spread  float64
	// Burst makes all arrivals come in bursts of some milliseconds.
	Burst bool
	// Noisy makes servers slow down for short times, as neighbours on the same hardware do.
	Noisy bool
	// Slow servers take ten times as long; Failing ones answer 500 at once; Draining ones announce a drain after a
	// third of the run; Cold ones are cold at the start and turn cold again without notice after two thirds.
	Slow, Failing, Draining, Cold int
	// AllCold starts every server cold, as after the return of a data centre.
	AllCold bool
	// FalseLoad makes some servers report no load; only Shared uses load reports.
	FalseLoad bool
	// MeshMin and MeshMax bound the one-way delay between entries.
	MeshMin, MeshMax time.Duration
	// Deadline is the time allowed per request.
	Deadline time.Duration
	// Queue bounds the waiting requests of a workspace on one entry.
	Queue int
	// Warm is left out of the figures; Length is the measured time after it.
	Warm, Length time.Duration
	// OwnerLost is when the owner dies and another entry takes over; zero means never.
	OwnerLost time.Duration
	// Probe is the share of slot time for measurement requests.
	Probe float64
	Seed  uint64
}

// Standard returns the common conditions of the comparisons.
func Standard(p Policy, servers, slots int, load float64, seed uint64) Conditions {
	return Conditions{
		Policy: p, Entries: 16, Servers: servers, Slots: slots,
		Workspaces: []Workspace{{Name: "north", Weight: 1, Load: load}},
		Service:    6 * time.Millisecond, Spread: 0.5,
		MeshMin: 500 * time.Microsecond, MeshMax: 1500 * time.Microsecond,
		Deadline: 500 * time.Millisecond, Queue: 256,
		Warm: 2 * time.Second, Length: 4 * time.Second, Seed: seed,
	}
}

// WorkspaceResult is what one workspace saw.
type WorkspaceResult struct {
	Offered, Good, Late, Failed, Refused int
	Latency                              *hdrhistogram.Histogram
	// RefusalTime holds the time until a refusal.
	RefusalTime *hdrhistogram.Histogram
	// NoAfter counts refusals without a time to retry.
	NoAfter int
}

// Result holds the figures of one run.
type Result struct {
	WorkspaceResult
	Workspaces map[string]*WorkspaceResult
	// Wasted is the share of slot time that was lent and not used while requests waited.
	Wasted float64
	// Limit is the mean share of the servers' slots that the ramp limits allow.
	Limit float64
	// Peak is the largest number of requests on one server; ColdPeak the largest on a cold one.
	Peak, ColdPeak int
	// Over counts requests that reached a server with all slots taken.
	Over int
	// WarmUp is the time until all cold servers had their full limit; zero when they did not.
	WarmUp time.Duration
	// ColdAgain is the longest time from a server turning cold until at most one request at a time went to it.
	ColdAgain time.Duration
	// Drained counts requests that started on a draining server more than 3 s after its announcement.
	Drained int
	// Probes counts measurement requests; ProbeShare is their part of all slot time.
	Probes     int
	ProbeShare float64
	// Messages counts mesh messages.
	Messages int
}

func newWorkspaceResult() WorkspaceResult {
	return WorkspaceResult{
		Latency:     hdrhistogram.New(1, 60_000_000, 3),
		RefusalTime: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// P returns a percentile of the latency of good answers.
func (r *WorkspaceResult) P(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtPercentile(q)) * time.Microsecond
}

// Run runs the conditions and returns the figures.
func Run(c Conditions) Result {
	w := newWorld(c)
	switch c.Policy {
	case Leases:
		w.policy = newLeases(w)
	case Central:
		w.policy = newCentral(w)
	default:
		w.policy = newDirect(w)
	}
	w.run()
	return w.result()
}
