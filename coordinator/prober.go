package coordinator

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/dispatcher"
)

const (
	// probeTimeout limits a probe, as on entries. A health check takes about 6 ms.
	probeTimeout = 150 * time.Millisecond
	// probeIdleTimeout closes connections before servers are expected to.
	probeIdleTimeout = 3 * time.Second
	// maxProbeBodyBytes limits what is read of a response so that its connection can be reused.
	maxProbeBodyBytes = 4 << 10
)

// Prober asks servers for their load over one persistent connection per server.
type Prober struct {
	client http.Client
	// instanceHeader names the header with the server's own name, coldHeader that with the milliseconds for which it stays
	// cold; empty for none.
	instanceHeader, coldHeader string
	parseLoad                  func(http.Header) *sycamorevane.LoadReport
}

// NewProber returns a Prober that reads load reports with parseLoad.
func NewProber(instanceHeader, coldHeader string, parseLoad func(http.Header) *sycamorevane.LoadReport) *Prober {
	dialer := &net.Dialer{Timeout: probeTimeout}
	return &Prober{
		instanceHeader: instanceHeader, coldHeader: coldHeader, parseLoad: parseLoad,
		client: http.Client{
			Transport: &http.Transport{
				DialContext: dialer.DialContext, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeIdleTimeout,
				DisableCompression: true, ResponseHeaderTimeout: probeTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Probe asks the server for its load.
func (p *Prober) Probe(ctx context.Context, s sycamorevane.Server, path string) dispatcher.ProbeResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+path, http.NoBody)
	if err != nil {
		return dispatcher.ProbeResult{}
	}
	req.Header["User-Agent"] = []string{""}
	resp, err := p.client.Do(req)
	if err != nil {
		return dispatcher.ProbeResult{}
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBodyBytes)
	_ = resp.Body.Close()
	if name := resp.Header.Get(p.instanceHeader); name != "" && name != s.InstanceName {
		return dispatcher.ProbeResult{Answered: true, AddressReused: true, ColdRemaining: -1}
	}
	r := dispatcher.ProbeResult{Answered: true, Load: p.parseLoad(resp.Header), ColdRemaining: -1}
	if ms, err := strconv.Atoi(resp.Header.Get(p.coldHeader)); err == nil && ms >= 0 {
		r.ColdRemaining = time.Duration(ms) * time.Millisecond
	}
	return r
}

// Close closes the idle connections.
func (p *Prober) Close() { p.client.CloseIdleConnections() }
