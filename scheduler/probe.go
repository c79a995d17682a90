package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// probesPerSecond bounds the probes of a server, probeBurst those in quick succession.
	probesPerSecond = 8
	probeBurst      = 3
	// probeTimeout is when a probe without a result no longer counts as running.
	probeTimeout = time.Second
	// freshReportAge is the age up to which a load report is not worth a probe.
	freshReportAge = 10 * time.Millisecond
	// freshReportWait is how long a request waits for the results of probes; a health check takes about 6 ms.
	freshReportWait = 20 * time.Millisecond
	// maxProbes bounds the probes that run at a time. There is one for each waiting request: with two, half as many again
	// were sent and no more requests were in time.
	maxProbes = 16
)

// DueProbes implements Pool. Servers are probed only for requests that wait for a fresh load report, the most probably
// fast servers first.
func (c *Core) DueProbes(now time.Time) []string {
	waiting := c.queue.count
	if waiting == 0 {
		return nil
	}
	type candidate struct {
		s        *server
		slowdown float64
	}
	var candidates []candidate
	running := 0
	for _, s := range c.list {
		if s.probing && now.Sub(s.probedAt) < probeTimeout {
			running++
			continue
		}
		if now.Sub(s.reportedAt) > freshReportAge && s.hasRoom(now, c.reportsLoad, c.congested(now)) && s.hasProbeToken(now) {
			candidates = append(candidates, candidate{s, s.hostSlowdown(now, c.slowdownMean()) * s.startSlowdown(now)})
		}
	}
	n := min(len(candidates), min(maxProbes, waiting)-running)
	if n <= 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.slowdown, b.slowdown) })
	ids := make([]string, 0, n)
	for _, d := range candidates[:n] {
		d.s.probeTokens--
		d.s.probing, d.s.probedAt = true, now
		ids = append(ids, d.s.ID)
	}
	return ids
}

// hasProbeToken refills the tokens and reports whether there is one.
func (s *server) hasProbeToken(now time.Time) bool {
	s.probeTokens = min(probeBurst, s.probeTokens+now.Sub(s.tokensAt).Seconds()*probesPerSecond)
	s.tokensAt = now
	return s.probeTokens >= 1
}
