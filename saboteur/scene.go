package saboteur

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
	"sycamorevane.example/sycamorevane/auditor"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/querier"
)

const (
	service      = "flagboard"
	controls     = 3
	entries      = 5
	serversPerDC = 2
	slots        = 4
	rate         = 120.0 // calls a second
	latency      = 4 * time.Millisecond
	jitter       = time.Millisecond
	ttl          = 500 * time.Millisecond
	lease        = 2 * time.Second
	probeBudget  = 0.02
	probeCost    = 6 * time.Millisecond
	coldAnswers  = 10
	// orderReads is how many reads in a row an entry must answer to be in order.
	orderReads   = 3
	orderPause   = 20 * time.Millisecond
	readTimeout  = time.Second
	postTimeout  = 2 * time.Second
	startTimeout = 15 * time.Second
)

// Backend is a backend server. At most the last one is behind a relay, since a relay turns a refused connection
// into a broken one.
type Backend struct {
	*faker.Server
	// Relay is nil on most.
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

// loss is a time in which calls on an entry or a server may break or be refused.
type loss struct {
	entry, server string
	// addr of the server is part of the answer when nothing came back from it.
	addr string
	// changes limits the loss to non-idempotent calls, which must not be sent a second time.
	changes bool
	// refusals limits the loss to calls that have not run.
	refusals    bool
	from, until time.Time
}

// Scene is one system with its servers and callers. Its exported parts serve the rows.
type Scene struct {
	System   *assembler.System
	Backends []*Backend
	Rand     *rand.Rand

	ctx     context.Context
	traffic []*auditor.Traffic
	running bool
	reader  *faker.Caller
	client  *http.Client
	checks  []func(*auditor.CallLog) []string
	began   time.Time
	marked  time.Time

	mu     sync.Mutex
	groups map[int]sycamorevane.Set[string]
	nextID int
	taken  sycamorevane.Set[string]
	down   sycamorevane.Set[string]
	losses []*loss
	notes  []string
	config sycamorevane.Config
	// accepted are the commands that applyMany got accepted.
	accepted []applier.Outcome
	broken   []string
	watch    sync.WaitGroup
	unwatch  context.CancelFunc
}

func newScene(ctx context.Context, cfg Config) (*Scene, error) {
	s := &Scene{
		ctx: ctx, Rand: rand.New(rand.NewPCG(cfg.Seed, 1)), groups: make(map[int]sycamorevane.Set[string]),
		taken: sycamorevane.NewSet[string](), down: sycamorevane.NewSet[string](),
		client: &http.Client{Timeout: postTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	board := parser.DefaultService(service)
	board.ProbeRatio = probeBudget
	board.ProgressTimeout = 2 * time.Second
	var err error
	s.System, err = assembler.New(assembler.Config{
		DCs: []string{"dc-a", "dc-b", "dc-c"}, ControlCount: controls, EntryCount: entries, Dir: cfg.Dir, Log: cfg.Log,
		Services: []sycamorevane.Service{board}, Reachable: s.connected,
		Limits: sycamorevane.Limits{ServerLease: lease, EntriesTTL: ttl, MaxHeaderBytes: parser.DefaultMaxHeaderBytes, ClaimRetention: time.Minute},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.config = s.System.Config
	if err := s.start(ctx, cfg); err != nil {
		s.close()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *Scene) start(ctx context.Context, cfg Config) error {
	relay, load := false, rate
	for _, r := range cfg.Rows {
		relay = relay || r.Relay
		load = max(load, r.Rate)
	}
	if err := s.System.ApplyAndWait(ctx); err != nil {
		return errors.Trace(err)
	}
	for _, dc := range s.System.Config.DCs {
		for range serversPerDC {
			last := len(s.Backends) == len(s.System.Config.DCs)*serversPerDC-1
			if err := s.addBackend(dc, relay && last); err != nil {
				return errors.Trace(err)
			}
		}
	}
	s.reader = faker.NewCaller(faker.CallerConfig{Service: service, Host: service, Seeds: s.System.CallerAddrs(), Timeout: readTimeout})
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	// The record changes the state, which must not fall into a fault.
	if err := s.waitServing(ready); err != nil {
		return errors.Trace(err)
	}
	if err := s.order(ready); err != nil {
		return errors.Annotate(err, "system did not start")
	}
	s.began = time.Now()
	t := auditor.NewTraffic(auditor.Config{Service: service, Seeds: s.System.CallerAddrs(), Rate: load})
	s.traffic = append(s.traffic, t)
	ctx, s.unwatch = context.WithCancel(ctx)
	s.watch.Go(func() { s.watchVersions(ctx) })
	s.running = true
	t.Start(ctx)
	return nil
}

// waitServing waits until every entry knows the serving version.
func (s *Scene) waitServing(ctx context.Context) error {
	for {
		serving := true
		for _, name := range s.System.Hosts(sycamorevane.RoleEntry) {
			serving = serving && s.System.Process(name).State().ServingVersions[service] != ""
		}
		if serving {
			return nil
		}
		if err := sleep(ctx, orderPause); err != nil {
			return errors.Annotate(err, "no serving version was recorded")
		}
	}
}

func (s *Scene) addBackend(dc string, relayed bool) error {
	b := &Backend{DC: dc}
	cfg := faker.ServerConfig{
		Service: service, Version: "1", DC: dc, Slots: slots, MaxConns: 240, Entries: s.System.AnnounceAddrs(dc),
		RenewInterval: 300 * time.Millisecond,
		Behaviour:     faker.Behaviour{Latency: latency, Jitter: jitter, WarmupAnswers: coldAnswers, ColdSlots: 1, CrashOnHeader: true},
	}
	var err error
	if relayed {
		if b.Relay, err = NewRelay(); err != nil {
			return errors.Trace(err)
		}
		cfg.Advertise = b.Relay.Addr()
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

func (s *Scene) stopTraffic() {
	if !s.running {
		return
	}
	s.running = false
	for _, t := range s.traffic {
		t.Stop()
	}
	s.unwatch()
	s.watch.Wait()
}

func (s *Scene) close() {
	s.stopTraffic()
	s.System.Close()
	for _, b := range s.Backends {
		if b.Relay != nil {
			b.Relay.Close()
		}
		b.Close()
	}
	if s.reader != nil {
		s.reader.Close()
	}
}

func (s *Scene) fakes() []*faker.Server {
	list := make([]*faker.Server, 0, len(s.Backends))
	for _, b := range s.Backends {
		list = append(list, b.Server)
	}
	return list
}

// connected implements assembler.Config.Reachable.
func (s *Scene) connected(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if g.Has(from) != g.Has(to) {
			return false
		}
	}
	return true
}

// Cut separates the hosts from all others silently until the returned function is called.
func (s *Scene) Cut(names ...string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.groups[id] = sycamorevane.NewSet(names...)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.groups, id)
	}
}

// Take chooses a host with the role that no other fault of this run has chosen.
func (s *Scene) Take(role string) string {
	hosts := s.System.Hosts(role)
	s.Rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, name := range hosts {
		if s.Claim(name) {
			return name
		}
	}
	return hosts[0]
}

// Claim marks a host or server as chosen by a fault and reports whether it was free.
func (s *Scene) Claim(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken.Has(name) {
		return false
	}
	s.taken.Add(name)
	return true
}

// TakeBackend chooses a server without a relay that no other fault of this run has chosen.
func (s *Scene) TakeBackend() *Backend {
	for _, i := range s.Rand.Perm(len(s.Backends)) {
		if s.Backends[i].Relay == nil && s.Claim(s.Backends[i].Addr()) {
			return s.Backends[i]
		}
	}
	return s.Backends[0]
}

// markDown leaves a host out of what has to be in order.
func (s *Scene) markDown(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down.Add(name)
}

// Kill ends a host.
func (s *Scene) Kill(name string) {
	s.markDown(name)
	s.System.Kill(name)
}

// Start starts a host that was killed or stopped.
func (s *Scene) Start(name string) error {
	if s.System.Process(name) != nil {
		return nil
	}
	if err := s.System.Start(name); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	delete(s.down, name)
	s.mu.Unlock()
	return nil
}

// Note adds a figure to the report.
func (s *Scene) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}

// Check adds a check of the records after the run.
func (s *Scene) Check(check func(*auditor.CallLog) []string) { s.checks = append(s.checks, check) }

// LoseEntry allows calls on an entry to break from now until the system is in order again.
func (s *Scene) LoseEntry(name string) {
	s.lose(&loss{entry: s.System.Config.Host(name).CallerAddr})
}

// loseMajority allows truthful refusals everywhere while no majority of the entries is left, since owners then stop
// to grant slots.
func (s *Scene) loseMajority() {
	hosts := s.alive(sycamorevane.RoleEntry)
	if len(hosts) > entries/2 {
		return
	}
	for _, name := range hosts {
		s.lose(&loss{entry: s.System.Config.Host(name).CallerAddr, refusals: true})
	}
}

// found ends the losses of entries once the system is in order.
func (s *Scene) found() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.losses {
		if l.entry != "" && l.until.IsZero() {
			l.until = time.Now()
		}
	}
}

// forgive removes the loss of a server.
func (s *Scene) forgive(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = slices.DeleteFunc(s.losses, func(l *loss) bool { return l.server == id && l.until.IsZero() })
}

func (s *Scene) claimed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken.Has(name)
}

// fail records a promise that did not hold.
func (s *Scene) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// watchVersions checks that no entry ever goes back to an older version, over all starts of its process (I10).
func (s *Scene) watchVersions(ctx context.Context) {
	highest := make(map[string]uint64)
	for sleep(ctx, orderPause) == nil {
		for _, name := range s.System.Hosts(sycamorevane.RoleEntry) {
			p := s.System.Process(name)
			if p == nil || p.State() == nil {
				continue
			}
			v := p.State().Version
			if v < highest[name] {
				s.fail("%s went back from version %d to %d", name, highest[name], v)
			}
			highest[name] = v
		}
	}
}

// LoseServer allows calls that run on the present start of a server to break from now until the returned function is called.
func (s *Scene) LoseServer(b *Backend) func() {
	return s.lose(&loss{server: b.ID(), addr: b.advertised()})
}

func (s *Scene) lose(l *loss) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.from = time.Now()
	s.losses = append(s.losses, l)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		l.until = time.Now().Add(ttl)
	}
}

