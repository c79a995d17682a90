package coordinator

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/dispatcher"
	"sycamorevane.example/sycamorevane/recorder"
)

const (
	// probeTimeout limits a probe, as on entries. A health check takes about 6 ms.
	probeTimeout = 150 * time.Millisecond
	// probeIdleTimeout closes connections before servers are expected to.
	probeIdleTimeout = 3 * time.Second
	// maxProbeHeaderBytes bounds the header of a response: a faulty server may send bytes without end.
	maxProbeHeaderBytes = 16 << 10
	// maxProbeBodyBytes limits what is read of a response so that its connection can be reused.
	maxProbeBodyBytes = 4 << 10
)

// Prober asks servers for their load over one persistent connection per server.
type Prober struct {
	client http.Client
	// The headers are those of ProberConfig.
	instanceHeader, coldHeader string
	parseLoad                  func(http.Header) *sycamorevane.LoadReport
	sampler                    *recorder.Sampler
}

// ProberConfig holds the parameters of a Prober.
type ProberConfig struct {
	// InstanceHeader and ColdHeader name the headers with a server's own name and with the milliseconds for which it stays
	// cold; empty for none.
	InstanceHeader, ColdHeader string
	ParseLoad                  func(http.Header) *sycamorevane.LoadReport
	Log                        logr.Logger
}

// NewProber returns a Prober without connections.
func NewProber(cfg ProberConfig) *Prober {
	dialer := &net.Dialer{Timeout: probeTimeout}
	return &Prober{
		instanceHeader: cfg.InstanceHeader, coldHeader: cfg.ColdHeader, parseLoad: cfg.ParseLoad, sampler: recorder.NewSampler(cfg.Log),
		client: http.Client{
			Transport: &http.Transport{
				DialContext: dialer.DialContext, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeIdleTimeout,
				DisableCompression: true, ResponseHeaderTimeout: probeTimeout, MaxResponseHeaderBytes: maxProbeHeaderBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Probe asks the server for its load.
func (p *Prober) Probe(ctx context.Context, s sycamorevane.Server, path string) dispatcher.ProbeResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+path, http.NoBody)
	if err != nil {
		return p.failed(&s, err)
	}
	req.Header["User-Agent"] = []string{""}
	resp, err := p.client.Do(req)
	if err != nil {
		return p.failed(&s, err)
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBodyBytes)
	_ = resp.Body.Close()
	if name := resp.Header.Get(p.instanceHeader); name != "" && name != s.InstanceName {
		return dispatcher.ProbeResult{Answered: true, AddressReused: true, ColdRemaining: -1}
	}
	return dispatcher.ProbeResult{
		Answered: true, Load: p.parseLoad(resp.Header), ColdRemaining: dispatcher.ParseColdRemaining(resp.Header.Get(p.coldHeader)),
	}
}

func (p *Prober) failed(s *sycamorevane.Server, err error) dispatcher.ProbeResult {
	p.sampler.Info(time.Now(), "probe failed", "server", s.ID, "reason", err.Error())
	return dispatcher.ProbeResult{}
}

// Close closes the idle connections.
func (p *Prober) Close() { p.client.CloseIdleConnections() }
