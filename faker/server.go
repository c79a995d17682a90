// Package faker provides a fake backend server and a fake caller for tests and the demo. The server speaks real HTTP on
// loopback, announces itself, and records every request that it runs.
package faker

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Headers that the fake server and caller use besides the system's own.
const (
	// HeaderCallID identifies one call over all of its attempts and resends.
	HeaderCallID = "X-Call-Id"
	// HeaderCrash makes a server with Behaviour.CrashOnHeader end as a killed process would.
	HeaderCrash = "X-Fake-Crash"
	// HeaderBodyDigest of a response is the SHA-256 of the request body in hex.
	HeaderBodyDigest = "X-Body-Digest"
)

const (
	defaultSlots         = 4
	defaultMaxConns      = 240
	defaultRenewInterval = time.Second
	announceTimeout      = 2 * time.Second
	collapseSlowdown     = 20
)

// Behaviour is how a fake server responds. It may be changed while the server runs.
type Behaviour struct {
	// Latency is the service time of one request in a slot.
	Latency time.Duration
	// Jitter is the mean of an exponentially distributed time that is added to Latency.
	Jitter time.Duration
	// SlowdownFactor multiplies the service time; 0 means 1.
	SlowdownFactor float64
	// WarmupAnswers is the number of responses until the server is warm. A cold server can run ColdSlots requests at
	// once. With more it collapses: requests that start take collapseSlowdown times as long and the warm-up restarts.
	WarmupAnswers int
	ColdSlots     int
	// MaxQueued is the largest number of requests that wait for a slot; the server refuses further ones. 0 means no limit.
	MaxQueued int
	// Shed refuses every request as not run.
	Shed bool
	// Draining announces the state draining and refuses new requests as not run.
	Draining bool
	// FailFast responds immediately with status 500.
	FailFast bool
	// FailShare is the share of requests answered with status 500, 0 to 1.
	FailShare float64
	// Load, when set, replaces the true counts in announcements and /.vane/load.
	ReportedLoad *int
	// CrashOnHeader makes the server crash on a request with HeaderCrash.
	CrashOnHeader bool
	// OmitRequestID omits X-Request-Id from responses.
	OmitRequestID bool
	// ResponseBytes is the length of the response body in bytes; 0 sends a short JSON object.
	ResponseBytes int
	// Routes override the behaviour for paths with the prefix.
	Routes map[string]Behaviour
}

// ServerConfig describes a fake backend server.
type ServerConfig struct {
	Service string
	Version string
	DC      string
	// Addr is the host:port to listen on; empty chooses a free port.
	Addr string
	// AdvertisedAddr is the announced host:port when it differs from Addr, for example that of a relay in between.
	AdvertisedAddr string
	Slots          int
	MaxConns       int
	// AnnounceAddrs are the host:port of announce listeners; empty means that the server does not announce itself.
	AnnounceAddrs []string
	// RenewInterval is the longest time between announcements. A short lease shortens it.
	RenewInterval time.Duration
	Behaviour     Behaviour
}

// Run is one request as the server saw it.
type Run struct {
	// RequestID is X-Request-Id, new for each attempt; CallID is HeaderCallID.
	RequestID      string
	CallID         string
	IdempotencyKey string
	Method         string
	Path           string
	Workspace      string
	Timeout        time.Duration
	// ServerID is the ID of the start of the server that ran the request, Version its version.
	ServerID string
	Version  string
	DC       string
	Start    time.Time
	End      time.Time
	// BodyDigest is the SHA-256 of the body in hex; it is empty unless the whole body arrived.
	BodyDigest string
	BodyBytes  int64
	Status     int
	// Complete is true when the whole body arrived and the service time has passed.
	Complete bool
}

