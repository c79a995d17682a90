// Package simulator compares request placement policies by seeded simulation of arrivals in virtual time. Run drives
// the pure cores of the limiter against simple servers; RunDiscovery drives the dispatchers of deployments with
// discovery against servers with noisy neighbours. It benchmarks policies and does not simulate a cluster: there are no
// hosts, sockets or processes in it.
package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Policy is how entries choose servers.
type Policy string

// Policies that are compared.
const (
	// Leases is the limiter, with its owner and borrowers.
	Leases Policy = "leases"
	// Local is the power of two choices on local counts and latencies.
	Local Policy = "local"
	// Shared is the power of two choices on shared counts discounted by age.
	Shared Policy = "shared"
	// Central is the lower bound: one queue that always knows the state of every server and loses no time to messages.
	Central Policy = "central"
)

// Workspace is the traffic of one workspace.
type Workspace struct {
	Name   string
	Weight float64
	// Load is the offered work relative to the capacity of the healthy servers.
	Load float64
	// MaxEntries limits the number of entries that the workspace's calls use; 0 means all.
	MaxEntries int
}

// Conditions describe one run.
type Conditions struct {
	Policy     Policy
	Entries    int
	Servers    int
	Slots      int
	Workspaces []Workspace
	// MeanServiceTime is the mean of the log-normal service time on a warm server, and ServiceTimeSigma its sigma.
	MeanServiceTime  time.Duration
	ServiceTimeSigma float64
	// Bursts makes all arrivals come in bursts of some milliseconds.
	Bursts bool
	// NoisyNeighbours slows servers down for short times, as other load on the same hardware does.
	NoisyNeighbours bool
	// SlowServers is the number of servers that take ten times as long, FailingServers of those that immediately respond
	// with status 500, DrainingServers of those that announce a drain after a third of the run, and ColdServers of those
	// that are cold at the start and turn cold again without notice after two thirds.
	SlowServers, FailingServers, DrainingServers, ColdServers int
	// AllCold starts every server cold, as after the return of a data centre.
	AllCold bool
	// FalseLoad makes some servers report no load; only Shared uses load reports.
	FalseLoad bool
	// MinMeshDelay and MaxMeshDelay bound the one-way delay between entries.
	MinMeshDelay, MaxMeshDelay time.Duration
	// Timeout is the time allowed per request.
	Timeout time.Duration
	// MaxQueued is the largest number of requests of a workspace that wait on one entry.
	MaxQueued int
	// WarmUp is not measured; Duration is the measured time after it.
	WarmUp, Duration time.Duration
	// OwnerFailsAt is when the owner fails and another entry takes over; zero means never.
	OwnerFailsAt time.Duration
	// ProbeRatio is the share of slot time allowed for probes.
	ProbeRatio float64
	Seed       uint64
}

// Standard returns the common conditions of the comparisons.
func Standard(p Policy, servers, slots int, load float64, seed uint64) Conditions {
	return Conditions{
		Policy: p, Entries: 16, Servers: servers, Slots: slots,
		Workspaces:      []Workspace{{Name: "north", Weight: 1, Load: load}},
		MeanServiceTime: 6 * time.Millisecond, ServiceTimeSigma: 0.5,
		MinMeshDelay: 500 * time.Microsecond, MaxMeshDelay: 1500 * time.Microsecond,
		Timeout: 500 * time.Millisecond, MaxQueued: 256,
		WarmUp: 2 * time.Second, Duration: 4 * time.Second, Seed: seed,
	}
}

// WorkspaceResult counts the requests of one workspace by how they ended.
type WorkspaceResult struct {
	Offered, Good, Late, Failed, Refused int
	Latency                              *hdrhistogram.Histogram
	// RefusalTime holds the times from arrival to refusal.
	RefusalTime *hdrhistogram.Histogram
	// NoRetryAfter counts refusals that do not say when to retry.
	NoRetryAfter int
}

// Result holds the measurements of one run.
type Result struct {
	WorkspaceResult
	Workspaces map[string]*WorkspaceResult
	// UnusedSlotShare is the mean share of all slots that were free although requests waited.
	UnusedSlotShare float64
	// RampLimitShare is the mean share of the servers' slots that the ramp limits allow.
	RampLimitShare float64
	// PeakRunning is the largest number of requests running on one server, ColdPeakRunning that on a cold one.
	PeakRunning, ColdPeakRunning int
	// QueuedOnServers counts requests that reached a server without a free slot.
	QueuedOnServers int
	// WarmUpTime is the time until all cold servers had their full limit; zero when they never had it.
	WarmUpTime time.Duration
	// ColdReactionTime is the longest time during which a server that had turned cold still got concurrent requests.
	ColdReactionTime time.Duration
	// SentToDraining counts requests that started on a draining server more than 3 s after its announcement.
	SentToDraining int
	// Probes counts probes, and ProbeShare is their share of all slot time.
	Probes     int
	ProbeShare float64
	// Messages counts messages between entries.
	Messages int
}

func newWorkspaceResult() WorkspaceResult {
	return WorkspaceResult{
		Latency:     hdrhistogram.New(1, 60_000_000, 3),
		RefusalTime: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// LatencyPercentile returns a percentile of the latency of successful responses within the timeout.
func (r *WorkspaceResult) LatencyPercentile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtPercentile(q)) * time.Microsecond
}

// Run runs the conditions and returns the measurements.
func Run(c Conditions) Result {
	sim := newSimulation(c)
	switch c.Policy {
	case Leases:
		sim.policy = newLeasePolicy(sim)
	case Central:
		sim.policy = newCentralPolicy(sim)
	default:
		sim.policy = newPickerPolicy(sim)
	}
	sim.run()
	return sim.finalResult()
}
