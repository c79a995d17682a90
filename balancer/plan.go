package balancer

import (
	"math"
	"time"

	"sycamorevane.example/sycamorevane/scheduler"
)

const (
	// planSteps is the number of equal parts of what may be moved, which are moved one by one.
	planSteps = 64
	// backlogTime is the time in seconds in which waiting requests should be served; they count as additional demand.
	backlogTime = 1.0
	// tangentUtilization is the utilization from which the expected wait is continued by its tangent, since demand may
	// exceed capacity for some time.
	tangentUtilization = 0.95
	// crossingShare is the share of the duration of a request that sending it must save in addition to its way, since the
	// information about other data centres is older.
	crossingShare = 0.2
	// defaultLinkMbps is the assumed speed of a link in Mbit/s while it is not known.
	defaultLinkMbps = 100
	// defaultLatency is the assumed duration of a request while none is known.
	defaultLatency = 100 * time.Millisecond
)

// queue estimates the time of requests in a pool.
type queue struct {
	// load and capacity are rates per second, latency the time on a server in seconds.
	load, capacity, latency float64
}

func newQueue(s scheduler.Summary, demand float64) queue {
	latency := s.ExpectedLatency
	if latency <= 0 {
		latency = defaultLatency
	}
	return queue{load: demand + float64(s.Waiting)/backlogTime, capacity: s.Capacity, latency: latency.Seconds()}
}

// time is the expected time of a request at a load, in seconds: Sakasegawa's approximation of the wait for one of several
// servers (Queueing Systems 2, 1977), continued by its tangent near full utilization so that it remains convex.
func (q queue) time(load float64) float64 {
	if q.capacity <= 0 {
		return math.Inf(1)
	}
	parallel := max(1, q.capacity*q.latency)
	exponent := math.Sqrt(2*(parallel+1)) - 1
	waitAt := func(u float64) float64 { return q.latency * math.Pow(u, exponent) / (parallel * (1 - u)) }
	u := max(0, load) / q.capacity
	if u <= tangentUtilization {
		return q.latency + waitAt(u)
	}
	slope := waitAt(tangentUtilization) * (exponent/tangentUtilization + 1/(1-tangentUtilization))
	return q.latency + waitAt(tangentUtilization) + slope*(u-tangentUtilization)
}

// marginalCost is by how much the time of all requests grows for each additional request, between load and load+step;
// step may be negative.
func (q queue) marginalCost(load, step float64) float64 {
	if q.capacity <= 0 {
		return math.Inf(1)
	}
	load, other := max(0, load), max(0, load+step)
	if load == other {
		return q.time(load)
	}
	return (other*q.time(other) - load*q.time(load)) / (other - load)
}

// room is the rate that a pool can lend after its own urgent demand and the requests that wait already. Up to its whole
// capacity, the cost of waiting keeps borrowers from using it for little; a share kept back was lost to callers whenever
// all data centres were nearly full.
func room(s scheduler.Summary, ownUrgent float64) float64 {
	return max(0, s.Capacity-ownUrgent-float64(s.Waiting)/backlogTime)
}

// transferCost is the time in seconds that sending bytes to another data centre takes on a link of the given speed.
func transferCost(bytes, mbps float64) float64 {
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	return bytes * 8 / (mbps * 1e6)
}

// lender is another data centre that requests may be sent to.
type lender struct {
	dc    string
	queue queue
	// offer is what the lender accepts, room what it could accept if nobody else borrowed.
	offer, room float64
	// way and transfer are what sending one request costs apart from its time there, in seconds.
	way, transfer float64
}

// plan moves demand from a pool to lenders.
type plan struct {
	home queue
	// step is the rate moved at once, maximum the largest sum of the rates.
	step, maximum float64
}

// homeCost is by how much one more request extends the time of all requests at home, in seconds.
func (p plan) homeCost() float64 { return p.home.marginalCost(p.home.load, -p.step) }

// fill moves demand in small steps, each to the lender where one more request costs least, as long as it saves more at
// home. As the costs are convex, this minimizes the time of all requests of all pools together.
func (p plan) fill(lenders []*lender, limitOf func(*lender) float64) map[string]float64 {
	rates := map[string]float64{}
	for total := 0.0; total < p.maximum; {
		var best *lender
		bestCost := p.home.marginalCost(p.home.load-total, -p.step)
		for _, l := range lenders {
			if limitOf(l)-rates[l.dc] < 1e-9 {
				continue
			}
			if cost := l.queue.marginalCost(l.queue.load+rates[l.dc], p.step) + l.way + l.transfer; cost < bestCost {
				best, bestCost = l, cost
			}
		}
		if best == nil {
			break
		}
		moved := min(p.step, p.maximum-total, limitOf(best)-rates[best.dc])
		rates[best.dc] += moved
		total += moved
	}
	return rates
}
