package quarantiner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
)

const (
	// decideInterval is the time between two checks for quarantines that have ended. New reports are checked at once.
	decideInterval = time.Second
	// maxChanges limits the requests in one command.
	maxChanges = 64
)

// CollectorConfig holds the dependencies and settings of a Collector.
type CollectorConfig struct {
	Transport sycamorevane.Transport
	// IsLeader reports whether this host is the control leader.
	IsLeader func() bool
	// Quarantined returns the committed quarantines, by sycamorevane.FormatFingerprint.
	Quarantined func() map[string]int64
	// Submit commits the start and the end of quarantines.
	Submit func(quarantined, released []string) error
	// Retention is how long a death counts against requests, and how long a quarantine lasts; 0 means DefaultRetention.
	Retention time.Duration
	Log       logr.Logger
	Metrics   tally.Scope
}

// Collector collects the deaths that all entries report to the control leader, and decides which requests are quarantined. The
// quarantines are committed; the deaths are in memory, and entries report them again to the next leader.
type Collector struct {
	cfg  CollectorConfig
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	wake chan struct{}

	mu      sync.Mutex
	tracker *Tracker
	// since holds the time from which this host, as the leader, knows of a committed quarantine.
	since map[string]time.Time
	// responded holds quarantined requests to which servers have responded since.
	responded sycamorevane.Set[uint64]

	deathCount, quarantinedCount tally.Gauge
}

// NewCollector returns a Collector and registers its message handler.
func NewCollector(cfg CollectorConfig) *Collector {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	m := cfg.Metrics.SubScope("quarantiner")
	c := &Collector{
		cfg: cfg, wake: make(chan struct{}, 1), tracker: NewTracker(cfg.Retention), since: make(map[string]time.Time),
		responded:  sycamorevane.NewSet[uint64](),
		deathCount: m.Gauge("reported_deaths"), quarantinedCount: m.Gauge("committed"),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	cfg.Transport.Handle(&encoder.DeathReport{}, c.handleReport)
	return c
}

// Start starts the goroutine that decides.
func (c *Collector) Start() { c.wg.Go(c.loop) }

// Close stops the goroutine and waits for it.
func (c *Collector) Close() {
	c.stop()
	c.wg.Wait()
}

// handleReport merges a report and replies with what is known of the same servers and requests. On a host that is not the leader
// it returns nil, so that the entry keeps the report for the leader.
func (c *Collector) handleReport(_ string, m proto.Message) proto.Message {
	report, ok := m.(*encoder.DeathReport)
	if !ok || !c.cfg.IsLeader() {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range report.Deaths {
		c.tracker.MergeReport(now, d)
	}
	for _, r := range report.Responded {
		c.tracker.recordResponse(now, r.Fingerprint, r.Version)
		if s, _ := c.tracker.Status(now, r.Fingerprint); s != quarantined {
			c.responded.Add(r.Fingerprint)
		}
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return &encoder.DeathAck{Deaths: c.tracker.relatedDeaths(now, report.Deaths)}
}

func (c *Collector) loop() {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.wake:
		case <-ticker.C:
		case <-c.ctx.Done():
			return
		}
		c.decide(time.Now())
	}
}

// decide commits what has changed. A change that cannot be committed is decided again.
func (c *Collector) decide(now time.Time) {
	added, released := c.changes(now)
	if len(added) == 0 && len(released) == 0 {
		return
	}
	if err := c.cfg.Submit(added, released); err != nil {
		c.cfg.Log.Info("quarantine was not committed", "quarantined", added, "released", released, "reason", err.Error())
		return
	}
	c.cfg.Log.Info("quarantine changed", "quarantined", added, "released", released)
}

// changes returns the requests whose quarantine starts and ends.
func (c *Collector) changes(now time.Time) (added, released []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.RemoveExpired(now)
	if !c.cfg.IsLeader() {
		clear(c.since)
		clear(c.responded)
		return nil, nil
	}
	committed := c.cfg.Quarantined()
	for fingerprint := range c.tracker.culprits {
		text := sycamorevane.FormatFingerprint(fingerprint)
		if _, ok := committed[text]; ok || len(added) >= maxChanges {
			continue
		}
		if s, _ := c.tracker.Status(now, fingerprint); s == quarantined {
			added = append(added, text)
		}
	}
	for text := range committed {
		if len(released) < maxChanges && c.hasEnded(now, text) {
			released = append(released, text)
		}
	}
	for text := range c.since {
		if _, ok := committed[text]; !ok {
			delete(c.since, text)
		}
	}
	clear(c.responded)
	deaths, _ := c.tracker.Counts(now)
	c.deathCount.Update(float64(deaths))
	c.quarantinedCount.Update(float64(len(committed)))
	return added, released
}

// hasEnded reports whether a committed quarantine is over: after the retention, or because a server has responded to the request.
func (c *Collector) hasEnded(now time.Time, text string) bool {
	since, ok := c.since[text]
	if !ok {
		since = now
		c.since[text] = now
	}
	fingerprint, err := sycamorevane.ParseFingerprint(text)
	return err != nil || now.Sub(since) >= c.cfg.Retention || c.responded.Has(fingerprint) || c.tracker.isCleared(fingerprint)
}
