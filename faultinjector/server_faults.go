package faultinjector

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/verifier"
)

const (
	slowdownFactor = 10
	// maxFailingServerShare bounds the share of all calls that a server which fails fast gets; its fair share is 1/6.
	maxFailingServerShare = 0.1
	// crashAttempts is how often a caller sends a request that crashes servers.
	crashAttempts = 12
	crashInterval = 150 * time.Millisecond
	// maxCrashedServers is how many servers one request may crash.
	maxCrashedServers = 2
	crashPath         = "/crash"
	// maxColdRequests bounds the mean number of concurrent requests on a server once it has been detected as cold: one
	// slot, plus slow requests from its ramp.
	maxColdRequests   = 2.0
	coldDetectionTime = time.Second
	sampleInterval    = 5 * time.Millisecond
)

func crashServer(_ context.Context, s *Testbed) (heal, error) {
	b := s.ClaimBackend()
	s.ExemptServer(b)
	b.Crash()
	return func(context.Context) error { return errors.Trace(b.Restart()) }, nil
}

// changeBehaviour claims a server and edits its behaviour until the fault ends.
func changeBehaviour(s *Testbed, edit func(*faker.Behaviour)) (b *Backend, end heal) {
	b = s.ClaimBackend()
	var before faker.Behaviour
	b.UpdateBehaviour(func(h *faker.Behaviour) {
		before = *h
		edit(h)
	})
	return b, func(context.Context) error {
		b.SetBehaviour(before)
		return nil
	}
}

func slowServer(_ context.Context, s *Testbed) (heal, error) {
	_, end := changeBehaviour(s, func(h *faker.Behaviour) { h.SlowdownFactor = slowdownFactor })
	return end, nil
}

// lyingServer reports that it is idle while each of its responses takes three times as long.
func lyingServer(_ context.Context, s *Testbed) (heal, error) {
	none := 0
	_, end := changeBehaviour(s, func(h *faker.Behaviour) {
		h.ReportedLoad = &none
		h.SlowdownFactor = 3
	})
	return end, nil
}

func failFast(_ context.Context, s *Testbed) (heal, error) {
	startedAt := time.Now()
	b, end := changeBehaviour(s, func(h *faker.Behaviour) { h.FailFast = true })
	id := b.ID()
	endExemption := s.ExemptServer(b) // The server's own responses with status 500 are passed on to callers.
	return func(ctx context.Context) error {
		ended := time.Now()
		endExemption()
		s.AddCheck(func(l *verifier.CallLog) []string { return s.checkFailingServerShare(l, id, startedAt, ended) })
		return end(ctx)
	}, nil
}

// checkFailingServerShare checks that a server did not get more calls because it fails quickly.
func (s *Testbed) checkFailingServerShare(log *verifier.CallLog, id string, from, until time.Time) []string {
	total, onServer := 0, 0
	for _, runs := range log.Runs {
		for i := range runs {
			if runs[i].Start.Before(from) || runs[i].Start.After(until) {
				continue
			}
			total++
			if runs[i].ServerID == id {
				onServer++
			}
		}
	}
	share := float64(onServer) / float64(max(1, total))
	s.AddNote("failing server got %.1f%% of calls", 100*share)
	if share > maxFailingServerShare {
		return []string{fmt.Sprintf("a server that fails fast got %.1f%% of the calls", 100*share)}
	}
	return nil
}

// drainingServer announces that it drains and refuses every new request as not run.
func drainingServer(_ context.Context, s *Testbed) (heal, error) {
	b, end := changeBehaviour(s, func(h *faker.Behaviour) { h.Draining = true })
	startedAt := time.Now()
	limit := make(chan int, 1)
	time.AfterFunc(MaxDrainDelay, func() { limit <- b.Stats().Shed })
	return func(ctx context.Context) error {
		if time.Since(startedAt) < MaxDrainDelay {
			return errors.New("the fault ended before the time limit of a drain")
		}
		late := b.Stats().Shed - <-limit
		s.AddCheck(func(*verifier.CallLog) []string {
			if late > 0 {
				return []string{fmt.Sprintf("a draining server got %d new requests after %v", late, MaxDrainDelay)}
			}
			return nil
		})
		return end(ctx)
	}, nil
}

// drainServer is an operator's drain command; the server itself would still accept requests.
func drainServer(ctx context.Context, s *Testbed) (heal, error) {
	b := s.ClaimBackend()
	id := b.ID()
	return s.drain(ctx, map[string]any{"server": id, "force": true}, map[string]any{"server": id}, func(r *faker.Run) bool { return r.ServerID == id })
}

func drainDC(ctx context.Context, s *Testbed) (heal, error) {
	dc := s.claimDC()
	return s.drain(ctx, map[string]any{"dc": dc, "force": true}, map[string]any{"dc": dc}, func(r *faker.Run) bool { return r.DC == dc })
}

func (s *Testbed) claimDC() string {
	dcs := s.System.Config.DCs
	for _, i := range s.Rand.Perm(len(dcs)) {
		if s.Claim(dcs[i]) {
			return dcs[i]
		}
	}
	return dcs[0]
}

// drain sends a drain command, and checks that no run selected by match starts later than MaxDrainDelay.
func (s *Testbed) drain(ctx context.Context, drainArgs, undrainArgs map[string]any, match func(*faker.Run) bool) (heal, error) {
	o, err := s.SendCommand(ctx, "drain", drainArgs)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if o.Result != applier.ResultApplied {
		return nil, errors.Errorf("drain was answered with %s: %s", o.Result, o.Reason)
	}
	accepted := time.Now()
	return func(ctx context.Context) error {
		ended := time.Now()
		if ended.Sub(accepted) < MaxDrainDelay {
			return errors.New("the fault ended before the time limit of a drain")
		}
		s.AddCheck(func(l *verifier.CallLog) []string { return s.checkDrained(l, accepted, ended, match) })
		o, err := s.SendCommand(ctx, "undrain", undrainArgs)
		if err == nil && o.Result != applier.ResultApplied {
			err = errors.Errorf("undrain was answered with %s: %s", o.Result, o.Reason)
		}
		return errors.Trace(err)
	}, nil
}

