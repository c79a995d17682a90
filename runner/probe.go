package runner

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// maxProbeResponseBytes limits the body of a probe response, maxProbeHeaderBytes its header: a faulty server may send
	// bytes without end.
	maxProbeResponseBytes = 4 << 10
	maxProbeHeaderBytes   = 16 << 10
)

// probeClient opens a new connection for each probe: an idle connection may have broken without notice, which would say
// nothing about the server.
var probeClient = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxResponseHeaderBytes: maxProbeHeaderBytes,
	},
}

// probe requests a server's load and succeeds if a well-formed response arrives in time. The reported values are ignored,
// since they may be wrong.
func probe(ctx context.Context, s sycamorevane.Server) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+"/.vane/load", http.NoBody)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := probeClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return nil // The load endpoint is optional. Any response shows that the server works.
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("probe response has status %d", resp.StatusCode)
	}
	var load struct {
		Busy  int    `json:"busy"`
		Queue int    `json:"queue"`
		Slots int    `json:"slots"`
		State string `json:"state"`
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(resp.Body, maxProbeResponseBytes)).Decode(&load))
}