// Server is a fake backend server.
type Server struct {
	cfg ServerConfig

	mu          sync.Mutex
	slotFreed   *sync.Cond
	behaviour   Behaviour
	id          string
	addr        string
	running     int
	waiting     int
	peakRunning int
	completed   int
	probes      int
	shed        int
	runs        []Run
	isStopped   bool
	server      *http.Server
	stop        chan struct{}
	entryIndex  int
	wg          sync.WaitGroup
}

// NewServer starts a fake backend server.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.RenewInterval == 0 {
		cfg.RenewInterval = defaultRenewInterval
	}
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	s := &Server{cfg: cfg, behaviour: cfg.Behaviour, addr: cfg.Addr}
	s.slotFreed = sync.NewCond(&s.mu)
	return s, s.start()
}

func (s *Server) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Annotatef(err, "fake server of %q", s.cfg.Service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = l.Addr().String()
	s.id = fmt.Sprintf("%s-%s-%08x", s.cfg.Service, s.cfg.Version, rand.Uint32())
	s.isStopped = false
	s.running, s.waiting, s.completed = 0, 0, 0
	s.stop = make(chan struct{})
	id, stop := s.id, s.stop
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) })}
	s.server = server
	s.wg.Go(func() { _ = server.Serve(l) })
	if len(s.cfg.AnnounceAddrs) > 0 {
		s.wg.Go(func() { s.announceLoop(stop) })
	}
	return nil
}

// Addr is the host:port of the server.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// ID is new for each start.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	s.behaviour = b
	s.mu.Unlock()
	s.slotFreed.Broadcast()
}

// UpdateBehaviour edits the behaviour under the lock.
func (s *Server) UpdateBehaviour(edit func(*Behaviour)) {
	s.mu.Lock()
	edit(&s.behaviour)
	s.mu.Unlock()
	s.slotFreed.Broadcast()
}

// Runs returns a copy of the record of requests that ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Stats are counts since NewServer, except for Running and Waiting.
type Stats struct {
	Runs   int
	Shed   int
	Probes int
	// PeakRunning is the largest number of requests that ran at once.
	PeakRunning int
	// Running and Waiting are the current numbers of requests that have a slot and that wait for one.
	Running int
	Waiting int
}

// Stats returns the server's own counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Runs: len(s.runs), Shed: s.shed, Probes: s.probes, PeakRunning: s.peakRunning, Running: s.running, Waiting: s.waiting}
}

// Stopped reports whether the server has crashed or was closed.
func (s *Server) Stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStopped
}

// Crash ends the server as a killed process would: all connections break and no announcement follows.
func (s *Server) Crash() {
	s.mu.Lock()
	server, stop := s.markStoppedLocked()
	s.mu.Unlock()
	if server != nil {
		// The listener closes before any connection, so that a client whose connection breaks cannot reconnect.
		_ = server.Close()
		close(stop)
	}
	s.slotFreed.Broadcast()
}

func (s *Server) markStoppedLocked() (*http.Server, chan struct{}) {
	if s.isStopped {
		return nil, nil
	}
	s.isStopped = true
	return s.server, s.stop
}

// Restart crashes the server if it runs and starts it at the same address with a new ID, cold when
// Behaviour.WarmupAnswers is set.
func (s *Server) Restart() error {
	s.Crash()
	s.wg.Wait()
	return s.start()
}

// Leave starts draining and withdraws the announcement at the entry; running requests continue.
func (s *Server) Leave() {
	s.UpdateBehaviour(func(b *Behaviour) { b.Draining = true })
	s.mu.Lock()
	id, entry := s.id, s.entryLocked()
	s.mu.Unlock()
	if entry == "" {
		return
	}
	req, err := http.NewRequest(http.MethodDelete, "http://"+entry+"/.vane/announce/"+id, nil)
	if err != nil {
		return
	}
	if resp, err := announceClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.Crash()
	s.wg.Wait()
}

var announceClient = &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *Server) entryLocked() string {
	if len(s.cfg.AnnounceAddrs) == 0 {
		return ""
	}
	return s.cfg.AnnounceAddrs[s.entryIndex%len(s.cfg.AnnounceAddrs)]
}

