package saboteur

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/auditor"
	"sycamorevane.example/sycamorevane/faker"
)

const (
	slowFactor = 10
	// failShare bounds the part of all calls that a server which fails fast gets; its fair share is a sixth.
	failShare = 0.1
	// crashSends is how often a caller sends a request that crashes servers.
	crashSends = 12
	crashPause = 150 * time.Millisecond
	// crashLimit is how many servers one request may take down.
	crashLimit = 2
	crashPath  = "/crash"
	// coldBusy bounds the mean number of requests on a cold server once it has been noticed: one slot and the
	// slow answers of a ramp.
	coldBusy     = 2.0
	coldNotice   = time.Second
	samplePeriod = 5 * time.Millisecond
)

func crashServer(_ context.Context, s *Scene) (heal, error) {
	b := s.TakeBackend()
	s.LoseServer(b)
	b.Crash()
	return func(context.Context) error { return errors.Trace(b.Restart()) }, nil
}

// change edits the behaviour of a server until the fault ends.
func change(s *Scene, edit func(*faker.Behaviour)) (b *Backend, end heal) {
	b = s.TakeBackend()
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

func slowServer(_ context.Context, s *Scene) (heal, error) {
	_, end := change(s, func(h *faker.Behaviour) { h.SlowdownFactor = slowFactor })
	return end, nil
}

// lyingServer announces that it is idle while each answer takes three times as long.
func lyingServer(_ context.Context, s *Scene) (heal, error) {
	none := 0
	_, end := change(s, func(h *faker.Behaviour) {
		h.Load = &none
		h.SlowdownFactor = 3
	})
	return end, nil
}

func failFast(_ context.Context, s *Scene) (heal, error) {
	began := time.Now()
	b, end := change(s, func(h *faker.Behaviour) { h.FailFast = true })
	id := b.ID()
	found := s.LoseServer(b) // The server's own answers of 500 are passed on.
	return func(ctx context.Context) error {
		ended := time.Now()
		found()
		s.Check(func(l *auditor.CallLog) []string { return s.attracted(l, id, began, ended) })
		return end(ctx)
	}, nil
}

// attracted checks that a server did not get more calls because it fails quickly.
func (s *Scene) attracted(l *auditor.CallLog, id string, from, until time.Time) []string {
	all, here := 0, 0
	for _, runs := range l.Runs {
		for i := range runs {
			if runs[i].Start.Before(from) || runs[i].Start.After(until) {
				continue
			}
			all++
			if runs[i].Server == id {
				here++
			}
		}
	}
	share := float64(here) / float64(max(1, all))
	s.Note("failing server got %.1f%% of calls", 100*share)
	if share > failShare {
		return []string{fmt.Sprintf("a server that fails fast got %.1f%% of the calls", 100*share)}
	}
	return nil
}

// drainingServer announces that it drains and refuses every new request as not run.
func drainingServer(_ context.Context, s *Scene) (heal, error) {
	b, end := change(s, func(h *faker.Behaviour) { h.Draining = true })
	began := time.Now()
	limit := make(chan int, 1)
	time.AfterFunc(DrainLimit, func() { limit <- b.Stats().Shed })
	return func(ctx context.Context) error {
		if time.Since(began) < DrainLimit {
			return errors.New("the fault ended before the limit of draining")
		}
		late := b.Stats().Shed - <-limit
		s.Check(func(*auditor.CallLog) []string {
			if late > 0 {
				return []string{fmt.Sprintf("a draining server got %d new requests after %v", late, DrainLimit)}
			}
			return nil
		})
		return end(ctx)
	}, nil
}

// drainServer is an operator's command; the server itself would still accept work.
func drainServer(ctx context.Context, s *Scene) (heal, error) {
	b := s.TakeBackend()
	id := b.ID()
	return s.drain(ctx, map[string]any{"server": id, "force": true}, map[string]any{"server": id}, func(r *faker.Run) bool { return r.Server == id })
}

func drainDC(ctx context.Context, s *Scene) (heal, error) {
	dc := s.takeDC()
	return s.drain(ctx, map[string]any{"dc": dc, "force": true}, map[string]any{"dc": dc}, func(r *faker.Run) bool { return r.DC == dc })
}

func (s *Scene) takeDC() string {
	dcs := s.System.Config.DCs
	for _, i := range s.Rand.Perm(len(dcs)) {
		if s.Claim(dcs[i]) {
			return dcs[i]
		}
	}
	return dcs[0]
}

// drain takes something out, and checks that no run that match selects starts later than DrainLimit.
func (s *Scene) drain(ctx context.Context, out, back map[string]any, match func(*faker.Run) bool) (heal, error) {
	o, err := s.Command(ctx, "drain", out)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if o.Result != applier.ResultApplied {
		return nil, errors.Errorf("drain was answered with %s: %s", o.Result, o.Reason)
	}
	accepted := time.Now()
	return func(ctx context.Context) error {
		ended := time.Now()
		if ended.Sub(accepted) < DrainLimit {
			return errors.New("the fault ended before the limit of draining")
		}
		s.Check(func(l *auditor.CallLog) []string { return s.late(l, accepted, ended, match) })
		o, err := s.Command(ctx, "undrain", back)
		if err == nil && o.Result != applier.ResultApplied {
			err = errors.Errorf("undrain was answered with %s: %s", o.Result, o.Reason)
		}
		return errors.Trace(err)
	}, nil
}

func (s *Scene) late(l *auditor.CallLog, from, until time.Time, match func(*faker.Run) bool) []string {
	var last time.Duration
	for _, runs := range l.Runs {
		for i := range runs {
			if at := runs[i].Start; match(&runs[i]) && at.After(from) && at.Before(until) {
				last = max(last, at.Sub(from))
			}
		}
	}
	s.Note("last new request %d ms after acceptance", last.Milliseconds())
	if last > DrainLimit {
		return []string{fmt.Sprintf("a new request came %v after a drain was accepted", last)}
	}
	return nil
}

// coldServer makes a warm server cold; with more than one request at once it collapses and warms up anew.
func coldServer(ctx context.Context, s *Scene) (heal, error) {
	b, end := change(s, func(*faker.Behaviour) {})
	answers := b.Stats().Runs + 2*coldAnswers
	b.UpdateBehaviour(func(h *faker.Behaviour) { h.WarmupAnswers = answers })
	ctx, cancel := context.WithCancel(ctx)
	mean := make(chan float64, 1)
	go func() { mean <- sampleBusy(ctx, b) }()
	return func(ctx context.Context) error {
		cancel()
		busy := <-mean
		s.Note("cold server had %.2f requests at once", busy)
		s.Check(func(*auditor.CallLog) []string {
			if busy > coldBusy {
				return []string{fmt.Sprintf("a cold server had %.2f requests at once in the mean", busy)}
			}
			return nil
		})
		return end(ctx)
	}, nil
}

// sampleBusy returns the mean number of requests on a server from coldNotice on.
func sampleBusy(ctx context.Context, b *Backend) float64 {
	if sleep(ctx, coldNotice) != nil {
		return 0
	}
	sum, n := 0, 0
	for sleep(ctx, samplePeriod) == nil {
		st := b.Stats()
		sum += st.Running + st.Waiting
		n++
	}
	return float64(sum) / float64(max(1, n))
}

func crashingRead(ctx context.Context, s *Scene) (heal, error) {
	return s.crashing(ctx, faker.Call{Method: http.MethodGet, Path: crashPath})
}

func crashingChange(ctx context.Context, s *Scene) (heal, error) {
	return s.crashing(ctx, faker.Call{Method: http.MethodPost, Path: crashPath + "/change"})
}

// crashing sends a request that ends each server that runs it, and resends it through any entry.
func (s *Scene) crashing(ctx context.Context, call faker.Call) (heal, error) {
	ids := make(map[*Backend]string, len(s.Backends))
	for _, b := range s.Backends {
		ids[b] = b.ID()
	}
	for _, b := range s.Backends {
		s.LoseServer(b)
	}
	call.Header = http.Header{faker.HeaderCrash: {"1"}}
	last := faker.Result{}
	for range crashSends {
		if call.Method == http.MethodPost {
			call.Body = strings.NewReader("a change that crashes servers")
		}
		last = s.reader.Do(ctx, call)
		if err := sleep(ctx, crashPause); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for b, id := range ids {
		if !b.Stopped() {
			s.forgive(id) // Only calls on servers that died may have broken.
		}
	}
	s.mark()
	s.Check(func(l *auditor.CallLog) []string { return s.crashed(l, call.Path) })
	s.Note("last answer %d", last.Status)
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

func (s *Scene) crashed(l *auditor.CallLog, path string) []string {
	servers := make(map[string]bool)
	for _, runs := range l.Runs {
		for i := range runs {
			if runs[i].Path == path {
				servers[runs[i].Server] = true
			}
		}
	}
	s.Note("%d servers lost", len(servers))
	switch {
	case len(servers) > crashLimit:
		return []string{fmt.Sprintf("one request took down %d servers", len(servers))}
	case len(servers) == 0:
		return []string{"the request that crashes servers ran on none, so nothing was shown"}
	}
	return nil
}

// silence makes the open connections between entries and one server silent; new ones work.
func silence(ctx context.Context, s *Scene) (heal, error) {
	b := s.Backends[len(s.Backends)-1]
	end := s.lose(&loss{server: b.ID(), addr: b.advertised(), changes: true})
	n := b.Relay.Freeze()
	for n == 0 {
		if err := sleep(ctx, orderPause); err != nil {
			return nil, errors.Annotate(err, "the server behind the relay has no connection")
		}
		n = b.Relay.Freeze()
	}
	// A connection that answered within the last second may still be chosen for a change.
	time.AfterFunc(time.Second, end)
	s.Note("%d connections silent", n)
	return func(context.Context) error { return nil }, nil
}
