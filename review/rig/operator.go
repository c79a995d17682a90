package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

var errNoAck = errors.New("order was not acknowledged")

// order sends an order to the control hosts in turn, beginning with first, until one acknowledges it. Each has operatorWait to
// respond. It returns when the acknowledgement arrived.
func (d *deployment) order(path string, body []byte, first *host) (time.Time, error) {
	hosts := []*host{first}
	for _, h := range d.controls {
		if h != first {
			hosts = append(hosts, h)
		}
	}
	for _, h := range hosts {
		d.rec.printf("operator sends POST %s to %s", path, h.name)
		ctx, cancel := context.WithTimeout(context.Background(), operatorWait)
		status, answer, err := call(ctx, http.MethodPost, h, path, body)
		cancel()
		if err != nil {
			d.rec.printf("operator gets no response from %s to POST %s: %v", h.name, path, err)
			continue
		}
		d.rec.printf("operator gets %d from %s to POST %s: %s", status, h.name, path, answer)
		if status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errNoAck
}

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeoutMS             int
}

// configuration encodes a configuration in the format of the platform.
func configuration(version int, services []string, routes []route) []byte {
	rows, serviceRows := [][]any{}, [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{"r" + r.prefix, hostname, r.prefix, r.kind, r.timeoutMS, r.timeoutMS / 4, 1, nil, 2, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 240, "h1", false, 3.0, 19.0})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "path_prefix", "kind", "timeout_ms", "aim_ms", "priority", "traffic_split", "max_attempts", "service"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_check_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}

// configure sends the first configuration until it is accepted.
func (d *deployment) configure(body []byte) error {
	for range 40 {
		if _, err := d.order("/config/replace", body, d.controls[0]); err == nil {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errNoAck
}

// awaitReady waits until all entries count as ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(25 * time.Second)
	client := &http.Client{Timeout: time.Second}
	for _, h := range d.entries {
		for {
			resp, err := client.Get("http://" + h.addr(readyPort) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("entries are not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
