package faultinjector

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/querier"
	"sycamorevane.example/sycamorevane/verifier"
)

const (
	// maxWithdrawDelay is the time after which a partitioned entry must have stopped serving: subscriber.ContactTimeout
	// plus a margin for one tick and for running requests.
	maxWithdrawDelay    = 4 * time.Second
	stopTimeout         = 10 * time.Second
	uploadChunks        = 20
	uploadChunkBytes    = 8 << 10
	uploadChunkInterval = 100 * time.Millisecond
	configChanges       = 500
	concurrentOperators = 8
	racingPairs         = 8
	sendsPerCommand     = 3
	leaderSettleTime    = time.Second
)

func killEntry(_ context.Context, s *Testbed) (heal, error) {
	name := s.ClaimHost(sycamorevane.RoleEntry)
	s.ExemptEntry(name)
	s.Kill(name)
	return func(context.Context) error { return errors.Trace(s.StartHost(name)) }, nil
}

// slowBody is an upload body that takes about two seconds to read.
type slowBody struct{ chunksLeft int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.chunksLeft == 0 {
		return 0, io.EOF
	}
	b.chunksLeft--
	time.Sleep(uploadChunkInterval)
	return copy(p, bytes.Repeat([]byte{byte(b.chunksLeft)}, min(len(p), uploadChunkBytes))), nil
}

// stopEntry stops an entry gracefully while a slow upload runs through it. No call may fail.
func stopEntry(ctx context.Context, s *Testbed) (heal, error) {
	name := s.ClaimHost(sycamorevane.RoleEntry)
	digest := sha256.New()
	done := make(chan faker.Result, 1)
	uploadStarted := make(chan struct{})
	body := io.TeeReader(&slowBody{chunksLeft: uploadChunks}, digest)
	uploader := faker.NewCaller(faker.CallerConfig{Service: serviceName, Host: serviceName, Seeds: s.System.CallerAddrs()})
	go func() {
		done <- uploader.Do(ctx, faker.Call{
			Method: http.MethodPost, Path: "/upload", Body: io.MultiReader(newSignalReader(uploadStarted), body),
			EntryAddr: s.System.Config.Host(name).CallerAddr,
		})
	}()
	<-uploadStarted
	s.markDown(name)
	stop, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.System.Stop(stop, name); err != nil {
		return nil, errors.Annotatef(err, "entry %s aborted requests when it stopped", name)
	}
	s.startRecoveryTimer()
	r := <-done
	uploader.Close()
	sum := hex.EncodeToString(digest.Sum(nil))
	s.AddCheck(func(*verifier.CallLog) []string {
		if r.Err != nil || r.Status != http.StatusOK || r.Header.Get(faker.HeaderBodyDigest) != sum {
			return []string{fmt.Sprintf("an upload through an entry that stopped ended with %d %.80q, %v", r.Status, r.Body, r.Err)}
		}
		return nil
	})
	return func(context.Context) error {
		// The new process does not serve until it has the configuration.
		s.ExemptEntry(name)
		return errors.Trace(s.StartHost(name))
	}, nil
}

// newSignalReader returns an empty reader that closes the channel when it is first read.
func newSignalReader(c chan struct{}) io.Reader { return &signalReader{read: c} }

type signalReader struct {
	read chan struct{}
	once sync.Once
}

func (r *signalReader) Read([]byte) (int, error) {
	r.once.Do(func() { close(r.read) })
	return 0, io.EOF
}

func cutEntry(_ context.Context, s *Testbed) (heal, error) {
	name := s.ClaimHost(sycamorevane.RoleEntry)
	return s.isolate([]string{name}, name), nil
}

// splitMesh partitions two entries and one control host from the rest.
func splitMesh(_ context.Context, s *Testbed) (heal, error) {
	a, b := s.ClaimHost(sycamorevane.RoleEntry), s.ClaimHost(sycamorevane.RoleEntry)
	return s.isolate([]string{a, b}, a, b, s.ClaimHost(sycamorevane.RoleControl)), nil
}

// isolate partitions hosts from the rest and checks that the entries among them stop serving.
func (s *Testbed) isolate(entryNames []string, hosts ...string) heal {
	start := time.Now()
	for _, name := range entryNames {
		s.ExemptEntry(name)
	}
	rejoin := s.Partition(hosts...)
	return func(context.Context) error {
		ended := time.Now()
		rejoin()
		s.AddCheck(func(*verifier.CallLog) []string {
			return s.checkWithdrawn(entryNames, start.Add(maxWithdrawDelay), ended)
		})
		return nil
	}
}

