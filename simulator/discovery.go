package simulator

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// RequestKind is one kind of request in a deployment with discovery.
type RequestKind struct {
	Name string
	// Rate is in requests per second.
	Rate float64
	// MeanServiceTime is the mean of the log-normal service time on an otherwise idle server, and ServiceTimeSigma its
	// sigma.
	MeanServiceTime  time.Duration
	ServiceTimeSigma float64
	// Timeout counts from the caller's first attempt.
	Timeout  time.Duration
	Priority int
	// NotIdempotent is set when a request whose connection was reset must not be sent to another server.
	NotIdempotent bool
	// MaxRetries is how often a refused caller retries, each time after the advised delay.
	MaxRetries int
}

// Noise is the load that noisy neighbours put on the machine of a server.
type Noise struct {
	// TimeShare is the share of time in which requests that start take Slowdown times as long. Whether a server is
	// slow is drawn anew after a random interval with the mean MeanInterval.
	TimeShare, Slowdown float64
	MeanInterval        time.Duration
}

// DemandWave varies the demand of each data centre by Depth, as a share of its mean, with Period and a phase of its own.
type DemandWave struct {
	Depth  float64
	Period time.Duration
}

// Design is who places requests in a deployment with discovery.
type Design string

const (
	// OwnView means that each entry places its requests by what it knows itself.
	OwnView Design = "own view"
	// SharedReports means that the entries of a data centre also exchange the load reports that they receive.
	SharedReports Design = "shared reports"
	// SchedulerPerDC means that one scheduler for each data centre grants its servers to the requests of its entries.
	SchedulerPerDC Design = "scheduler"
	// OmniscientDispatcher means that one entry takes all requests and knows the load of all servers at all times.
	OmniscientDispatcher Design = "oracle"
	// OmniscientScheduler means that one scheduler without message delays knows the load of all servers at all times.
	OmniscientScheduler Design = "oracle scheduler"
)

// DiscoveryConditions are the conditions of one run of a deployment with discovery: the real dispatcher of each entry
// against servers whose speed changes several times a second. RunDiscovery must be called in a testing/synctest bubble,
// which makes its time virtual.
type DiscoveryConditions struct {
	// Entries is the number of entries that callers use. Entries and servers are spread over DCs data centres.
	Entries, DCs, Servers, Slots int
	// MaxQueued is the number of requests that may wait on a server; it refuses further ones. With ResetWhenFull it
	// resets their connections instead.
	MaxQueued     int
	ResetWhenFull bool
	// KneeShare is the share of the slots above which a request that starts takes KneeSlowdown times as long.
	KneeShare, KneeSlowdown float64
	Noise                   Noise
	Kinds                   []RequestKind
	Wave                    DemandWave
	// Design is OwnView if it is empty.
	Design Design
	// SplitPools gives each data centre two schedulers, each for half of its entries, that do not know of each other.
	SplitPools bool
	// MessageDelay is the one-way delay between an entry and the scheduler of its data centre; 0 means 0.5 ms.
	MessageDelay time.Duration
	// ProbeTime is how long a load probe takes within a data centre; 0 means 2 ms.
	ProbeTime time.Duration
	// WarmUp is not measured; Duration is the measured time after it.
	WarmUp, Duration time.Duration
	Seed             uint64
}

// Capacity is the load that the servers carry below their knee, in requests per second of the mix of kinds.
func (o *DiscoveryConditions) Capacity() float64 {
	var rate, work float64
	for i := range o.Kinds {
		rate += o.Kinds[i].Rate
		work += o.Kinds[i].Rate * o.Kinds[i].MeanServiceTime.Seconds()
	}
	speed := 1.0
	if o.Noise.TimeShare > 0 {
		speed = 1 / (1 - o.Noise.TimeShare + o.Noise.TimeShare*o.Noise.Slowdown)
	}
	return float64(o.Servers) * max(1, math.Floor(o.KneeShare*float64(o.Slots))) * speed * rate / work
}

// SetLoad scales the rates of all kinds so that their sum is the given share of the capacity.
func (o *DiscoveryConditions) SetLoad(share float64) {
	var rate float64
	for i := range o.Kinds {
		rate += o.Kinds[i].Rate
	}
	factor := share * o.Capacity() / rate
	for i := range o.Kinds {
		o.Kinds[i].Rate *= factor
	}
}

// KindResult counts the requests of one kind by how they ended for their callers.
type KindResult struct {
	// Served counts those that were answered within Timeout, Late those that were answered after it.
	Requests, Served, Late, Refused int
}

// Share is the share of the requests that were answered within their timeout.
func (k *KindResult) Share() float64 { return float64(k.Served) / float64(max(1, k.Requests)) }

// DiscoveryResult holds the measurements of one run.
type DiscoveryResult struct {
	Kinds map[string]*KindResult
	// ServedShare is the share of all requests that were answered within their timeout, WorstServedShare the same for the
	// worst two consecutive seconds.
	ServedShare, WorstServedShare float64
	// Returns counts the retries of refused callers, VainReturns those that were refused again.
	Returns, VainReturns int
	// Attempts counts the requests that reached servers, and Shed those that servers refused.
	Attempts, Shed int
	// Probes counts the load probes sent to servers, Messages those between entries and schedulers or between entries.
	Probes, Messages int
	// RemoteProbes and RemoteAttempts count the probes and requests that entries sent to servers of other data centres, and
	// Pairs the pairs of an entry and a server between which there was either.
	RemoteProbes, RemoteAttempts, Pairs int
	// OverKneeShare is the share of busy slot time spent on requests that started above the knee.
	OverKneeShare float64
	// Latency is the time from a caller's first attempt to its response.
	Latency *hdrhistogram.Histogram
	// Wait is the time for which a request of an entry that places by itself waits until it gets a server.
	Wait *hdrhistogram.Histogram
	// RefusalTime is the time from an attempt to its refusal.
	RefusalTime *hdrhistogram.Histogram
}
