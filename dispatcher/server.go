package dispatcher

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

const (
	// slowdownDecay is the time constant with which a reported slowdown decays: the load of a shared host changes
	// several times a second.
	slowdownDecay = 300 * time.Millisecond
	// slowThreshold is the slowdown from which a server counts as slow: a second attempt of its requests on another
	// server is worthwhile.
	slowThreshold = 2.0
	// observationDecay is the time constant with which past latencies and failures decay, so that a server that was
	// slow or failed gets requests again.
	observationDecay = 5 * time.Second
	// kneeShare is the share of a server's slots above which requests that start there take kneeSlowdown times as
	// long. The slots above it are used only during congestion, and only where they add more throughput than that
	// costs, as on servers of two slots.
	kneeShare    = 0.8
	kneeSlowdown = 1.7
	// otherDCCostFactor makes a server of the local data centre preferred unless it is twice as slow. Traffic between
	// data centres takes time, and the information about a remote server is older, as only servers of the
	// local data centre are probed in the background.
	otherDCCostFactor = 2.0
	// fullLoadCost is the additional relative cost of a full server compared with an idle one.
	fullLoadCost = 0.25
	// coldCostFactor is the assumed slowdown of a cold server.
	coldCostFactor = 2.0
	// failureCostWeight is the weight of the failure rate in the cost.
	failureCostWeight = 6.0
	// congestedAfter is how long a request waits in vain until its service counts as congested, which it does for
	// congestedPeriod.
	congestedAfter  = 20 * time.Millisecond
	congestedPeriod = time.Second
	// maxReservedShare is the largest share of a server's concurrency limit that is reserved for requests of other
	// entries that the server has not reported yet.
	maxReservedShare = 0.7
	// overdueFactor is the multiple of the mean latency that a running request may take before its server counts as
	// stuck.
	overdueFactor = 2.5
	// othersWeight, latencyWeight and failureWeight are the weights of one observation in exponentially weighted
	// means.
	othersWeight  = 0.2
	latencyWeight = 0.3
	failureWeight = 0.25
	// connectFailedPause, shedPause and failurePause are the first pauses of a server: after a failed connection,
	// after a shed request, and after incomplete responses, timeouts or unanswered probes. The pauses double up to
	// maxPause while the failures continue.
	connectFailedPause = 500 * time.Millisecond
	shedPause          = 150 * time.Millisecond
	failurePause       = 500 * time.Millisecond
	maxPause           = 4 * time.Second
	// incompletesToPause is the number of incomplete responses in a row that pause a server, since single ones occur
	// normally.
	incompletesToPause = 2
)

// server is what this entry knows of a backend server.
type server struct {
	record cataloger.ServerRecord
	// hash is the hash of the ID. It assigns the server to a few entries.
	hash uint64
	// startTimes holds when each running request of this entry was sent, by grant ID.
	startTimes map[uint64]time.Time
	// others is the number of requests of other entries in the last load report, at reportedAt.
	others float64
	// othersMean is the exponentially weighted mean of others.
	othersMean float64
	// reportsLoad is set when the servers of the service report their load.
	reportsLoad bool
	slowdown    float64
	reportedAt  time.Time
	// latencyRatio is the smoothed latency relative to the mean of its route; 1 without observations.
	latencyRatio float64
	failureRate  float64
	lastOutcome  time.Time
	// consecutiveFailures counts the pauses and incomplete responses since the last successful response.
	consecutiveFailures int
	pausedUntil         time.Time
	// requestedPauseEnd is the end of the pause that the server has asked this entry for.
	requestedPauseEnd time.Time
	// cutoff is the time from which the server gets no requests because it has announced in a response that it is
	// leaving; zero when it has not.
	cutoff time.Time
	// limit is the request limit that the server has stated; nil when it has not stated any.
	limit *serverLimit
	// addressReused is set when another server listens on the address.
	addressReused bool
	coldBucket    tokenBucket
	// probedAt is when the server was last probed, missedProbes the number of unanswered probes in a row.
	probedAt     time.Time
	missedProbes int
	probePending bool
}

// offset returns how far the rank follows the index that the server's hash selects out of n, modulo n.
func (s *server) offset(rank, n int) int { return offset(s.hash, rank, n) }

// offset scales the hash to n, so that an entry more or less moves the index by one at most, as it does the ranks.
func offset(hash uint64, rank, n int) int {
	index, _ := bits.Mul64(hash, uint64(n))
	return (rank + n - int(index)) % n
}

func newServer(record cataloger.ServerRecord) *server {
	return &server{
		record: record, hash: xxhash.Sum64String(record.Server.ID), startTimes: make(map[uint64]time.Time), latencyRatio: 1, slowdown: 1,
	}
}

