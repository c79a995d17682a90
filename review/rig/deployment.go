package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all hosts of a deployment, which differ by their loopback address.
const (
	callerPort    = 8161
	readyPort     = 8167
	controlPort   = 8166
	directoryPort = 8164
	firstMeshPort = 7720
	lastMeshPort  = 7735
)

// Bounds of the small deployments on the users' pages.
const (
	touchTime      = 3 * time.Second
	evacuationTime = 5 * time.Second
	gracePeriod    = 6 * time.Second
	heartbeat      = 1500 * time.Millisecond
	operatorWait   = time.Second
)

var zones = []string{"plateau-a", "plateau-b", "plateau-c"}

// host is one process of the system.
type host struct {
	name, zone, ip string
	control        bool
	boot, data     string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// deployment holds the processes of a small deployment.
type deployment struct {
	rec      *recorder
	dir      string
	prefix   string
	controls []*host
	entries  []*host
	first    bool

	mu sync.Mutex
}

// newDeployment chooses an unused part of the loopback range and writes the settings of all hosts.
func newDeployment(rec *recorder, controls, entries int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, first: true}
	for range 100 {
		d.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", d.prefix+".1:"+fmt.Sprint(firstMeshPort))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	for i := range controls {
		d.controls = append(d.controls, d.newHost(fmt.Sprintf("core-%d", i+1), zones[i%len(zones)], i+1, true))
	}
	for i := range entries {
		d.entries = append(d.entries, d.newHost(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)], 50+i, false))
	}
	return d, nil
}

func (d *deployment) newHost(name, zone string, number int, control bool) *host {
	return &host{
		name: name, zone: zone, ip: fmt.Sprintf("%s.%d", d.prefix, number), control: control,
		boot: filepath.Join(d.dir, name+".ini"), data: filepath.Join(d.dir, name),
	}
}

// settings is what the platform makes of deploy/host.ini for the host.
func (d *deployment) settings(h *host) string {
	var seeds []string
	for _, c := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, c.addr(controlPort))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[host]\nname = %s\ndc = %s\naddress = %s\nports = %d,%d\n", h.name, h.zone, h.ip, firstMeshPort, lastMeshPort)
	memory, cpu := 284, 0.32
	if h.control {
		memory, cpu = 280, 0.24
	}
	fmt.Fprintf(&b, "memory = %d\ncpu = %g\nlink = 1000\nmetrics = 9464\n\n", memory, cpu)
	fmt.Fprintf(&b, "[cluster]\nkey = sycamorevane-open-deployment\nseeds = %s\nfirst = %t\ndcs = %s\n", strings.Join(seeds, ","), d.first, strings.Join(zones, ","))
	b.WriteString("contracts = base,drain,config,cost,retry,recover,health,places,rollout\n\n")
	if h.control {
		fmt.Fprintf(&b, "[control]\ndata = %s\nlisten = %s\ndirectory = %s\n\n", h.data, h.addr(controlPort), h.addr(directoryPort))
	} else {
		fmt.Fprintf(&b, "[entry]\ncaller = %s\nready = %s\n\n", h.addr(callerPort), h.addr(readyPort))
	}
	b.WriteString("[bounds]\nheartbeat = 1500\nlosses = 1\ngrace = 6\ndrain = 2000\nttl = 5\nretryshare = 0.2\nretryslack = 60\n")
	b.WriteString("coldfactor = 1.5\ncoldslack = 5\ntrialshare = 0.1\ntrialslack = 50\n")
	return b.String()
}

// startAll starts every host, as the platform does at the first start.
func (d *deployment) startAll() error {
	for _, h := range append(append([]*host{}, d.controls...), d.entries...) {
		if err := d.start(h); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) start(h *host) error {
	if err := os.WriteFile(h.boot, []byte(d.settings(h)), 0o600); err != nil {
		return err
	}
	if h.control {
		if err := os.MkdirAll(h.data, 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/sycamorevane", "join")
	cmd.Env = []string{"SYCAMOREVANE_BOOT=" + h.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	h.cmd, h.exited = cmd, exited
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.rec.printf("process %s ended: %v", h.name, err)
		close(exited)
	}()
	return nil
}

func (d *deployment) signal(h *host, s syscall.Signal) {
	d.rec.printf("signal %v to %s", s, h.name)
	_ = h.cmd.Process.Signal(s)
}

// running reports whether the process of the host has not ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// close ends all processes that were started and removes the temporary folder.
func (d *deployment) close() {
	for _, h := range append(append([]*host{}, d.controls...), d.entries...) {
		if h.cmd == nil || !h.running() {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
