package accountant

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/recorder"
)

const (
	// reportInterval is the time between two reports of an entry, and thus the most that is lost with an entry that dies.
	reportInterval = time.Second
	// reportCheckInterval is how often an entry checks for a new leader, which has none of its cells, and repeats a report
	// that was not acknowledged.
	reportCheckInterval = 250 * time.Millisecond
	// reportTimeout limits a report. A relay adds a few milliseconds.
	reportTimeout = 700 * time.Millisecond
	// finalReportTime limits the final reports of an entry that shuts down.
	finalReportTime = time.Second
)

// ReporterConfig holds the parameters of a Reporter.
type ReporterConfig struct {
	Transport sycamorevane.Transport
	Counter   *Counter
	// LeaderName returns the name of the control leader, or "" when none is known.
	LeaderName func() string
	Log        logr.Logger
	Metrics    tally.Scope
}

// Reporter sends the counts of an entry to the control leader.
type Reporter struct {
	cfg     ReporterConfig
	stop    context.CancelFunc
	wg      sync.WaitGroup
	sampler *recorder.Sampler

	failed  tally.Counter
	dropped tally.Gauge
	// sentTo and sentAt are the leader and the time of the last acknowledged report.
	sentTo string
	sentAt time.Time
}

// NewReporter returns a Reporter. Reports begin with Start.
func NewReporter(cfg ReporterConfig) *Reporter {
	m := cfg.Metrics.SubScope("usage")
	return &Reporter{
		cfg: cfg, stop: func() {}, sampler: recorder.NewSampler(cfg.Log),
		failed: m.Counter("report_failures"), dropped: m.Gauge("dropped_requests"),
	}
}

// Start sends reports until Close.
func (r *Reporter) Start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.wg.Go(func() { r.loop(ctx) })
}

// Close ends the reports and sends what remains. No request may be counted after it.
func (r *Reporter) Close(ctx context.Context) {
	r.stop()
	r.wg.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalReportTime)
	defer cancel()
	for {
		err := r.send(ctx, true)
		if err == nil {
			return
		}
		select {
		case <-time.After(reportCheckInterval):
		case <-ctx.Done():
			r.cfg.Log.Info("last usage counts were not delivered", "reason", err.Error())
			return
		}
	}
}

func (r *Reporter) loop(ctx context.Context) {
	t := time.NewTicker(reportCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		leader := r.cfg.LeaderName()
		if leader == "" || leader == r.sentTo && time.Since(r.sentAt) < reportInterval-reportCheckInterval/2 {
			continue
		}
		r.dropped.Update(float64(r.cfg.Counter.Dropped()))
		if err := r.send(ctx, false); err != nil && ctx.Err() == nil {
			r.failed.Inc(1)
			r.sampler.Info(time.Now(), "usage counts were not acknowledged and will be sent again", "leader", leader, "reason", err.Error())
		}
	}
}

func (r *Reporter) send(ctx context.Context, final bool) error {
	leader := r.cfg.LeaderName()
	if leader == "" {
		return &sycamorevane.UnreachableError{Peer: "control leader"}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := r.cfg.Transport.Call(ctx, leader, r.cfg.Counter.Report(sentAt, final))
	if err != nil {
		return errors.Trace(err)
	}
	a, ok := reply.(*encoder.UsageAck)
	if !ok {
		return errors.Errorf("control host %q gave an unexpected reply", leader)
	}
	r.cfg.Counter.Acknowledge(a)
	r.sentTo, r.sentAt = leader, sentAt
	return nil
}
