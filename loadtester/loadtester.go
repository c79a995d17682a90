// Package loadtester models the systems that a deployment serves: it starts fake backend servers that announce
// themselves to running entries, sends calls at a steady rate, and judges the result by both sides' records.
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
	"sycamorevane.example/sycamorevane/auditor"
	"sycamorevane.example/sycamorevane/faker"
)

const (
	maxServers = 400
	maxRate    = 20_000
	conns      = 240
	renew      = time.Second
	warmup     = 20
	// announceTime is how long servers may announce themselves before the first call, and warmTime how long calls
	// at a part of the rate warm them up before the measured calls.
	announceTime = 3 * time.Second
	warmTime     = 5 * time.Second
	warmPart     = 0.3
)

// Size is how many servers of a service run, with how many slots each.
type Size struct {
	Service string
	Servers int
	Slots   int
}

// ParseSize reads SERVICE=SERVERSxSLOTS, for example flagboard=27x4.
func ParseSize(text string) (Size, error) {
	service, rest, ok := strings.Cut(text, "=")
	servers, slots, ok2 := strings.Cut(rest, "x")
	n, err := strconv.Atoi(servers)
	k, err2 := strconv.Atoi(slots)
	if !ok || !ok2 || err != nil || err2 != nil || service == "" || n < 1 || k < 1 || n > maxServers {
		return Size{}, errors.Errorf("%q is not SERVICE=SERVERSxSLOTS with 1 to %d servers, for example flagboard=27x4", text, maxServers)
	}
	return Size{Service: service, Servers: n, Slots: k}, nil
}

// Config holds what a run is made with.
type Config struct {
	// Config is the configuration in force; its hosts say where to announce and to call.
	Config *sycamorevane.Config
	Sizes  []Size
	// Rate is calls a second per service.
	Rate float64
	For  time.Duration
	// Latency is the time in a slot; half of it is fixed and half exponentially distributed.
	Latency time.Duration
	Version string
	Out     io.Writer
}

// Result is one service's figures.
type Result struct {
	Service string  `json:"service"`
	Calls   int     `json:"calls"`
	Failed  int     `json:"failed"`
	Refused int     `json:"refused"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	P999    float64 `json:"p999"`
	// Probes is measurement requests per second and server.
	Probes float64 `json:"probes"`
}

// Run starts the servers, sends the calls and writes one JSON line per service. The error lists broken promises.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Rate <= 0 || cfg.Rate > maxRate {
		return errors.Errorf("rate %g must be above 0 and at most %d calls a second", cfg.Rate, maxRate)
	}
	var all []*run
	defer func() {
		for _, r := range all {
			r.close()
		}
	}()
	for _, size := range cfg.Sizes {
		r := &run{cfg: cfg, size: size}
		all = append(all, r)
		if err := r.startServers(); err != nil {
			return errors.Trace(err)
		}
	}
	if err := pause(ctx, announceTime); err != nil {
		return errors.Trace(err)
	}
	if err := send(ctx, all, warmPart*cfg.Rate, warmTime); err != nil {
		return errors.Trace(err)
	}
	err := send(ctx, all, cfg.Rate, cfg.For)
	var broken []string
	for _, r := range all {
		broken = append(broken, r.report()...)
	}
	if len(broken) > 0 {
		return errors.Errorf("broken promises: %s", strings.Join(broken, "; "))
	}
	return err
}

// send puts calls on all services at the rate; only the last ones are reported.
func send(ctx context.Context, all []*run, rate float64, length time.Duration) error {
	for _, r := range all {
		r.traffic = auditor.NewTraffic(auditor.Config{Service: r.size.Service, Seeds: r.callers(), Rate: rate})
		r.traffic.Start(ctx)
	}
	err := pause(ctx, length)
	for _, r := range all {
		r.traffic.Stop()
	}
	return err
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run is the servers and calls of one service.
type run struct {
	cfg     Config
	size    Size
	servers []*faker.Server
	traffic *auditor.Traffic
	began   time.Time
}

func (r *run) startServers() error {
	r.began = time.Now()
	for i := range r.size.Servers {
		dc := r.cfg.Config.DCs[i%len(r.cfg.Config.DCs)]
		srv, err := faker.NewServer(faker.ServerConfig{
			Service: r.size.Service, Version: r.cfg.Version, DC: dc, Slots: r.size.Slots, MaxConns: conns,
			Entries: r.announces(dc), RenewInterval: renew,
			Behaviour: faker.Behaviour{Latency: r.cfg.Latency / 2, Jitter: r.cfg.Latency / 2, WarmupAnswers: warmup, ColdSlots: 1},
		})
		if err != nil {
			return errors.Trace(err)
		}
		r.servers = append(r.servers, srv)
	}
	return nil
}

func (r *run) announces(dc string) []string {
	var list []string
	for _, h := range r.cfg.Config.Hosts {
		if h.DC == dc && h.AnnounceAddr != "" {
			list = append(list, h.AnnounceAddr)
		}
	}
	return list
}

func (r *run) callers() []string {
	var list []string
	for _, h := range r.cfg.Config.Hosts {
		if h.CallerAddr != "" {
			list = append(list, h.CallerAddr)
		}
	}
	return list
}

// report writes the figures and returns the broken promises.
func (r *run) report() []string {
	f := auditor.NewCallLog([]*auditor.Traffic{r.traffic}, r.servers).Findings()
	ms := func(q float64) float64 { return float64(f.Latency.ValueAtQuantile(q)) / 1000 }
	probes := 0
	for _, srv := range r.servers {
		probes += srv.Stats().Probes
	}
	line, _ := json.Marshal(Result{
		Service: r.size.Service, Calls: f.Calls, Failed: f.Failed, Refused: f.Refused, P50: ms(50), P99: ms(99), P999: ms(99.9),
		Probes: float64(probes) / float64(len(r.servers)) / time.Since(r.began).Seconds(),
	})
	fmt.Fprintf(r.cfg.Out, "%s\n", line)
	return f.Violations()
}

func (r *run) close() {
	for _, srv := range r.servers {
		srv.Close()
	}
}
