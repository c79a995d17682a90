package dispatcher

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
)

const (
	// paceLife is the time in which what a server said of its pace loses most of its worth: the load of a shared
	// machine changes several times a second.
	paceLife = 300 * time.Millisecond
	// slowPace is the pace of a server whose requests are worth a second attempt elsewhere.
	slowPace = 2.0
	// memory is the time in which past latency and failures lose most of their worth, so that a server that was slow
	// or failed gets requests again.
	memory = 5 * time.Second
	// kneeShare is the part of a server's slots above which requests that begin there take kneeFactor times as long: the
	// slots above it are used where they add more work than that costs, as on servers of two slots, and requests find no
	// room otherwise.
	kneeShare  = 0.8
	kneeFactor = 1.7
	// distantCost makes a server of the own data centre win unless it is twice as slow: traffic between data centres costs
	// time and money, and what is known of a distant server is older, as only near ones are asked for their load.
	distantCost = 2.0
	// busyCost is the cost of a full server beside an idle one.
	busyCost = 0.25
	// coldCost is how much slower a cold server is taken to be.
	coldCost = 2.0
	// failureCost weighs the share of failed answers.
	failureCost = 6.0
	// lateShare is the part of a server's room that is used by requests that are late in any case while others find none: the
	// rest is for those that can be in time, which may have come to another entry.
	lateShare = 0.5
	// crowdedAfter is how long a request in time waits in vain until its service counts as crowded, for crowdedLife.
	crowdedAfter = 20 * time.Millisecond
	crowdedLife  = time.Second
	// unreportedShare is the part of a server's room that is kept for requests of other entries that it has not reported
	// yet.
	unreportedShare = 0.7
	// overdue is how many times the usual latency a running request may take before its server counts as stuck.
	overdue = 2.5
	// latencyWeight, failureWeight and othersWeight are the weights of one observation.
	othersWeight  = 0.2
	latencyWeight = 0.3
	failureWeight = 0.25
	// refusedPause, shedPause and brokenPause are the first pauses of a server after a failed connection, its own
	// refusal and answers that broke off; they double up to pauseMax while it goes on.
	refusedPause = 500 * time.Millisecond
	shedPause    = 150 * time.Millisecond
	brokenPause  = 500 * time.Millisecond
	pauseMax     = 4 * time.Second
	// brokenStrikes is how many broken answers in a row pause a server: single ones happen.
	brokenStrikes = 2
)

// server is what this entry knows of one backend server.
type server struct {
	entry cataloger.ServerRecord
	// hash of the id spreads over the entries what few of them do for a server.
	hash uint64
	// started holds when each own running request was sent, by grant.
	started map[uint64]time.Time
	// others is how many requests of other entries the server had at its last answer, at loadAt.
	others float64
	// usually is the smoothed number of requests of other entries.
	usually float64
	// tells is set when the servers of the service say how loaded they are.
	tells    bool
	slowdown float64
	loadAt   time.Time
	// ratio is the smoothed latency relative to the usual one of the same route; 1 at the beginning.
	ratio     float64
	failing   float64
	seen      time.Time
	strikes   int
	pausedTil time.Time
	// heldTil is until when the server has asked for no requests of this entry.
	heldTil time.Time
	// ends is from when the server gets nothing, since it has said in an answer that it leaves; zero when it has not.
	ends time.Time
	// addressReused is set when another server has the address.
	addressReused bool
	cold          bucket
	// probed is when the server was last asked for its load; missed counts the probes without an answer in a row.
	probed  time.Time
	missed  int
	probing bool
}

// offset is how far the entry with the rank comes after the one of n that the server's hash begins with.
func (s *server) offset(rank, n int) int { return (rank + n - int(s.hash%uint64(n))) % n }

func newServer(e cataloger.ServerRecord) *server {
	return &server{
		entry: e, hash: xxhash.Sum64String(e.Server.ID), started: make(map[uint64]time.Time), ratio: 1, slowdown: 1,
	}
}

// fade returns how much an observation is still worth after age.
func fade(age, life time.Duration) float64 { return math.Exp(-float64(max(0, age)) / float64(life)) }

