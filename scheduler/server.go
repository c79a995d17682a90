package scheduler

import (
	"math"
	"time"

	"sycamorevane.example/sycamorevane"
)

const (
	// slowdownDecay is the time constant with which a reported slowdown approaches the mean of the pool: the load of a
	// shared host is drawn anew about every 300 ms.
	slowdownDecay = 300 * time.Millisecond
	// initialMeanSlowdown is the assumed mean slowdown of a pool whose servers report their load: 4 times for 0.25 to
	// 0.3 of the time. meanSlowdownWeight is the weight of one report.
	initialMeanSlowdown = 1.8
	meanSlowdownWeight  = 0.01
	// kneeShare is the share of the slots above which a request that starts takes kneeSlowdown times as long.
	kneeShare    = 0.8
	kneeSlowdown = 1.7
	// observationDecay is the time constant with which past failures and latencies decay, so that a server that failed
	// or was slow gets requests again.
	observationDecay = 5 * time.Second
	latencyWeight    = 0.2
	failureWeight    = 0.25
	// failureCostWeight is the weight of the failure rate in the cost. fullLoadCost is the additional relative cost of
	// a full server compared with an idle one.
	failureCostWeight = 6.0
	fullLoadCost      = 0.25
	// shedPause, connectFailedPause and failurePause are the first pauses of a server. They double up to maxPause while
	// the failures continue.
	shedPause          = 50 * time.Millisecond
	connectFailedPause = 500 * time.Millisecond
	failurePause       = 500 * time.Millisecond
	maxPause           = 4 * time.Second
	// incompletesToPause is the number of incomplete responses in a row that pause a server, since single ones occur
	// normally. missedProbesToPause is the same for probes.
	incompletesToPause  = 2
	missedProbesToPause = 2
	// edgeRetention is how long a server stays below the number of requests at which it rejected one. After each
	// further edgeStep one more request is tried, so that a single rejection costs little.
	edgeRetention = 2 * time.Second
	edgeStep      = time.Second
	// reorderWindow is how much later than a load report the end of a request may be known, or earlier: entries send
	// batches every 10 ms.
	reorderWindow = 15 * time.Millisecond
)

// server is what the pool knows of a server.
type server struct {
	Server
	// running counts the requests of this pool's entries that were granted or reported for the server.
	running int
	// others is the number of further requests in the last load report, at reportedAt.
	others     float64
	slowdown   float64
	reportedAt time.Time
	// ends holds when the last requests ended; a load report may still contain them.
	ends [4]time.Time
	// latencyRatio is the smoothed latency relative to the expected one, failureRate the smoothed share of failures.
	latencyRatio, failureRate float64
	lastOutcome               time.Time
	consecutiveFailures       int
	pausedUntil               time.Time
	// edge is the number of requests that the server ran and queued when it rejected one at edgeAt; 0 for none.
	edge   int
	edgeAt time.Time
	// probeTokens bounds the probes.
	probeTokens  float64
	tokensAt     time.Time
	probedAt     time.Time
	probing      bool
	missedProbes int
}

func newServer(now time.Time, s Server) *server {
	return &server{Server: s, slowdown: 1, latencyRatio: 1, probeTokens: probeBurst, tokensAt: now}
}

// decay returns the weight of an observation of the given age for a time constant.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

// limit is the number of requests that the server should run at once.
func (s *server) limit(now time.Time, congested bool) int {
	slots := max(1, s.Slots)
	limit := max(1, int(kneeShare*float64(slots)))
	if congested && float64(slots)/kneeSlowdown > float64(limit) {
		limit = slots // As on servers of two slots, the last slot adds more throughput than its slowdown costs.
	}
	if s.edge > 0 {
		if age := now.Sub(s.edgeAt); age > edgeRetention {
			limit = min(limit, s.edge-1+int((age-edgeRetention)/edgeStep)+1)
		} else {
			limit = min(limit, s.edge-1)
		}
	}
	return max(1, limit)
}

// occupied estimates the number of requests on the server.
func (s *server) occupied(now time.Time) float64 {
	if s.others == 0 {
		return float64(s.running)
	}
	return float64(s.running) + s.others*decay(now.Sub(s.reportedAt), slowdownDecay)
}

// hasRoom reports whether the server may get one more request.
func (s *server) hasRoom(now time.Time, reportsLoad, congested bool) bool {
	if !s.Usable || now.Before(s.pausedUntil) {
		return false
	}
	if reportsLoad && s.reportedAt.IsZero() {
		return s.running == 0 // Entries that have not reported yet may have requests running there.
	}
	return s.occupied(now)+0.5 < float64(s.limit(now, congested))
}

