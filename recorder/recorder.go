// Package recorder provides logging as JSON lines through logr, and metrics through tally.
package recorder

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes its counters to the Prometheus reporter.
const reportInterval = time.Second

// NewLogger returns a logger that writes JSON lines to w. debug enables verbosity level 1.
func NewLogger(w io.Writer, debug bool) logr.Logger {
	level := slog.LevelInfo
	if debug {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Metrics is the metric scope of one process, and the HTTP handler that exposes it to Prometheus.
type Metrics struct {
	tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope whose metrics have the tag host.
func NewMetrics(host string) *Metrics {
	registry := prom.NewRegistry() // Not the global registry, since a test may run several hosts in one process.
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "sycamorevane",
		Tags:           map[string]string{"host": host},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Without sanitizing, the reporter panics on names that are invalid in Prometheus, as tally's own metrics have.
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
