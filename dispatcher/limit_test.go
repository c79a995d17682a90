package dispatcher

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/cataloger"
	"sycamorevane.example/sycamorevane/reporter"
)

// skipLargeFleet skips large fleets in short runs, whose race detector makes them ten times slower.
func skipLargeFleet(t *testing.T, entries int) {
	t.Helper()
	if entries > 100 && testing.Short() {
		t.Skip("runs hundreds of entries; included in the full test run")
	}
}

// Guards against servers in need that get a limit's worth of requests from each entry, or health checks on top.
func TestRequestLimitHoldsForAllEntries(t *testing.T) {
	cases := []struct {
		entries, active, servers int
		load                     float64
	}{{1, 1, 6, 5}, {18, 3, 9, 5}, {18, 18, 9, 5}, {449, 320, 300, 1.5}}
	for _, c := range cases {
		for _, rate := range []float64{0, 0.1, 1, 1.2, 20} {
			t.Run(fmt.Sprintf("%d_of_%d_entries/rate_%v", c.active, c.entries, rate), func(t *testing.T) {
				reporter.SkipKnownFailures(t)
				skipLargeFleet(t, c.entries)
				synctest.Test(t, func(t *testing.T) {
					f := newLimitFleet(t, c.entries, c.active, c.servers)
					load := c.load * float64(c.servers)
					f.play(load, time.Second)
					f.setLimit(0, rate)
					f.setLimit(1, rate)
					f.takeResult()
					f.play(load, 10*time.Second)
					f.expectLimitsKept()
					f.expectServed(0.99)
				})
			})
		}
	}
}

// Guards against limits that are exceeded while they change or end, or while entries join, leave and restart.
func TestRequestLimitThroughChanges(t *testing.T) {
	reporter.SkipKnownFailures(t)
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 18, 18, 9)
		const load = 45
		f.play(load, time.Second)
		for _, rate := range []float64{3, 0.5, 0, 6, 0.2} {
			f.setLimit(0, rate)
			f.setLimit(1, rate)
			f.play(load, 2*time.Second)
			f.setActive(3)
			f.play(load, 2*time.Second)
			f.restart(0)
			f.restart(7)
			f.setActive(12)
			f.play(load, 2*time.Second)
			f.setActive(18)
			f.play(load, 2*time.Second)
		}
		f.setLimit(0, -1)
		f.play(load, 10*time.Second)
		f.expectLimitsKept()
		ended := time.Now()
		f.play(load, 10*time.Second)
		require.Greater(t, f.arrivalsSince(0, ended), 25, "half of its share of the load after the end of its limit")
		f.expectServed(0.99)
	})
}

// Guards against limits that are exceeded by slow uploads that began before the limit was known.
func TestRequestLimitWithUploadsUnderWay(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 3} {
		t.Run(fmt.Sprintf("rate_%v", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, 18, 18, 9)
				f.uploadShare = 0.3
				f.play(30, 5*time.Second)
				for i := range 4 {
					f.setLimit(i, rate)
				}
				f.play(30, 10*time.Second)
				f.expectLimitsKept()
			})
		})
	}
}

// Guards against limits that are exceeded when callers press and no other server can take their requests.
func TestRequestLimitUnderPressure(t *testing.T) {
	for _, c := range []struct{ entries, active, servers int }{{1, 1, 3}, {18, 3, 9}, {18, 18, 9}, {449, 320, 30}} {
		for _, rate := range []float64{0, 0.1, 1, 5} {
			t.Run(fmt.Sprintf("%d_of_%d_entries/rate_%v", c.active, c.entries, rate), func(t *testing.T) {
				skipLargeFleet(t, c.entries)
				synctest.Test(t, func(t *testing.T) {
					f := newLimitFleet(t, c.entries, c.active, c.servers)
					for i := range f.servers {
						f.setLimit(i, rate)
					}
					load := max(5, 2*rate) * float64(c.servers)
					f.play(load, 2*time.Second)
					time.Sleep(60 * time.Second)
					f.play(load, 5*time.Second)
					f.expectLimitsKept()
				})
			})
		}
	}
}

// Guards against a server that stays without requests after its limit has ended, because the other servers have room.
func TestEndOfARequestLimitIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 3, 3, 9)
		f.hedgeShare, f.shedShare = 0, 0
		const load = 18
		f.setLimit(0, 0.5)
		f.play(load, 10*time.Second)
		f.setLimit(0, -1)
		f.play(load, 8*time.Second)
		ended := time.Now()
		f.play(load, 10*time.Second)
		require.Greater(t, f.arrivalsSince(0, ended), 10, "half of an equal share")
	})
}

// Guards against limits that are exceeded when control hosts divide them anew without entries that they have lost.
func TestRequestLimitWithIsolatedEntries(t *testing.T) {
	for _, lost := range []int{1, 9, 17} {
		for _, rate := range []float64{0.5, 1, 5} {
			t.Run(fmt.Sprintf("%d_of_18/rate_%v", lost, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newLimitFleet(t, 18, 18, 9)
					for i := range f.servers {
						f.setLimit(i, rate)
					}
					f.play(90, 5*time.Second)
					f.cutOffEntries(lost)
					f.play(90, 10*time.Second)
					f.cutOffEntries(0)
					f.play(90, 10*time.Second)
					f.expectLimitsKept()
				})
			})
		}
	}
}

