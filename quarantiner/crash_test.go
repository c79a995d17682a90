package quarantiner

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/forwarder"
)

// roundRobin is a Limiter that grants the running servers in turn. All entries share it.
type roundRobin struct {
	mu      sync.Mutex
	servers []*faker.Server
	next    int
}

func (l *roundRobin) Acquire(_ context.Context, req sycamorevane.Request) (sycamorevane.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.servers {
		s := l.servers[l.next%len(l.servers)]
		l.next++
		if s.Stopped() || slices.Contains(req.ExcludedServers, s.ID()) {
			continue
		}
		return sycamorevane.Grant{Server: sycamorevane.Server{
			Service: "s", Version: "1", ID: s.ID(), Addr: s.Addr(), Slots: 4, MaxConns: 240,
		}}, nil
	}
	return sycamorevane.Grant{}, &sycamorevane.RefusedError{Service: req.Service, Reason: "no server", RetryAfter: time.Second}
}

func (l *roundRobin) Release(sycamorevane.Grant, sycamorevane.Outcome) {}

// Guards against a request that crashes more than two servers when its caller resends it through every entry, against
// innocent requests that are refused for long, and against a response that says "not run" for a request that ran.
func TestCrashingRequestThroughForwarders(t *testing.T) {
	for _, method := range []string{"POST", "GET"} {
		t.Run(method, func(t *testing.T) { expectTwoServersCrash(t, method) })
	}
}

func expectTwoServersCrash(t *testing.T, method string) {
	limiter := &roundRobin{}
	for range 6 {
		s, err := faker.NewServer(faker.ServerConfig{
			Service: "s", Version: "1", Behaviour: faker.Behaviour{CrashOnHeader: true, Latency: 5 * time.Millisecond},
		})
		require.NoError(t, err)
		t.Cleanup(s.Close)
		limiter.servers = append(limiter.servers, s)
	}
	state := &sycamorevane.State{Version: 1, Config: sycamorevane.Config{Services: []sycamorevane.Service{{
		Name: "s", Hosts: []string{"s.test"}, Timeout: 2 * time.Second, ProgressTimeout: time.Second, RetryRatio: 0.1,
	}}}}
	mesh := faker.NewMesh()
	names := []string{"e0", "e1", "e2"}
	var addrs []string
	for _, name := range names {
		q := New(Config{Self: name, Transport: mesh.AddPeer(name), EntryHosts: func() []string { return names }, Log: logr.Discard()})
		q.Start()
		f := forwarder.New(forwarder.Config{
			Self: name, Limiter: limiter, Quarantine: q, State: func() *sycamorevane.State { return state }, Log: logr.Discard(),
		})
		server := httptest.NewServer(f)
		addrs = append(addrs, server.Listener.Addr().String())
		t.Cleanup(func() {
			server.Close()
			f.Close()
			q.Close()
		})
	}
	caller := faker.NewCaller(faker.CallerConfig{Service: "s", Host: "s.test"})
	t.Cleanup(caller.Close)

	// Innocent requests run throughout the test. Most are unique, and one is popular.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	responses := make(map[string]int)
	for n := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/innocent/%d/%d", n, i)
				if n == 0 {
					path = "/popular"
				}
				res := caller.Do(context.Background(), faker.Call{Path: path, EntryAddr: addrs[i%len(addrs)]})
				mu.Lock()
				if res.Status != 200 {
					responses[string(res.Body)]++
				} else {
					responses["ok"]++
				}
				mu.Unlock()
			}
		})
	}
	var last faker.Result
	for i := range 9 {
		call := faker.Call{Method: method, Path: "/poison", EntryAddr: addrs[i%len(addrs)], Header: map[string][]string{faker.HeaderCrash: {"1"}}}
		if method == "POST" {
			call.Body = bytes.NewReader([]byte("x"))
		}
		call.ID = fmt.Sprint("poison", i)
		last = caller.Do(context.Background(), call)
		require.NoError(t, last.Err)
		time.Sleep(20 * time.Millisecond) // Innocent requests continue in the meantime.
		if last.NotRun() {
			for _, s := range limiter.servers {
				for _, run := range s.Runs() {
					assert.NotEqual(t, call.ID, run.CallID, "the response says that the request did not run")
				}
			}
		}
	}
	close(stop)
	wg.Wait()
	crashed := 0
	for _, s := range limiter.servers {
		if s.Stopped() {
			crashed++
		}
	}
	assert.Equal(t, 2, crashed)
	assert.Equal(t, 503, last.Status)
	assert.Contains(t, string(last.Body), "has crashed servers")
	for reason, n := range responses {
		assert.NotContains(t, reason, "has crashed servers", "%d innocent calls", n)
	}
	assert.Greater(t, responses["ok"], 20, "%v", responses)
	t.Log(method, responses)
}