// decay returns the weight of an observation of the given age for a time constant.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

// estimatedRunning estimates the number of requests on the server. The requests of other entries in its last report
// are assumed to end within the mean latency and to be replaced by their mean number.
func (s *server) estimatedRunning(now time.Time, meanLatency time.Duration) float64 {
	age := now.Sub(s.reportedAt)
	others := s.othersMean + (s.others-s.othersMean)*decay(age, max(meanLatency, 50*time.Millisecond))
	return float64(len(s.startTimes)) + others*decay(age, observationDecay)
}

func (s *server) slots() float64 { return float64(max(1, s.record.Server.Slots)) }

// concurrencyLimit is the number of requests that the server should run at once.
func (s *server) concurrencyLimit() float64 { return max(1, math.Floor(kneeShare*s.slots())) }

// congestedLimit is the concurrency limit during congestion. It includes the slots above the knee where they increase
// the throughput.
func (s *server) congestedLimit() float64 {
	if full := s.slots(); full/kneeSlowdown > s.concurrencyLimit() {
		return full
	}
	return s.concurrencyLimit()
}

// startSlowdown is the factor by which a request takes longer if it starts while the server runs the given number of
// requests: kneeSlowdown when that puts the server above its knee.
func (s *server) startSlowdown(running float64) float64 {
	if s.slots() > 1 && math.Round(running)+1 > kneeShare*s.slots() {
		return kneeSlowdown
	}
	return 1
}

// limitFor returns the concurrency limit, depending on whether requests find no free server.
func (s *server) limitFor(congested bool) float64 {
	if congested {
		return s.congestedLimit()
	}
	return s.concurrencyLimit()
}

// hasCapacity reports whether one more request stays within the limit, given the number of entries that send
// requests.
func (s *server) hasCapacity(now time.Time, meanLatency time.Duration, entries int, limit float64) bool {
	if s.limited() {
		return s.estimatedRunning(now, meanLatency)+0.5 < limit // Its limit leaves room for what other entries send.
	}
	if s.reportedAt.IsZero() && s.reportsLoad {
		return len(s.startTimes) == 0 // Other entries may discover the server at the same moment.
	}
	if s.lastOutcome.IsZero() && s.reportedAt.IsZero() && entries > 1 {
		// After a start all entries find all servers idle.
		return float64(len(s.startTimes)) < max(1, math.Floor(limit/float64(entries)))
	}
	return s.estimatedRunning(now, meanLatency)+s.reservedForOthers(now, meanLatency, entries, limit)+0.5 < limit
}

// reservedForOthers is the number of slots that other entries may have taken since the server last reported its load.
// Without it, all entries would take the same free slots at the same moment and push the server above its knee.
func (s *server) reservedForOthers(now time.Time, meanLatency time.Duration, entries int, limit float64) float64 {
	if !s.reportsLoad || entries < 2 {
		return 0
	}
	age := now.Sub(s.reportedAt).Seconds() / max(meanLatency, 50*time.Millisecond).Seconds()
	others := 1 - 1/float64(entries)
	return min(maxReservedShare*others*min(1, age)*limit, limit-1) // An idle server can always take one request.
}

// cost is the expected time of a request on the server relative to the mean of its route.
func (s *server) cost(now time.Time, meanLatency time.Duration, dc string, cold bool) float64 {
	weight := decay(now.Sub(s.lastOutcome), observationDecay)
	cost := 1 + (s.latencyRatio-1)*weight
	cost *= 1 + failureCostWeight*s.failureRate*weight
	cost *= s.slowdownAt(now)
	running := s.estimatedRunning(now, meanLatency)
	cost *= s.startSlowdown(running) * (1 + fullLoadCost*running/s.concurrencyLimit())
	if s.record.Server.DC != dc {
		cost *= otherDCCostFactor
	}
	if cold {
		cost *= coldCostFactor
	}
	if overdue := s.oldestAge(now).Seconds() / max(meanLatency.Seconds(), 0.001); overdue > overdueFactor {
		cost *= overdue / overdueFactor * 2
	}
	return cost
}

// expectedLatency is the expected latency on the server of a request that takes base on an idle host.
func (s *server) expectedLatency(now time.Time, base time.Duration) time.Duration {
	return time.Duration(s.slowdownAt(now) * float64(base))
}

// expectedNextLatency is the same for a request that starts now, in addition to those that are running.
func (s *server) expectedNextLatency(now time.Time, base, meanLatency time.Duration) time.Duration {
	return time.Duration(s.startSlowdown(s.estimatedRunning(now, meanLatency)) * float64(s.expectedLatency(now, base)))
}

