package estimator

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// clockTicks is the number of clock ticks per second, the unit of the CPU times in /proc. The Linux ABI fixes it at 100.
const clockTicks = 100

var metricsClient = &http.Client{Timeout: 3 * time.Second}

// process is a child process that runs one host of the system.
type process struct {
	cmd         *exec.Cmd
	metricsAddr string
	token       string
	role        string
}

// usage is the resource use of a process since its start.
type usage struct {
	at            time.Time
	cpuTime       time.Duration
	residentMB    float64
	sentBytes     float64
	receivedBytes float64
}

func startProcess(binary, settings, role, metricsAddr, token string) (*process, error) {
	cmd := exec.Command(binary, "run", "-config", settings)
	if err := cmd.Start(); err != nil {
		return nil, errors.Trace(err)
	}
	return &process{cmd: cmd, metricsAddr: metricsAddr, token: token, role: role}, nil
}

func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

func (p *process) read() (usage, error) {
	r := usage{at: time.Now()}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return r, errors.Trace(err)
	}
	// The command name may contain spaces, so the fields are counted from its closing parenthesis.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+2:]))
	if len(fields) < 22 {
		return r, errors.Errorf("process statistics have %d fields", len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	r.cpuTime = time.Duration(user+system) * time.Second / clockTicks
	r.residentMB = float64(pages) * float64(os.Getpagesize()) / 1e6
	return r, p.readMesh(&r)
}

func (p *process) readMesh(r *usage) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.metricsAddr+"/metrics", http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+p.token)
	resp, err := metricsClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		n, _ := strconv.ParseFloat(value, 64)
		switch {
		case strings.HasPrefix(name, "sycamorevane_mesh_sent_bytes"):
			r.sentBytes = n
		case strings.HasPrefix(name, "sycamorevane_mesh_received_bytes"):
			r.receivedBytes = n
		}
	}
	return nil
}

// pointBetween returns the resource use between two readings.
func pointBetween(size float64, before, after usage) Point {
	window := after.at.Sub(before.at).Seconds()
	return Point{
		Size: size, CPU: 100 * (after.cpuTime - before.cpuTime).Seconds() / window, Memory: after.residentMB,
		Sent: (after.sentBytes - before.sentBytes) / window / 1000, Received: (after.receivedBytes - before.receivedBytes) / window / 1000,
	}
}
