// Package verifier sends calls through a system and compares the callers' records with those of the fake backend
// servers by call ID, so that the system's own statements are never the only evidence.
package verifier

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
	// maxSends is how often a caller sends a change whose response was lost, with the same idempotency key.
	maxSends        = 3
	resendPause     = 200 * time.Millisecond
	maxRunningCalls = 512
)

// Call is one request of a caller with the results of all its sends.
type Call struct {
	ID string
	// Change is true for a non-idempotent request, which carries an idempotency key unless Config.WithoutKeys is set.
	Change bool
	// Results has one item per send, in order; never empty.
	Results []faker.Result
}

// LastResult is the result of the last send.
func (c *Call) LastResult() *faker.Result { return &c.Results[len(c.Results)-1] }

// Config describes the calls of one service.
type Config struct {
	Service   string
	Workspace string
	// Seeds are the caller listeners of entries.
	Seeds          []string
	CallsPerSecond float64
	// WithoutKeys sends changes once, without an idempotency key.
	WithoutKeys bool
}

// Traffic sends requests of one service at a steady rate, whether or not earlier ones have been answered.
type Traffic struct {
	cfg Config
	// runID makes the call IDs of different sources unique.
	runID  uint32
	caller *faker.Caller
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	calls []*Call
}

// NewTraffic returns a source of calls. Start begins to send.
func NewTraffic(cfg Config) *Traffic {
	return &Traffic{cfg: cfg, runID: rand.Uint32(), caller: faker.NewCaller(faker.CallerConfig{
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

// Start sends calls until ctx or Stop ends it.
func (t *Traffic) Start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.wg.Go(func() { t.sendLoop(ctx) })
}

// Stop starts no further calls and waits for the running ones.
func (t *Traffic) Stop() {
	t.cancel()
	t.wg.Wait()
	t.caller.Close()
}

func (t *Traffic) sendLoop(ctx context.Context) {
	running := make(chan struct{}, maxRunningCalls)
	next := time.Now()
	for n := 0; ; n++ {
		// Each arrival time is computed from the previous arrival time, not from the wake-up, so that late timers do not
		// lower the rate.
		next = next.Add(time.Duration(rand.ExpFloat64() / t.cfg.CallsPerSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		select {
		case running <- struct{}{}:
		default:
			continue // The system is stuck; the calls that hang will show it.
		}
		t.wg.Go(func() {
			defer func() { <-running }()
			t.send(n)
		})
	}
}

func (t *Traffic) send(n int) {
	c := &Call{ID: fmt.Sprintf("%s-%08x-%d", t.cfg.Service, t.runID, n), Change: rand.Float64() < changeShare}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	for range maxSends {
		r := t.caller.Do(ctx, t.newCall(c))
		c.Results = append(c.Results, r)
		if !c.Change || t.cfg.WithoutKeys || r.Err == nil && r.Status < 500 && r.Status != http.StatusConflict {
			break
		}
		time.Sleep(resendPause)
	}
	t.mu.Lock()
	t.calls = append(t.calls, c)
	t.mu.Unlock()
}

func (t *Traffic) newCall(c *Call) faker.Call {
	if !c.Change {
		return faker.Call{ID: c.ID, Method: http.MethodGet, Path: "/items/" + c.ID}
	}
	change := faker.Call{
		ID: c.ID, Method: http.MethodPost, Path: "/items/" + c.ID, Body: strings.NewReader("change " + c.ID),
	}
	if !t.cfg.WithoutKeys {
		change.IdempotencyKey = "key-" + c.ID
	}
	return change
}
