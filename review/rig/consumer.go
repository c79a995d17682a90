package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const hostname = "ficu95.example"

var lastRequest atomic.Uint64

func newRequestID() string { return fmt.Sprintf("q%08d", lastRequest.Add(1)) }

// traffic sends requests at a steady rate, each on a new connection to an entry that the directory names.
type traffic struct {
	d        *deployment
	path     string
	method   string
	body     []byte
	timeout  time.Duration
	interval time.Duration
	stop     chan struct{}
	wg       sync.WaitGroup

	mu        sync.Mutex
	addresses []string
	statuses  map[int]int
}

func newTraffic(d *deployment, method, path string, body []byte, timeout, interval time.Duration) *traffic {
	return &traffic{
		d: d, method: method, path: path, body: body, timeout: timeout, interval: interval, stop: make(chan struct{}), statuses: make(map[int]int),
	}
}

func (t *traffic) start() {
	t.wg.Go(func() {
		resolveAt := time.Time{}
		ticker := time.NewTicker(t.interval)
		defer ticker.Stop()
		for {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			if time.Now().After(resolveAt) {
				t.resolve()
				resolveAt = time.Now().Add(2 * time.Second)
			}
			if len(t.addresses) > 0 {
				addr := t.addresses[rand.IntN(len(t.addresses))]
				t.wg.Go(func() { t.send(addr) })
			}
		}
	})
}

func (t *traffic) close() {
	close(t.stop)
	t.wg.Wait()
}

func (t *traffic) resolve() {
	for _, i := range rand.Perm(len(t.d.controls)) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		list, err := resolve(ctx, t.d.controls[i], zones[0])
		cancel()
		if err == nil && len(list) > 0 {
			t.addresses = list
			return
		}
	}
}

// resolve asks one host for the addresses of entries.
func resolve(ctx context.Context, h *host, zone string) ([]string, error) {
	url := fmt.Sprintf("http://%s/resolve?name=%s&region=plateau&zone=%s", h.addr(directoryPort), hostname, zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}

func (t *traffic) send(addr string) {
	id := newRequestID()
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	status := 0
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+addr+t.path, bytes.NewReader(t.body))
	if err == nil {
		req.Host = hostname
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(t.timeout.Milliseconds()))
		transport := &http.Transport{DisableKeepAlives: true}
		var resp *http.Response
		if resp, err = transport.RoundTrip(req); err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	t.d.rec.printf("consumer sent %s %s %s to %s: status %d, error %v", t.method, t.path, id, addr, status, err)
	t.mu.Lock()
	t.statuses[status]++
	t.mu.Unlock()
}

func (t *traffic) counts() map[int]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[int]int)
	for k, n := range t.statuses {
		out[k] = n
	}
	return out
}