// Guards against limited servers that are left idle while callers are refused, and against callers that wait for a refusal.
func TestRequestsBeyondAllLimits(t *testing.T) {
	for _, entries := range []int{3, 18} {
		t.Run(fmt.Sprintf("%d_entries", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, entries, entries, 9)
				f.shedShare, f.hedgeShare = 0, 0
				const rate, seconds = 2.0, 20
				for i := range f.servers {
					f.setLimit(i, rate)
				}
				accepted := rate * float64(len(f.servers))
				f.play(2*accepted, 10*time.Second)
				f.takeResult()
				f.playReturning(2.5*accepted, seconds*time.Second)
				f.expectLimitsKept()
				r := f.takeResult()
				require.Greater(t, float64(r.served), 0.9*accepted*seconds)
				require.Less(t, float64(r.lateRefusals), 0.01*float64(r.refused))
			})
		})
	}
}

// Guards against urgent requests that are refused while others use the limits, and against limits that are named at the same
// moment and accept their requests in step.
func TestUrgentRequestsWithinTheLimits(t *testing.T) {
	reporter.SkipKnownFailures(t)
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 3, 3, 27)
		f.shedShare, f.urgentShare = 0, 0.3
		const rate, load, seconds = 1.1, 77, 20
		f.play(load, 3*time.Second)
		for i := range f.servers {
			f.setLimit(i, rate)
		}
		f.play(load, 5*time.Second)
		f.takeResult()
		f.playReturning(load, seconds*time.Second)
		f.expectLimitsKept()
		r := f.takeResult()
		require.Greater(t, float64(r.urgentServed), 0.9*float64(r.urgent), "they are fewer than the servers accept")
		require.Greater(t, float64(r.served), 0.9*rate*seconds*float64(len(f.servers)))
		require.Less(t, float64(r.lateRefusals), 0.01*float64(r.refused))
	})
}

// Guards against callers that are told to return at the same time, and against room kept for those that will not return.
func TestReturnsToLimitedServersAreSpread(t *testing.T) {
	p, at := &pool{}, start.Add(time.Second)
	patient := &sycamorevane.Request{Deadline: start.Add(time.Minute)}
	impatient := &sycamorevane.Request{Deadline: start.Add(time.Second)}
	for n := range 3 {
		require.Equal(t, at.Add(time.Duration(n)*time.Second), p.reserveReturn(at, patient, 1), "one request a second is accepted")
	}
	for range 2 {
		require.Equal(t, at.Add(3*time.Second), p.reserveReturn(at, impatient, 1))
	}
}

// Guards against requests that are refused although the limits leave room for them in their time, against a wait of those
// for which there is none, and against a Retry-After at which a request is refused again.
func TestRetryAfterOfLimitedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 1, 1, 1)
		f.hedgeShare, f.shedShare = 0, 0
		f.setLimit(0, 1)
		f.call(f.entries[0])
		f.entries[0].dispatcher.core.limits["s0"].bucket.tokens = 0
		began := time.Now()
		var callers sync.WaitGroup
		for i := range 2 {
			callers.Go(func() {
				served, _ := f.call(f.entries[0])
				assert.True(t, served, "call %d: one request a second is accepted", i)
			})
		}
		time.Sleep(time.Millisecond)
		var delays []time.Duration
		for range 2 {
			refusedAt := time.Now()
			served, refused := f.call(f.entries[0])
			require.False(t, served)
			require.Zero(t, time.Since(refusedAt), "it is known at once")
			delays = append(delays, refused.RetryAfter)
		}
		callers.Wait()
		require.Less(t, time.Since(began), 2500*time.Millisecond)
		require.Less(t, delays[0], 3300*time.Millisecond)
		time.Sleep(delays[0] - time.Since(began))
		returnedAt := time.Now()
		served, _ := f.call(f.entries[0])
		require.True(t, served)
		require.Less(t, time.Since(returnedAt), 300*time.Millisecond, "after %v", delays[0])
	})
}

