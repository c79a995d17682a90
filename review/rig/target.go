package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serverSlots = 6
	serverQueue = 12
)

// arrival is a request that a target began to run.
type arrival struct {
	at     time.Time
	target *target
	id     string
	from   string
	path   string
	// ended is when the run ended, cut whether the connection was closed before; zero while it runs.
	ended time.Time
	cut   bool
}

// runLog lists what all targets have run.
type runLog struct {
	mu   sync.Mutex
	runs []*arrival
}

func (l *runLog) add(a *arrival) {
	l.mu.Lock()
	l.runs = append(l.runs, a)
	l.mu.Unlock()
}

// list returns copies of the runs.
func (l *runLog) list() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]arrival, 0, len(l.runs))
	for _, a := range l.runs {
		out = append(out, *a)
	}
	return out
}

// target is a stand-in for a backend server of the platform.
type target struct {
	id, service, zone, addr string
	number                  int
	born                    int64
	rec                     *recorder
	log                     *runLog
	d                       *deployment
	work                    func(r *http.Request) time.Duration
	// respond, if set, writes the response in place of the usual one and returns true.
	respond func(w http.ResponseWriter, r *http.Request) bool

	server *http.Server
	ctx    context.Context
	stop   context.CancelFunc

	mu       sync.Mutex
	running  int
	waiting  int
	slots    chan struct{}
	sequence uint64
}

func newTarget(d *deployment, log *runLog, service, zone string, number int, work func(*http.Request) time.Duration) *target {
	t := &target{
		id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, addr: fmt.Sprintf("%s.%d:8080", d.prefix, 100+number),
		number: number, born: time.Now().UnixMilli(), rec: d.rec, log: log, d: d, work: work, slots: make(chan struct{}, serverSlots),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t
}

// start listens and begins to check in.
func (t *target) start() error {
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	go t.checkInLoop()
	return nil
}

func (t *target) close() {
	t.stop()
	if t.server != nil {
		_ = t.server.Close()
	}
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, serverSlots)
}

func (t *target) notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Server-Load", t.load())
	w.WriteHeader(status)
}

// take waits for a slot. It returns false when the queue is full or the time limit has passed.
func (t *target) take(ctx context.Context) bool {
	t.mu.Lock()
	if t.waiting >= serverQueue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", t.id)
		w.Header().Set("X-Server-Load", t.load())
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != t.id {
		t.notRun(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		t.notRun(w, http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !t.take(ctx) {
		t.notRun(w, http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	run := &arrival{at: time.Now(), target: t, id: id, from: r.RemoteAddr, path: r.URL.Path}
	t.log.add(run)
	t.rec.printf("run %s at %s (%s) for %s", id, t.id, t.zone, r.RemoteAddr)
	cut := false
	timer := time.NewTimer(t.work(r))
	select {
	case <-timer.C:
	case <-ctx.Done():
		cut = true
	}
	timer.Stop()
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	<-t.slots
	t.log.mu.Lock()
	run.ended, run.cut = time.Now(), cut
	t.log.mu.Unlock()
	w.Header().Set("X-Server-Load", t.load())
	if cut {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if t.respond != nil && t.respond(w, r) {
		return
	}
	answer := fmt.Appendf(nil, "answer to %s with %d bytes", id, len(body))
	w.Header().Set("X-Response-Seal", seal(t.id, id, answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// seal signs an answer.
func seal(target, id string, body []byte) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %s ", target, id)
	_, _ = h.Write(body)
	return fmt.Sprintf("%s.%016x", target, h.Sum64())
}

// checkInLoop reports the target to the control hosts until it is closed.
func (t *target) checkInLoop() {
	at := rand.IntN(len(t.d.controls))
	for t.ctx.Err() == nil {
		acked := false
		for range t.d.controls {
			if acked = t.checkIn(t.d.controls[at]); acked {
				break
			}
			at = (at + 1) % len(t.d.controls)
		}
		wait := heartbeat
		if !acked {
			wait = 200 * time.Millisecond
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (t *target) checkIn(h *host) bool {
	t.mu.Lock()
	t.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.addr, "zone": t.zone, "version": "v1", "slots": serverSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": t.sequence, "born": t.born,
	})
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, time.Second)
	defer cancel()
	status, _, err := call(ctx, http.MethodPost, h, "/instances/"+t.id+"/heartbeat", body)
	return err == nil && status/100 == 2
}

// call sends one request to a control host on a connection of its own, which is closed at the end.
func call(ctx context.Context, method string, h *host, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
	return resp.StatusCode, data, err
}
