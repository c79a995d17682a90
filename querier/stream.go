package querier

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/renderer"
	"sycamorevane.example/sycamorevane/responder"
)

const (
	// MaxStreams is the maximum number of open status streams of one control host.
	MaxStreams = 64
	// pollInterval is the time between two checks for a new view.
	pollInterval = 100 * time.Millisecond
	// ageEventInterval is the time between age events on a stream without a new view. They let a client distinguish a
	// dead connection from a stale view.
	ageEventInterval = time.Second
	// writeTimeout closes streams whose client does not read.
	writeTimeout = 5 * time.Second
)

// receivedView is a view with the time at which it first appeared on this host. encode encodes it once, on the first
// call.
type receivedView struct {
	number     string
	receivedAt time.Time
	encode     func() []byte
}

// age returns the time since the view appeared on this host. It does not depend on the clocks of other hosts.
func (v *receivedView) age(now time.Time) time.Duration { return now.Sub(v.receivedAt) }

// streamer polls the view and sends it to up to MaxStreams streams.
type streamer struct {
	cluster Cluster
	clock   sycamorevane.Clock
	stop    chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	current *receivedView
	// viewChanged is closed and replaced when current changes.
	viewChanged chan struct{}
	openStreams int
}

func newStreamer(cluster Cluster, clock sycamorevane.Clock) *streamer {
	s := &streamer{
		cluster: cluster, clock: clock,
		stop: make(chan struct{}), done: make(chan struct{}), viewChanged: make(chan struct{}),
	}
	s.poll()
	go s.pollLoop()
	return s
}

func (s *streamer) close() {
	close(s.stop)
	<-s.done
}

func (s *streamer) pollLoop() {
	defer close(s.done)
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.poll()
		case <-s.stop:
			return
		}
	}
}

func (s *streamer) poll() {
	v := s.cluster.View()
	if v == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current.number == v.Number {
		return
	}
	s.current = &receivedView{number: v.Number, receivedAt: s.clock.Now(), encode: sync.OnceValue(func() []byte {
		// A view holds only strings, numbers and lists, which can always be encoded.
		data, _ := json.Marshal(v)
		return data
	})}
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
}

// pollLatest polls the view and returns the latest one, or nil before the first one.
func (s *streamer) pollLatest() *receivedView {
	s.poll()
	view, _ := s.latest()
	return view
}

func (s *streamer) latest() (*receivedView, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.viewChanged
}

func (s *streamer) acquireStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openStreams >= MaxStreams {
		return false
	}
	s.openStreams++
	return true
}

func (s *streamer) releaseStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openStreams--
}

// serve writes server-sent events: "view" with each new view, and "age" with the age of the latest view in ms, at least
// once per second.
func (s *streamer) serve(w http.ResponseWriter, r *http.Request) {
	if !s.acquireStream() {
		responder.WriteRetry(w, http.StatusServiceUnavailable, fmt.Sprintf("%d streams are open, which is the limit", MaxStreams))
		return
	}
	defer s.releaseStream()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	ageTicker := time.NewTicker(ageEventInterval)
	defer ageTicker.Stop()
	sentNumber := ""
	for {
		view, viewChanged := s.latest()
		if !s.write(w, view, sentNumber) {
			return
		}
		if view != nil {
			sentNumber = view.number
		}
		select {
		case <-viewChanged:
		case <-ageTicker.C:
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}

func (s *streamer) write(w http.ResponseWriter, view *receivedView, sentNumber string) bool {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	age := int64(-1)
	if view != nil {
		age = view.age(s.clock.Now()).Milliseconds()
	}
	if view != nil && view.number != sentNumber {
		if _, err := fmt.Fprintf(w, "event: view\nid: %s\ndata: %s\n\n", view.number, view.encode()); err != nil {
			return false
		}
	}
	// An age of -1 means that no view has arrived yet.
	stale := age < 0 || age > renderer.StaleAfter.Milliseconds()
	if _, err := fmt.Fprintf(w, "event: age\ndata: {\"age\":%d,\"stale\":%t}\n\n", age, stale); err != nil {
		return false
	}
	return rc.Flush() == nil
}
