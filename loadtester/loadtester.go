// Package loadtester generates load on a running deployment: it starts fake backend servers that announce themselves to
// the entries, sends calls at a steady rate, and checks the result against the records of callers and servers.
package loadtester

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
	"sycamorevane.example/sycamorevane/verifier"
)

const (
	maxServers        = 400
	maxCallsPerSecond = 20_000
	maxConns          = 240
	renewInterval     = time.Second
	warmupAnswers     = 20
	// announceDelay is the time that servers get to announce themselves before the first call. Then calls at
	// warmupRateShare of the rate warm them up for warmupTime before the measured calls.
	announceDelay   = 3 * time.Second
	warmupTime      = 5 * time.Second
	warmupRateShare = 0.3
)

// ServiceSize is the number of servers of a service and of slots on each.
type ServiceSize struct {
	Service string
	Servers int
	Slots   int
}

// ParseServiceSize reads SERVICE=SERVERSxSLOTS, for example flagboard=27x4.
func ParseServiceSize(text string) (ServiceSize, error) {
	service, rest, ok := strings.Cut(text, "=")
	servers, slots, ok2 := strings.Cut(rest, "x")
	n, err := strconv.Atoi(servers)
	k, err2 := strconv.Atoi(slots)
	if !ok || !ok2 || err != nil || err2 != nil || service == "" || n < 1 || k < 1 || n > maxServers {
		return ServiceSize{}, errors.Errorf("%q is not SERVICE=SERVERSxSLOTS with 1 to %d servers, for example flagboard=27x4", text, maxServers)
	}
	return ServiceSize{Service: service, Servers: n, Slots: k}, nil
}

// Config describes a run.
type Config struct {
	// Configuration is the configuration in force, whose hosts give the addresses for announcements and calls.
	Configuration *sycamorevane.Config
	Services      []ServiceSize
	// CallsPerSecond is the rate of calls per service.
	CallsPerSecond float64
	Duration       time.Duration
	// ServiceTime is the mean service time; half of it is fixed and half exponentially distributed.
	ServiceTime time.Duration
	Version     string
	Out         io.Writer
}

// Result holds the measurements of one service.
type Result struct {
	Service string  `json:"service"`
	Calls   int     `json:"calls"`
	Failed  int     `json:"failed"`
	Refused int     `json:"refused"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	// ProbesPerSecond is the rate of probes per server.
	ProbesPerSecond float64 `json:"probes"`
}

// Run starts the servers, sends the calls and writes one JSON line per service. The error lists violated guarantees.
func Run(ctx context.Context, cfg Config) error {
	if cfg.CallsPerSecond <= 0 || cfg.CallsPerSecond > maxCallsPerSecond {
		return errors.Errorf("rate %g must be above 0 and at most %d calls a second", cfg.CallsPerSecond, maxCallsPerSecond)
	}
	var runs []*serviceRun
	defer func() {
		for _, r := range runs {
			r.close()
		}
	}()
	for _, size := range cfg.Services {
		r := &serviceRun{cfg: cfg, size: size}
		runs = append(runs, r)
		if err := r.startServers(); err != nil {
			return errors.Trace(err)
		}
	}
	if err := sleep(ctx, announceDelay); err != nil {
		return errors.Trace(err)
	}
	if err := runTraffic(ctx, runs, warmupRateShare*cfg.CallsPerSecond, warmupTime); err != nil {
		return errors.Trace(err)
	}
	err := runTraffic(ctx, runs, cfg.CallsPerSecond, cfg.Duration)
	var violations []string
	for _, r := range runs {
		violations = append(violations, r.report()...)
	}
	if len(violations) > 0 {
		return errors.Errorf("broken promises: %s", strings.Join(violations, "; "))
	}
	return err
}

// runTraffic sends calls to all services at the rate. report uses the traffic of the last call of runTraffic.
func runTraffic(ctx context.Context, runs []*serviceRun, callsPerSecond float64, duration time.Duration) error {
	for _, r := range runs {
		r.traffic = verifier.NewTraffic(verifier.Config{Service: r.size.Service, Seeds: r.callerAddrs(), CallsPerSecond: callsPerSecond})
		r.traffic.Start(ctx)
	}
	err := sleep(ctx, duration)
	for _, r := range runs {
		r.traffic.Stop()
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serviceRun is the servers and calls of one service.
type serviceRun struct {
	cfg       Config
	size      ServiceSize
	servers   []*faker.Server
	traffic   *verifier.Traffic
	startedAt time.Time
}

func (r *serviceRun) startServers() error {
	r.startedAt = time.Now()
	for i := range r.size.Servers {
		dc := r.cfg.Configuration.DCs[i%len(r.cfg.Configuration.DCs)]
		srv, err := faker.NewServer(faker.ServerConfig{
			Service: r.size.Service, Version: r.cfg.Version, DC: dc, Slots: r.size.Slots, MaxConns: maxConns,
			AnnounceAddrs: r.announceAddrs(dc), RenewInterval: renewInterval,
			Behaviour: faker.Behaviour{Latency: r.cfg.ServiceTime / 2, Jitter: r.cfg.ServiceTime / 2, WarmupAnswers: warmupAnswers, ColdSlots: 1},
		})
		if err != nil {
			return errors.Trace(err)
		}
		r.servers = append(r.servers, srv)
	}
	return nil
}

func (r *serviceRun) announceAddrs(dc string) []string {
	var list []string
	for _, h := range r.cfg.Configuration.Hosts {
		if h.DC == dc && h.AnnounceAddr != "" {
			list = append(list, h.AnnounceAddr)
		}
	}
	return list
}

func (r *serviceRun) callerAddrs() []string {
	var list []string
	for _, h := range r.cfg.Configuration.Hosts {
		if h.CallerAddr != "" {
			list = append(list, h.CallerAddr)
		}
	}
	return list
}

// report writes the measurements and returns the violated guarantees.
func (r *serviceRun) report() []string {
	f := verifier.NewCallLog([]*verifier.Traffic{r.traffic}, r.servers).Findings()
	ms := func(q float64) float64 { return float64(f.Latency.ValueAtQuantile(q)) / 1000 }
	probes := 0
	for _, srv := range r.servers {
		probes += srv.Stats().Probes
	}
	line, _ := json.Marshal(Result{
		Service: r.size.Service, Calls: f.Calls, Failed: f.Failed, Refused: f.Refused, P50: ms(50), P99: ms(99), P999: ms(99.9),
		ProbesPerSecond: float64(probes) / float64(len(r.servers)) / time.Since(r.startedAt).Seconds(),
	})
	fmt.Fprintf(r.cfg.Out, "%s\n", line)
	return f.Violations()
}

func (r *serviceRun) close() {
	for _, srv := range r.servers {
		srv.Close()
	}
}
