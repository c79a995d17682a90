package forwarder

import (
	"bufio"
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// linkEvent is the arrival of bytes at a simulated link.
type linkEvent struct {
	at    time.Time
	bytes int
	// arrive is called when the last byte has been transmitted.
	arrive func(sentAt time.Time)
}

type linkEvents []linkEvent

func (e linkEvents) Len() int           { return len(e) }
func (e linkEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e linkEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *linkEvents) Push(x any)        { *e = append(*e, x.(linkEvent)) }
func (e *linkEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulateLink sends small messages and large bodies for ten minutes over a link that transmits in order of arrival. It
// returns the p99 of the time of small messages, and the mean time of large bodies. Without pacing, a body has at most
// window bytes queued at the link.
func simulateLink(linkMbps, load float64, paced bool) (small, large time.Duration) {
	const window, smallBytes, smallPerSecond = 64 << 10, 2 << 10, 8
	rnd := rand.New(rand.NewPCG(1, 1))
	limiter := newPacedLimiter(linkMbps)
	transmission := func(n int) time.Duration {
		return time.Duration(float64(n) * bitsPerByte / (linkMbps * bitsPerMegabit) * float64(time.Second))
	}
	var events linkEvents
	var smallTimes []time.Duration
	var largeTotal time.Duration
	larges := 0
	send := func(at time.Time, size int) {
		remaining := size
		var next func(time.Time)
		next = func(now time.Time) {
			if remaining == 0 {
				largeTotal += now.Sub(at)
				larges++
				return
			}
			chunk := min(remaining, window/4)
			if paced {
				chunk = min(remaining, pacedChunkBytes)
				now = now.Add(limiter.ReserveN(now, chunk).DelayFrom(now))
			}
			remaining -= chunk
			heap.Push(&events, linkEvent{now, chunk, next})
		}
		if paced {
			next(at)
			return
		}
		for done := 0; done < window && remaining > 0; done += window / 4 {
			chunk := min(remaining, window/4)
			remaining -= chunk
			heap.Push(&events, linkEvent{at, chunk, func(now time.Time) {
				if remaining > 0 {
					next(now)
				}
			}})
		}
	}
	start := time.Unix(0, 0)
	end := start.Add(10 * time.Minute)
	for at := start; at.Before(end); at = at.Add(time.Duration(rnd.ExpFloat64() / smallPerSecond * float64(time.Second))) {
		heap.Push(&events, linkEvent{at, smallBytes, func(now time.Time) { smallTimes = append(smallTimes, now.Sub(at)) }})
	}
	const meanLarge = 315e3
	perSecond := load * linkMbps * bitsPerMegabit / bitsPerByte / meanLarge
	for at := start; at.Before(end); at = at.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))) {
		heap.Push(&events, linkEvent{at, 0, func(now time.Time) { send(now, 90e3+rnd.IntN(450e3)) }})
	}
	free := start
	for len(events) > 0 {
		e := heap.Pop(&events).(linkEvent)
		if e.bytes == 0 {
			e.arrive(e.at)
			continue
		}
		if e.at.After(free) {
			free = e.at
		}
		free = free.Add(transmission(e.bytes))
		sentAt := free
		heap.Push(&events, linkEvent{sentAt, 0, e.arrive})
	}
	slices.Sort(smallTimes)
	return smallTimes[len(smallTimes)*99/100], largeTotal / time.Duration(max(1, larges))
}

// Guards against large bodies that hold up small requests on the narrow links of entries, and against pacing that makes
// large bodies wait without bound.
func TestPacedBodiesLeaveTimeForSmallRequests(t *testing.T) {
	for _, mbps := range []float64{2.6, 5.4} {
		for _, load := range []float64{0.2, 0.4} {
			t.Run(strconv.FormatFloat(mbps, 'f', -1, 64)+"/"+strconv.FormatFloat(load, 'f', -1, 64), func(t *testing.T) {
				small, large := simulateLink(mbps, load, false)
				pacedSmall, pacedLarge := simulateLink(mbps, load, true)
				t.Logf("p99 of small requests %v, paced %v; mean of large bodies %v, paced %v", small, pacedSmall, large, pacedLarge)
				assert.Less(t, pacedSmall, small/3)
				assert.Less(t, pacedLarge, 2*large)
			})
		}
	}
}

// transfer makes one request on a new connection and returns how long it took and the size of the response.
func transfer(t *testing.T, addr, path string, upload int) (time.Duration, int) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	start := time.Now()
	request := "GET " + path + " HTTP/1.1\r\nHost: flagboard.test\r\n\r\n"
	if upload > 0 {
		request = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: flagboard.test\r\nContent-Length: %d\r\n\r\n", path, upload) +
			strings.Repeat("x", upload)
	}
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, strings.Repeat("x", len(body)), strings.Replace(string(body), "ok", "xx", 1))
	return time.Since(start), len(body)
}

// Guards against bodies that exceed their share of the link, alone or together, in any framing, and against pacing where
// it is not wanted.
func TestPacing(t *testing.T) {
	const mbps = 5.4
	minTime := func(bytes int) time.Duration {
		seconds := float64(bytes-pacedBodyBytes-pacedChunkBytes) * bitsPerByte / (pacedShare * mbps * bitsPerMegabit)
		return time.Duration(seconds * float64(time.Second))
	}
	// A lost SYN is only sent again after 1 s.
	const slack = 2 * time.Second
	start := func(t *testing.T, pace bool, mbps float64) string {
		_, addr := newTransferRig(t, func(cfg *Config) { cfg.PaceTransfers, cfg.LinkMbps = pace, mbps }, serveTransfers)
		return addr
	}
	for _, path := range []string{"/length", "/chunked", "/close", "/set/upload"} {
		t.Run(path[1:], func(t *testing.T) {
			t.Parallel()
			addr := start(t, true, mbps)
			upload := 0
			if path == "/set/upload" {
				upload = 300e3
			}
			took, size := transfer(t, addr, path, upload)
			assert.Greater(t, took, minTime(max(size, upload)))
			assert.Less(t, took, 3*minTime(max(size, upload))+slack)
		})
	}
	t.Run("together", func(t *testing.T) {
		t.Parallel()
		addr := start(t, true, mbps)
		times := make([]time.Duration, 6)
		begin := time.Now()
		var wg sync.WaitGroup
		for i := range times {
			wg.Go(func() {
				if i < 3 {
					times[i], _ = transfer(t, addr, "/set/upload", 150e3)
					return
				}
				times[i], _ = transfer(t, addr, "/length", 0)
			})
		}
		requireQuick(t, addr)
		wg.Wait()
		assert.Greater(t, time.Since(begin), minTime(3*150e3+3*90e3))
		assert.Greater(t, slices.Min(times), time.Since(begin)/4, "transfers must take turns")
	})
	t.Run("off", func(t *testing.T) {
		t.Parallel()
		took, _ := transfer(t, start(t, false, 0.01), "/length", 0)
		assert.Less(t, took, slack, "with pacing it takes a minute")
	})
	t.Run("fast or unknown link", func(t *testing.T) {
		t.Parallel()
		for _, mbps := range []float64{0, 1.01 * maxPacedLinkMbps} {
			assert.Nil(t, newPacer(mbps, tally.NoopScope))
		}
	})
	t.Run("short bodies", func(t *testing.T) {
		t.Parallel()
		took, _ := transfer(t, start(t, true, 0.01), "/set/upload", pacedBodyBytes)
		assert.Less(t, took, slack, "with pacing it takes half a minute")
	})
}
