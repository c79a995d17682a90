// Package balancer decides, for one pool (the servers of one service in one data centre), which rate of requests is sent
// to the pools of the same service in the other data centres. It does no I/O: time and messages are arguments, decisions
// are return values.
//
// Each pool is both borrower and lender. As a lender it divides its room into offers, whose sum it keeps within the room
// also while earlier offers may still be in use. As a borrower it sends only within the offers that it has received, and
// only as much as takes less time of all callers than keeping the requests would.
//
// The driver calls Update about every 100 ms, sends the returned Report to the other data centres, and calls Take for
// each request that finds no room at home. A request that has come from another data centre is never sent on.
package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"sycamorevane.example/sycamorevane/scheduler"
)

const (
	// maxAge is the age from which a report is not used. As offers end with it, it is also the time in which a lender has
	// its room back without hearing from the borrower.
	maxAge = time.Second
	// increaseTime and decreaseTime are the time constants of a rate. Increases are slower, since the neighbours learn of
	// them only after 100 to 200 ms; both are short compared with a wave of demand of 15 s.
	increaseTime = 400 * time.Millisecond
	decreaseTime = 200 * time.Millisecond
	// deadband is the relative difference between rate and target below which the rate stays as it is.
	deadband = 0.05
	// minRate is the smallest rate in use, in requests per second.
	minRate = 0.25
	// recoveryPeriod limits how long after its return a data centre may exceed MaxShare because its servers are cold.
	recoveryPeriod = time.Minute
	// lostHeadroom is the sum of the rates relative to the demand while no request can run at home. The smoothed demand is
	// behind by up to 11% when it rises by 0.23 a second, and varies; without headroom, what exceeds it would be rejected.
	lostHeadroom = 1.25
	// changeInterval is the shortest time between two changes to be logged, and changeShare the difference of a rate,
	// relative to the demand, from which it is one.
	changeInterval = time.Second
	changeShare    = 0.1
)

// State describes whether the servers of a data centre may be used.
type State int

// The servers of a data centre that is not Serving are not used, and all of its work moves.
const (
	Serving State = iota
	Drained
	Partitioned
	Evacuated
)

// String returns the state for logs.
func (s State) String() string {
	return [...]string{"serving", "drained", "partitioned", "evacuated"}[s]
}

// Limits restrict what a pool sends to other data centres.
type Limits struct {
	// MaxShare is the largest share of its demand, from 0 to 1. It does not apply while the data centre is not Serving or
	// has no usable server, and while it returns from such a state.
	MaxShare float64
	// MaxMbps is the largest rate of requests and responses together, in Mbit/s; 0 means no limit. It applies always.
	MaxMbps float64
}

// ForPools divides the limits of a data centre evenly among its pools, so that their drivers need not talk to each other.
func (l Limits) ForPools(pools int) Limits {
	return Limits{MaxShare: l.MaxShare, MaxMbps: l.MaxMbps / float64(max(1, pools))}
}

// Report is what a pool sends to the pools of the same service in the other data centres. Maps are keyed by data centre.
type Report struct {
	scheduler.Summary
	// Own and OwnUrgent are the parts of Demand and UrgentDemand that come from the callers of the own data centre.
	Own, OwnUrgent float64
	// Want are the rates that the pool would send if the lenders offered all of their room, Rates those that it sends at
	// most.
	Want, Rates map[string]float64
	// Offers are the rates that the pool accepts from each borrower.
	Offers map[string]float64
	// Seq identifies the report and increases with each. Seen are the Seq of the last reports received by this pool.
	Seq  uint64
	Seen map[string]uint64
}

// Remote is what a pool knows of the pool of the same service in another data centre.
type Remote struct {
	DC    string
	State State
	// Report is the last report received, nil for none, and Age the time since it was sent.
	Report *Report
	Age    time.Duration
	// Delay is the one-way delay, Mbps the bandwidth of the link between a host and the other data centre; 0 if unknown.
	Delay time.Duration
	Mbps  float64
}

// Input is what a pool decides by.
type Input struct {
	State State
	// Summary describes the own pool. Its Demand includes the requests that are then sent to other data centres.
	Summary scheduler.Summary
	// Borrowed and BorrowedUrgent are the parts of Demand and UrgentDemand that other data centres have sent, smoothed in
	// the same way.
	Borrowed, BorrowedUrgent float64
	// RequestBytes and ResponseBytes are the mean sizes.
	RequestBytes, ResponseBytes float64
	Others                      []Remote
}