func (s *Testbed) checkDrained(log *verifier.CallLog, from, until time.Time, match func(*faker.Run) bool) []string {
	var last time.Duration
	for _, runs := range log.Runs {
		for i := range runs {
			if at := runs[i].Start; match(&runs[i]) && at.After(from) && at.Before(until) {
				last = max(last, at.Sub(from))
			}
		}
	}
	s.AddNote("last new request %d ms after acceptance", last.Milliseconds())
	if last > MaxDrainDelay {
		return []string{fmt.Sprintf("a new request came %v after a drain was accepted", last)}
	}
	return nil
}

// coldServer makes a warm server cold. With more than one concurrent request it collapses and its warm-up starts anew.
func coldServer(ctx context.Context, s *Testbed) (heal, error) {
	b, end := changeBehaviour(s, func(*faker.Behaviour) {})
	answers := b.Stats().Runs + 2*warmupAnswers
	b.UpdateBehaviour(func(h *faker.Behaviour) { h.WarmupAnswers = answers })
	ctx, cancel := context.WithCancel(ctx)
	mean := make(chan float64, 1)
	go func() { mean <- sampleRequests(ctx, b) }()
	return func(ctx context.Context) error {
		cancel()
		busy := <-mean
		s.AddNote("cold server had %.2f requests at once", busy)
		s.AddCheck(func(*verifier.CallLog) []string {
			if busy > maxColdRequests {
				return []string{fmt.Sprintf("a cold server had %.2f requests at once in the mean", busy)}
			}
			return nil
		})
		return end(ctx)
	}, nil
}

// sampleRequests returns the mean number of requests on a server, sampled from coldDetectionTime on.
func sampleRequests(ctx context.Context, b *Backend) float64 {
	if sleep(ctx, coldDetectionTime) != nil {
		return 0
	}
	sum, n := 0, 0
	for sleep(ctx, sampleInterval) == nil {
		st := b.Stats()
		sum += st.Running + st.Waiting
		n++
	}
	return float64(sum) / float64(max(1, n))
}

func crashingRead(ctx context.Context, s *Testbed) (heal, error) {
	return s.sendCrashingRequest(ctx, faker.Call{Method: http.MethodGet, Path: crashPath})
}

func crashingChange(ctx context.Context, s *Testbed) (heal, error) {
	return s.sendCrashingRequest(ctx, faker.Call{Method: http.MethodPost, Path: crashPath + "/change"})
}

// sendCrashingRequest sends a request that crashes each server that runs it, and resends it through any entry.
func (s *Testbed) sendCrashingRequest(ctx context.Context, call faker.Call) (heal, error) {
	ids := make(map[*Backend]string, len(s.Backends))
	for _, b := range s.Backends {
		ids[b] = b.ID()
	}
	for _, b := range s.Backends {
		s.ExemptServer(b)
	}
	call.Header = http.Header{faker.HeaderCrash: {"1"}}
	last := faker.Result{}
	for range crashAttempts {
		if call.Method == http.MethodPost {
			call.Body = strings.NewReader("a change that crashes servers")
		}
		last = s.caller.Do(ctx, call)
		if err := sleep(ctx, crashInterval); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for b, id := range ids {
		if !b.Stopped() {
			s.revokeServerExemption(id) // Only calls on servers that crashed may have failed.
		}
	}
	s.startRecoveryTimer()
	s.AddCheck(func(l *verifier.CallLog) []string { return s.checkCrashedServers(l, call.Path) })
	s.AddNote("last answer %d", last.Status)
	return func(context.Context) error {
		for b := range ids {
			if b.Stopped() && b.ID() == ids[b] && !s.claimed(b.Addr()) {
				if err := b.Restart(); err != nil {
					return errors.Trace(err)
				}
			}
		}
		return nil
	}, nil
}

func (s *Testbed) checkCrashedServers(log *verifier.CallLog, path string) []string {
	servers := make(map[string]bool)
	for _, runs := range log.Runs {
		for i := range runs {
			if runs[i].Path == path {
				servers[runs[i].ServerID] = true
			}
		}
	}
	s.AddNote("%d servers lost", len(servers))
	switch {
	case len(servers) > maxCrashedServers:
		return []string{fmt.Sprintf("one request took down %d servers", len(servers))}
	case len(servers) == 0:
		return []string{"the request that crashes servers ran on none, so the check proved nothing"}
	}
	return nil
}

// silenceConnections makes the open connections between entries and one server silent; new connections work.
func silenceConnections(ctx context.Context, s *Testbed) (heal, error) {
	b := s.Backends[len(s.Backends)-1]
	endExemption := s.exempt(&exemption{server: b.ID(), addr: b.advertised(), changesOnly: true})
	n := b.Relay.Freeze()
	for n == 0 {
		if err := sleep(ctx, pollInterval); err != nil {
			return nil, errors.Annotate(err, "the server behind the relay has no connection")
		}
		n = b.Relay.Freeze()
	}
	// A connection that was used successfully within the last second may still be chosen for a non-idempotent call.
	time.AfterFunc(time.Second, endExemption)
	s.AddNote("%d connections silent", n)
	return func(context.Context) error { return nil }, nil
}