// checkWithdrawn reports responses of entries that should have stopped serving, and requests that they delayed.
func (s *Testbed) checkWithdrawn(entryNames []string, from, until time.Time) []string {
	if until.Sub(from) <= 0 {
		return []string{"the fault ended before the entries had to stop serving, so the check proved nothing"}
	}
	addrs := sycamorevane.NewSet[string]()
	for _, name := range entryNames {
		addrs.Add(s.System.Config.Host(name).CallerAddr)
	}
	served, delayed := 0, 0
	var last time.Duration
	for _, r := range s.allResults() {
		end := r.Start.Add(r.Latency)
		if !addrs.Has(r.EntryAddr) || r.Err != nil || r.Start.After(until) {
			continue
		}
		if r.Start.Before(from) && end.After(from) {
			delayed++
		}
		if r.Status != http.StatusOK || end.After(until) {
			continue
		}
		last = max(last, end.Sub(from)+maxWithdrawDelay)
		if end.After(from) {
			served++
		}
	}
	s.AddNote("cut entries served for %d ms", last.Milliseconds())
	var list []string
	if served > 0 {
		list = append(list, fmt.Sprintf("entries that were cut off served %d requests later than %v", served, maxWithdrawDelay))
	}
	if delayed > 0 {
		list = append(list, fmt.Sprintf("entries that were cut off delayed %d requests for longer than %v", delayed, maxWithdrawDelay))
	}
	return list
}

// allResults lists the results of all sends.
func (s *Testbed) allResults() []*faker.Result {
	var list []*faker.Result
	for _, t := range s.traffic {
		for _, c := range t.Calls() {
			for i := range c.Results {
				list = append(list, &c.Results[i])
			}
		}
	}
	return list
}

func (s *Testbed) claimLeader(ctx context.Context) (string, error) {
	name, err := s.Leader(ctx)
	s.Claim(name)
	return name, errors.Trace(err)
}

