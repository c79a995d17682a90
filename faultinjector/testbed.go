package faultinjector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/assembler"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/querier"
	"sycamorevane.example/sycamorevane/verifier"
)

const (
	serviceName           = "flagboard"
	controlCount          = 3
	entryCount            = 5
	serversPerDC          = 2
	slotsPerServer        = 4
	defaultCallsPerSecond = 120.0
	serviceTime           = 4 * time.Millisecond
	serviceTimeJitter     = time.Millisecond
	entriesTTL            = 500 * time.Millisecond
	serverLease           = 2 * time.Second
	probeRatio            = 0.02
	probeDuration         = 6 * time.Millisecond
	warmupAnswers         = 10
	// healthyReads is the number of consecutive successful reads after which an entry is healthy.
	healthyReads    = 3
	pollInterval    = 20 * time.Millisecond
	readTimeout     = time.Second
	operatorTimeout = 2 * time.Second
	startTimeout    = 15 * time.Second
)

// Backend is a backend server. At most the last one is behind a relay, since a relay turns a refused connection
// into a broken one.
type Backend struct {
	*faker.Server
	// Relay is nil unless the server is behind a relay.
	Relay *Relay
	DC    string
}

// advertised is the address that entries connect to.
func (b *Backend) advertised() string {
	if b.Relay != nil {
		return b.Relay.Addr()
	}
	return b.Addr()
}

// exemption is a period in which calls on an entry or a server may fail or be refused.
type exemption struct {
	entry, server string
	// addr is the server's address, which an entry's error response contains when the server sent no response.
	addr string
	// changesOnly limits the exemption to non-idempotent calls, which must not be sent a second time.
	changesOnly bool
	// refusalsOnly limits the exemption to calls that have not run.
	refusalsOnly bool
	from, until  time.Time
}

// Testbed is one system with its servers and callers. The faults use its exported members.
type Testbed struct {
	System   *assembler.System
	Backends []*Backend
	Rand     *rand.Rand

	ctx            context.Context
	traffic        []*verifier.Traffic
	trafficRunning bool
	caller         *faker.Caller
	operatorClient *http.Client
	checks         []func(*verifier.CallLog) []string
	trafficStart   time.Time
	recoveryStart  time.Time

	mu              sync.Mutex
	partitions      map[int]sycamorevane.Set[string]
	nextPartitionID int
	claimedNames    sycamorevane.Set[string]
	downHosts       sycamorevane.Set[string]
	exemptions      []*exemption
	notes           []string
	lastConfig      sycamorevane.Config
	// acceptedCommands are the commands of applyMany that were accepted.
	acceptedCommands []applier.Outcome
	violations       []string
	watchers         sync.WaitGroup
	stopWatchers     context.CancelFunc
}