// hostSlowdown is the expected slowdown of the server's host.
func (s *server) hostSlowdown(now time.Time, mean float64) float64 {
	return mean + (s.slowdown-mean)*decay(now.Sub(s.reportedAt), slowdownDecay)
}

// startSlowdown is the factor by which a request takes longer if it starts at the present load of the server.
func (s *server) startSlowdown(now time.Time) float64 {
	if s.Slots > 1 && math.Round(s.occupied(now))+1 > kneeShare*float64(s.Slots) {
		return kneeSlowdown
	}
	return 1
}

// cost orders the servers for a request, given its expected slowdown there.
func (s *server) cost(now time.Time, slowdown float64) float64 {
	weight := decay(now.Sub(s.lastOutcome), observationDecay)
	cost := slowdown * (1 + (s.latencyRatio-1)*weight) * (1 + failureCostWeight*s.failureRate*weight)
	return cost * (1 + fullLoadCost*s.occupied(now)/float64(s.limit(now, false)))
}

// applyLoad applies a load report that does not include the requests that have ended.
func (s *server) applyLoad(now time.Time, l *sycamorevane.LoadReport, ended int) {
	recent := 0
	for _, at := range s.ends {
		if now.Sub(at) < reorderWindow {
			recent++
		}
	}
	s.others = max(0, float64(l.Running+l.Waiting-max(ended, recent)-s.running))
	s.slowdown = 1
	if l.Slowdown > 0 {
		s.slowdown = l.Slowdown
	}
	s.reportedAt, s.missedProbes = now, 0
}

// noteEnd records the end of a request.
func (s *server) noteEnd(now time.Time) {
	copy(s.ends[1:], s.ends[:])
	s.ends[0] = now
}

// observe applies the outcome of a request. expected is its expected latency, 0 if unknown.
func (s *server) observe(now time.Time, f *Finish, expected time.Duration) {
	weight := decay(now.Sub(s.lastOutcome), observationDecay)
	s.latencyRatio = 1 + (s.latencyRatio-1)*weight
	s.failureRate *= weight
	s.lastOutcome = now
	switch f.Kind {
	case sycamorevane.OutcomeOK:
		s.consecutiveFailures = 0
		s.failureRate -= s.failureRate * failureWeight
		if expected > 0 {
			s.latencyRatio += latencyWeight * (min(float64(f.Latency)/float64(expected), 10) - s.latencyRatio)
		}
	case sycamorevane.OutcomeFailed:
		s.failureRate += (1 - s.failureRate) * failureWeight
	case sycamorevane.OutcomeShed:
		if !s.mayBeFull(f.Load) {
			// It rejects a part of its requests at any load. A pause would only take its room from the pool.
			s.failureRate += (1 - s.failureRate) * failureWeight
			return
		}
		s.learnEdge(now)
		s.pause(now, shedPause)
	case sycamorevane.OutcomeConnectFailed:
		s.learnEdge(now)
		s.pause(now, connectFailedPause)
	case sycamorevane.OutcomeTimeout:
		s.failureRate += (1 - s.failureRate) * failureWeight
		s.pause(now, failurePause)
	case sycamorevane.OutcomeIncomplete:
		s.failureRate += (1 - s.failureRate) * failureWeight
		s.learnEdge(now)
		if s.consecutiveFailures+1 < incompletesToPause {
			s.consecutiveFailures++
			return
		}
		s.pause(now, failurePause)
	case sycamorevane.OutcomeCancelled:
	}
}

// mayBeFull reports whether a server that has rejected a request had no free slot: the load in the response says so, or
// there is no load.
func (s *server) mayBeFull(load *sycamorevane.LoadReport) bool {
	return load == nil || load.Running+load.Waiting >= max(1, s.Slots)
}

// learnEdge records that the server rejected a request or reset its connection at the present load, which includes that
// request. A server that failed with a single request has no load below that.
func (s *server) learnEdge(now time.Time) {
	if load := int(s.occupied(now)+0.5) + 1; load > 1 {
		s.edge, s.edgeAt = load, now
	}
}

func (s *server) pause(now time.Time, first time.Duration) {
	d := min(maxPause, first<<min(s.consecutiveFailures, 4))
	s.consecutiveFailures++
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}
