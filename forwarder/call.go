package forwarder

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	defaultTimeout         = 10 * time.Second
	defaultProgressTimeout = 10 * time.Second
	// firstStateTimeout is how long a request waits for the first state of an entry that has just started.
	firstStateTimeout = 600 * time.Millisecond
	// defaultRetryAfter is sent in Retry-After when no better time is known.
	defaultRetryAfter = time.Second
	// maxTimeout caps X-Timeout-Ms so that adding it to the current time cannot overflow.
	maxTimeout = 24 * time.Hour
)

// statusError is an error response to a request that fails again unless the caller changes it.
type statusError struct {
	status int
	reason string
}

func (e *statusError) Error() string { return fmt.Sprintf("%d: %s", e.status, e.reason) }

// call handles one request of a caller.
type call struct {
	f         *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	rc        *http.ResponseController
	startedAt time.Time
	// ctx ends with the context of the request, and when the call is interrupted because the process ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// wait is one of the states declared in shutdown.go. A request is not refused because of the end of the process while it is
	// waitOver, and not sent to a server once the call is interrupted.
	wait atomic.Int32
	// target is written to servers.
	target *url.URL

	index        *index
	svc          *sycamorevane.Service
	serviceState *serviceState
	route        sycamorevane.Route
	// rule is nil when the service was selected by its own hosts and prefixes.
	rule *sycamorevane.Rule
	// ruleState is the state kept for the rule; nil without a rule.
	ruleState *ruleState
	workspace string
	// credential is the digest of the API key that selected the workspace; empty when none did.
	credential string
	// priority is the rank of the request; 0 is the most urgent.
	priority int
	key      string
	// atMostOnce is set when the request must not run twice: it has an idempotency key or its route is not idempotent.
	atMostOnce bool
	// streamingAttempt is the attempt whose response is being forwarded.
	streamingAttempt *attempt
	timeout          time.Duration
	progressTimeout  time.Duration
	// acquiredAt is when the last server was acquired, other than for a hedge.
	acquiredAt time.Time
	// scheduler is the host that has chosen that server; empty when this entry has.
	scheduler string
	// deadline is the earlier of the rule's and the caller's deadline. It is zero without either, since a slow upload may
	// then take longer than the service's timeout.
	deadline time.Time
	// callerDeadline is the deadline set by the caller, even when deadline is earlier; zero when the caller set none.
	callerDeadline time.Time
	header         http.Header
	upload         *upload
	// fingerprint is zero until the request may be sent to a server; see computeFingerprint.
	fingerprint uint64
	// digest identifies the content of a request with an idempotency key.
	digest uint64
	claim  *sycamorevane.Claim
	memory callMemory

	progress progress

	attempts        int
	excludedServers []string
	// uncertain is set as soon as the request may have run. No refusal is sent then; see isFalseRefusal.
	uncertain *sycamorevane.UncertainError
	// retryAfter is the longest Retry-After in the responses that stated that the request has not run.
	retryAfter time.Duration
	// headerWritten is set when the response header has been written.
	headerWritten bool
}

// recoverPanic confines a panic to the request that caused it.
func (c *call) recoverPanic() {
	p := recover()
	if p != nil && c.streamingAttempt != nil {
		c.streamingAttempt.finish(sycamorevane.OutcomeCancelled, false)
	}
	if p != nil && c.claim != nil {
		c.uncertain = &sycamorevane.UncertainError{Reason: "internal error"}
		c.closeClaim(nil)
	}
	if c.upload != nil {
		c.upload.abort()
	}
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	c.f.metrics.panics.Inc(1)
	c.f.cfg.Log.Error(errors.Errorf("%v", p), "request handling panicked", "stack", string(debug.Stack()))
	if c.headerWritten {
		panic(http.ErrAbortHandler)
	}
	c.uncertain = &sycamorevane.UncertainError{Reason: "internal error"}
	c.writeError(c.uncertain)
}