func newTestbed(ctx context.Context, cfg Config) (*Testbed, error) {
	s := &Testbed{
		ctx: ctx, Rand: rand.New(rand.NewPCG(cfg.Seed, 1)), partitions: make(map[int]sycamorevane.Set[string]),
		claimedNames: sycamorevane.NewSet[string](), downHosts: sycamorevane.NewSet[string](),
		operatorClient: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	board := parser.DefaultService(serviceName)
	board.ProbeRatio = probeRatio
	board.ProgressTimeout = 2 * time.Second
	var err error
	s.System, err = assembler.New(assembler.Config{
		DCs: []string{"dc-a", "dc-b", "dc-c"}, ControlCount: controlCount, EntryCount: entryCount, Dir: cfg.Dir, Log: cfg.Log,
		Services: []sycamorevane.Service{board, parser.DefaultService(waitingService)}, Reachable: s.connected,
		Limits: sycamorevane.Limits{
			ServerLease: serverLease, EntriesTTL: entriesTTL, MaxHeaderBytes: parser.DefaultMaxHeaderBytes,
			ClaimRetention: time.Minute,
		},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.lastConfig = s.System.Config
	if err := s.startSystem(ctx, cfg); err != nil {
		s.close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *Testbed) startSystem(ctx context.Context, cfg Config) error {
	usesRelay, callsPerSecond := false, defaultCallsPerSecond
	for _, r := range cfg.Faults {
		usesRelay = usesRelay || r.UsesRelay
		callsPerSecond = max(callsPerSecond, r.CallsPerSecond)
	}
	if err := s.System.ApplyAndWait(ctx); err != nil {
		return errors.Trace(err)
	}
	for _, dc := range s.System.Config.DCs {
		for range serversPerDC {
			last := len(s.Backends) == len(s.System.Config.DCs)*serversPerDC-1
			if err := s.addBackend(dc, usesRelay && last); err != nil {
				return errors.Trace(err)
			}
		}
	}
	s.caller = faker.NewCaller(faker.CallerConfig{
		Service: serviceName, Host: serviceName, Seeds: s.System.CallerAddrs(), Timeout: readTimeout,
	})
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	// Recording the serving version changes the state, which must not happen during a fault.
	if err := s.awaitServingVersion(ready); err != nil {
		return errors.Trace(err)
	}
	if err := s.awaitHealthy(ready); err != nil {
		return errors.Annotate(err, "system did not start")
	}
	s.trafficStart = time.Now()
	t := verifier.NewTraffic(verifier.Config{Service: serviceName, Seeds: s.System.CallerAddrs(), CallsPerSecond: callsPerSecond})
	s.traffic = append(s.traffic, t)
	ctx, s.stopWatchers = context.WithCancel(ctx)
	s.watchers.Go(func() { s.watchVersions(ctx) })
	s.trafficRunning = true
	t.Start(ctx)
	return nil
}

// awaitServingVersion waits until every entry knows the serving version.
func (s *Testbed) awaitServingVersion(ctx context.Context) error {
	for {
		serving := true
		for _, name := range s.System.Hosts(sycamorevane.RoleEntry) {
			serving = serving && s.System.Process(name).State().ServingVersions[serviceName] != ""
		}
		if serving {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Annotate(err, "no serving version was recorded")
		}
	}
}

func (s *Testbed) addBackend(dc string, relayed bool) error {
	b := &Backend{DC: dc}
	cfg := faker.ServerConfig{
		Service: serviceName, Version: "1", DC: dc, Slots: slotsPerServer, MaxConns: 240, AnnounceAddrs: s.System.AnnounceAddrs(dc),
		RenewInterval: 300 * time.Millisecond,
		Behaviour: faker.Behaviour{
			Latency: serviceTime, Jitter: serviceTimeJitter, WarmupAnswers: warmupAnswers, ColdSlots: 1, CrashOnHeader: true,
		},
	}
	var err error
	if relayed {
		if b.Relay, err = NewRelay(); err != nil {
			return errors.Trace(err)
		}
		cfg.AdvertisedAddr = b.Relay.Addr()
	}
	if b.Server, err = faker.NewServer(cfg); err != nil {
		return errors.Trace(err)
	}
	if relayed {
		b.Relay.Start(b.Addr())
	}
	s.Backends = append(s.Backends, b)
	return nil
}

func (s *Testbed) stopTraffic() {
	if !s.trafficRunning {
		return
	}
	s.trafficRunning = false
	for _, t := range s.traffic {
		t.Stop()
	}
	s.stopWatchers()
	s.watchers.Wait()
}

func (s *Testbed) close() {
	s.stopTraffic()
	s.System.Close()
	for _, b := range s.Backends {
		if b.Relay != nil {
			b.Relay.Close()
		}
		b.Close()
	}
	if s.caller != nil {
		s.caller.Close()
	}
}

func (s *Testbed) fakeServers() []*faker.Server {
	list := make([]*faker.Server, 0, len(s.Backends))
	for _, b := range s.Backends {
		list = append(list, b.Server)
	}
	return list
}

// connected implements assembler.Config.Reachable.
func (s *Testbed) connected(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.partitions {
		if g.Has(from) != g.Has(to) {
			return false
		}
	}
	return true
}

// Partition silently drops all messages between the hosts and the others until the returned function is called.
func (s *Testbed) Partition(names ...string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextPartitionID++
	id := s.nextPartitionID
	s.partitions[id] = sycamorevane.NewSet(names...)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.partitions, id)
	}
}

// ClaimHost chooses a host with the role that no other fault of this run has claimed.
func (s *Testbed) ClaimHost(role string) string {
	hosts := s.System.Hosts(role)
	s.Rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, name := range hosts {
		if s.Claim(name) {
			return name
		}
	}
	return hosts[0]
}

// Claim marks a host or server as used by a fault and reports whether it was unclaimed.
func (s *Testbed) Claim(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimedNames.Has(name) {
		return false
	}
	s.claimedNames.Add(name)
	return true
}

// ClaimBackend chooses a server without a relay that no other fault of this run has claimed.
func (s *Testbed) ClaimBackend() *Backend {
	for _, i := range s.Rand.Perm(len(s.Backends)) {
		if s.Backends[i].Relay == nil && s.Claim(s.Backends[i].Addr()) {
			return s.Backends[i]
		}
	}
	return s.Backends[0]
}

// markDown excludes a host from the health check.
func (s *Testbed) markDown(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downHosts.Add(name)
}

// Kill ends a host.
func (s *Testbed) Kill(name string) {
	s.markDown(name)
	s.System.Kill(name)
}

// StartHost starts a host that was killed or stopped.
func (s *Testbed) StartHost(name string) error {
	if s.System.Process(name) != nil {
		return nil
	}
	if err := s.System.Start(name); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	delete(s.downHosts, name)
	s.mu.Unlock()
	return nil
}

// AddNote adds a measurement to the report.
func (s *Testbed) AddNote(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}

// AddCheck adds a check of the records that is made after the run.
func (s *Testbed) AddCheck(check func(*verifier.CallLog) []string) {
	s.checks = append(s.checks, check)
}

// ExemptEntry allows calls on an entry to fail from now until the system is healthy again.
func (s *Testbed) ExemptEntry(name string) {
	s.exempt(&exemption{entry: s.System.Config.Host(name).CallerAddr})
}

// exemptWithoutMajority allows refusals on all reachable entries while they are no majority, since owners then stop
// granting slots.
func (s *Testbed) exemptWithoutMajority() {
	hosts := s.reachableHosts(sycamorevane.RoleEntry)
	if len(hosts) > entryCount/2 {
		return
	}
	for _, name := range hosts {
		s.exempt(&exemption{entry: s.System.Config.Host(name).CallerAddr, refusalsOnly: true})
	}
}

// endEntryExemptions ends the exemptions of entries once the system is healthy.
func (s *Testbed) endEntryExemptions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ex := range s.exemptions {
		if ex.entry != "" && ex.until.IsZero() {
			ex.until = time.Now()
		}
	}
}

// revokeServerExemption removes the exemption of a server.
func (s *Testbed) revokeServerExemption(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exemptions = slices.DeleteFunc(s.exemptions, func(l *exemption) bool { return l.server == id && l.until.IsZero() })
}

func (s *Testbed) claimed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claimedNames.Has(name)
}

