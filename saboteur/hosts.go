package saboteur

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
	"sycamorevane.example/sycamorevane/auditor"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/querier"
)

const (
	// withdrawLimit is when an entry that is cut off must have stopped to serve: subscriber.ContactTimeout with a
	// margin for one tick and for requests that run.
	withdrawLimit = 4 * time.Second
	stopTimeout   = 10 * time.Second
	uploadParts   = 20
	uploadPart    = 8 << 10
	uploadPause   = 100 * time.Millisecond
	changes       = 500
	writers       = 8
	racers        = 8
	raceSends     = 3
	settleTime    = time.Second
)

func killEntry(_ context.Context, s *Scene) (heal, error) {
	name := s.Take(sycamorevane.RoleEntry)
	s.LoseEntry(name)
	s.Kill(name)
	return func(context.Context) error { return errors.Trace(s.Start(name)) }, nil
}

// slowBody is an upload that takes about two seconds.
type slowBody struct{ parts int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.parts == 0 {
		return 0, io.EOF
	}
	b.parts--
	time.Sleep(uploadPause)
	return copy(p, bytes.Repeat([]byte{byte(b.parts)}, min(len(p), uploadPart))), nil
}

// stopEntry stops an entry while a slow upload runs through it. No call may fail.
func stopEntry(ctx context.Context, s *Scene) (heal, error) {
	name := s.Take(sycamorevane.RoleEntry)
	digest := sha256.New()
	done := make(chan faker.Result, 1)
	began := make(chan struct{})
	body := io.TeeReader(&slowBody{parts: uploadParts}, digest)
	uploader := faker.NewCaller(faker.CallerConfig{Service: service, Host: service, Seeds: s.System.CallerAddrs()})
	go func() {
		done <- uploader.Do(ctx, faker.Call{
			Method: http.MethodPost, Path: "/upload", Body: io.MultiReader(signal(began), body), Entry: s.System.Config.Host(name).CallerAddr,
		})
	}()
	<-began
	s.markDown(name)
	stop, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.System.Stop(stop, name); err != nil {
		return nil, errors.Annotatef(err, "entry %s cut requests when it stopped", name)
	}
	s.mark()
	r := <-done
	uploader.Close()
	sum := hex.EncodeToString(digest.Sum(nil))
	s.Check(func(*auditor.CallLog) []string {
		if r.Err != nil || r.Status != http.StatusOK || r.Header.Get(faker.HeaderDigest) != sum {
			return []string{fmt.Sprintf("an upload through an entry that stopped ended with %d %.80q, %v", r.Status, r.Body, r.Err)}
		}
		return nil
	})
	return func(context.Context) error {
		// The new process does not serve before it has the configuration.
		s.LoseEntry(name)
		return errors.Trace(s.Start(name))
	}, nil
}

// signal is an empty reader that closes the channel when it is read.
func signal(c chan struct{}) io.Reader { return &signalReader{c: c} }

type signalReader struct {
	c    chan struct{}
	once sync.Once
}

func (r *signalReader) Read([]byte) (int, error) {
	r.once.Do(func() { close(r.c) })
	return 0, io.EOF
}

func cutEntry(_ context.Context, s *Scene) (heal, error) {
	name := s.Take(sycamorevane.RoleEntry)
	return s.cutOff([]string{name}, name), nil
}

// splitMesh separates two entries and one control host from the rest.
func splitMesh(_ context.Context, s *Scene) (heal, error) {
	a, b := s.Take(sycamorevane.RoleEntry), s.Take(sycamorevane.RoleEntry)
	return s.cutOff([]string{a, b}, a, b, s.Take(sycamorevane.RoleControl)), nil
}

// cutOff separates hosts and checks that the entries among them stop to serve.
func (s *Scene) cutOff(names []string, hosts ...string) heal {
	cut := time.Now()
	for _, name := range names {
		s.LoseEntry(name)
	}
	join := s.Cut(hosts...)
	return func(context.Context) error {
		ended := time.Now()
		join()
		s.Check(func(*auditor.CallLog) []string { return s.served(names, cut.Add(withdrawLimit), ended) })
		return nil
	}
}