// excused reports whether a send of the call overlaps a loss of the entry or server that it used.
func (s *Scene) excused(c *auditor.Call, l *auditor.CallLog) bool {
	for _, x := range s.losses {
		if x.changes && !c.Change || x.refusals && !c.LastResult().NotRun() {
			continue
		}
		for i := range c.Results {
			r := &c.Results[i]
			if r.Start.Add(r.Latency).Before(x.from) || (!x.until.IsZero() && r.Start.After(x.until)) {
				continue
			}
			if x.entry != "" && r.Entry == x.entry {
				return true
			}
			if x.server == "" {
				continue
			}
			if r.Header.Get("X-Backend-Server") == x.server || bytes.Contains(r.Body, []byte(x.addr+":")) || x.changes && len(l.Runs[c.ID]) == 0 {
				return true // What a silent connection swallowed is on no record.
			}
			for _, run := range l.Runs[c.ID] {
				if run.Server == x.server {
					return true
				}
			}
		}
	}
	return false
}

// alive lists the hosts with the role that run and are not cut off.
func (s *Scene) alive(role string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
hosts:
	for _, name := range s.System.Hosts(role) {
		if s.down.Has(name) {
			continue
		}
		for _, g := range s.groups {
			if g.Has(name) {
				continue hosts
			}
		}
		list = append(list, name)
	}
	return list
}