// reportViolation records an invariant that did not hold.
func (s *Testbed) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// watchVersions checks that no entry ever goes back to an older state version, also across restarts (I10).
func (s *Testbed) watchVersions(ctx context.Context) {
	highest := make(map[string]uint64)
	for sleep(ctx, pollInterval) == nil {
		for _, name := range s.System.Hosts(sycamorevane.RoleEntry) {
			p := s.System.Process(name)
			if p == nil || p.State() == nil {
				continue
			}
			v := p.State().Version
			if v < highest[name] {
				s.reportViolation("%s went back from version %d to %d", name, highest[name], v)
			}
			highest[name] = v
		}
	}
}

// ExemptServer allows calls that run on the current start of a server to fail from now until entriesTTL after the
// returned function is called.
func (s *Testbed) ExemptServer(b *Backend) func() {
	return s.exempt(&exemption{server: b.ID(), addr: b.advertised()})
}

func (s *Testbed) exempt(ex *exemption) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ex.from = time.Now()
	s.exemptions = append(s.exemptions, ex)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		ex.until = time.Now().Add(entriesTTL)
	}
}

// excused reports whether a send of the call overlaps an exemption of the entry or server that it used.
func (s *Testbed) excused(c *verifier.Call, log *verifier.CallLog) bool {
	for _, ex := range s.exemptions {
		if ex.changesOnly && !c.Change || ex.refusalsOnly && !c.LastResult().NotRun() {
			continue
		}
		for i := range c.Results {
			r := &c.Results[i]
			if r.Start.Add(r.Latency).Before(ex.from) || (!ex.until.IsZero() && r.Start.After(ex.until)) {
				continue
			}
			if ex.entry != "" && r.EntryAddr == ex.entry {
				return true
			}
			if ex.server == "" {
				continue
			}
			if r.Header.Get("X-Backend-Server") == ex.server || bytes.Contains(r.Body, []byte(ex.addr+":")) ||
				ex.changesOnly && len(log.Runs[c.ID]) == 0 {
				return true // A request that was lost in a silent connection is on no server's record.
			}
			for _, run := range log.Runs[c.ID] {
				if run.ServerID == ex.server {
					return true
				}
			}
		}
	}
	return false
}