// prepare validates the request and resolves its service, workspace and deadline.
func (c *call) prepare() error {
	_ = c.rc.SetWriteDeadline(time.Time{})
	c.awaitFirstState()
	if !c.f.cfg.Accepting() {
		return c.newRefusedError("entry is not accepting requests", defaultRetryAfter)
	}
	c.index = c.f.current()
	if c.index == nil {
		return c.newRefusedError("entry has no configuration yet", defaultRetryAfter)
	}
	if err := c.validate(); err != nil {
		return err
	}
	if err := c.resolve(); err != nil {
		return err
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	return c.checkShutdown()
}

// awaitFirstState waits for the first state while the caller stays connected.
func (c *call) awaitFirstState() {
	if c.f.cfg.FirstState == nil || c.f.cfg.State() != nil {
		return
	}
	t := time.NewTimer(firstStateTimeout)
	defer t.Stop()
	select {
	case <-c.f.cfg.FirstState:
	case <-c.ctx.Done():
	case <-t.C:
	}
}

// validate rejects requests that the entry and a server could parse differently, and requests above the size limits.
func (c *call) validate() error {
	r := c.r
	limit := c.index.state.Config.Limits.MaxHeaderBytes
	switch {
	case !r.ProtoAtLeast(1, 1):
		// In HTTP/1.0 a response of unknown length ends when the connection closes, so a truncated one would look complete.
		return &statusError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	case r.Method == http.MethodConnect:
		return &statusError{http.StatusMethodNotAllowed, "method CONNECT is not served"}
	case r.RequestURI == "*" || !strings.HasPrefix(r.URL.Path, "/"):
		return &statusError{http.StatusBadRequest, "path must begin with /"}
	case len(r.TransferEncoding) > 1 || (len(r.TransferEncoding) == 1 && r.TransferEncoding[0] != "chunked"):
		return &statusError{http.StatusNotImplemented, "transfer encoding is not supported"}
	case len(r.TransferEncoding) > 0 && r.Header["Content-Length"] != nil:
		return &statusError{http.StatusBadRequest, "both Content-Length and Transfer-Encoding are set"}
	case limit > 0 && len(r.RequestURI) > limit:
		return &statusError{http.StatusRequestURITooLong, fmt.Sprintf("URL is above %d bytes", limit)}
	case limit > 0 && headerSize(r.Header) > limit:
		return &statusError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("header is above %d bytes", limit)}
	case c.hasRepeatedHeader():
		return &statusError{http.StatusBadRequest, "a header that may occur once is repeated"}
	}
	var err error
	c.target, err = requestTarget(r)
	return err
}

// hasRepeatedHeader reports whether a header that must have a single value occurs more than once.
func (c *call) hasRepeatedHeader() bool {
	for _, name := range []string{c.f.dialect.IdempotencyKey, c.f.dialect.Timeout, c.f.dialect.callerWorkspace()} {
		if name != "" && len(c.r.Header[name]) > 1 {
			return true
		}
	}
	return false
}

