package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	copyBuffer = 32 << 10
	// recordSize is the largest answer that is recorded with a claim.
	recordSize = 64 << 10
)

// refuse answers without an answer of a server. The refusal says whether the request may have run.
func (c *call) refuse(err error) {
	var status *statusError
	var refused *sycamorevane.RefusedError
	var uncertain *sycamorevane.UncertainError
	var late *timeoutError
	if errors.Is(err, errCallerGone) && c.body != nil && c.body.stalled() {
		err = c.uploadFailed()
	}
	switch {
	case errors.As(err, &status):
		c.write(status.status, c.uncertain == nil, 0, status.reason)
	case errors.Is(err, errCallerGone), c.r.Context().Err() != nil:
		panic(http.ErrAbortHandler)
	case errors.As(err, &refused) && refused.WorkspaceLimit:
		c.write(http.StatusTooManyRequests, true, refused.RetryAfter, refused.Reason)
	case errors.As(err, &refused):
		c.write(http.StatusServiceUnavailable, true, refused.RetryAfter, refused.Reason)
	case errors.Is(err, context.DeadlineExceeded):
		c.write(http.StatusServiceUnavailable, c.uncertain == nil, retryAfter, "deadline has passed")
	case errors.As(err, &late):
		c.write(http.StatusGatewayTimeout, false, retryAfter, late.Reason)
	case errors.As(err, &uncertain):
		c.write(http.StatusBadGateway, false, retryAfter, uncertain.Reason)
	default:
		c.f.cfg.Log.Error(err, "request refused by an unexpected error")
		c.write(http.StatusServiceUnavailable, c.uncertain == nil, retryAfter, "internal error")
	}
}

func (c *call) write(status int, notRun bool, after time.Duration, reason string) {
	c.explainRefusal(status, notRun, after, reason)
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if c.f.d.Marks {
		h.Set(c.f.d.NotRun, strconv.FormatBool(notRun))
		h.Set(headerAttempts, strconv.Itoa(c.attempts))
	}
	h.Set(c.f.d.RequestID, c.requestID())
	if mayRetry(status) {
		h.Set(headerRetry, c.f.d.retryAfter(after))
	}
	if notRun {
		c.f.counts.refused.Inc(1)
	} else {
		c.f.counts.uncertain.Inc(1)
	}
	body, _ := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	c.writeWhole(status, body)
}

// explainRefusal logs why a request got no answer of a server.
func (c *call) explainRefusal(status int, notRun bool, after time.Duration, reason string) {
	server := ""
	if c.uncertain != nil {
		server = c.uncertain.Server
	}
	service := ""
	if c.svc != nil {
		service = c.svc.Name
	}
	now := time.Now()
	c.f.sampler.Info(now, "request failed", "request", c.r.Header.Get(c.f.d.RequestID), "status", status, "notrun", notRun,
		"reason", reason, "service", service, "route", c.route.Name, "attempts", c.attempts, "tried", c.excludedServers, "server", server,
		"ms", now.Sub(c.began).Milliseconds(), "left", c.deadline.Sub(now).Milliseconds(), "after", after.Milliseconds(),
		"version", c.version())
}

// explainLate logs what an answer that comes after its aim has waited for.
func (c *call) explainLate(res *result) {
	now, aim := time.Now(), c.softDeadline()
	if aim.IsZero() || !now.After(aim) {
		return
	}
	pairs := []any{
		"request", c.r.Header.Get(c.f.d.RequestID), "service", c.svc.Name, "route", c.route.Name, "status", res.resp.StatusCode,
		"server", res.server.ID, "dc", res.server.DC, "attempts", c.attempts, "tried", c.excludedServers, "ms", now.Sub(c.began).Milliseconds(),
		"placedms", c.placed.Sub(c.began).Milliseconds(), "serverms", res.latency.Milliseconds(),
		"heldms", res.held.Milliseconds(), "waitedms", c.waited.Milliseconds(), "aimms", c.rule.SoftTimeout.Milliseconds(), "version", c.version(),
	}
	if res.load != nil {
		pairs = append(pairs, "running", res.load.Running, "waiting", res.load.Waiting, "slots", res.load.Slots, "pace", res.load.Slowdown)
	}
	c.f.sampler.Info(now, "request late", pairs...)
}

// version is the state version that decided the request; 0 before the first.
func (c *call) version() uint64 {
	if c.index == nil {
		return 0
	}
	return c.index.state.Version
}

// mayRetry reports whether the same request may be answered better later.
func mayRetry(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests ||
		status == http.StatusConflict || status == http.StatusRequestTimeout
}