// reachableHosts lists the hosts with the role that run and are not partitioned.
func (s *Testbed) reachableHosts(role string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
hosts:
	for _, name := range s.System.Hosts(role) {
		if s.downHosts.Has(name) {
			continue
		}
		for _, g := range s.partitions {
			if g.Has(name) {
				continue hosts
			}
		}
		list = append(list, name)
	}
	return list
}

// awaitHealthy waits until every reachable entry answers reads, and a new configuration is in force on all of them.
// Entries or control hosts that have no quorum during a fault are not checked.
func (s *Testbed) awaitHealthy(ctx context.Context) error {
	hosts := s.reachableHosts(sycamorevane.RoleEntry)
	if len(hosts) > entryCount/2 {
		var wg sync.WaitGroup
		errs := make([]error, len(hosts))
		for i, name := range hosts {
			wg.Go(func() { errs[i] = s.awaitReads(ctx, name) })
		}
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
	}
	if len(s.reachableHosts(sycamorevane.RoleControl)) <= controlCount/2 {
		return nil
	}
	return s.awaitConfig(ctx, hosts)
}

func (s *Testbed) awaitReads(ctx context.Context, name string) error {
	addr := s.System.Config.Host(name).CallerAddr
	for good := 0; good < healthyReads; {
		r := s.caller.Do(ctx, faker.Call{Method: http.MethodGet, Path: "/order", EntryAddr: addr})
		if r.Err == nil && r.Status == http.StatusOK {
			good++
			continue
		}
		good = 0
		if err := sleep(ctx, pollInterval); err != nil {
			return errors.Errorf("%s answers reads with %d %.80q, %v", name, r.Status, r.Body, r.Err)
		}
	}
	return nil
}