// Pool decides for one pool. All methods must be called by one goroutine at a time.
type Pool struct {
	dc           string
	limits       Limits
	created      time.Time
	updated      time.Time
	destinations map[string]*destination
	bytes        byteBucket
	seq          uint64
	sent         []sentReport
	// lastLost is when the data centre last had no servers in use; zero if it never had none or has recovered.
	lastLost time.Time
	change   Change
	changed  bool
}

// destination is another data centre as a borrower sees it.
type destination struct {
	Destination
	// usableUntil is when the report by which Rate was decided becomes too old.
	usableUntil time.Time
	tokens      tokenBucket
	// benefit is the time in seconds that sending the first request saves, apart from the transfer of its bytes.
	benefit float64
	mbps    float64
	// logged is the rate in the last Change.
	logged float64
}

// Destination describes the decision about one other data centre, for logs and metrics. Rates are per second.
type Destination struct {
	DC string
	// Rate is the rate in use, Target the one that it moves to, Offer the most that the lender accepts.
	Rate, Target, Offer float64
	// Cost is by how much one more request extends the time of all requests there, with its way, in seconds.
	Cost float64
	// Age is an upper bound on the age of the report; math.MaxInt64 if there is none.
	Age time.Duration
	// Reason is why the rate is not higher.
	Reason string
}

// Reasons why a rate is not higher.
const (
	ReasonNoReport   = "no recent report"
	ReasonNotServing = "not serving"
	ReasonCost       = "more costly than at home"
	ReasonOffer      = "offer is used up"
	ReasonShare      = "maxshare"
	ReasonMbps       = "maxmbps"
	ReasonDemand     = "all demand is sent"
	ReasonUnknown    = "own capacity is unknown"
)

// Change is a change of the rates with the inputs that it was decided by.
type Change struct {
	At time.Time
	// From and To are the sums of the rates at the last Change and now.
	From, To float64
	State    State
	Summary  scheduler.Summary
	// Own is the demand of the own callers, Borrowed that of other data centres.
	Own, Borrowed float64
	// HomeCost is by how much one more request extends the time of all requests at home, in seconds.
	HomeCost     float64
	Bytes        float64
	Destinations []Destination
}

// New returns the core of the pool in the data centre dc. It offers nothing for the first second, while offers of an
// earlier core of the same pool may be in use.
func New(now time.Time, dc string, limits Limits) *Pool {
	return &Pool{
		dc: dc, limits: limits, created: now, updated: now, destinations: map[string]*destination{},
		// A core created later, also on another host, has other numbers, so that it does not mistake what has been seen of
		// an earlier one for its own.
		seq: uint64(now.UnixNano()),
	}
}

// SetLimits replaces the limits; they take effect with the next Update.
func (p *Pool) SetLimits(l Limits) { p.limits = l }

// Update decides the rates and returns the report to be sent to the other data centres.
func (p *Pool) Update(now time.Time, in Input) Report {
	own, ownUrgent := max(0, in.Summary.Demand-in.Borrowed), max(0, in.Summary.UrgentDemand-in.BorrowedUrgent)
	lost := in.State != Serving || in.Summary.Servers == 0
	recovering := p.updateRecovery(now, in, own, lost)
	bytes := in.RequestBytes + in.ResponseBytes

	home := newQueue(in.Summary, own+in.Borrowed)
	if lost {
		home.capacity = 0
	}
	plan := plan{home: home, maximum: own + float64(in.Summary.Waiting)/backlogTime}
	maximumReason := ReasonDemand
	switch {
	case lost:
		plan.maximum *= lostHeadroom
	case in.Summary.Capacity <= 0:
		plan.maximum, maximumReason = 0, ReasonUnknown
	default:
		share := p.limits.MaxShare
		if recovering && own > 0 {
			share = max(share, 1-in.Summary.Capacity/own)
		}
		if limit := share * own; limit < plan.maximum {
			plan.maximum, maximumReason = limit, ReasonShare
		}
	}
	bytesPerSecond := p.limits.MaxMbps * 1e6 / 8
	if bytesPerSecond > 0 && bytesPerSecond/max(bytes, 1) < plan.maximum {
		plan.maximum, maximumReason = bytesPerSecond/max(bytes, 1), ReasonMbps
	}

	plan.step = max(plan.maximum/planSteps, minRate)
	lenders := p.usableLenders(now, in, bytes)
	want := plan.fill(lenders, func(l *lender) float64 { return l.room })
	targets := plan.fill(lenders, func(l *lender) float64 { return l.offer })

	p.bytes.setRate(now, bytesPerSecond)
	p.moveRates(now, in, plan, lenders, targets, lost, maximumReason)
	p.seq++
	report := Report{
		Summary: in.Summary, Own: own, OwnUrgent: ownUrgent, Want: want, Rates: p.Rates(), Seq: p.seq,
		Seen: map[string]uint64{}, Offers: p.divideOffers(now, in, lost, ownUrgent),
	}
	for _, r := range in.Others {
		if r.Report != nil {
			report.Seen[r.DC] = r.Report.Seq
		}
	}
	p.sent = append(p.sent, sentReport{at: now, seq: p.seq, offers: report.Offers})
	p.updated = now
	p.noteChange(now, in, own, plan, bytes)
	return report
}

