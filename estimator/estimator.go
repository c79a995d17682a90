package estimator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/parser"
	"sycamorevane.example/sycamorevane/verifier"
)

const (
	operatorToken    = "token of the slope measurement"
	clusterKey       = "cluster key of the slope measurement"
	networkPrefix    = "127.90.0"
	controlHostCount = 3
	readyTimeout     = 20 * time.Second
	slotsPerServer   = 4
	connsPerServer   = 240
)

// Size is the size of a system to measure.
type Size struct {
	Entries  int
	Servers  int
	Services int
	// CallsPerSecond is the rate of all services together.
	CallsPerSecond float64
}

// Config holds the settings of a measurement.
type Config struct {
	// Binary is the path of the sycamorevane program.
	Binary string
	// SettleTime is the delay before a measurement, MeasurementTime the duration of the measurement.
	SettleTime      time.Duration
	MeasurementTime time.Duration
	Log             io.Writer
}

// testCluster is a running system with one process per host.
type testCluster struct {
	cfg       Config
	size      Size
	dir       string
	config    sycamorevane.Config
	processes []*process
	servers   []*faker.Server
	traffic   []*verifier.Traffic
}

// Measure runs a system of the given size. It returns the mean point of the entries, the point of the control leader and
// the mean point of the control followers, by role. It does not set Point.Size.
func Measure(ctx context.Context, cfg Config, size Size) (map[string]Point, error) {
	dir, err := os.MkdirTemp("", "sycamorevane-slopes-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	tc := &testCluster{cfg: cfg, size: size, dir: dir}
	defer tc.close()
	tc.configure()
	if err := tc.start(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := tc.apply(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	if err := tc.startLoad(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	time.Sleep(cfg.SettleTime)
	before, err := tc.readAll()
	if err != nil {
		return nil, errors.Trace(err)
	}
	time.Sleep(cfg.MeasurementTime)
	after, err := tc.readAll()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return tc.meanPoints(ctx, before, after)
}

func (tc *testCluster) configure() {
	c := &tc.config
	c.Limits = sycamorevane.Limits{
		ServerLease: parser.DefaultServerLease, EntriesTTL: parser.DefaultEntriesTTL, MaxHeaderBytes: parser.DefaultMaxHeaderBytes, ClaimRetention: parser.DefaultClaimRetention,
	}
	for i := range 3 {
		c.DCs = append(c.DCs, fmt.Sprintf("dc-%d", i+1))
	}
	for i := range tc.size.Services {
		c.Services = append(c.Services, parser.DefaultService(fmt.Sprintf("service-%d", i+1)))
	}
	for i := range controlHostCount + tc.size.Entries {
		ip := fmt.Sprintf("%s.%d", networkPrefix, i+1)
		h := sycamorevane.Host{Name: fmt.Sprintf("host-%d", i+1), DC: c.DCs[i%3], MeshAddr: ip + ":7001"}
		if i < controlHostCount {
			h.Roles, h.OperatorAddr = sycamorevane.NewSet(sycamorevane.RoleControl), ip+":7004"
		} else {
			h.Roles, h.CallerAddr, h.AnnounceAddr = sycamorevane.NewSet(sycamorevane.RoleEntry), ip+":7002", ip+":7003"
		}
		c.Hosts = append(c.Hosts, h)
	}
}

func (tc *testCluster) start() error {
	sum := sha256.Sum256([]byte(operatorToken))
	for _, h := range tc.config.Hosts {
		s := &parser.Settings{Name: h.Name, DC: h.DC, MeshAddr: h.MeshAddr, Key: clusterKey}
		for _, c := range tc.config.Hosts[:controlHostCount] {
			s.ControlHosts = append(s.ControlHosts, parser.Contact{Name: c.Name, Addr: c.MeshAddr})
		}
		role, metricsAddr := sycamorevane.RoleEntry, h.AnnounceAddr
		if h.OperatorAddr == "" {
			s.Entry = &parser.EntrySettings{CallerAddr: h.CallerAddr, AnnounceAddr: h.AnnounceAddr}
		} else {
			role, metricsAddr = sycamorevane.RoleControl, h.OperatorAddr
			s.Control = &parser.ControlSettings{
				DataDir: "data-" + h.Name, OperatorAddr: h.OperatorAddr, Operators: map[string]string{"operator": hex.EncodeToString(sum[:])},
			}
		}
		file := filepath.Join(tc.dir, h.Name+".ini")
		if err := os.WriteFile(file, parser.FormatSettings(s), 0o600); err != nil {
			return errors.Trace(err)
		}
		p, err := startProcess(tc.cfg.Binary, file, role, metricsAddr, operatorToken)
		if err != nil {
			return errors.Trace(err)
		}
		tc.processes = append(tc.processes, p)
	}
	return nil
}

// apply sends the configuration until it is accepted, for at most readyTimeout, since a leader must be elected first.
func (tc *testCluster) apply(ctx context.Context) error {
	config, err := applier.EncodeConfig(&tc.config)
	if err != nil {
		return errors.Trace(err)
	}
	body, err := json.Marshal(map[string]any{"id": "slopes", "op": "apply", "args": map[string]any{"config": config}})
	if err != nil {
		return errors.Trace(err)
	}
	lastErr := errors.New("no attempt")
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if lastErr = tc.post(ctx, body); lastErr == nil {
			return nil
		}
	}
	return errors.Annotate(lastErr, "configuration not applied")
}

func (tc *testCluster) post(ctx context.Context, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tc.config.Hosts[0].OperatorAddr+"/v1/commands", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := metricsClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return errors.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return nil
}

func (tc *testCluster) startLoad(ctx context.Context) error {
	var callerAddrs []string
	announceAddrs := make(map[string][]string)
	for _, h := range tc.config.Hosts[controlHostCount:] {
		callerAddrs = append(callerAddrs, h.CallerAddr)
		announceAddrs[h.DC] = append(announceAddrs[h.DC], h.AnnounceAddr)
	}
	for i := range tc.size.Servers {
		dc := tc.config.DCs[i%3]
		srv, err := faker.NewServer(faker.ServerConfig{
			Service: tc.config.Services[i/3%tc.size.Services].Name, Version: "1", DC: dc, Slots: slotsPerServer, MaxConns: connsPerServer,
			AnnounceAddrs: announceAddrs[dc], RenewInterval: time.Second, Behaviour: faker.Behaviour{Latency: 5 * time.Millisecond},
		})
		if err != nil {
			return errors.Trace(err)
		}
		tc.servers = append(tc.servers, srv)
	}
	if tc.size.CallsPerSecond == 0 {
		return nil
	}
	for i := range tc.config.Services {
		t := verifier.NewTraffic(verifier.Config{
			Service: tc.config.Services[i].Name, Seeds: callerAddrs, CallsPerSecond: tc.size.CallsPerSecond / float64(tc.size.Services),
		})
		t.Start(ctx)
		tc.traffic = append(tc.traffic, t)
	}
	return nil
}

func (tc *testCluster) readAll() ([]usage, error) {
	list := make([]usage, len(tc.processes))
	for i, p := range tc.processes {
		r, err := p.read()
		if err != nil {
			return nil, errors.Annotatef(err, "process of %s", tc.config.Hosts[i].Name)
		}
		list[i] = r
	}
	return list, nil
}

// meanPoints returns the mean point of the processes of each role.
func (tc *testCluster) meanPoints(ctx context.Context, before, after []usage) (map[string]Point, error) {
	leader, err := tc.leader(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	sums, counts := make(map[string]Point), make(map[string]float64)
	for i, p := range tc.processes {
		role := p.role
		if role == sycamorevane.RoleControl {
			role = "control follower"
			if tc.config.Hosts[i].Name == leader {
				role = "control leader"
			}
		}
		pt, sum := pointBetween(0, before[i], after[i]), sums[role]
		sum.CPU += pt.CPU
		sum.Memory += pt.Memory
		sum.Sent += pt.Sent
		sum.Received += pt.Received
		sums[role] = sum
		counts[role]++
	}
	for role, sum := range sums {
		n := counts[role]
		sums[role] = Point{CPU: sum.CPU / n, Memory: sum.Memory / n, Sent: sum.Sent / n, Received: sum.Received / n}
	}
	return sums, nil
}

func (tc *testCluster) leader(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tc.config.Hosts[0].OperatorAddr+"/v1/members", http.NoBody)
	if err != nil {
		return "", errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := metricsClient.Do(req)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var response struct{ Leader string }
	return response.Leader, errors.Trace(json.NewDecoder(resp.Body).Decode(&response))
}

func (tc *testCluster) close() {
	for _, t := range tc.traffic {
		t.Stop()
	}
	for _, srv := range tc.servers {
		srv.Close()
	}
	for _, p := range tc.processes {
		p.stop()
	}
	_ = os.RemoveAll(tc.dir)
}