// order waits until every reachable entry answers reads, and a new configuration is in force on all of them. What
// has no quorum while a fault lasts is left out.
func (s *Scene) order(ctx context.Context) error {
	hosts := s.alive(sycamorevane.RoleEntry)
	if len(hosts) > entries/2 {
		var wg sync.WaitGroup
		faults := make([]error, len(hosts))
		for i, name := range hosts {
			wg.Go(func() { faults[i] = s.waitReads(ctx, name) })
		}
		wg.Wait()
		for _, err := range faults {
			if err != nil {
				return err
			}
		}
	}
	if len(s.alive(sycamorevane.RoleControl)) <= controls/2 {
		return nil
	}
	return s.waitConfig(ctx, hosts)
}

func (s *Scene) waitReads(ctx context.Context, name string) error {
	addr := s.System.Config.Host(name).CallerAddr
	for good := 0; good < orderReads; {
		r := s.reader.Do(ctx, faker.Call{Method: http.MethodGet, Path: "/order", Entry: addr})
		if r.Err == nil && r.Status == http.StatusOK {
			good++
			continue
		}
		good = 0
		if err := sleep(ctx, orderPause); err != nil {
			return errors.Errorf("%s answers reads with %d %.80q, %v", name, r.Status, r.Body, r.Err)
		}
	}
	return nil
}

