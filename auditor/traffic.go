// Package auditor sends calls through a system and holds the callers' records against those of the fake backend
// servers by call id, so that a claim of the system is never its own witness.
package auditor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane/faker"
)

const (
	changeShare = 0.2
	callTimeout = 5 * time.Second
	// resends bounds how often a caller repeats a change whose answer was lost, with the same key.
	resends     = 3
	resendPause = 200 * time.Millisecond
	maxRunning  = 512
)

// Call is one request of a caller with the answers to all of its sends.
type Call struct {
	ID string
	// Change is true for a non-idempotent request with an idempotency key.
	Change bool
	// Results has one item per send, in order; never empty.
	Results []faker.Result
}

// LastResult is the final answer that the caller has.
func (c *Call) LastResult() *faker.Result { return &c.Results[len(c.Results)-1] }

// Config describes the calls of one service.
type Config struct {
	Service   string
	Workspace string
	// Seeds are the caller listeners of entries.
	Seeds []string
	// Rate is calls a second.
	Rate float64
	// Keyless sends changes without an idempotency key and never again.
	Keyless bool
}

// Traffic sends requests of one service at a steady rate, whether or not earlier ones have been answered.
type Traffic struct {
	cfg Config
	// run keeps the call ids of several sources apart.
	run    uint32
	caller *faker.Caller
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	calls []*Call
}

// NewTraffic returns a source of calls. Start begins to send.
func NewTraffic(cfg Config) *Traffic {
	return &Traffic{cfg: cfg, run: rand.Uint32(), caller: faker.NewCaller(faker.CallerConfig{
		Service: cfg.Service, Host: cfg.Service, Workspace: cfg.Workspace, Seeds: cfg.Seeds, Timeout: callTimeout,
	})}
}

// Service is the service that is called.
func (t *Traffic) Service() string { return t.cfg.Service }

// Calls returns the finished calls.
func (t *Traffic) Calls() []*Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.calls)
}

// Start sends until ctx or Stop ends it.
func (t *Traffic) Start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.wg.Go(func() { t.loop(ctx) })
}

// Stop ends new calls and waits for the running ones.
func (t *Traffic) Stop() {
	t.cancel()
	t.wg.Wait()
	t.caller.Close()
}

func (t *Traffic) loop(ctx context.Context) {
	running := make(chan struct{}, maxRunning)
	next := time.Now()
	for n := 0; ; n++ {
		// Arrival times follow from the last arrival and not from the last wake-up, so that late timers do not
		// lower the rate.
		next = next.Add(time.Duration(rand.ExpFloat64() / t.cfg.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		select {
		case running <- struct{}{}:
		default:
			continue // The system is stuck; the calls that hang show it.
		}
		t.wg.Go(func() {
			defer func() { <-running }()
			t.send(n)
		})
	}
}

func (t *Traffic) send(n int) {
	c := &Call{ID: fmt.Sprintf("%s-%08x-%d", t.cfg.Service, t.run, n), Change: rand.Float64() < changeShare}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	for range resends {
		r := t.caller.Do(ctx, t.request(c))
		c.Results = append(c.Results, r)
		if !c.Change || t.cfg.Keyless || r.Err == nil && r.Status < 500 && r.Status != http.StatusConflict {
			break
		}
		time.Sleep(resendPause)
	}
	t.mu.Lock()
	t.calls = append(t.calls, c)
	t.mu.Unlock()
}

func (t *Traffic) request(c *Call) faker.Call {
	if !c.Change {
		return faker.Call{ID: c.ID, Method: http.MethodGet, Path: "/items/" + c.ID}
	}
	change := faker.Call{
		ID: c.ID, Method: http.MethodPost, Path: "/items/" + c.ID, Body: strings.NewReader("change " + c.ID),
	}
	if !t.cfg.Keyless {
		change.Key = "key-" + c.ID
	}
	return change
}
