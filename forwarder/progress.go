package forwarder

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"sycamorevane.example/sycamorevane"
)

// stage is what a call waits for or does.
type stage int32

const (
	// stageState is the wait for the first state. The service and the deadline of the call are known after it.
	stageState stage = iota
	stageBody
	stageClaim
	stagePermit
	stageServer
	// stageConnection is the wait for a connection to the server that has been acquired.
	stageConnection
	stageRunning
	stageResponse
	stageCount
)

var stageNames = [stageCount]string{
	stageState: "waits for the configuration", stageBody: "body is read", stageClaim: "waits for its key",
	stagePermit: "waits for a permit", stageServer: "waits for a server", stageConnection: "waits for a connection",
	stageRunning: "runs on a server", stageResponse: "response is sent",
}

var stageTags = [stageCount]string{
	stageState: "state", stageBody: "body", stageClaim: "claim", stagePermit: "permit", stageServer: "server",
	stageConnection: "connection", stageRunning: "running", stageResponse: "response",
}

// progress tells other goroutines how far a call is.
type progress struct {
	// current is a stage. The fields of the call that are set in prepare may be read by other goroutines once it is after
	// stageState.
	current atomic.Int32
	// server is the server of the last attempt other than a hedge; nil before the first.
	server atomic.Pointer[sycamorevane.Server]
}

func (p *progress) enter(s stage) { p.current.Store(int32(s)) }

func (p *progress) stage() stage { return stage(p.current.Load()) }

// callSet holds the calls in progress.
type callSet struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (s *callSet) add(c *call) {
	s.mu.Lock()
	s.calls[c] = struct{}{}
	s.mu.Unlock()
}

func (s *callSet) remove(c *call) {
	s.mu.Lock()
	delete(s.calls, c)
	s.mu.Unlock()
}

func (s *callSet) list() []*call {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*call, 0, len(s.calls))
	for c := range s.calls {
		list = append(list, c)
	}
	return list
}

// maxUnansweredLines limits the calls that LogUnanswered logs one by one.
const maxUnansweredLines = 200

func newUnansweredCounters(m tally.Scope) [stageCount]tally.Counter {
	var counters [stageCount]tally.Counter
	for s, tag := range stageTags {
		counters[s] = m.Tagged(map[string]string{"stage": tag}).Counter("unanswered")
	}
	return counters
}

// LogUnanswered logs and counts the calls without a complete response. It is called before their connections are closed.
func (f *Forwarder) LogUnanswered() {
	now := time.Now()
	calls := f.calls.list()
	counts := make(map[string]int)
	for i, c := range calls {
		s := c.progress.stage()
		counts[stageTags[s]]++
		f.metrics.unanswered[s].Inc(1)
		if i < maxUnansweredLines {
			f.cfg.Log.Info("request has no complete response", c.describeProgress(now, s)...)
		}
	}
	if len(calls) > 0 {
		f.cfg.Log.Info("requests without a complete response", "requests", len(calls), "stages", counts,
			"skipped", max(0, len(calls)-maxUnansweredLines))
	}
}

func (c *call) describeProgress(now time.Time, s stage) []any {
	pairs := []any{
		"request", c.r.Header.Get(c.f.dialect.RequestID), "stage", stageNames[s], "ms", now.Sub(c.startedAt).Milliseconds(),
		"unread", c.bodyUnread(),
	}
	if s == stageState || c.svc == nil {
		return pairs
	}
	pairs = append(pairs, "service", c.svc.Name, "route", c.route.Name, "left", c.attemptDeadline(now).Sub(now).Milliseconds())
	if c.upload != nil {
		pairs = append(pairs, "length", c.upload.length, "read", c.upload.bytesRead.Load())
	}
	if server := c.progress.server.Load(); server != nil {
		pairs = append(pairs, "server", server.ID)
	}
	return pairs
}

// hasBody reports whether the request has a body.
func (c *call) hasBody() bool {
	return c.r.Body != nil && c.r.Body != http.NoBody && c.r.ContentLength != 0
}

// bodyUnread reports whether a part of the request has not been read.
func (c *call) bodyUnread() bool {
	if c.progress.stage() == stageState || c.upload == nil {
		return c.hasBody()
	}
	return !c.upload.readToEnd.Load()
}