// requestID returns the ID for a response that no server has sent.
func (c *call) requestID() string {
	if id := c.r.Header.Get(c.f.dialect.RequestID); c.f.dialect.KeepRequestID && id != "" {
		return id
	}
	return c.f.requestID()
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// resolve selects the service, the route and the workspace of the request.
func (c *call) resolve() error {
	if c.rule = c.index.findRule(c.r.Host, c.r.URL.EscapedPath()); c.rule != nil {
		c.priority = c.rule.Priority
	}
	// Requests without a valid key must not use up turns of the weighted destinations.
	if err := c.authenticate(); err != nil {
		return err
	}
	c.selectService()
	if c.svc == nil {
		return &statusError{http.StatusNotFound, "no service has this host or path"}
	}
	c.serviceState = c.f.serviceState(c.svc.Name)
	c.serviceState.tailLatency.setTailRatio(c.svc.HedgeRatio)
	byCredential := false
	if !c.index.requiresKeys(&c.f.dialect) {
		workspace, authenticated, ok := c.index.workspace(c.r.Header, c.f.dialect.callerWorkspace())
		if !ok {
			return &statusError{http.StatusForbidden, "firm is unknown or needs its credential"}
		}
		c.workspace, byCredential = workspace, authenticated
	}
	if c.f.dialect.IdempotencyKey != "" {
		c.key = c.r.Header.Get(c.f.dialect.IdempotencyKey)
	}
	c.atMostOnce = c.key != "" || !c.route.Idempotent
	c.header = c.f.serverHeader(c.index, c.r.Header, c.workspace, c.key, byCredential)
	if c.svc.MaxBodyBytes > 0 && c.r.ContentLength > c.svc.MaxBodyBytes {
		return &statusError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body is above %d bytes", c.svc.MaxBodyBytes)}
	}
	return nil
}

// selectService selects the service by the rules, else by the hosts and prefixes of the services themselves.
func (c *call) selectService() {
	if c.rule != nil {
		c.ruleState = c.index.ruleStates[c.rule]
		c.svc = c.index.servicesByName[c.ruleState.roundRobin.next(c.rule.Destinations)]
		c.route = sycamorevane.Route{Name: c.rule.Name, Prefix: c.rule.Prefix, Idempotent: c.rule.Idempotent}
		return
	}
	if c.svc = c.index.findService(c.r.Host, c.r.URL.Path); c.svc != nil {
		c.route = c.svc.Route(c.r.Method, c.r.URL.Path)
	}
}

func (c *call) setDeadline() error {
	c.timeout, c.progressTimeout = c.svc.Timeout, c.svc.ProgressTimeout
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.progressTimeout <= 0 {
		c.progressTimeout = defaultProgressTimeout
	}
	if c.rule != nil {
		c.timeout = c.rule.Timeout
		c.deadline = c.startedAt.Add(c.timeout)
	}
	value := c.r.Header.Get(c.f.dialect.Timeout)
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return &statusError{http.StatusBadRequest, c.f.dialect.Timeout + " is not a number of milliseconds"}
	}
	if ms <= 0 {
		return c.newRefusedError("deadline has passed", defaultRetryAfter)
	}
	callerDeadline := c.startedAt.Add(min(maxTimeout, time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond))
	c.callerDeadline = callerDeadline
	if c.deadline.IsZero() || callerDeadline.Before(c.deadline) {
		c.deadline = callerDeadline
	}
	return nil
}

func (c *call) newRefusedError(reason string, retryAfter time.Duration) *sycamorevane.RefusedError {
	e := &sycamorevane.RefusedError{Workspace: c.workspace, Reason: reason, RetryAfter: retryAfter}
	if c.svc != nil {
		e.Service = c.svc.Name
	}
	return e
}

// serve reads the prefix of the body, claims the idempotency key, makes the attempts and writes the response.
func (c *call) serve() {
	if err := c.readPrefix(); err != nil {
		c.writeError(err)
		return
	}
	if c.key != "" {
		done, err := c.claimKey()
		if err != nil {
			c.writeError(err)
			return
		}
		if done {
			return
		}
	}
	res, err := c.runAttempts(c.ctx)
	if err != nil {
		c.closeClaim(nil)
		c.writeError(err)
		return
	}
	c.deliver(res)
}

func (c *call) readPrefix() error {
	if !c.hasBody() {
		c.identify(nil)
		return nil
	}
	_ = c.rc.EnableFullDuplex()
	limit := c.svc.MaxBodyBytes
	if limit <= 0 {
		limit = math.MaxInt64
	}
	c.upload = newUpload(c.ctx, c.r, c.rc, limit, c.progressTimeout, c.f.pacer)
	c.memory.takeUpload(int64(c.upload.maxBytes))
	c.progress.enter(stageBody)
	endInterrupt := c.stopReadingOnInterrupt()
	c.upload.readPrefix(c.key != "")
	endInterrupt()
	if err := c.upload.sourceErr(); err != nil {
		return c.uploadError(err)
	}
	c.identify(c.upload.prefix())
	return nil
}

