package coordinator

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"sycamorevane.example/sycamorevane"
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
	// instanceHeader names the header with the server's own name; empty for none.
	instanceHeader string
	parseLoad      func(http.Header) *sycamorevane.LoadReport
}

// NewProber returns a Prober that reads load reports with parseLoad.
func NewProber(instanceHeader string, parseLoad func(http.Header) *sycamorevane.LoadReport) *Prober {
	dialer := &net.Dialer{Timeout: probeTimeout}
	return &Prober{
		instanceHeader: instanceHeader, parseLoad: parseLoad,
		client: http.Client{
			Transport: &http.Transport{
				DialContext: dialer.DialContext, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeIdleTimeout,
				DisableCompression: true, ResponseHeaderTimeout: probeTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Probe returns the load of the server, or nil if it does not answer, reports no load or another server uses its address.
func (p *Prober) Probe(ctx context.Context, s sycamorevane.Server, path string) *sycamorevane.LoadReport {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+path, http.NoBody)
	if err != nil {
		return nil
	}
	req.Header["User-Agent"] = []string{""}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBodyBytes)
	_ = resp.Body.Close()
	if name := resp.Header.Get(p.instanceHeader); name != "" && name != s.InstanceName {
		return nil
	}
	return p.parseLoad(resp.Header)
}

// Close closes the idle connections.
func (p *Prober) Close() { p.client.CloseIdleConnections() }