// Guards against limits that are not reported until control hosts know them, or are reported for as long as they last.
func TestReportedLimits(t *testing.T) {
	limited := sycamorevane.RequestLimit{Limited: true, Rate: 1}
	record := newRecord("x", "a", "v1")
	c := newTestCore(record)
	state := func(at time.Duration, limit sycamorevane.RequestLimit) {
		now := start.Add(at)
		c.applyLimit(now, "x", &sycamorevane.LimitStatement{RequestLimit: limit, RequestedAt: now})
	}
	catalog := func(at time.Duration, limit *sycamorevane.RequestLimit) {
		record.Limit = nil
		if limit != nil {
			record.Limit, record.LimitStatedAt = &cataloger.LimitReport{RequestLimit: *limit}, start.Add(at)
		}
		c.update([]cataloger.ServerRecord{record})
		c.adoptLimit(start.Add(at), &record)
	}
	reported := func(at time.Duration) []cataloger.LimitReport { return c.statedLimits(start.Add(at)) }

	state(0, sycamorevane.RequestLimit{})
	require.Empty(t, reported(0), "a server without a limit")
	state(0, limited)
	require.Equal(t, []cataloger.LimitReport{{RequestLimit: limited, Server: "x", Age: time.Minute}}, reported(time.Minute))
	catalog(time.Minute, &limited)
	require.Empty(t, reported(time.Minute), "the control host knows it")
	catalog(2*time.Minute, nil)
	require.Len(t, reported(2*time.Minute), 1, "the control host has lost it")
	catalog(2*time.Minute, &limited)

	state(3*time.Minute, sycamorevane.RequestLimit{})
	require.Len(t, reported(3*time.Minute), 1)
	catalog(3*time.Minute+time.Second, &sycamorevane.RequestLimit{})
	state(3*time.Minute+5*time.Second, sycamorevane.RequestLimit{})
	require.Len(t, reported(3*time.Minute+limitReportPeriod), 1, "another control host may not know it")
	require.Empty(t, reported(3*time.Minute+limitReportPeriod+1))
	state(4*time.Minute, limited)
	catalog(5*time.Minute, &sycamorevane.RequestLimit{Limited: true, Rate: 2})
	require.Empty(t, reported(5*time.Minute), "another entry was told something else")
}

// Guards against an entry that does without a server for good because it missed the end of a limit.
func TestUnknownLimitEnds(t *testing.T) {
	unknown := newRecord("x", "a", "v1")
	known := unknown
	known.Limit = &cataloger.LimitReport{RequestLimit: sycamorevane.RequestLimit{Limited: true, Rate: 1}}
	known.LimitStatedAt = start.Add(time.Second)
	setup := func(hasShare bool) *core {
		for rank := range 18 {
			c := newTestCore(unknown)
			c.setPosition(start, entryPosition{rank: rank, entries: 18})
			c.adoptLimit(start, &known)
			if (c.limits["x"].share > 0) == hasShare {
				return c
			}
		}
		return nil
	}
	endsAfter := func(c *core, steps ...time.Duration) bool {
		for _, at := range steps {
			c.adoptLimit(start.Add(at), &unknown)
		}
		return !c.byID["x"].limited()
	}
	require.False(t, endsAfter(setup(false), time.Minute, time.Minute+unknownLimitExpiry))
	require.True(t, endsAfter(setup(false), time.Minute, time.Minute+unknownLimitExpiry+time.Second))
	require.False(t, endsAfter(setup(true), time.Minute, time.Hour), "it asks the server itself")
	c := setup(false)
	require.False(t, endsAfter(c, time.Minute))
	known.LimitStatedAt = start.Add(time.Minute)
	c.adoptLimit(start.Add(time.Minute), &known)
	require.False(t, endsAfter(c, 2*time.Minute), "the control host has learned of it again")
}

// Guards against an entry that joins and sends at once what the others may just have sent.
func TestEntryThatJoinsStartsWithoutToken(t *testing.T) {
	record := newRecord("x", "a", "v1")
	record.Limit = &cataloger.LimitReport{RequestLimit: sycamorevane.RequestLimit{Limited: true, Rate: 5}}
	record.LimitStatedAt = start
	for rank := range 5 {
		joined, told := newTestCore(record), newTestCore(record)
		position := entryPosition{rank: rank, entries: 5}
		joined.setPosition(start, position)
		joined.adoptLimit(start, &record)
		require.LessOrEqual(t, joined.limits["x"].bucket.tokens, 0.0)
		told.setPosition(start, position)
		told.applyLimit(start, "x", &sycamorevane.LimitStatement{RequestLimit: record.Limit.RequestLimit, RequestedAt: start})
		require.GreaterOrEqual(t, told.limits["x"].bucket.tokens, 0.0, "the limit is new")
	}
}

// Guards against a crash, and against a hedge that waits, when only a limited server and one that is leaving are left.
func TestHedgeBesideALimitedAndALeavingServer(t *testing.T) {
	x, y := newRecord("x", "a", "v1"), newRecord("y", "a", "v1")
	c := newDirectiveCore(x, y)
	c.setPosition(start, entryPosition{rank: 0, entries: 1})
	c.applyLimit(start, "x", &sycamorevane.LimitStatement{RequestLimit: sycamorevane.RequestLimit{Limited: true, Rate: 5}, RequestedAt: start})
	c.applyDirective(start, "y", leavingDirective)
	c.byID["x"].limit.bucket.tokens = 1
	req := newRequest()
	req.Hedge = true
	got := c.pick(newView(start), req)
	require.Nil(t, got.server)
	require.False(t, got.anyUsable)
	require.False(t, got.blocked(start), "it is refused at once")
	require.Equal(t, "x", c.pickID(newView(start), newRequest()), "a first attempt may use it")
}