func (s *Server) announceLoop(stop chan struct{}) {
	renewalEntry := ""
	for {
		wait := s.cfg.RenewInterval
		s.mu.Lock()
		entry := s.entryLocked()
		s.mu.Unlock()
		if renewalEntry != "" {
			entry = renewalEntry
		}
		lease, next, err := s.announceTo(entry)
		switch {
		case err != nil:
			renewalEntry = ""
			s.mu.Lock()
			s.entryIndex++
			s.mu.Unlock()
			wait = min(wait, 100*time.Millisecond)
		case lease > 0:
			renewalEntry = next
			wait = min(wait, lease/3)
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// Announcement is the body of POST /.vane/announce.
type Announcement struct {
	Service  string `json:"service"`
	Version  string `json:"version"`
	ID       string `json:"id"`
	Addr     string `json:"addr"`
	DC       string `json:"dc"`
	Slots    int    `json:"slots"`
	MaxConns int    `json:"conns"`
	State    string `json:"state"`
	Load     int    `json:"load"`
}

func (s *Server) announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if s.cfg.AdvertisedAddr != "" {
		addr = s.cfg.AdvertisedAddr
	}
	return Announcement{
		Service: s.cfg.Service, Version: s.cfg.Version, ID: s.id, Addr: addr, DC: s.cfg.DC,
		Slots: s.cfg.Slots, MaxConns: s.cfg.MaxConns, State: s.stateLocked(), Load: s.loadLocked(),
	}
}

func (s *Server) announceTo(entry string) (lease time.Duration, next string, err error) {
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	resp, err := announceClient.Post("http://"+entry+"/.vane/announce", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, "", errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Lease int64  `json:"lease"`
		Entry string `json:"entry"`
	}
	if resp.StatusCode != http.StatusOK {
		return 0, "", errors.Errorf("announce listener answered %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&answer); err != nil {
		return 0, "", errors.Trace(err)
	}
	return time.Duration(answer.Lease) * time.Millisecond, answer.Entry, nil
}

func (s *Server) stateLocked() string {
	switch {
	case s.behaviour.Draining:
		return "draining"
	case s.completed < s.behaviour.WarmupAnswers:
		return "cold"
	}
	return "ready"
}

func (s *Server) loadLocked() int {
	if s.behaviour.ReportedLoad != nil {
		return *s.behaviour.ReportedLoad
	}
	return s.running + s.waiting
}

func (s *Server) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	s.probes++
	running, waiting, state := s.running, s.waiting, s.stateLocked()
	if s.behaviour.ReportedLoad != nil {
		running, waiting = *s.behaviour.ReportedLoad, 0
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"busy": running, "queue": waiting, "slots": s.cfg.Slots, "state": state})
}

func (s *Server) serve(id string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/.vane/load" {
		s.serveLoad(w)
		return
	}
	b, ok := s.acquireSlot(id, r.URL.Path)
	if !ok {
		w.Header().Set("X-Not-Run", "true")
		w.Header().Set("Retry-After", "1")
		s.echoRequestID(b, w, r)
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot(id)
	if s.startEnded(id) {
		panic(http.ErrAbortHandler)
	}
	runIndex := s.recordRun(id, r)
	if b.CrashOnHeader && r.Header.Get(HeaderCrash) != "" {
		go s.Crash() // In a goroutine, so that closing the HTTP server does not wait for this handler.
		<-s.stopChannel()
		panic(http.ErrAbortHandler) // A plain return would send an empty response with status 200 first.
	}
	digest := sha256.New()
	bodyBytes, err := io.Copy(digest, r.Body)
	if err != nil || !s.waitServiceTime(b, r) {
		panic(http.ErrAbortHandler) // A request that was cut short gets no response.
	}
	status := http.StatusOK
	if b.FailFast || (b.FailShare > 0 && rand.Float64() < b.FailShare) {
		status = http.StatusInternalServerError
	}
	sum := hex.EncodeToString(digest.Sum(nil))
	s.recordCompletion(runIndex, bodyBytes, sum, status)
	s.echoRequestID(b, w, r)
	w.Header().Set(HeaderBodyDigest, sum)
	s.writeResponse(b, w, r, status, id)
}

func (s *Server) writeResponse(b Behaviour, w http.ResponseWriter, r *http.Request, status int, id string) {
	if b.ResponseBytes > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(b.ResponseBytes))
		w.WriteHeader(status)
		_, _ = w.Write(bytes.Repeat([]byte("x"), b.ResponseBytes))
		return
	}
	body, _ := json.Marshal(map[string]string{"call": r.Header.Get(HeaderCallID), "server": id, "version": s.cfg.Version})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *Server) echoRequestID(b Behaviour, w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" && !b.OmitRequestID {
		w.Header().Set("X-Request-Id", id)
	}
}

