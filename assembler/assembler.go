// Package assembler runs a whole system of control and entry processes on loopback in one process, for the demo,
// the system tests and the load tool.
package assembler

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/runner"
)

// Ports below the ephemeral range, so that no outgoing connection takes them. Each host has its own loopback
// address.
const (
	meshPort     = 7001
	callerPort   = 7002
	announcePort = 7003
	operatorPort = 7004
)

const (
	clusterKey    = "key of a loopback system"
	operatorName  = "operator"
	operatorToken = "token of a loopback system"
	readyTimeout  = 20 * time.Second
	commandTries  = 100 * time.Millisecond
)

// Config describes a system.
type Config struct {
	// DCs are the data centres; hosts are spread over them in turn.
	DCs        []string
	Controls   int
	Entries    int
	Services   []sycamorevane.Service
	Workspaces []sycamorevane.Workspace
	Limits     sycamorevane.Limits
	// Dir holds the data folders.
	Dir string
	Log logr.Logger
	// Network, when set, decides which host pairs can talk on the mesh; false drops messages silently.
	Network func(from, to string) bool
}

// System is a running system.
type System struct {
	cfg    Config
	Config sycamorevane.Config
	client *http.Client

	mu        sync.Mutex
	settings  map[string]*parser.Settings
	processes map[string]*runner.Process
}

// New builds the settings and the configuration and starts every host.
func New(cfg Config) (*System, error) {
	s := &System{
		cfg: cfg, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}},
		settings: make(map[string]*parser.Settings), processes: make(map[string]*runner.Process),
	}
	s.Config = sycamorevane.Config{Services: cfg.Services, Workspaces: cfg.Workspaces, DCs: cfg.DCs, Limits: cfg.Limits}
	// A random network keeps systems of tests that run side by side apart.
	network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
	for i := range cfg.Controls {
		s.addHost(fmt.Sprintf("control-%d", i+1), network, i, sycamorevane.RoleControl)
	}
	for i := range cfg.Entries {
		s.addHost(fmt.Sprintf("entry-%d", i+1), network, i, sycamorevane.RoleEntry)
	}
	if faults := parser.Check("system", &s.Config); len(faults) > 0 {
		return nil, faults
	}
	for _, h := range s.Config.Hosts {
		s.settings[h.Name] = s.hostSettings(h)
	}
	for _, h := range s.Config.Hosts {
		if err := s.Start(h.Name); err != nil {
			s.Close()
			return nil, errors.Trace(err)
		}
	}
	return s, nil
}

func (s *System) addHost(name, network string, i int, role string) {
	ip := fmt.Sprintf("%s.%d", network, len(s.Config.Hosts)+1)
	addr := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	h := sycamorevane.Host{
		Name: name, DC: s.cfg.DCs[i%len(s.cfg.DCs)], MeshAddr: addr(meshPort), Roles: sycamorevane.NewSet(role),
	}
	if role == sycamorevane.RoleEntry {
		h.CallerAddr, h.AnnounceAddr = addr(callerPort), addr(announcePort)
	} else {
		h.OperatorAddr = addr(operatorPort)
	}
	s.Config.Hosts = append(s.Config.Hosts, h)
}

func (s *System) hostSettings(h sycamorevane.Host) *parser.Settings {
	set := &parser.Settings{Name: h.Name, DC: h.DC, MeshAddr: h.MeshAddr, Key: clusterKey}
	for _, c := range s.Config.Hosts {
		if c.Roles.Has(sycamorevane.RoleControl) {
			set.ControlHosts = append(set.ControlHosts, parser.Contact{Name: c.Name, Addr: c.MeshAddr})
		}
	}
	if h.Roles.Has(sycamorevane.RoleEntry) {
		set.Entry = &parser.EntrySettings{CallerAddr: h.CallerAddr, AnnounceAddr: h.AnnounceAddr}
	}
	if h.Roles.Has(sycamorevane.RoleControl) {
		sum := sha256.Sum256([]byte(operatorToken))
		set.Control = &parser.ControlSettings{
			DataDir: filepath.Join(s.cfg.Dir, h.Name), OperatorAddr: h.OperatorAddr,
			Operators: map[string]string{operatorName: hex.EncodeToString(sum[:])},
		}
	}
	return set
}

// Start starts the named host, which must not be running.
func (s *System) Start(name string) error {
	cfg := runner.Config{Settings: s.settings[name], Log: s.cfg.Log}
	if s.cfg.Network != nil {
		cfg.Filter = func(peer string) bool { return s.cfg.Network(name, peer) }
	}
	p, err := runner.New(cfg)
	if err != nil {
		return errors.Annotatef(err, "host %q", name)
	}
	if err := p.Start(); err != nil {
		p.Kill()
		return errors.Annotatef(err, "host %q", name)
	}
	s.mu.Lock()
	s.processes[name] = p
	s.mu.Unlock()
	return nil
}

