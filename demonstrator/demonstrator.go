// Package demonstrator runs the whole system on loopback with fake backend servers and callers. It drains and undrains a
// data centre, rolls out one good and one bad version, and checks the outcome against the records of the callers and
// the servers.
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/assembler"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/renderer"
	"sycamorevane.example/sycamorevane/verifier"
)

const (
	// MinDuration is the shortest demo: both rollouts need time to collect evidence.
	MinDuration = 28 * time.Second

	goodService = "flagboard"
	badService  = "marker-registry"
	drainedDC   = "midlands-b"
	oldVersion  = "1"
	newVersion  = "2"

	slotsPerServer    = 4
	serversPerDC      = 3
	callsPerSecond    = 400 // per service
	serviceTime       = 6 * time.Millisecond
	serviceTimeJitter = 2 * time.Millisecond
	warmupAnswers     = 20
	probeRatio        = 0.02
	probeDuration     = 6 * time.Millisecond
	maxDrainDelayMS   = 3000 // time after acceptance in which a drained data centre may still get new requests
	commandTimeout    = 10 * time.Second
)

// Config describes a run of the demo.
type Config struct {
	// Duration is at least MinDuration.
	Duration time.Duration
	// JSON makes the last line of the output one JSON object.
	JSON bool
	Out  io.Writer
	Log  logr.Logger
}

// Result is derived from the records of the callers and the servers.
type Result struct {
	Calls             int `json:"calls"`
	Failed            int `json:"failed"`
	Refused           int `json:"refused"`
	DuplicatedChanges int `json:"duplicated"`
	Truncated         int `json:"truncated"`
	Misdelivered      int `json:"crossed"`
	// LastRequestAfterDrain is the time in ms from the accepted drain of the data centre to the last new request there.
	LastRequestAfterDrain int64 `json:"lateafter"`
	// GoodPhase and BadPhase are the final phases of the two rollouts.
	GoodPhase string `json:"good"`
	BadPhase  string `json:"bad"`
	// MaxBadShare is the largest share of its service's calls that the bad version got within a second.
	MaxBadShare float64 `json:"badshare"`
	// P50 and P99 are latencies of responses with status 200 in ms.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// ProbesPerSecond is the rate of probes per server.
	ProbesPerSecond float64 `json:"probes"`
}

// InvariantError lists the invariants that a run violated.
type InvariantError struct{ Violations []string }

func (e *InvariantError) Error() string { return fmt.Sprintf("invariants broken: %v", e.Violations) }

// demo is the state of one run.
type demo struct {
	cfg         Config
	system      *assembler.System
	startedAt   time.Time
	servers     []*faker.Server
	traffic     []*verifier.Traffic
	outMu       sync.Mutex
	drainedAt   time.Time
	undrainedAt time.Time
}

// Run runs the demo. The error is *InvariantError when the system violated an invariant.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if cfg.Duration < MinDuration {
		return nil, errors.Errorf("the demo runs for at least %v", MinDuration)
	}
	dir, err := assembler.TempDir()
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &demo{cfg: cfg}
	if err := d.startSystem(ctx, dir); err != nil {
		return nil, errors.Trace(err)
	}
	defer d.system.Close()
	defer d.closeServers()
	if err := d.startServers(oldVersion, faker.Behaviour{}, goodService, badService); err != nil {
		return nil, errors.Trace(err)
	}
	if err := d.runSteps(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	return d.report(ctx)
}