// startEnded reports whether the start of the server with this ID is over.
func (s *Server) startEnded(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStopped || s.id != id
}

func (s *Server) stopChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop
}

// acquireSlot waits for a slot. It returns false when the request is refused as not run.
func (s *Server) acquireSlot(id, path string) (Behaviour, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.behaviourLocked(path)
	if b.Shed || b.Draining || (b.MaxQueued > 0 && s.running >= s.cfg.Slots && s.waiting >= b.MaxQueued) {
		s.shed++
		return b, false
	}
	s.waiting++
	for s.running >= s.cfg.Slots && !s.isStopped && s.id == id {
		s.slotFreed.Wait()
	}
	if s.id == id {
		s.waiting--
		s.running++
		s.peakRunning = max(s.peakRunning, s.running)
	}
	return b, true
}

func (s *Server) releaseSlot(id string) {
	s.mu.Lock()
	if s.id == id {
		s.running--
	}
	s.mu.Unlock()
	s.slotFreed.Signal()
}

func (s *Server) behaviourLocked(path string) Behaviour {
	best, longestPrefix := s.behaviour, ""
	for prefix, b := range s.behaviour.Routes {
		if len(path) >= len(prefix) && path[:len(prefix)] == prefix && len(prefix) > len(longestPrefix) {
			best, longestPrefix = b, prefix
		}
	}
	return best
}

func (s *Server) recordRun(id string, r *http.Request) int {
	timeoutMS, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		RequestID: r.Header.Get("X-Request-Id"), CallID: r.Header.Get(HeaderCallID), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Workspace: r.Header.Get("X-Firm"), Timeout: time.Duration(timeoutMS) * time.Millisecond,
		ServerID: id, Version: s.cfg.Version, DC: s.cfg.DC, Start: time.Now(),
	})
	return len(s.runs) - 1
}

func (s *Server) recordCompletion(runIndex int, bodyBytes int64, digest string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &s.runs[runIndex]
	run.End = time.Now()
	run.BodyBytes = bodyBytes
	run.BodyDigest = digest
	run.Status = status
	run.Complete = true
	s.completed++
}

// waitServiceTime waits for the service time and returns false when the request was cut short.
func (s *Server) waitServiceTime(b Behaviour, r *http.Request) bool {
	d := s.serviceTime(b)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-s.stopChannel():
		return false
	}
}

func (s *Server) serviceTime(b Behaviour) time.Duration {
	if b.FailFast {
		return 0
	}
	d := float64(b.Latency) + rand.ExpFloat64()*float64(b.Jitter)
	if b.SlowdownFactor > 0 {
		d *= b.SlowdownFactor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.completed < s.behaviour.WarmupAnswers && s.running > max(1, s.behaviour.ColdSlots) {
		s.completed = 0
		d *= collapseSlowdown
	}
	return time.Duration(d)
}