// served finds answers of entries that ought to have withdrawn, and requests that they held back.
func (s *Scene) served(names []string, from, until time.Time) []string {
	if until.Sub(from) <= 0 {
		return []string{"the fault ended before the entries had to withdraw, so nothing was shown"}
	}
	addrs := sycamorevane.NewSet[string]()
	for _, name := range names {
		addrs.Add(s.System.Config.Host(name).CallerAddr)
	}
	served, held := 0, 0
	var last time.Duration
	for _, r := range s.results() {
		end := r.Start.Add(r.Latency)
		if !addrs.Has(r.Entry) || r.Err != nil || r.Start.After(until) {
			continue
		}
		if r.Start.Before(from) && end.After(from) {
			held++
		}
		if r.Status != http.StatusOK || end.After(until) {
			continue
		}
		last = max(last, end.Sub(from)+withdrawLimit)
		if end.After(from) {
			served++
		}
	}
	s.Note("cut entries served for %d ms", last.Milliseconds())
	var list []string
	if served > 0 {
		list = append(list, fmt.Sprintf("entries that were cut off served %d requests later than %v", served, withdrawLimit))
	}
	if held > 0 {
		list = append(list, fmt.Sprintf("entries that were cut off held %d requests back for longer than %v", held, withdrawLimit))
	}
	return list
}