// updateRecovery tells whether the data centre has returned recently and its usable servers are still too few for
// MaxShare.
func (p *Pool) updateRecovery(now time.Time, in Input, own float64, lost bool) bool {
	switch {
	case lost:
		p.lastLost = now
	case now.Sub(p.lastLost) > recoveryPeriod || in.Summary.Capacity >= (1-p.limits.MaxShare)*own:
		p.lastLost = time.Time{}
	}
	return !lost && !p.lastLost.IsZero()
}

// ageBound returns an upper bound on the age of the report of another pool: it was sent after the own report arrived that
// it names in Seen. A delayed or one-way connection thus counts as loss of information on both sides.
func (p *Pool) ageBound(now time.Time, r *Remote) time.Duration {
	if r.Report == nil {
		return math.MaxInt64
	}
	seen := r.Report.Seen[p.dc]
	for _, s := range p.sent {
		if s.seq == seen {
			return max(r.Age, now.Sub(s.at))
		}
	}
	return math.MaxInt64
}

// usableLenders returns what is known of the data centres that requests may be sent to.
func (p *Pool) usableLenders(now time.Time, in Input, bytes float64) []*lender {
	var list []*lender
	for i := range in.Others {
		r := &in.Others[i]
		age := p.ageBound(now, r)
		d := p.destinations[r.DC]
		if d == nil {
			d = &destination{Destination: Destination{DC: r.DC}}
			p.destinations[r.DC] = d
		}
		d.Age, d.mbps, d.Offer, d.Cost, d.Target = age, r.Mbps, 0, 0, 0
		switch {
		case age > maxAge:
			d.Reason = ReasonNoReport
			continue
		case r.State != Serving || r.Report.Servers == 0:
			d.Reason = ReasonNotServing
			continue
		}
		// The rates of the other borrowers are taken from their own reports: they are newer than the smoothed demand.
		load := r.Report.Own
		for j := range in.Others {
			if o := &in.Others[j]; o.DC != r.DC && p.ageBound(now, o) <= maxAge {
				load += o.Report.Rates[r.DC]
			}
		}
		l := &lender{
			dc: r.DC, queue: newQueue(r.Report.Summary, load), offer: r.Report.Offers[p.dc],
			room: room(r.Report.Summary, r.Report.OwnUrgent),
			way:  2*r.Delay.Seconds() + crossingShare*r.Report.ExpectedLatency.Seconds(),
		}
		l.transfer = transferCost(bytes, r.Mbps)
		d.Offer, d.usableUntil = l.offer, now.Add(maxAge-age)
		list = append(list, l)
	}
	for dc := range p.destinations {
		if !slices.ContainsFunc(in.Others, func(r Remote) bool { return r.DC == dc }) {
			delete(p.destinations, dc)
		}
	}
	return list
}

