package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/reporter"
)

const (
	// maxAddedLatency is the required limit at p99.
	maxAddedLatency = 880 * time.Microsecond
	// pairsPerSecond is the rate of pairs; each pair consists of one forwarded and two direct calls.
	pairsPerSecond = 500
	pairCount      = 3000
)

// echoServer responds without allocating, so that only the allocations of the forwarder are counted.
func echoServer(b *testing.B) sycamorevane.Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 100\r\n\r\n" + string(bytes.Repeat([]byte("x"), 100)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) > 2 {
						continue
					}
					if _, err := c.Write(response); err != nil {
						return
					}
				}
			}()
		}
	}()
	b.Cleanup(func() { _ = l.Close() })
	return sycamorevane.Server{Service: "flagboard", Version: "1", ID: "echo", Addr: l.Addr().String(), Slots: 64, MaxConns: 240}
}

// fixedLimiter grants the same server to every request.
type fixedLimiter struct{ server sycamorevane.Server }

func newBenchForwarder(b *testing.B, server sycamorevane.Server) *Forwarder {
	state := &sycamorevane.State{Version: 1, Config: sycamorevane.Config{Services: []sycamorevane.Service{{
		Name: "flagboard", Hosts: []string{"flagboard.test"}, Timeout: 2 * time.Second, ProgressTimeout: time.Second, RetryRatio: 0.1,
	}}}}
	f := New(Config{
		Self: "a", Limiter: &fixedLimiter{server}, State: func() *sycamorevane.State { return state }, Log: logr.Discard(),
	})
	b.Cleanup(f.Close)
	return f
}

func timeCall(b *testing.B, client *http.Client, addr string) time.Duration {
	req, err := http.NewRequest("GET", "http://"+addr+"/pond/4", nil)
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Host = "flagboard.test"
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	took := time.Since(start)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Error(resp.Status, err)
	}
	return took
}

// BenchmarkOverhead guards the limit on the latency that one forwarder adds to a direct call. Pairs are started on a
// fixed schedule at pairsPerSecond, so that a slow pair does not delay the next one.
func BenchmarkOverhead(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(GCPercent))
	server := echoServer(b)
	entry := http.Server{Handler: newBenchForwarder(b, server)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = entry.Serve(RejectAmbiguousFraming(l)) }()
	defer func() { _ = entry.Close() }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	for range 50 {
		timeCall(b, client, server.Addr)
		timeCall(b, client, l.Addr().String())
	}
	for b.Loop() {
		var mu sync.Mutex
		var wg sync.WaitGroup
		differences := make([]time.Duration, 0, pairCount)
		noise := make([]time.Duration, 0, pairCount)
		direct := hdrhistogram.New(1, int64(time.Second), 3)
		through := hdrhistogram.New(1, int64(time.Second), 3)
		start := time.Now()
		for n := range pairCount {
			time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / pairsPerSecond)))
			wg.Go(func() {
				var took [3]time.Duration // Direct, forwarded, direct again; each pair starts with another one.
				for i := range took {
					target := (i + n) % len(took)
					took[target] = timeCall(b, client, []string{server.Addr, l.Addr().String(), server.Addr}[target])
				}
				mu.Lock()
				defer mu.Unlock()
				differences = append(differences, took[1]-took[0])
				noise = append(noise, took[2]-took[0])
				_ = direct.RecordValue(int64(took[0]))
				_ = through.RecordValue(int64(took[1]))
			})
		}
		wg.Wait()
		slices.Sort(differences)
		slices.Sort(noise)
		p99 := differences[len(differences)*99/100]
		b.ReportMetric(float64(differences[len(differences)/2].Microseconds()), "p50-added-us")
		b.ReportMetric(float64(p99.Microseconds()), "p99-added-us")
		// The difference between two direct calls shows how busy the host is.
		b.ReportMetric(float64(noise[len(noise)*99/100].Microseconds()), "p99-noise-us")
		b.ReportMetric(float64(direct.ValueAtQuantile(99))/1e3, "p99-direct-us")
		b.ReportMetric(float64(through.ValueAtQuantile(99))/1e3, "p99-through-us")
		reporter.Record(b, reporter.Measurement{
			Area: "tail latency", Description: "added to a call by one entry at 500 pairs/s, p99", Unit: "ms",
			Value: float64(p99.Microseconds()) / 1000, Bound: reporter.AtMost, Target: float64(maxAddedLatency.Microseconds()) / 1000,
		})
		reporter.Record(b, reporter.Measurement{
			Area: "tail latency", Description: "difference between two direct calls in the same run, p99", Unit: "ms",
			Value: float64(noise[len(noise)*99/100].Microseconds()) / 1000,
		})
	}
}

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// maxAllocsPerCall limits the allocations of one call in the forwarder, including the encoding of request and response.
const maxAllocsPerCall = 70