// results lists the answers to all sends.
func (s *Scene) results() []*faker.Result {
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

func (s *Scene) takeLeader(ctx context.Context) (string, error) {
	name, err := s.Leader(ctx)
	s.Claim(name)
	return name, errors.Trace(err)
}

func killLeader(ctx context.Context, s *Scene) (heal, error) {
	name, err := s.takeLeader(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.Kill(name)
	return func(context.Context) error { return errors.Trace(s.Start(name)) }, nil
}

// cutLeader separates the leader for long. It may answer no read or command meanwhile, and its return may not
// disturb the new leader.
func cutLeader(ctx context.Context, s *Scene) (heal, error) {
	name, err := s.takeLeader(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	join := s.Cut(name)
	return func(ctx context.Context) error {
		addr := s.System.Config.Host(name).OperatorAddr
		var config querier.ConfigResponse
		if status, err := s.ask(ctx, http.MethodGet, addr, "/v1/config", "", &config); err == nil && status == http.StatusOK {
			s.fail("control host %s was cut off and answered a read with version %d", name, config.Version)
		}
		before := ""
		if len(s.alive(sycamorevane.RoleControl)) > controls/2 {
			if before, err = s.Leader(ctx); err != nil {
				return errors.Trace(err)
			}
		}
		join()
		if before == "" {
			return nil
		}
		if err := sleep(ctx, settleTime); err != nil {
			return errors.Trace(err)
		}
		after, err := s.Leader(ctx)
		if err == nil && after != before {
			s.fail("control host %s returned and the leader changed from %s to %s", name, before, after)
		}
		return errors.Trace(err)
	}, nil
}

// loseSecondControl kills a host, restarts it and kills another at once. What was accepted meanwhile must be kept.
func loseSecondControl(ctx context.Context, s *Scene) (heal, error) {
	first, second := s.Take(sycamorevane.RoleControl), s.Take(sycamorevane.RoleControl)
	s.Kill(first)
	if err := s.applyMany(ctx, writers); err != nil {
		return nil, errors.Trace(err)
	}
	if err := s.Start(first); err != nil {
		return nil, errors.Trace(err)
	}
	s.mark()
	s.Kill(second)
	return func(ctx context.Context) error {
		s.checkAudit(ctx)
		return errors.Trace(s.Start(second))
	}, nil
}

// restartControl kills all control hosts at once after many accepted commands and starts them again.
func restartControl(ctx context.Context, s *Scene) (heal, error) {
	if err := s.applyMany(ctx, changes); err != nil {
		return nil, errors.Trace(err)
	}
	s.mark()
	var wg sync.WaitGroup
	hosts := s.System.Hosts(sycamorevane.RoleControl)
	for _, name := range hosts {
		wg.Go(func() { s.Kill(name) })
	}
	wg.Wait()
	for _, name := range hosts {
		if err := s.Start(name); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return func(ctx context.Context) error {
		s.checkAudit(ctx)
		return nil
	}, nil
}

// applyMany sends changes from several operators and keeps the ids of the accepted ones.
func (s *Scene) applyMany(ctx context.Context, n int) error {
	began := time.Now()
	faults := make([]error, writers)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := w; i < n && faults[w] == nil; i += writers {
				var o *applier.Outcome
				if o, faults[w] = s.Apply(ctx); faults[w] == nil {
					s.mu.Lock()
					s.accepted = append(s.accepted, *o)
					s.mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	s.Note("%d changes in %d ms", n, time.Since(began).Milliseconds())
	for _, err := range faults {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// checkAudit compares the audit trail with the accepted commands.
func (s *Scene) checkAudit(ctx context.Context) {
	records, err := s.Audit(ctx)
	if err != nil {
		s.fail("audit trail: %v", err)
		return
	}
	count := make(map[string]int, len(records))
	for i := range records {
		count[records[i].Outcome.ID]++
	}
	missing, twice := 0, 0
	for i := range s.accepted {
		switch n := count[s.accepted[i].ID]; {
		case n == 0:
			missing++
		case n > 1:
			twice++
		}
	}
	s.Note("%d of %d accepted changes in the audit trail", len(s.accepted)-missing, len(s.accepted))
	if missing+twice > 0 {
		s.fail("of %d accepted commands %d are missing in the audit trail and %d are there twice", len(s.accepted), missing, twice)
	}
}

// race is one operator's command with all answers to it.
type race struct {
	id, op  string
	answers []applier.Outcome
}

// raceOperators sends opposite commands from many operators, each of whom resends its own under the same id.
func raceOperators(ctx context.Context, s *Scene) (heal, error) {
	dc := s.takeDC()
	list := make([]*race, 0, 2*racers)
	for i := range 2 * racers {
		op := [...]string{"drain", "undrain"}[i%2]
		list = append(list, &race{id: fmt.Sprintf("race-%d-%08x", i, rand.Uint32()), op: op})
	}
	var wg sync.WaitGroup
	faults := make([]error, len(list))
	for i, r := range list {
		wg.Go(func() {
			for range raceSends {
				o, err := s.Send(ctx, r.id, r.op, map[string]any{"dc": dc})
				if err != nil {
					faults[i] = err
					return
				}
				r.answers = append(r.answers, *o)
			}
		})
	}
	wg.Wait()
	for _, err := range faults {
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	return func(ctx context.Context) error {
		if err := s.checkRace(ctx, dc, list); err != nil {
			return errors.Trace(err)
		}
		_, err := s.Command(ctx, "undrain", map[string]any{"dc": dc})
		return errors.Trace(err)
	}, nil
}

// checkRace compares the answers of all operators with the audit trail and the state with the last applied command.
func (s *Scene) checkRace(ctx context.Context, dc string, list []*race) error {
	records, err := s.Audit(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	byID := make(map[string][]applier.Outcome)
	for i := range records {
		byID[records[i].Outcome.ID] = append(byID[records[i].Outcome.ID], records[i].Outcome)
	}
	var last applier.Outcome
	for _, r := range list {
		if len(byID[r.id]) != 1 {
			s.fail("command %s is %d times in the audit trail", r.id, len(byID[r.id]))
			continue
		}
		o := byID[r.id][0]
		for _, a := range r.answers {
			if a.Result != o.Result || a.Version != o.Version {
				s.fail("command %s was answered with %s at version %d, the audit trail has %s at %d", r.id, a.Result, a.Version, o.Result, o.Version)
			}
		}
		if o.Result == applier.ResultApplied && o.Version > last.Version {
			last = o
		}
	}
	var config querier.ConfigResponse
	for {
		for _, addr := range s.System.OperatorAddrs() {
			if status, err := s.ask(ctx, http.MethodGet, addr, "/v1/config", "", &config); err == nil && status == http.StatusOK {
				if _, out := config.Drained.DCs[dc]; out != (last.Op == "drain") {
					s.fail("the last of the racing commands is %q, but taken out is %t", last.Op, out)
				}
				return nil
			}
		}
		if err := sleep(ctx, orderPause); err != nil {
			return errors.Annotate(err, "no control host answers a read")
		}
	}
}