// moveRates moves the rates towards the targets.
func (p *Pool) moveRates(
	now time.Time, in Input, plan plan, lenders []*lender, targets map[string]float64, lost bool, maximumReason string,
) {
	elapsed := now.Sub(p.updated)
	total := 0.0
	for _, t := range targets {
		total += t
	}
	homeCost := plan.homeCost()
	usable := map[string]bool{}
	for _, l := range lenders {
		usable[l.dc] = true
		d := p.destinations[l.dc]
		d.Target = targets[l.dc]
		d.Cost = l.queue.marginalCost(l.queue.load+d.Target, plan.step) + l.way + l.transfer
		d.benefit = homeCost - l.queue.marginalCost(l.queue.load, plan.step) - l.way
		switch {
		case total >= plan.maximum-1e-6:
			d.Reason = maximumReason
		case d.Target >= l.offer-1e-6:
			d.Reason = ReasonOffer
		default:
			d.Reason = ReasonCost
		}
		rate := d.Rate
		switch difference := d.Target - rate; {
		case lost:
			rate = d.Target // The offers alone keep the lenders from too much; any delay rejects requests.
		case math.Abs(difference) <= deadband*rate && d.Target > 0:
		case difference > 0:
			rate += difference * (1 - math.Exp(-elapsed.Seconds()/increaseTime.Seconds()))
		default:
			rate += difference * (1 - math.Exp(-elapsed.Seconds()/decreaseTime.Seconds()))
		}
		if rate = min(rate, l.offer); rate < minRate && d.Target < minRate {
			rate = 0
		}
		d.Rate = rate
	}
	sum := 0.0
	for dc, d := range p.destinations {
		if !usable[dc] {
			d.Rate, d.Target = 0, 0
		}
		sum += d.Rate
	}
	for _, d := range p.destinations {
		if sum > plan.maximum {
			d.Rate *= plan.maximum / sum
		}
		d.tokens.setRate(now, d.Rate)
	}
}

// Take decides whether a request that finds no room at home is sent to another data centre, and to which. bytes is the
// size of the request and its expected response. The rates are limits: a request that can run at home should not ask.
func (p *Pool) Take(now time.Time, bytes float64) (dc string, ok bool) {
	if now.Sub(p.updated) > maxAge || !p.bytes.available(now) {
		return "", false
	}
	var best *destination
	bestTokens := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.destinations)) {
		d := p.destinations[name]
		// A larger request than usual must be worth its own transfer.
		if d.Rate == 0 || now.After(d.usableUntil) || transferCost(bytes, d.mbps) > d.benefit {
			continue
		}
		if tokens := d.tokens.fill(now); tokens >= 1 && tokens/d.Rate > bestTokens {
			best, bestTokens = d, tokens/d.Rate
		}
	}
	if best == nil {
		return "", false
	}
	best.tokens.tokens--
	p.bytes.spend(bytes)
	return best.DC, true
}

// Return gives back what Take has taken, for a request that was not sent.
func (p *Pool) Return(dc string, bytes float64) {
	if d := p.destinations[dc]; d != nil {
		d.tokens.tokens++
	}
	p.bytes.spend(-bytes)
}

// Rates returns the rates in use, without zeros.
func (p *Pool) Rates() map[string]float64 {
	rates := map[string]float64{}
	for dc, d := range p.destinations {
		if d.Rate > 0 {
			rates[dc] = d.Rate
		}
	}
	return rates
}

// Destinations describes the last decisions, ordered by data centre.
func (p *Pool) Destinations() []Destination {
	var list []Destination
	for _, dc := range slices.Sorted(maps.Keys(p.destinations)) {
		list = append(list, p.destinations[dc].Destination)
	}
	return list
}

// LastChange returns the last change of the rates that is worth a log line, and whether the last Update made it.
func (p *Pool) LastChange() (c Change, isNew bool) { return p.change, p.changed }

func (p *Pool) noteChange(now time.Time, in Input, own float64, plan plan, bytes float64) {
	p.changed = false
	if now.Sub(p.change.At) < changeInterval {
		return
	}
	total := 0.0
	for _, d := range p.destinations {
		difference := math.Abs(d.Rate - d.logged)
		p.changed = p.changed || difference > max(1, changeShare*own) || difference > 0 && (d.Rate == 0) != (d.logged == 0)
		total += d.Rate
	}
	// The last rate to a data centre that is no longer among the others has ended as well.
	if !p.changed && (total > 0 || p.change.To == 0) {
		return
	}
	p.changed = true
	for _, d := range p.destinations {
		d.logged = d.Rate
	}
	p.change = Change{
		At: now, From: p.change.To, To: total, State: in.State, Summary: in.Summary, Own: own, Borrowed: in.Borrowed,
		HomeCost: plan.homeCost(), Bytes: bytes, Destinations: p.Destinations(),
	}
}