func (d *demo) startSystem(ctx context.Context, dir string) error {
	var err error
	d.system, err = assembler.New(assembler.Config{
		DCs: []string{"midlands-a", drainedDC, "midlands-c"}, ControlCount: 3, EntryCount: 4, Dir: dir, Log: d.cfg.Log,
		Services: []sycamorevane.Service{newService(goodService), newService(badService)},
		Limits: sycamorevane.Limits{
			ServerLease: parser.DefaultServerLease, EntriesTTL: time.Second, MaxHeaderBytes: parser.DefaultMaxHeaderBytes, ClaimRetention: parser.DefaultClaimRetention,
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.system.ApplyAndWait(ctx); err != nil {
		return errors.Trace(err)
	}
	d.startedAt = time.Now()
	d.printLine("3 control and 4 entry processes run in 3 data centres")
	d.printLine("large screen: http://%s/ with the token %q", d.system.OperatorAddrs()[0], d.system.Token())
	return nil
}

func newService(name string) sycamorevane.Service {
	s := parser.DefaultService(name)
	s.ProbeRatio = probeRatio
	s.MaxTrialShare = maxTrialShare
	s.Routes = []sycamorevane.Route{
		{Name: "read", Method: "GET", Prefix: "/items", Idempotent: true},
		{Name: "change", Method: "POST", Prefix: "/items", Idempotent: false},
	}
	return s
}

// startServers starts servers of a version in every data centre. They behave as b, with the demo's service time and
// warm-up.
func (d *demo) startServers(version string, b faker.Behaviour, services ...string) error {
	b.Latency, b.Jitter, b.WarmupAnswers, b.ColdSlots = serviceTime, serviceTimeJitter, warmupAnswers, 1
	for _, name := range services {
		for _, dc := range d.system.Config.DCs {
			for range serversPerDC {
				srv, err := faker.NewServer(faker.ServerConfig{
					Service: name, Version: version, DC: dc, Slots: slotsPerServer, MaxConns: 240, Behaviour: b,
					AnnounceAddrs: d.system.AnnounceAddrs(dc), RenewInterval: time.Second,
				})
				if err != nil {
					return errors.Trace(err)
				}
				d.servers = append(d.servers, srv)
			}
		}
	}
	return nil
}

func (d *demo) closeServers() {
	for _, srv := range d.servers {
		srv.Close()
	}
}

// waitUntil waits until the given share of the run has passed.
func (d *demo) waitUntil(ctx context.Context, share float64) error {
	t := time.NewTimer(time.Until(d.startedAt.Add(time.Duration(share * float64(d.cfg.Duration)))))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runSteps runs the steps of the demo while callers send requests.
func (d *demo) runSteps(ctx context.Context) error {
	for _, name := range []string{goodService, badService} {
		t := verifier.NewTraffic(verifier.Config{Service: name, Seeds: d.system.CallerAddrs(), CallsPerSecond: callsPerSecond})
		d.traffic = append(d.traffic, t)
		t.Start(ctx)
	}
	defer func() {
		for _, t := range d.traffic {
			t.Stop()
		}
	}()
	steps := []struct {
		part float64
		do   func(context.Context) error
	}{
		{0.05, d.startNewVersions},
		{0.15, d.startRollouts},
		{0.30, d.drainDC},
		{0.55, d.undrainDC},
		{0.95, func(context.Context) error { return nil }},
	}
	for _, step := range steps {
		if err := d.waitUntil(ctx, step.part); err != nil {
			return errors.Trace(err)
		}
		if err := step.do(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// startNewVersions first waits until control has recorded which version serves each service, which an operator sees in
// the status view. From then on, servers of other versions get no calls without a rollout.
func (d *demo) startNewVersions(ctx context.Context) error {
	if err := d.awaitServingVersions(ctx); err != nil {
		return err
	}
	if err := d.startServers(newVersion, faker.Behaviour{}, goodService); err != nil {
		return err
	}
	return d.startServers(newVersion, faker.Behaviour{FailShare: 0.5}, badService)
}

func (d *demo) awaitServingVersions(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		serving := true
		for _, name := range d.system.Hosts(sycamorevane.RoleEntry) {
			st := d.system.Process(name).State()
			serving = serving && st.ServingVersions[goodService] != "" && st.ServingVersions[badService] != ""
		}
		if serving {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "no serving version was recorded")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (d *demo) startRollouts(ctx context.Context) error {
	if err := d.awaitAnnounced(ctx); err != nil {
		return err
	}
	allowed := time.Duration(0.8 * float64(d.cfg.Duration))
	for _, name := range []string{goodService, badService} {
		if _, err := d.runCommand(ctx, "rollout", map[string]any{"service": name, "to": newVersion, "by": allowed.Milliseconds()}); err != nil {
			return err
		}
		d.printLine("rollout of %s to version %s started, %v allowed", name, newVersion, allowed)
	}
	return nil
}

// awaitAnnounced waits until the status view shows the new versions, since a rollout to an unknown version is refused.
func (d *demo) awaitAnnounced(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		var view renderer.View
		if err := d.system.Query(ctx, "/v1/status", &view); err == nil &&
			view.AnnouncedSlots(goodService)[newVersion] > 0 && view.AnnouncedSlots(badService)[newVersion] > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "the status view does not show the new versions")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (d *demo) drainDC(ctx context.Context) error {
	_, err := d.runCommand(ctx, "drain", map[string]any{"dc": drainedDC})
	d.drainedAt = time.Now()
	d.printLine("data centre %s taken out", drainedDC)
	return err
}

func (d *demo) undrainDC(ctx context.Context) error {
	d.undrainedAt = time.Now()
	_, err := d.runCommand(ctx, "undrain", map[string]any{"dc": drainedDC})
	d.printLine("data centre %s brought back", drainedDC)
	return err
}

func (d *demo) runCommand(ctx context.Context, op string, args any) (*assembler.CommandResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	a, err := d.system.Do(ctx, op, args)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if a.Status != 200 {
		return nil, errors.Errorf("command %s was answered with %d: %s", op, a.Status, a.Body)
	}
	return a, nil
}

func (d *demo) printLine(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.cfg.Out, "%6.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// report checks the records, prints the result and returns an InvariantError for violated invariants.
func (d *demo) report(ctx context.Context) (*Result, error) {
	rec := newRecords(d)
	r := rec.result()
	var err error
	if r.GoodPhase, r.BadPhase, err = d.rolloutPhases(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	d.printLine("%d calls, %d failed, %d refused; p50 %.1f ms, p99 %.1f ms", r.Calls, r.Failed, r.Refused, r.P50, r.P99)
	d.printLine("rollout of the good version: %s; of the bad version: %s, at most %.1f%% of its service's calls", r.GoodPhase, r.BadPhase, 100*r.MaxBadShare)
	d.printLine("last new request in %s came %d ms after its removal was accepted", drainedDC, r.LastRequestAfterDrain)
	violations := rec.violations(&r)
	for _, b := range violations {
		d.printLine("BROKEN: %s", b)
	}
	if d.cfg.JSON {
		line, err := json.Marshal(r)
		if err != nil {
			return nil, errors.Trace(err)
		}
		fmt.Fprintf(d.cfg.Out, "%s\n", line)
	}
	if len(violations) > 0 {
		return &r, &InvariantError{Violations: violations}
	}
	return &r, nil
}

func (d *demo) rolloutPhases(ctx context.Context) (good, bad string, err error) {
	var answer struct {
		Rollouts []struct{ Service, Phase, Reason string } `json:"rollouts"`
	}
	if err := d.system.Query(ctx, "/v1/rollouts", &answer); err != nil {
		return "", "", errors.Trace(err)
	}
	for _, r := range answer.Rollouts {
		d.printLine("rollout of %s: %s (%s)", r.Service, r.Phase, r.Reason)
		switch r.Service {
		case goodService:
			good = r.Phase
		case badService:
			bad = r.Phase
		}
	}
	return good, bad, nil
}
