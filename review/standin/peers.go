package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is one request that reached a target.
type arrival struct {
	at           time.Time
	id, path     string
	method, body string
}

// target is a backend server that follows the users' protocol.
type target struct {
	bed                     *bed
	id, service, zone, addr string
	born                    int64
	server                  *http.Server
	ctx                     context.Context
	cancel                  context.CancelFunc
	wg                      sync.WaitGroup
	workTime                time.Duration
	// longWork is how long requests for paths that end with long take.
	longWork time.Duration
	// respond handles a request and reports whether nothing more is to be done; nil for the usual answer.
	respond                   func(t *target, w http.ResponseWriter, r *http.Request) bool
	mu                        sync.Mutex
	sequence, running         int
	arrivals                  []arrival
	refusedReports, okReports int
}

// newTarget describes a target that has just started.
func (b *bed) newTarget(service, zone, addr string) *target {
	t := &target{
		bed: b, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, addr: addr,
		born: time.Now().UnixMilli(), workTime: 20 * time.Millisecond,
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// addTarget starts a target that checks in at the control machines.
func (b *bed) addTarget(service, zone string) error {
	l, err := net.Listen("tcp", b.net+"200:0")
	if err != nil {
		return err
	}
	b.startTarget(l, service, zone, nil)
	return nil
}

// startTarget starts a target on a listener.
func (b *bed) startTarget(l net.Listener, service, zone string, respond func(*target, http.ResponseWriter, *http.Request) bool) *target {
	t := b.newTarget(service, zone, l.Addr().String())
	t.respond = respond
	t.server = &http.Server{Handler: t}
	t.wg.Go(func() { _ = t.server.Serve(l) })
	t.wg.Go(t.checkIn)
	b.mu.Lock()
	b.targets = append(b.targets, t)
	b.mu.Unlock()
	b.note("target %s of %s in %s starts at %s", t.id, service, zone, t.addr)
	return t
}

func (t *target) stop() {
	t.cancel()
	_ = t.server.Close()
	t.wg.Wait()
}

// heartbeat returns the body of a check-in.
func (t *target) heartbeat(state string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		t.service, t.addr, t.zone, state, t.sequence, t.born)
}

// checkIn reports to a control machine at every interval, and to the next one when that fails.
func (t *target) checkIn() {
	controls := t.bed.of("core")
	next := rand.IntN(len(controls))
	for {
		body := t.heartbeat("ready")
		for range controls {
			status, _ := t.bed.call(controls[next%len(controls)], http.MethodPost, "/instances/"+t.id+"/heartbeat", body, callTimeout)
			t.mu.Lock()
			if status >= 200 && status < 300 {
				t.okReports++
			} else {
				t.refusedReports++
			}
			t.mu.Unlock()
			if status >= 200 && status < 300 || t.ctx.Err() != nil {
				break
			}
			next++
		}
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// ServeHTTP runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	running := t.running
	t.mu.Unlock()
	h := w.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,4,100", running))
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", t.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != t.id {
		h.Set("X-Not-Executed", "instance")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{time.Now(), id, r.RequestURI, r.Method, string(body)})
	t.running++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	t.bed.note("target %s (%s) runs request %s %s", t.id, t.zone, id, r.URL.Path)
	if t.respond != nil && t.respond(t, w, r) {
		return
	}
	work := t.workTime
	if strings.HasSuffix(r.URL.Path, "long") {
		work = t.longWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Seal", "seal-"+t.id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// arrivalsSince returns the requests that reached the target after a moment.
func (t *target) arrivalsSince(at time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []arrival
	for _, a := range t.arrivals {
		if a.at.After(at) {
			list = append(list, a)
		}
	}
	return list
}

// response is what a consumer got; status is 0 for none.
type response struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

// consumer sends requests to entries.
type consumer struct {
	bed    *bed
	client *http.Client
}

func (b *bed) newConsumer() *consumer {
	return &consumer{bed: b, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

func (c *consumer) close() { c.client.CloseIdleConnections() }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *consumer) get(h *host, path string) response { return c.send(h, http.MethodGet, path, "") }

// send sends one request to an entry with a time limit of 2.5 s.
func (c *consumer) send(h *host, method, path, body string) response {
	return c.sendTo(fmt.Sprintf("%s:%d", h.ip, c.bed.port+7), h.name, method, path, body)
}

func (c *consumer) sendTo(addr, name, method, path, body string) response {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	res := response{id: newID()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", res.id)
	req.Header.Set("X-Deadline-Ms", "2500")
	resp, err := c.client.Do(req)
	if err != nil {
		res.err = err
	} else {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.status, res.body, res.header, res.err = resp.StatusCode, string(data), resp.Header, err
	}
	c.bed.note("consumer: %s %s %s to %s: %d %.60s %v", res.id, method, path, name, res.status, res.body, res.err)
	return res
}