func killLeader(ctx context.Context, s *Testbed) (heal, error) {
	name, err := s.claimLeader(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.Kill(name)
	return func(context.Context) error { return errors.Trace(s.StartHost(name)) }, nil
}

// cutLeader partitions the control leader for several seconds. Meanwhile it must not answer reads or commands, and its
// return must not cause a change of the new leader.
func cutLeader(ctx context.Context, s *Testbed) (heal, error) {
	name, err := s.claimLeader(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	rejoin := s.Partition(name)
	return func(ctx context.Context) error {
		addr := s.System.Config.Host(name).OperatorAddr
		var config querier.ConfigResponse
		if status, err := s.sendOperatorRequest(ctx, http.MethodGet, addr, "/v1/config", "", &config); err == nil && status == http.StatusOK {
			s.reportViolation("control host %s was cut off and answered a read with version %d", name, config.Version)
		}
		before := ""
		if len(s.reachableHosts(sycamorevane.RoleControl)) > controlCount/2 {
			if before, err = s.Leader(ctx); err != nil {
				return errors.Trace(err)
			}
		}
		rejoin()
		if before == "" {
			return nil
		}
		if err := sleep(ctx, leaderSettleTime); err != nil {
			return errors.Trace(err)
		}
		after, err := s.Leader(ctx)
		if err == nil && after != before {
			s.reportViolation("control host %s returned and the leader changed from %s to %s", name, before, after)
		}
		return errors.Trace(err)
	}, nil
}

// loseSecondControl kills a control host, restarts it and immediately kills another. All commands accepted in the
// meantime must be kept.
func loseSecondControl(ctx context.Context, s *Testbed) (heal, error) {
	first, second := s.ClaimHost(sycamorevane.RoleControl), s.ClaimHost(sycamorevane.RoleControl)
	s.Kill(first)
	if err := s.applyMany(ctx, concurrentOperators); err != nil {
		return nil, errors.Trace(err)
	}
	if err := s.StartHost(first); err != nil {
		return nil, errors.Trace(err)
	}
	s.startRecoveryTimer()
	s.Kill(second)
	return func(ctx context.Context) error {
		s.checkAudit(ctx)
		return errors.Trace(s.StartHost(second))
	}, nil
}

// restartControl kills all control hosts at once after many accepted commands and starts them again.
func restartControl(ctx context.Context, s *Testbed) (heal, error) {
	if err := s.applyMany(ctx, configChanges); err != nil {
		return nil, errors.Trace(err)
	}
	s.startRecoveryTimer()
	var wg sync.WaitGroup
	hosts := s.System.Hosts(sycamorevane.RoleControl)
	for _, name := range hosts {
		wg.Go(func() { s.Kill(name) })
	}
	wg.Wait()
	for _, name := range hosts {
		if err := s.StartHost(name); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return func(ctx context.Context) error {
		s.checkAudit(ctx)
		return nil
	}, nil
}

// applyMany sends configuration changes from several operators concurrently and records the accepted ones.
func (s *Testbed) applyMany(ctx context.Context, n int) error {
	startedAt := time.Now()
	errs := make([]error, concurrentOperators)
	var wg sync.WaitGroup
	for w := range concurrentOperators {
		wg.Go(func() {
			for i := w; i < n && errs[w] == nil; i += concurrentOperators {
				var o *applier.Outcome
				if o, errs[w] = s.ApplyConfig(ctx); errs[w] == nil {
					s.mu.Lock()
					s.acceptedCommands = append(s.acceptedCommands, *o)
					s.mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	s.AddNote("%d changes in %d ms", n, time.Since(startedAt).Milliseconds())
	for _, err := range errs {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// checkAudit checks that every accepted command is in the audit trail exactly once.
func (s *Testbed) checkAudit(ctx context.Context) {
	records, err := s.AuditTrail(ctx)
	if err != nil {
		s.reportViolation("audit trail: %v", err)
		return
	}
	count := make(map[string]int, len(records))
	for i := range records {
		count[records[i].Outcome.ID]++
	}
	missing, duplicated := 0, 0
	for i := range s.acceptedCommands {
		switch n := count[s.acceptedCommands[i].ID]; {
		case n == 0:
			missing++
		case n > 1:
			duplicated++
		}
	}
	s.AddNote("%d of %d accepted changes in the audit trail", len(s.acceptedCommands)-missing, len(s.acceptedCommands))
	if missing+duplicated > 0 {
		s.reportViolation("of %d accepted commands %d are missing in the audit trail and %d are there twice", len(s.acceptedCommands), missing, duplicated)
	}
}

// racingCommand is one operator's command with the outcomes of all its sends.
type racingCommand struct {
	id, op   string
	outcomes []applier.Outcome
}

// raceOperators sends conflicting commands from many operators, each of which resends its command under the same ID.
func raceOperators(ctx context.Context, s *Testbed) (heal, error) {
	dc := s.claimDC()
	commands := make([]*racingCommand, 0, 2*racingPairs)
	for i := range 2 * racingPairs {
		op := [...]string{"drain", "undrain"}[i%2]
		commands = append(commands, &racingCommand{id: fmt.Sprintf("race-%d-%08x", i, rand.Uint32()), op: op})
	}
	var wg sync.WaitGroup
	errs := make([]error, len(commands))
	for i, r := range commands {
		wg.Go(func() {
			for range sendsPerCommand {
				o, err := s.SendCommandWithID(ctx, r.id, r.op, map[string]any{"dc": dc})
				if err != nil {
					errs[i] = err
					return
				}
				r.outcomes = append(r.outcomes, *o)
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	return func(ctx context.Context) error {
		if err := s.checkRace(ctx, dc, commands); err != nil {
			return errors.Trace(err)
		}
		_, err := s.SendCommand(ctx, "undrain", map[string]any{"dc": dc})
		return errors.Trace(err)
	}, nil
}

// checkRace compares the outcomes that the operators got with the audit trail, and the state with the last applied
// command.
func (s *Testbed) checkRace(ctx context.Context, dc string, commands []*racingCommand) error {
	records, err := s.AuditTrail(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	byID := make(map[string][]applier.Outcome)
	for i := range records {
		byID[records[i].Outcome.ID] = append(byID[records[i].Outcome.ID], records[i].Outcome)
	}
	var last applier.Outcome
	for _, r := range commands {
		if len(byID[r.id]) != 1 {
			s.reportViolation("command %s is %d times in the audit trail", r.id, len(byID[r.id]))
			continue
		}
		o := byID[r.id][0]
		for _, a := range r.outcomes {
			if a.Result != o.Result || a.Version != o.Version {
				s.reportViolation("command %s was answered with %s at version %d, the audit trail has %s at %d", r.id, a.Result, a.Version, o.Result, o.Version)
			}
		}
		if o.Result == applier.ResultApplied && o.Version > last.Version {
			last = o
		}
	}
	var config querier.ConfigResponse
	for {
		for _, addr := range s.System.OperatorAddrs() {
			if status, err := s.sendOperatorRequest(ctx, http.MethodGet, addr, "/v1/config", "", &config); err == nil && status == http.StatusOK {
				if _, drained := config.Drained.DCs[dc]; drained != (last.Op == "drain") {
					s.reportViolation("the last of the racing commands is %q, but the drained state of the data centre is %t", last.Op, drained)
				}
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Annotate(err, "no control host answers a read")
		}
	}
}