// BenchmarkCall guards the number of allocations per call.
func BenchmarkCall(b *testing.B) {
	f := newBenchForwarder(b, echoServer(b))
	req, err := http.NewRequest("GET", "http://flagboard.test/pond/4", nil)
	require.NoError(b, err)
	req.RequestURI = "/pond/4"
	req.Header.Set("User-Agent", "bench")
	w := &discardWriter{header: make(http.Header)}
	call := func() {
		clear(w.header)
		f.ServeHTTP(w, req)
	}
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	b.StopTimer()
	reporter.Record(b, reporter.Measurement{
		Area: "cost of a call", Description: "allocations in the forwarder", Unit: "allocations",
		Value: testing.AllocsPerRun(200, call), Bound: reporter.AtMost, Target: maxAllocsPerCall,
	})
}

func (l *fixedLimiter) Acquire(context.Context, sycamorevane.Request) (sycamorevane.Grant, error) {
	return sycamorevane.Grant{Server: l.server}, nil
}

func (l *fixedLimiter) Release(sycamorevane.Grant, sycamorevane.Outcome) {}

// BenchmarkHedge guards the benefit of hedging when one of 27 servers is ten times slower, and its cost in additional
// requests.
func BenchmarkHedge(b *testing.B) {
	for _, ratio := range []float64{0, 0.1} {
		b.Run(strconv.FormatFloat(ratio, 'f', 1, 64), func(b *testing.B) {
			l := &randomLimiter{}
			var servers []*faker.Server
			for i := range 27 {
				behaviour := faker.Behaviour{Latency: 3 * time.Millisecond, Jitter: time.Millisecond}
				if i == 0 {
					behaviour.SlowdownFactor = 10
				}
				s, err := faker.NewServer(faker.ServerConfig{Service: "flagboard", Version: "1", Slots: 64, Behaviour: behaviour})
				require.NoError(b, err)
				defer s.Close()
				servers = append(servers, s)
				l.servers = append(l.servers, sycamorevane.Server{Service: "flagboard", Version: "1", ID: s.ID(), Addr: s.Addr(), MaxConns: 240})
			}
			state := &sycamorevane.State{Version: 1, Config: sycamorevane.Config{Services: []sycamorevane.Service{{
				Name: "flagboard", Hosts: []string{"flagboard.test"}, Timeout: 2 * time.Second, RetryRatio: ratio,
			}}}}
			f := New(Config{Self: "a", Limiter: l, State: func() *sycamorevane.State { return state }, Log: logr.Discard()})
			defer f.Close()
			for b.Loop() {
				latencies := makeHedgedCalls(f)
				b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "p50-us")
				b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "p99-us")
			}
			runs := 0
			for _, s := range servers {
				runs += len(s.Runs())
			}
			sent := float64(runs) / float64(b.N*hedgeCalls)
			b.ReportMetric(sent, "requests/call")
			if sent > 1+ratio+float64(initialTokens)/hedgeCalls {
				b.Errorf("%.3f requests per call with a retry ratio of %.1f", sent, ratio)
			}
		})
	}
}

const (
	hedgeCalls   = 2400
	hedgeCallers = 6
)

// makeHedgedCalls makes hedgeCalls calls, spread over hedgeCallers goroutines that each make one call at a time.
func makeHedgedCalls(f *Forwarder) *hdrhistogram.Histogram {
	latencies := hdrhistogram.New(1, int64(10*time.Second), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range hedgeCallers {
		wg.Go(func() {
			for range hedgeCalls / hedgeCallers {
				req := httptest.NewRequest("GET", "/pond/4", nil)
				req.Host = "flagboard.test"
				ctx, cancel := context.WithCancel(context.Background())
				start := time.Now()
				f.ServeHTTP(&discardWriter{header: make(http.Header)}, req.WithContext(ctx))
				took := time.Since(start)
				cancel()
				mu.Lock()
				_ = latencies.RecordValue(int64(took))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return latencies
}

// randomLimiter grants a random server that is not excluded.
type randomLimiter struct{ servers []sycamorevane.Server }

func (l *randomLimiter) Acquire(_ context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	for {
		s := l.servers[rand.IntN(len(l.servers))]
		if !slices.Contains(req.ExcludedServers, s.ID) {
			return sycamorevane.Grant{Server: s}, nil
		}
	}
}

func (l *randomLimiter) Release(sycamorevane.Grant, sycamorevane.Outcome) {}