// awaitConfig applies a changed configuration and waits until it is in force on the entries.
func (s *Testbed) awaitConfig(ctx context.Context, hosts []string) error {
	a, err := s.ApplyConfig(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for _, name := range hosts {
		for {
			p := s.System.Process(name)
			if p == nil || (p.State() != nil && p.State().Version >= a.Version) {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return errors.Errorf("version %d is not in force on %s", a.Version, name)
			}
		}
	}
	return nil
}

// ApplyConfig sends a configuration that differs from the last one.
func (s *Testbed) ApplyConfig(ctx context.Context) (*applier.Outcome, error) {
	s.mu.Lock()
	s.lastConfig.Limits.ClaimRetention += time.Second
	cfg := s.lastConfig
	s.mu.Unlock()
	data, err := applier.EncodeConfig(&cfg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a, err := s.SendCommand(ctx, "apply", map[string]any{"config": data})
	if err == nil && a.Result != applier.ResultApplied {
		err = errors.Errorf("configuration was answered with %s: %s", a.Result, a.Reason)
	}
	return a, err
}

// SendCommand sends a command under a new ID until a control host has decided it.
func (s *Testbed) SendCommand(ctx context.Context, op string, args any) (*applier.Outcome, error) {
	return s.SendCommandWithID(ctx, fmt.Sprintf("%s-%016x", op, rand.Uint64()), op, args)
}

// SendCommandWithID sends a command to the control hosts in turn until one has decided it.
func (s *Testbed) SendCommandWithID(ctx context.Context, id, op string, args any) (*applier.Outcome, error) {
	body, err := json.Marshal(map[string]any{"id": id, "op": op, "args": args})
	if err != nil {
		return nil, errors.Trace(err)
	}
	last := errors.New("no control host was asked")
	for {
		for _, addr := range s.System.OperatorAddrs() {
			var o applier.Outcome
			status, err := s.sendOperatorRequest(ctx, http.MethodPost, addr, "/v1/commands", string(body), &o)
			if err == nil && status < 500 && o.Result != "" {
				return &o, nil
			}
			if ctx.Err() == nil {
				last = errors.Errorf("%s answered %d %s, %v", addr, status, o.Reason, err)
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return nil, errors.Annotatef(last, "command %s is not decided", id)
		}
	}
}

// sendOperatorRequest sends one request to a control host.
func (s *Testbed) sendOperatorRequest(ctx context.Context, method, addr, path, body string, v any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.System.Token())
	resp, err := s.operatorClient.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, errors.Trace(json.NewDecoder(resp.Body).Decode(v))
}

// Leader returns the control leader that a majority of the control hosts name.
func (s *Testbed) Leader(ctx context.Context) (string, error) {
	for {
		votes := make(map[string]int)
		for _, name := range s.reachableHosts(sycamorevane.RoleControl) {
			var m querier.MembersResponse
			status, err := s.sendOperatorRequest(ctx, http.MethodGet, s.System.Config.Host(name).OperatorAddr, "/v1/members", "", &m)
			if err == nil && status == http.StatusOK && m.Leader != "" {
				votes[m.Leader]++
			}
		}
		for name, n := range votes {
			if n > controlCount/2 {
				return name, nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return "", errors.Annotate(err, "no control leader")
		}
	}
}

// AuditTrail reads the whole audit trail, newest first.
func (s *Testbed) AuditTrail(ctx context.Context) ([]applier.Record, error) {
	var list []applier.Record
	before := uint64(0)
	for {
		var page applier.Page
		path := "/v1/audit"
		if before > 0 {
			path += fmt.Sprintf("?before=%d", before)
		}
		status := 0
		var err error
		for _, addr := range s.System.OperatorAddrs() {
			if status, err = s.sendOperatorRequest(ctx, http.MethodGet, addr, path, "", &page); err == nil && status == http.StatusOK {
				break
			}
		}
		if err != nil || status != http.StatusOK {
			if err := sleep(ctx, pollInterval); err != nil {
				return nil, errors.Annotate(err, "no control host answers the audit query")
			}
			continue
		}
		list = append(list, page.Records...)
		if page.Next == 0 {
			return list, nil
		}
		before = page.Next
	}
}

// probeBudgetViolations compares the servers' counts of probes with the probe budget (I1).
func (s *Testbed) probeBudgetViolations() []string {
	var list []string
	elapsed := time.Since(s.trafficStart) + startTimeout/5
	limit := slotsPerServer * probeRatio * float64(elapsed) / float64(probeDuration)
	for _, b := range s.Backends {
		if n := b.Stats().Probes; float64(n) > limit {
			list = append(list, fmt.Sprintf("%d probes on %s, the budget allows %.0f", n, b.ID(), limit))
		}
	}
	return list
}