// occupied estimates the requests on the server. What other entries had there at its last answer ends within the usual
// latency, and is followed by as much as they usually have there.
func (s *server) occupied(now time.Time, usual time.Duration) float64 {
	age := now.Sub(s.loadAt)
	others := s.usually + (s.others-s.usually)*fade(age, max(usual, 50*time.Millisecond))
	return float64(len(s.started)) + others*fade(age, memory)
}

func (s *server) slots() float64 { return float64(max(1, s.entry.Server.Slots)) }

// room is how many requests the server should run at once.
func (s *server) room() float64 { return max(1, math.Floor(kneeShare*s.slots())) }

// fullRoom is the same when the slots above the knee are used as well, where that gets more work done.
func (s *server) fullRoom() float64 {
	if full := s.slots(); full/kneeFactor > s.room() {
		return full
	}
	return s.room()
}

// crowding is how much longer a request takes that begins beside so many others, as the server is above its knee then.
func (s *server) crowding(occupied float64) float64 {
	if s.slots() > 1 && math.Round(occupied)+1 > kneeShare*s.slots() {
		return kneeFactor
	}
	return 1
}

// roomFor is how many requests the server should run at once for one that is late in any case or not, while requests in
// time find no room or do.
func (s *server) roomFor(late, crowded bool) float64 {
	switch {
	case !crowded:
		return s.room()
	case late:
		return max(1, math.Floor(lateShare*s.room()))
	default:
		return s.fullRoom()
	}
}

// free reports whether one more request stays within the room while callers are sent to so many entries.
func (s *server) free(now time.Time, usual time.Duration, entries int, room float64) bool {
	if s.loadAt.IsZero() && s.tells {
		return len(s.started) == 0 // Other entries may have found it at the same moment.
	}
	if s.seen.IsZero() && s.loadAt.IsZero() && entries > 1 {
		// After a start all entries find all servers idle.
		return float64(len(s.started)) < max(1, math.Floor(room/float64(entries)))
	}
	return s.occupied(now, usual)+s.unreported(now, usual, entries, room)+0.5 < room
}

// unreported is the room that other entries may have taken since the server last reported its load. Without it all entries take
// the same room at the same moment, and the server works above its knee.
func (s *server) unreported(now time.Time, usual time.Duration, entries int, room float64) float64 {
	if !s.tells || entries < 2 {
		return 0
	}
	age := now.Sub(s.loadAt).Seconds() / max(usual, 50*time.Millisecond).Seconds()
	others := 1 - 1/float64(entries)
	return min(unreportedShare*others*min(1, age)*room, room-1) // An idle server takes a request in any case.
}

// cost is the expected time of a request on the server relative to the usual one.
func (s *server) cost(now time.Time, usual time.Duration, dc string, cold bool) float64 {
	worth := fade(now.Sub(s.seen), memory)
	cost := 1 + (s.ratio-1)*worth
	cost *= 1 + failureCost*s.failing*worth
	cost *= s.paceAt(now)
	occupied := s.occupied(now, usual)
	cost *= s.crowding(occupied) * (1 + busyCost*occupied/s.room())
	if s.entry.Server.DC != dc {
		cost *= distantCost
	}
	if cold {
		cost *= coldCost
	}
	if late := s.oldest(now).Seconds() / max(usual.Seconds(), 0.001); late > overdue {
		cost *= late / overdue * 2
	}
	return cost
}

// expected is how long a request should take on the server, for one that takes base on a machine without other load.
func (s *server) expected(now time.Time, base time.Duration) time.Duration {
	return time.Duration(s.paceAt(now) * float64(base))
}

// expectedNext is the same for one that begins now, beside those that the server has.
func (s *server) expectedNext(now time.Time, base, usual time.Duration) time.Duration {
	return time.Duration(s.crowding(s.occupied(now, usual)) * float64(s.expected(now, base)))
}

// paceAt is how long work takes relative to the usual time, as far as what the server last said still holds.
func (s *server) paceAt(now time.Time) float64 {
	return 1 + (s.slowdown-1)*fade(now.Sub(s.loadAt), paceLife)
}