// waitConfig applies a changed configuration and waits until it is in force on the entries.
func (s *Scene) waitConfig(ctx context.Context, hosts []string) error {
	a, err := s.Apply(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for _, name := range hosts {
		for {
			p := s.System.Process(name)
			if p == nil || (p.State() != nil && p.State().Version >= a.Version) {
				break
			}
			if err := sleep(ctx, orderPause); err != nil {
				return errors.Errorf("version %d is not in force on %s", a.Version, name)
			}
		}
	}
	return nil
}

// Apply sends a configuration that differs from the last one.
func (s *Scene) Apply(ctx context.Context) (*applier.Outcome, error) {
	s.mu.Lock()
	s.config.Limits.ClaimRetention += time.Second
	cfg := s.config
	s.mu.Unlock()
	data, err := applier.EncodeConfig(&cfg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a, err := s.Command(ctx, "apply", map[string]any{"config": data})
	if err == nil && a.Result != applier.ResultApplied {
		err = errors.Errorf("configuration was answered with %s: %s", a.Result, a.Reason)
	}
	return a, err
}

// Command sends a command under a new id until a control host has decided it.
func (s *Scene) Command(ctx context.Context, op string, args any) (*applier.Outcome, error) {
	return s.Send(ctx, fmt.Sprintf("%s-%016x", op, rand.Uint64()), op, args)
}

// Send sends a command under the id to the control hosts in turn until one has decided it.
func (s *Scene) Send(ctx context.Context, id, op string, args any) (*applier.Outcome, error) {
	body, err := json.Marshal(map[string]any{"id": id, "op": op, "args": args})
	if err != nil {
		return nil, errors.Trace(err)
	}
	last := errors.New("no control host was asked")
	for {
		for _, addr := range s.System.OperatorAddrs() {
			var o applier.Outcome
			status, err := s.ask(ctx, http.MethodPost, addr, "/v1/commands", string(body), &o)
			if err == nil && status < 500 && o.Result != "" {
				return &o, nil
			}
			if ctx.Err() == nil {
				last = errors.Errorf("%s answered %d %s, %v", addr, status, o.Reason, err)
			}
		}
		if err := sleep(ctx, orderPause); err != nil {
			return nil, errors.Annotatef(last, "command %s is not decided", id)
		}
	}
}

// ask sends one request to a control host.
func (s *Scene) ask(ctx context.Context, method, addr, path, body string, v any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.System.Token())
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, errors.Trace(json.NewDecoder(resp.Body).Decode(v))
}

// Leader returns the control leader that a quorum of reachable hosts names.
func (s *Scene) Leader(ctx context.Context) (string, error) {
	for {
		votes := make(map[string]int)
		for _, name := range s.alive(sycamorevane.RoleControl) {
			var m querier.MembersResponse
			status, err := s.ask(ctx, http.MethodGet, s.System.Config.Host(name).OperatorAddr, "/v1/members", "", &m)
			if err == nil && status == http.StatusOK && m.Leader != "" {
				votes[m.Leader]++
			}
		}
		for name, n := range votes {
			if n > controls/2 {
				return name, nil
			}
		}
		if err := sleep(ctx, orderPause); err != nil {
			return "", errors.Annotate(err, "no control leader")
		}
	}
}

// Audit reads the whole audit trail, newest first.
func (s *Scene) Audit(ctx context.Context) ([]applier.Record, error) {
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
			if status, err = s.ask(ctx, http.MethodGet, addr, path, "", &page); err == nil && status == http.StatusOK {
				break
			}
		}
		if err != nil || status != http.StatusOK {
			if err := sleep(ctx, orderPause); err != nil {
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

// probeFaults compares the servers' counts of measurement requests with the budget (I1).
func (s *Scene) probeFaults() []string {
	var list []string
	elapsed := time.Since(s.began) + startTimeout/5
	limit := slots * probeBudget * float64(elapsed) / float64(probeCost)
	for _, b := range s.Backends {
		if n := b.Stats().Probes; float64(n) > limit {
			list = append(list, fmt.Sprintf("%d probes on %s, the budget allows %.0f", n, b.ID(), limit))
		}
	}
	return list
}
