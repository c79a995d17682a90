package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the small deployment, as in the users' site file fenmoor-gate.
const (
	heartbeatInterval = 1500 * time.Millisecond
	gracePeriod       = 6
	touch             = 3 * time.Second
	evacuationBound   = 5 * time.Second
	outerBound        = 5 * time.Second
	recovery          = 15 * time.Second
	callTimeout       = time.Second
	startTimeout      = 20 * time.Second
)

// host is one machine of the system: one process on a loopback address of its own.
type host struct {
	name, ip, zone, class string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

// bed runs the system's programs as separate processes and records what is sent, answered and run.
type bed struct {
	dir   string
	port  int
	net   string
	hosts []*host
	seeds []string
	first bool
	// config is the first configuration; empty for the usual one.
	config string
	record *os.File
	start  time.Time

	mu      sync.Mutex
	targets []*target
}

// newBed creates a folder for settings, disks and logs, and finds free ports.
func newBed(recordPath string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, record: f, first: true, start: time.Now(), net: fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+os.Getpid()/200%250)}
	for b.port = 21000 + os.Getpid()%2000*10; b.port < 60000; b.port += 10 {
		if b.portsFree() {
			return b, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// portsFree reports whether the ports of a machine are free on the first address.
func (b *bed) portsFree() bool {
	for i := range 10 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", b.net, b.port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.record.WriteString(line)
}

// addHosts describes control and entry machines, spread over three zones. The first three control machines are seeds.
func (b *bed) addHosts(controls, entries int) {
	for i := range controls + entries {
		h := &host{ip: fmt.Sprintf("%s%d", b.net, 10+i), zone: "zone-" + string(rune('a'+i%3)), class: "core"}
		if i >= controls {
			h.class = "edge"
			h.zone = "zone-" + string(rune('a'+(i-controls)%3))
		} else if len(b.seeds) < 3 {
			b.seeds = append(b.seeds, fmt.Sprintf("%s:%d", h.ip, b.port+5))
		}
		h.name = fmt.Sprintf("%s-%d", h.class, i)
		b.hosts = append(b.hosts, h)
	}
}

func (b *bed) of(class string) []*host {
	var list []*host
	for _, h := range b.hosts {
		if h.class == class {
			list = append(list, h)
		}
	}
	return list
}

// settings returns the fields from which the platform fills in the template of a machine.
func (b *bed) settings(h *host) map[string]any {
	s := map[string]any{
		"node": h.name, "zone": h.zone, "ip": h.ip, "internal_port_range": []any{b.port, b.port + 4},
		"seeds": toAny(b.seeds), "bootstrap": b.first, "heartbeat_interval_ms": heartbeatInterval.Milliseconds(),
		"contracts": toAny([]string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout"}),
		"zones":     map[string]any{"zone-a": "region", "zone-b": "region", "zone-c": "region"},
		"limits":    map[string]any{"cpu_share": 0.32, "memory_mb": 284, "link_mbps": 1000.0},
		"bounds": map[string]any{
			"grace_period_s": gracePeriod, "drain_ms": 2000, "ttl_max_s": 5, "retry_budget_ratio": 0.2, "budget_slack": 60,
			"cold_burst_factor": 1.5, "cold_slack": 5, "expose_share": 0.1,
		},
	}
	if h.class == "core" {
		s["data_dir"] = filepath.Join(b.dir, h.name)
		s["listen"] = map[string]any{"control": fmt.Sprintf("%s:%d", h.ip, b.port+5), "directory": fmt.Sprintf("%s:%d", h.ip, b.port+6)}
	} else {
		s["listen"] = map[string]any{"front": fmt.Sprintf("%s:%d", h.ip, b.port+7), "ready": fmt.Sprintf("%s:%d", h.ip, b.port+8)}
	}
	return s
}

func toAny(list []string) []any {
	var out []any
	for _, v := range list {
		out = append(out, v)
	}
	return out
}

// startHost starts the process of a machine, as the deploy file says.
func (b *bed) startHost(h *host) error {
	text, err := os.ReadFile("deploy/host.ini")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(b.dir, h.name), 0o755); err != nil {
		return err
	}
	path := filepath.Join(b.dir, h.name+".ini")
	if err := os.WriteFile(path, []byte(fill(string(text), b.settings(h))), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sycamorevane", "join")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SYCAMOREVANE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.done = cmd, make(chan struct{})
	b.note("process of %s (%s) started", h.name, h.zone)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(h.done)
	}()
	return nil
}

func (b *bed) startHosts(hosts []*host) error {
	for _, h := range hosts {
		if err := b.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

func (b *bed) signal(h *host, sig syscall.Signal) {
	b.note("signal %v to the process of %s", sig, h.name)
	_ = h.cmd.Process.Signal(sig)
}

// close ends all processes that the bed has started.
func (b *bed) close() {
	for _, h := range b.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	for _, t := range b.targets {
		t.stop()
	}
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

var operatorClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends one call to the control address of a machine. Status 0 means no answer within the time limit.
func (b *bed) call(h *host, method, path, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", h.ip, b.port+5, path)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// order sends an operator's order to the machines in turn, with growing pauses, until one acknowledges it.
func (b *bed) order(hosts []*host, method, path, body string) (time.Time, error) {
	pause := 50 * time.Millisecond
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		for _, h := range hosts {
			status, answer := b.call(h, method, path, body, callTimeout)
			b.note("operator: %s %s to %s: %d %.80s", method, path, h.name, status, strings.TrimSpace(answer))
			if status >= 200 && status < 300 {
				return time.Now(), nil
			}
			time.Sleep(pause)
			pause = min(2*pause, time.Second)
		}
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

// config is a configuration with one host name and three routes.
func config(version int) string {
	c := map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "path_prefix", "kind", "timeout_ms", "aim_ms", "priority", "traffic_split", "max_attempts", "service"},
			"rows": [][]any{
				{"r-read", "shop.example", "/read/", "safe", 1200, 600, 2, nil, 2, "board"},
				{"r-set", "shop.example", "/set/", "unsafe", 1500, 800, 1, nil, 2, "board"},
				{"r-put", "shop.example", "/put/", "upload", 3000, 800, 1, nil, 2, "store"},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"},
			"rows":    [][]any{{"board", "/health", 240, "h1", false, 3.0, 4.9}, {"store", "/health", 240, "h1", false, 3.0, 4.9}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	data, _ := json.Marshal(c)
	return string(data)
}

// startAll starts the machines and targets, and waits until every entry serves requests.
func (b *bed) startAll(controls, entries, targetsPerZone int) error {
	b.addHosts(controls, entries)
	if err := b.startHosts(b.hosts); err != nil {
		return err
	}
	if _, err := b.order(b.of("core"), http.MethodPost, "/config/replace", cmp.Or(b.config, config(3))); err != nil {
		return err
	}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for range targetsPerZone {
			if err := b.addTarget("board", zone); err != nil {
				return err
			}
		}
		if err := b.addTarget("store", zone); err != nil {
			return err
		}
	}
	for _, h := range b.of("edge") {
		if err := b.awaitServed(h); err != nil {
			return err
		}
	}
	return nil
}

// awaitServed waits until an entry has served ten reads in a row.
func (b *bed) awaitServed(h *host) error {
	c := b.newConsumer()
	defer c.close()
	for good, deadline := 0, time.Now().Add(startTimeout); good < 10; {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s serves no requests", h.name)
		}
		if r := c.get(h, "/read/x"); r.status == http.StatusOK {
			good++
			continue
		}
		good = 0
		time.Sleep(50 * time.Millisecond)
	}
	b.note("%s serves", h.name)
	return nil
}