// writeWhole sends an answer that is in memory.
func (c *call) writeWhole(status int, body []byte) {
	h := c.w.Header()
	if !bodyless(c.r.Method, status) {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if c.body != nil && !c.body.ended.Load() {
		h.Set("Connection", "close") // What is left of the request body is not read.
	}
	_ = c.rc.SetWriteDeadline(time.Now().Add(max(c.progress, time.Second)))
	c.wrote = true
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
}

// answerRunning does not say "not run", since the request with this key may well be running.
func (c *call) answerRunning() {
	c.write(http.StatusConflict, false, retryAfter, "a request with this key is still running")
}

// replay gives the recorded answer of an earlier request with the same key.
func (c *call) replay(a *sycamorevane.RecordedResponse) {
	if a == nil || a.BodyOmitted {
		c.write(http.StatusBadGateway, false, 0, "request has run; its answer was too large to be recorded")
		return
	}
	h := c.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	c.writeWhole(a.Status, a.Body)
}

// setHeader copies the end-to-end headers of an answer and adds the system's own.
func (c *call) setHeader(res *result) {
	h := c.w.Header()
	in := res.resp.Header
	strip(in, in["Connection"])
	for _, name := range c.f.internal {
		delete(in, name)
	}
	for name, values := range in {
		h[name] = values
	}
	h[c.f.d.RequestID] = []string{res.id}
	if !c.f.d.Marks {
		return
	}
	h[headerServer] = []string{res.server.ID}
	h[headerVersion] = []string{res.server.Version}
	h[headerAttempts] = []string{strconv.Itoa(c.attempts)}
}

// deliver passes the answer of a server on.
func (c *call) deliver(res *result) {
	c.setHeader(res)
	c.explainLate(res)
	if res.stream != nil {
		c.stream(res)
		return
	}
	if c.claim != nil {
		c.settleClaim(c.record(res))
	}
	if c.r.Method == http.MethodHead && res.resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
	}
	c.writeWhole(res.resp.StatusCode, res.body)
}

func (c *call) record(res *result) *sycamorevane.RecordedResponse {
	a := &sycamorevane.RecordedResponse{Status: res.resp.StatusCode, Header: c.w.Header().Clone(), Body: res.body}
	if len(a.Body) > recordSize {
		a.Body, a.BodyOmitted = nil, true
	}
	return a
}

// stream passes a long answer on while it arrives. A broken one cuts the caller's connection, so that the
// caller cannot take it for complete.
func (c *call) stream(res *result) {
	if res.resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
	}
	record := c.record(res)
	c.wrote = true
	c.open = res.open
	kind := c.copy(res, record)
	res.open.finish(kind, kind == res.kind && !res.resp.Close)
	if kind == res.kind {
		c.settleClaim(record)
		return
	}
	c.uncertain = &sycamorevane.UncertainError{Server: res.server.ID, Reason: "answer broke off"}
	c.settleClaim(nil)
	c.f.counts.truncated.Inc(1)
	panic(http.ErrAbortHandler)
}

// copy returns the kind of the answer, or how its transfer ended early.
func (c *call) copy(res *result, record *sycamorevane.RecordedResponse) sycamorevane.OutcomeKind {
	_ = c.rc.SetWriteDeadline(time.Now().Add(c.progress))
	c.w.WriteHeader(res.resp.StatusCode)
	_ = c.rc.Flush()
	buf := make([]byte, copyBuffer)
	for {
		n, err := res.stream.Read(buf)
		if n > 0 {
			c.keep(record, buf[:n])
			_ = c.rc.SetWriteDeadline(time.Now().Add(c.progress))
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return sycamorevane.OutcomeCancelled
			}
			if ferr := c.rc.Flush(); ferr != nil {
				return sycamorevane.OutcomeCancelled
			}
		}
		switch {
		case err == io.EOF:
			return res.kind
		case err == nil:
		case c.r.Context().Err() != nil, res.open.body != nil && res.open.body.failed.Load():
			return sycamorevane.OutcomeCancelled
		case isTimeout(err):
			return sycamorevane.OutcomeTimeout
		default:
			return sycamorevane.OutcomeIncomplete
		}
	}
}

func (c *call) keep(record *sycamorevane.RecordedResponse, p []byte) {
	if c.claim == nil || record.BodyOmitted {
		return
	}
	if len(record.Body)+len(p) > recordSize {
		record.Body, record.BodyOmitted = nil, true
		return
	}
	record.Body = append(record.Body, p...)
}