// identify computes the fingerprint and, for a request with an idempotency key, the digest.
func (c *call) identify(prefix []byte) {
	c.fingerprint = c.computeFingerprint(prefix)
	if c.key != "" {
		c.digest = hashRequest(prefix, c.svc.Name, c.r.Method, c.r.URL.RequestURI())
	}
}

// uploadError returns the error response for a request body that could not be read.
func (c *call) uploadError(err error) error {
	switch {
	case c.upload.tooLarge.Load():
		return &statusError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body is above %d bytes", c.svc.MaxBodyBytes)}
	case isTimeout(err):
		return &statusError{http.StatusRequestTimeout, "body made no progress"}
	}
	return &statusError{http.StatusBadRequest, "body ended early"}
}

// computeFingerprint identifies all copies of a request, whichever entry, service or server handles them. It leaves out
// what differs between copies: request IDs, deadlines and keys. The prefix of a body of unknown length counts only if it
// is complete when the request is sent: otherwise it would depend on the timing.
func (c *call) computeFingerprint(prefix []byte) uint64 {
	host := c.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	length := strconv.FormatInt(c.r.ContentLength, 10)
	return hashRequest(prefix, strings.ToLower(host), c.workspace, c.r.Method, c.r.URL.RequestURI(), length)
}

// hashRequest returns a hash of the fields and the prefix of the body. It is never zero.
func hashRequest(prefix []byte, fields ...string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, field := range fields {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(prefix)
	if sum := h.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// claimKey claims the idempotency key. It returns true when a response has been written.
func (c *call) claimKey() (bool, error) {
	if c.f.cfg.Dedup == nil {
		return false, c.newRefusedError("idempotency keys are not served", defaultRetryAfter)
	}
	c.progress.enter(stageClaim)
	claim := sycamorevane.Claim{
		Workspace: c.workspace, Service: c.svc.Name, Key: c.key, Digest: c.digest, Token: rand.Uint64() | 1,
	}
	res, err := c.f.cfg.Dedup.Claim(c.ctx, claim)
	if err != nil {
		return false, err
	}
	switch res.State {
	case sycamorevane.ClaimFresh:
		c.claim = &claim
		return false, nil
	case sycamorevane.ClaimAnswered:
		c.replay(res.Response)
		return true, nil
	case sycamorevane.ClaimMismatch:
		return false, &statusError{http.StatusUnprocessableEntity, c.f.dialect.IdempotencyKey + " was used with another request"}
	case sycamorevane.ClaimRunning:
		c.writeStillRunning()
		return true, nil
	case sycamorevane.ClaimUncertain:
	}
	c.uncertain = &sycamorevane.UncertainError{Reason: "an earlier request with this key may have run"}
	return false, c.uncertain
}

// closeClaim ends the claim after the attempts: with the response, as certainly not run, or as uncertain.
func (c *call) closeClaim(resp *sycamorevane.RecordedResponse) {
	if c.claim == nil {
		return
	}
	claim := *c.claim
	c.claim = nil
	// The claim must be closed even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), c.claimTimeout())
	defer cancel()
	var err error
	if resp == nil && c.uncertain == nil {
		err = c.f.cfg.Dedup.Abandon(ctx, claim)
	} else {
		err = c.f.cfg.Dedup.Finish(ctx, claim, resp)
	}
	if err != nil {
		c.f.cfg.Log.Info("cannot close the claim of an idempotency key", "service", claim.Service, "firm", claim.Workspace, "reason", err.Error())
	}
}

// closeClaimTimeout limits the exchange with the claim holders after a request has ended.
const closeClaimTimeout = time.Second

// claimTimeout is closeClaimTimeout, or less if the response would not be written before the end of the process.
func (c *call) claimTimeout() time.Duration {
	end := c.f.stopEnd.Load()
	if end == nil {
		return closeClaimTimeout
	}
	return min(closeClaimTimeout, max(0, time.Until(*end)-answerMargin/2))
}
