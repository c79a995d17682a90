package faultinjector

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
)

const (
	// waitingService has one server with one slot, so that its requests wait.
	waitingService     = "reportdesk"
	waitingServiceTime = 500 * time.Millisecond
	waitingCallers     = 12
	waitingTimeout     = 10 * time.Second
	waitingLead        = time.Second
	// stopGrace is how long an entry with waiting requests may take to stop, less than these have.
	stopGrace = 2 * time.Second
	// stopCloseSlack is how long after it was sent a request that no server got may cross the close of its connection.
	stopCloseSlack = 200 * time.Millisecond
)

// stopRun is the stop of an entry whose callers have more time than it.
type stopRun struct {
	entry  string
	addr   string
	server *faker.Server
	caller *faker.Caller
	wg     sync.WaitGroup
	// signalAt is when the entry is told to stop; goneAt is when it has ended.
	signalAt, goneAt time.Time

	mu      sync.Mutex
	results []faker.Result
}

func (s *Testbed) newStopRun(name string) (*stopRun, error) {
	h := s.System.Config.Host(name)
	r := &stopRun{entry: name, addr: h.CallerAddr}
	var err error
	r.server, err = faker.NewServer(faker.ServerConfig{
		Service: waitingService, Version: "1", DC: h.DC, Slots: 1, AnnounceAddrs: s.System.AnnounceAddrs(h.DC),
		RenewInterval: 300 * time.Millisecond, Behaviour: faker.Behaviour{Latency: waitingServiceTime},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.caller = faker.NewCaller(faker.CallerConfig{Service: waitingService, Host: waitingService, Seeds: []string{r.addr}, Timeout: waitingTimeout})
	return r, nil
}

// awaitService waits until the entry serves the service.
func (r *stopRun) awaitService(ctx context.Context) error {
	for {
		if res := r.call(ctx); res.Err == nil && res.Status == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Annotatef(err, "%s does not serve %s", r.entry, waitingService)
		}
	}
}

// call sends a request that is not idempotent, which net/http does not repeat by itself.
func (r *stopRun) call(ctx context.Context) faker.Result {
	return r.caller.Do(ctx, faker.Call{Method: http.MethodPost, Path: "/report", Body: strings.NewReader("report"), EntryAddr: r.addr})
}

// startCallers sends requests on kept connections until the process is gone.
func (r *stopRun) startCallers(ctx context.Context) {
	for range waitingCallers {
		r.wg.Go(func() {
			for ctx.Err() == nil {
				res := r.call(ctx)
				r.mu.Lock()
				r.results = append(r.results, res)
				gone := !r.goneAt.IsZero()
				r.mu.Unlock()
				if gone {
					return
				}
				if res.Err != nil || res.NotRun() {
					time.Sleep(pollInterval)
				}
			}
		})
	}
}

// stop stops the entry. Whether requests were aborted is in the results.
func (r *stopRun) stop(ctx context.Context, s *Testbed) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	r.signalAt = time.Now()
	_ = s.System.Stop(ctx, r.entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.goneAt = time.Now()
}

// finish ends the callers and the server, and returns the requests without an answer, those that were called not run although
// they ran, and those that ran twice.
func (r *stopRun) finish() []string {
	r.wg.Wait()
	r.caller.Close()
	runs := make(map[string][]faker.Run)
	for _, run := range r.server.Runs() {
		runs[run.CallID] = append(runs[run.CallID], run)
	}
	r.server.Close()
	var list []string
	for i := range r.results {
		res := &r.results[i]
		switch n := len(runs[res.ID]); {
		case n > 1:
			list = append(list, fmt.Sprintf("request %s ran %d times", res.ID, n))
		case res.NotRun() && n > 0:
			list = append(list, fmt.Sprintf("request %s was answered as not run and has run", res.ID))
		case (res.Err != nil || n > 0 && res.Status >= http.StatusInternalServerError) && !r.mayLackAnswer(res, runs[res.ID]):
			list = append(list, fmt.Sprintf("request %s at %s, sent %v after the stop began, ended without an answer of a server after %v: status %d, %v",
				res.ID, r.entry, res.Start.Sub(r.signalAt).Round(time.Millisecond), res.Latency.Round(time.Millisecond), res.Status, res.Err))
		}
	}
	return list
}

// mayLackAnswer reports whether the connection may end without an answer: it was refused during the stop, the request crossed
// its close, or the server worked on it in the last sixth of the grace period.
func (r *stopRun) mayLackAnswer(res *faker.Result, runs []faker.Run) bool {
	lastSixth := r.signalAt.Add(stopGrace * 5 / 6)
	for _, run := range runs {
		return run.End.IsZero() || run.End.After(lastSixth)
	}
	if errors.Is(res.Err, syscall.ECONNREFUSED) {
		return res.Start.Add(res.Latency).After(r.signalAt) // Nothing was sent, however long connecting took.
	}
	return res.Latency <= stopCloseSlack
}

// startWaiting lets requests wait at entries that will stop.
func (s *Testbed) startWaiting(ctx context.Context, names ...string) ([]*stopRun, error) {
	stops := make([]*stopRun, 0, len(names))
	for _, name := range names {
		r, err := s.newStopRun(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		stops = append(stops, r)
		if err := r.awaitService(ctx); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for _, r := range stops {
		r.startCallers(ctx)
	}
	return stops, sleep(ctx, waitingLead)
}

// stopWaiting stops the entries at once and reports the violations that their callers saw. meanwhile runs during the stop.
func (s *Testbed) stopWaiting(ctx context.Context, stops []*stopRun, meanwhile func() error) error {
	s.startRecoveryTimer()
	var wg sync.WaitGroup
	for _, r := range stops {
		s.markDown(r.entry)
		wg.Go(func() { r.stop(ctx, s) })
	}
	err := meanwhile()
	wg.Wait()
	for _, r := range stops {
		for _, violation := range r.finish() {
			s.reportViolation("%s", violation)
		}
	}
	return errors.Trace(err)
}

// stopLoaded stops entries while requests wait there that have more time than the entries, and changes the configuration
// meanwhile.
func stopLoaded(ctx context.Context, s *Testbed, names ...string) (heal, error) {
	stops, err := s.startWaiting(ctx, names...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	err = s.stopWaiting(ctx, stops, func() error {
		_, err := s.ApplyConfig(ctx)
		return err
	})
	return func(context.Context) error {
		for _, name := range names {
			// The new process does not serve until it has the configuration.
			s.ExemptEntry(name)
			if err := s.StartHost(name); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}, errors.Trace(err)
}

func stopLoadedEntry(ctx context.Context, s *Testbed) (heal, error) {
	return stopLoaded(ctx, s, s.ClaimHost(sycamorevane.RoleEntry))
}

// stopLoadedDC stops all entries of a data centre that has several.
func stopLoadedDC(ctx context.Context, s *Testbed) (heal, error) {
	byDC := make(map[string][]string)
	for _, name := range s.System.Hosts(sycamorevane.RoleEntry) {
		dc := s.System.Config.Host(name).DC
		byDC[dc] = append(byDC[dc], name)
	}
	for {
		names := byDC[s.System.Config.Host(s.ClaimHost(sycamorevane.RoleEntry)).DC]
		if len(names) > 1 {
			return stopLoaded(ctx, s, names...)
		}
	}
}

// stopCutOffEntry stops an entry that has lost all other hosts a moment ago.
func stopCutOffEntry(ctx context.Context, s *Testbed) (heal, error) {
	name := s.ClaimHost(sycamorevane.RoleEntry)
	s.ExemptEntry(name)
	stops, err := s.startWaiting(ctx, name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rejoin := s.Partition(name)
	err = s.stopWaiting(ctx, stops, func() error { return nil })
	return func(context.Context) error {
		rejoin()
		return errors.Trace(s.StartHost(name))
	}, errors.Trace(err)
}