// slowdownAt is the reported slowdown, decayed with the age of the report.
func (s *server) slowdownAt(now time.Time) float64 {
	return 1 + (s.slowdown-1)*decay(now.Sub(s.reportedAt), slowdownDecay)
}

func (s *server) pausedAt(now time.Time) bool { return now.Before(s.pausedUntil) }

// requestedPauseAt reports whether the server has asked this entry for no requests at this time.
func (s *server) requestedPauseAt(now time.Time) bool { return now.Before(s.requestedPauseEnd) }

// isLeaving reports whether the server has announced in a response that it is leaving.
func (s *server) isLeaving() bool { return !s.cutoff.IsZero() }

// pastCutoff reports whether a leaving server gets no more requests.
func (s *server) pastCutoff(now time.Time) bool { return s.isLeaving() && !now.Before(s.cutoff) }

func (s *server) oldestAge(now time.Time) time.Duration {
	var age time.Duration
	for _, at := range s.startTimes {
		age = max(age, now.Sub(at))
	}
	return age
}

// observe applies the outcome of a request. It reports whether the outcome paused the server.
func (s *server) observe(now time.Time, meanLatency time.Duration, o sycamorevane.Outcome) bool {
	if o.Load != nil {
		load := *o.Load
		if o.Kind == sycamorevane.OutcomeOK || o.Kind == sycamorevane.OutcomeFailed {
			load.Running-- // Servers include the request that they are answering.
		}
		s.applyLoadReport(now, &load)
	}
	s.addressReused = s.addressReused || o.AddressReused
	weight := decay(now.Sub(s.lastOutcome), observationDecay)
	s.latencyRatio = 1 + (s.latencyRatio-1)*weight
	s.failureRate *= weight
	s.lastOutcome = now
	switch o.Kind {
	case sycamorevane.OutcomeOK:
		s.consecutiveFailures = 0
		s.failureRate -= s.failureRate * failureWeight
		s.updateLatencyRatio(meanLatency, o.Latency)
	case sycamorevane.OutcomeFailed:
		s.failureRate += (1 - s.failureRate) * failureWeight
	case sycamorevane.OutcomeShed:
		s.others = max(s.others, s.slots())
		s.reportedAt = now
		return s.pause(now, shedPause)
	case sycamorevane.OutcomeConnectFailed:
		return s.pause(now, connectFailedPause)
	case sycamorevane.OutcomeTimeout:
		s.failureRate += (1 - s.failureRate) * failureWeight
		return s.pause(now, failurePause)
	case sycamorevane.OutcomeIncomplete:
		s.failureRate += (1 - s.failureRate) * failureWeight
		if s.consecutiveFailures+1 < incompletesToPause {
			s.consecutiveFailures++
			return false
		}
		return s.pause(now, failurePause)
	case sycamorevane.OutcomeCancelled:
		// It would have taken at least this long.
		if o.Latency > meanLatency {
			s.updateLatencyRatio(meanLatency, o.Latency)
		}
	}
	return false
}

// applyLoadReport applies a load report of the server.
func (s *server) applyLoadReport(now time.Time, l *sycamorevane.LoadReport) {
	s.others = max(0, float64(l.Running+l.Waiting-len(s.startTimes)))
	s.othersMean += othersWeight * (s.others - s.othersMean)
	s.reportedAt = now
	s.slowdown = 1
	if l.Slowdown > 0 {
		s.slowdown = l.Slowdown
	}
}

func (s *server) updateLatencyRatio(meanLatency, latency time.Duration) {
	if meanLatency <= 0 {
		return
	}
	s.latencyRatio += latencyWeight * (min(latency.Seconds()/meanLatency.Seconds(), 10) - s.latencyRatio)
}

func (s *server) pause(now time.Time, first time.Duration) bool {
	d := min(maxPause, first<<min(s.consecutiveFailures, 4))
	s.consecutiveFailures++
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return true
}

// tokenBucket limits a rate, such as that of requests to a cold server.
type tokenBucket struct {
	tokens float64
	// size is how many tokens the bucket holds, at least one.
	size       float64
	refilledAt time.Time
}

// refill adds the tokens since the last refill. The bucket starts empty, so that a restarted entry does not exceed the
// rate together with its previous start.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	b.tokens = min(max(1, b.size), b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	b.refilledAt = now
}

// take removes a token if there is one.
func (b *tokenBucket) take(now time.Time, rate float64) bool {
	b.refill(now, rate)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// hasToken reports whether take would succeed.
func (b *tokenBucket) hasToken(now time.Time, rate float64) bool {
	return !b.refilledAt.IsZero() && b.tokens+now.Sub(b.refilledAt).Seconds()*rate >= 1
}
