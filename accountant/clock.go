package accountant

import (
	"slices"
	"time"
)

const (
	// clockSampleAge is how long a reading of another host's wall clock is used.
	clockSampleAge = 10 * time.Second
	// A reading with a round trip that is more than maxRoundTripFactor times that of a reading younger than
	// roundTripSampleAge is ignored: the error of a reading is up to half of its round trip.
	maxRoundTripFactor = 4
	roundTripSampleAge = 4 * time.Second
	// maxClockDeviation is the deviation from true time from which a wall clock is logged as wrong.
	maxClockDeviation = 500 * time.Millisecond
)

// trueClock estimates true time from the wall clocks of control hosts. Times are durations of the monotonic clock of this
// host, wall clocks and true time durations since the start of 1970.
type trueClock struct {
	samples map[string]clockSample
}

type clockSample struct {
	// offset is the difference between the wall clock of the host and the monotonic clock of this host.
	offset    time.Duration
	roundTrip time.Duration
	at        time.Duration
}

// add records that the wall clock of a host showed wall between the times asked and replied.
func (c *trueClock) add(host string, wall, asked, replied time.Duration) {
	s := clockSample{offset: wall - asked/2 - replied/2, roundTrip: replied - asked, at: replied}
	if old, ok := c.samples[host]; ok && replied-old.at < roundTripSampleAge && s.roundTrip > maxRoundTripFactor*(old.roundTrip+time.Millisecond) {
		return
	}
	if c.samples == nil {
		c.samples = make(map[string]clockSample)
	}
	c.samples[host] = s
}

// offset returns the difference between true time and the monotonic clock of this host: the median of the wall clocks,
// which is right while most of them are. It returns false unless the wall clocks of a majority of the members are known.
func (c *trueClock) offset(now time.Duration, members []string) (time.Duration, bool) {
	var offsets []time.Duration
	for _, name := range members {
		if s, ok := c.samples[name]; ok && now-s.at <= clockSampleAge {
			offsets = append(offsets, s.offset)
		}
	}
	if len(offsets) == 0 || len(offsets) <= len(members)/2 {
		return 0, false
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], true
}

// outliers returns the members whose wall clocks deviate from true time by more than maxClockDeviation, and removes the
// samples of other hosts.
func (c *trueClock) outliers(now, offset time.Duration, members []string) []string {
	var list []string
	for name, s := range c.samples {
		switch {
		case !slices.Contains(members, name):
			delete(c.samples, name)
		case now-s.at <= clockSampleAge && (s.offset-offset).Abs() > maxClockDeviation:
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