func (s *server) pausedAt(now time.Time) bool { return now.Before(s.pausedTil) }

// heldAt reports whether the server has asked for no requests of this entry.
func (s *server) heldAt(now time.Time) bool { return now.Before(s.heldTil) }

// leaves reports whether the server has said in an answer that it leaves, endedAt whether that was too long ago for
// further requests.
func (s *server) leaves() bool { return !s.ends.IsZero() }

func (s *server) endedAt(now time.Time) bool { return s.leaves() && !now.Before(s.ends) }

func (s *server) oldest(now time.Time) time.Duration {
	var age time.Duration
	for _, at := range s.started {
		age = max(age, now.Sub(at))
	}
	return age
}

// observe takes the end of a request into account. It returns true when the server was paused by it.
func (s *server) observe(now time.Time, usual time.Duration, o sycamorevane.Outcome) bool {
	if o.Load != nil {
		load := *o.Load
		if o.Kind == sycamorevane.OutcomeOK || o.Kind == sycamorevane.OutcomeFailed {
			load.Running-- // A server counts the request that it is answering.
		}
		s.report(now, &load)
	}
	s.addressReused = s.addressReused || o.AddressReused
	worth := fade(now.Sub(s.seen), memory)
	s.ratio = 1 + (s.ratio-1)*worth
	s.failing *= worth
	s.seen = now
	switch o.Kind {
	case sycamorevane.OutcomeOK:
		s.strikes = 0
		s.failing -= s.failing * failureWeight
		s.slower(usual, o.Latency)
	case sycamorevane.OutcomeFailed:
		s.failing += (1 - s.failing) * failureWeight
	case sycamorevane.OutcomeShed:
		s.others = max(s.others, s.slots())
		s.loadAt = now
		return s.pause(now, shedPause)
	case sycamorevane.OutcomeConnectFailed:
		return s.pause(now, refusedPause)
	case sycamorevane.OutcomeTimeout:
		s.failing += (1 - s.failing) * failureWeight
		return s.pause(now, brokenPause)
	case sycamorevane.OutcomeIncomplete:
		s.failing += (1 - s.failing) * failureWeight
		if s.strikes+1 < brokenStrikes {
			s.strikes++
			return false
		}
		return s.pause(now, brokenPause)
	case sycamorevane.OutcomeCancelled:
		// It took at least this long.
		if o.Latency > usual {
			s.slower(usual, o.Latency)
		}
	}
	return false
}

// report takes what the server says of its load.
func (s *server) report(now time.Time, l *sycamorevane.LoadReport) {
	s.others = max(0, float64(l.Running+l.Waiting-len(s.started)))
	s.usually += othersWeight * (s.others - s.usually)
	s.loadAt = now
	s.slowdown = 1
	if l.Slowdown > 0 {
		s.slowdown = l.Slowdown
	}
}

func (s *server) slower(usual, latency time.Duration) {
	if usual <= 0 {
		return
	}
	s.ratio += latencyWeight * (min(latency.Seconds()/usual.Seconds(), 10) - s.ratio)
}

func (s *server) pause(now time.Time, first time.Duration) bool {
	d := min(pauseMax, first<<min(s.strikes, 4))
	s.strikes++
	if until := now.Add(d); until.After(s.pausedTil) {
		s.pausedTil = until
	}
	return true
}

// bucket spreads what has a bounded rate, such as the requests of a cold server.
type bucket struct {
	tokens float64
	filled time.Time
}

// take removes a token. The bucket is empty at first, so that a restarted entry does not add to what its former start
// has sent.
func (b *bucket) take(now time.Time, rate float64) bool {
	if b.filled.IsZero() {
		b.filled = now
	}
	b.tokens = min(1, b.tokens+now.Sub(b.filled).Seconds()*rate)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ready reports whether take would succeed.
func (b *bucket) ready(now time.Time, rate float64) bool {
	return !b.filled.IsZero() && b.tokens+now.Sub(b.filled).Seconds()*rate >= 1
}