// Kill ends the named host as the death of its process would.
func (s *System) Kill(name string) {
	if p := s.take(name); p != nil {
		p.Kill()
	}
}

// Stop is a graceful shutdown of the named host.
func (s *System) Stop(ctx context.Context, name string) error {
	if p := s.take(name); p != nil {
		return p.Stop(ctx)
	}
	return nil
}

func (s *System) take(name string) *runner.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	delete(s.processes, name)
	return p
}

// Close ends all hosts at once.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, h := range s.Config.Hosts {
		wg.Go(func() { s.Kill(h.Name) })
	}
	wg.Wait()
	s.client.CloseIdleConnections()
}

// Process returns the named running host, or nil.
func (s *System) Process(name string) *runner.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// Hosts lists the names of the hosts with the role.
func (s *System) Hosts(role string) []string { return s.Config.HostsWith(role) }

// CallerAddrs lists the caller listeners.
func (s *System) CallerAddrs() []string {
	return s.addresses(func(h sycamorevane.Host) string { return h.CallerAddr })
}

// AnnounceAddrs lists the announce listeners of a data centre.
func (s *System) AnnounceAddrs(dc string) []string {
	return s.addresses(func(h sycamorevane.Host) string {
		if h.DC != dc {
			return ""
		}
		return h.AnnounceAddr
	})
}

// OperatorAddrs lists the control listeners.
func (s *System) OperatorAddrs() []string {
	return s.addresses(func(h sycamorevane.Host) string { return h.OperatorAddr })
}

func (s *System) addresses(pick func(sycamorevane.Host) string) []string {
	var list []string
	for _, h := range s.Config.Hosts {
		if addr := pick(h); addr != "" {
			list = append(list, addr)
		}
	}
	return list
}

// Token is the operator token of the system.
func (s *System) Token() string { return operatorToken }

// Answer is what control said to a command.
type Answer struct {
	Status  int
	Body    []byte
	Outcome string `json:"outcome"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// Do sends a command to one control host after another, with the same id, until it has a definite answer.
func (s *System) Do(ctx context.Context, op string, args any) (*Answer, error) {
	body, err := json.Marshal(map[string]any{"id": fmt.Sprintf("%s-%016x", op, rand.Uint64()), "op": op, "args": args})
	if err != nil {
		return nil, errors.Trace(err)
	}
	for {
		var last error
		for _, addr := range s.OperatorAddrs() {
			a, err := s.post(ctx, addr, body)
			if err == nil && a.Status < 500 {
				return a, nil
			}
			last = err
			if err == nil {
				last = errors.Errorf("control answered %d: %s", a.Status, a.Body)
			}
		}
		select {
		case <-ctx.Done():
			return nil, errors.Annotatef(last, "command %s has no answer", op)
		case <-time.After(commandTries):
		}
	}
}

func (s *System) post(ctx context.Context, addr string, body []byte) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/commands", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return s.exchange(req)
}

// Query reads a path of the operator API from the first control host that answers.
func (s *System) Query(ctx context.Context, path string, v any) error {
	var last error
	for _, addr := range s.OperatorAddrs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
		if err != nil {
			return errors.Trace(err)
		}
		a, err := s.exchange(req)
		if err == nil && a.Status == http.StatusOK {
			return errors.Trace(json.Unmarshal(a.Body, v))
		}
		last = err
		if err == nil {
			last = errors.Errorf("control answered %d: %s", a.Status, a.Body)
		}
	}
	return last
}

func (s *System) exchange(req *http.Request) (*Answer, error) {
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a := &Answer{Status: resp.StatusCode, Body: data}
	_ = json.Unmarshal(data, a) // Errors have another form; Status and Body tell.
	return a, nil
}

// ApplyAndWait applies the configuration and waits until every entry has it in force.
func (s *System) ApplyAndWait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	config, err := applier.EncodeConfig(&s.Config)
	if err != nil {
		return errors.Trace(err)
	}
	a, err := s.Do(ctx, "apply", map[string]any{"config": config})
	if err != nil {
		return errors.Trace(err)
	}
	if a.Status != http.StatusOK {
		return errors.Errorf("configuration refused with %d: %s", a.Status, a.Body)
	}
	for !s.InForce(a.Version) {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "configuration is not in force everywhere")
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// InForce reports whether every running entry has the version or a later one.
func (s *System) InForce(version uint64) bool {
	for _, name := range s.Hosts(sycamorevane.RoleEntry) {
		if p := s.Process(name); p != nil {
			if st := p.State(); st == nil || st.Version < version {
				return false
			}
		}
	}
	return true
}

// TempDir makes a folder for the data of a system; the caller removes it.
func TempDir() (string, error) { return os.MkdirTemp("", "sycamorevane-") }
