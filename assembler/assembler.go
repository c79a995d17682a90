// Package assembler runs a whole system of control and entry hosts on loopback in one operating system process, for the
// demo and the system tests.
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

// The ports are below the ephemeral range, so that no outgoing connection uses them. Each host has its own loopback
// address.
const (
	meshPort     = 7001
	callerPort   = 7002
	announcePort = 7003
	operatorPort = 7004
)

const (
	clusterKey           = "key of a loopback system"
	operatorName         = "operator"
	operatorToken        = "token of a loopback system"
	applyTimeout         = 20 * time.Second
	commandRetryInterval = 100 * time.Millisecond
)

// Config describes a system.
type Config struct {
	// DCs are the data centres. Hosts are distributed over them in turn.
	DCs          []string
	ControlCount int
	EntryCount   int
	Services     []sycamorevane.Service
	Workspaces   []sycamorevane.Workspace
	Limits       sycamorevane.Limits
	// Dir is the parent of the hosts' data directories.
	Dir string
	Log logr.Logger
	// Reachable, if set, reports whether mesh messages from one host reach the other. Messages that do not are dropped
	// silently.
	Reachable func(from, to string) bool
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

// New creates the settings and the configuration and starts every host.
func New(cfg Config) (*System, error) {
	s := &System{
		cfg: cfg, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}},
		settings: make(map[string]*parser.Settings), processes: make(map[string]*runner.Process),
	}
	s.Config = sycamorevane.Config{Services: cfg.Services, Workspaces: cfg.Workspaces, DCs: cfg.DCs, Limits: cfg.Limits}
	// A random network keeps the systems of concurrent tests from using the same addresses.
	network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
	for i := range cfg.ControlCount {
		s.addHost(fmt.Sprintf("control-%d", i+1), network, i, sycamorevane.RoleControl)
	}
	for i := range cfg.EntryCount {
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
	settings := &parser.Settings{Name: h.Name, DC: h.DC, MeshAddr: h.MeshAddr, Key: clusterKey}
	for _, c := range s.Config.Hosts {
		if c.Roles.Has(sycamorevane.RoleControl) {
			settings.ControlHosts = append(settings.ControlHosts, parser.Contact{Name: c.Name, Addr: c.MeshAddr})
		}
	}
	if h.Roles.Has(sycamorevane.RoleEntry) {
		settings.Entry = &parser.EntrySettings{CallerAddr: h.CallerAddr, AnnounceAddr: h.AnnounceAddr}
	}
	if h.Roles.Has(sycamorevane.RoleControl) {
		sum := sha256.Sum256([]byte(operatorToken))
		settings.Control = &parser.ControlSettings{
			DataDir: filepath.Join(s.cfg.Dir, h.Name), OperatorAddr: h.OperatorAddr,
			Operators: map[string]string{operatorName: hex.EncodeToString(sum[:])},
		}
	}
	return settings
}

// Start starts the named host, which must not be running.
func (s *System) Start(name string) error {
	cfg := runner.Config{Settings: s.settings[name], Log: s.cfg.Log}
	if s.cfg.Reachable != nil {
		cfg.Filter = func(peer string) bool { return s.cfg.Reachable(name, peer) }
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

// Kill stops the named host abruptly, as a crash of its process would.
func (s *System) Kill(name string) {
	if p := s.removeProcess(name); p != nil {
		p.Kill()
	}
}

// Stop shuts the named host down gracefully.
func (s *System) Stop(ctx context.Context, name string) error {
	if p := s.removeProcess(name); p != nil {
		return p.Stop(ctx)
	}
	return nil
}

func (s *System) removeProcess(name string) *runner.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	delete(s.processes, name)
	return p
}

// Close stops all hosts abruptly.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, h := range s.Config.Hosts {
		wg.Go(func() { s.Kill(h.Name) })
	}
	wg.Wait()
	s.client.CloseIdleConnections()
}

// Process returns the process of the named host, or nil if it is not running.
func (s *System) Process(name string) *runner.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// Hosts returns the names of the hosts with the role.
func (s *System) Hosts(role string) []string { return s.Config.HostsWith(role) }

// CallerAddrs returns the addresses of the caller listeners.
func (s *System) CallerAddrs() []string {
	return s.addresses(func(h sycamorevane.Host) string { return h.CallerAddr })
}

// AnnounceAddrs returns the addresses of the announce listeners in a data centre.
func (s *System) AnnounceAddrs(dc string) []string {
	return s.addresses(func(h sycamorevane.Host) string {
		if h.DC != dc {
			return ""
		}
		return h.AnnounceAddr
	})
}

// OperatorAddrs returns the addresses of the operator APIs.
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

// Token returns the operator token of the system.
func (s *System) Token() string { return operatorToken }

// CommandResponse is a control host's response to a command.
type CommandResponse struct {
	Status  int
	Body    []byte
	Outcome string `json:"outcome"`
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// Do sends a command to one control host after another, with the same ID, until one gives a definite answer: any status
// below 500.
func (s *System) Do(ctx context.Context, op string, args any) (*CommandResponse, error) {
	body, err := json.Marshal(map[string]any{"id": fmt.Sprintf("%s-%016x", op, rand.Uint64()), "op": op, "args": args})
	if err != nil {
		return nil, errors.Trace(err)
	}
	for {
		var lastErr error
		for _, addr := range s.OperatorAddrs() {
			resp, err := s.post(ctx, addr, body)
			if err == nil && resp.Status < 500 {
				return resp, nil
			}
			lastErr = err
			if err == nil {
				lastErr = errors.Errorf("control host returned status %d: %s", resp.Status, resp.Body)
			}
		}
		select {
		case <-ctx.Done():
			return nil, errors.Annotatef(lastErr, "command %s has no answer", op)
		case <-time.After(commandRetryInterval):
		}
	}
}

func (s *System) post(ctx context.Context, addr string, body []byte) (*CommandResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/commands", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return s.send(req)
}

// Query decodes the response to a GET request for a path of the operator API into v. It uses the first control host that
// responds with status 200.
func (s *System) Query(ctx context.Context, path string, v any) error {
	var lastErr error
	for _, addr := range s.OperatorAddrs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, http.NoBody)
		if err != nil {
			return errors.Trace(err)
		}
		resp, err := s.send(req)
		if err == nil && resp.Status == http.StatusOK {
			return errors.Trace(json.Unmarshal(resp.Body, v))
		}
		lastErr = err
		if err == nil {
			lastErr = errors.Errorf("control host returned status %d: %s", resp.Status, resp.Body)
		}
	}
	return lastErr
}

func (s *System) send(req *http.Request) (*CommandResponse, error) {
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
	result := &CommandResponse{Status: resp.StatusCode, Body: data}
	_ = json.Unmarshal(data, result) // Error responses have another form; Status and Body describe them.
	return result, nil
}

// ApplyAndWait applies the configuration and waits until it is in force on every entry.
func (s *System) ApplyAndWait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	config, err := applier.EncodeConfig(&s.Config)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := s.Do(ctx, "apply", map[string]any{"config": config})
	if err != nil {
		return errors.Trace(err)
	}
	if resp.Status != http.StatusOK {
		return errors.Errorf("configuration refused with status %d: %s", resp.Status, resp.Body)
	}
	for !s.InForce(resp.Version) {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "configuration is not in force on every entry")
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

// TempDir creates a directory for the data of a system. The caller has to remove it.
func TempDir() (string, error) { return os.MkdirTemp("", "sycamorevane-") }
