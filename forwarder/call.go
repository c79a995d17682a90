package forwarder

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	defaultTimeout  = 10 * time.Second
	defaultProgress = 10 * time.Second
	// firstWait is how long a request waits for the first configuration of an entry that has just started.
	firstWait = 600 * time.Millisecond
	// retryAfter is named in refusals that know no better time.
	retryAfter = time.Second
	// maxTimeout bounds X-Timeout-Ms, so that its sum with the present time cannot overflow.
	maxTimeout = 24 * time.Hour
)

// statusError is an answer to a request that the caller has to change.
type statusError struct {
	status int
	reason string
}

func (e *statusError) Error() string { return fmt.Sprintf("%d: %s", e.status, e.reason) }

// call is one request of a caller.
type call struct {
	f     *Forwarder
	w     http.ResponseWriter
	r     *http.Request
	rc    *http.ResponseController
	began time.Time

	index *index
	svc   *sycamorevane.Service
	kept  *service
	route sycamorevane.Route
	// rule is nil where the service was selected by its own hosts and prefixes.
	rule *sycamorevane.Rule
	// ruleState is what is kept for the rule; nil without one.
	ruleState *ruleState
	workspace string
	key       string
	// once is set when the request must not run twice: it has a key or its route is not idempotent.
	once bool
	// open is the attempt whose answer is being passed on.
	open     *attempt
	timeout  time.Duration
	progress time.Duration
	// placed is when the last server was chosen.
	placed time.Time
	// waited is how long the caller has been waiting since its first attempt, as far as known.
	waited time.Duration
	// deadline is the time the caller named; zero when it named none, since a slow upload may then take longer
	// than the service's timeout.
	deadline time.Time
	// patience is the time that the caller named, also where the deadline is sooner; zero when it named none.
	patience time.Time
	header   http.Header
	body     *upload
	// fingerprint is zero until the prefix of the body is settled.
	fingerprint uint64
	claim       *sycamorevane.Claim

	attempts        int
	excludedServers []string
	uncertain       *sycamorevane.UncertainError
	// after is the latest time to come back that a server named.
	after time.Duration
	// wrote is set when the header of the answer was written.
	wrote bool
}

// contain keeps a panic within the request that caused it.
func (c *call) contain() {
	p := recover()
	if p != nil && c.open != nil {
		c.open.finish(sycamorevane.OutcomeCancelled, false)
	}
	if p != nil && c.claim != nil {
		c.uncertain = &sycamorevane.UncertainError{Reason: "internal error"}
		c.settleClaim(nil)
	}
	if c.body != nil {
		c.body.abort()
	}
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	c.f.counts.panics.Inc(1)
	c.f.cfg.Log.Error(errors.Errorf("%v", p), "request failed by a panic", "stack", string(debug.Stack()))
	if c.wrote {
		panic(http.ErrAbortHandler)
	}
	c.uncertain = &sycamorevane.UncertainError{Reason: "internal error"}
	c.refuse(c.uncertain)
}

// prepare checks the request and finds out what it asks for.
func (c *call) prepare() error {
	_ = c.rc.SetWriteDeadline(time.Time{})
	c.awaitFirst()
	if !c.f.cfg.Accepting() {
		return c.refused("entry is not accepting requests", retryAfter)
	}
	c.index = c.f.current()
	if c.index == nil {
		return c.refused("entry has no configuration yet", retryAfter)
	}
	if err := c.checkForm(); err != nil {
		return err
	}
	if err := c.find(); err != nil {
		return err
	}
	return c.setDeadline()
}

// awaitFirst waits for the first state, as long as the caller is there.
func (c *call) awaitFirst() {
	if c.f.cfg.First == nil || c.f.cfg.State() != nil {
		return
	}
	t := time.NewTimer(firstWait)
	defer t.Stop()
	select {
	case <-c.f.cfg.First:
	case <-c.r.Context().Done():
	case <-t.C:
	}
}

// checkForm refuses requests that two parties could read differently, and those above the limits.
func (c *call) checkForm() error {
	r := c.r
	limit := c.index.state.Config.Limits.MaxHeaderBytes
	switch {
	case !r.ProtoAtLeast(1, 1):
		// HTTP/1.0 ends answers of unknown length by closing, so that a truncated one would look complete.
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
	case c.repeats():
		return &statusError{http.StatusBadRequest, "a header that may occur once is repeated"}
	}
	return nil
}

// repeats reports whether a header that names one thing is given more than once.
func (c *call) repeats() bool {
	for _, name := range []string{c.f.d.Key, c.f.d.Timeout, c.f.d.Workspace} {
		if name != "" && len(c.r.Header[name]) > 1 {
			return true
		}
	}
	return false
}

// requestID is the id in an answer of the system's own.
func (c *call) requestID() string {
	if id := c.r.Header.Get(c.f.d.RequestID); c.f.d.KeepID && id != "" {
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

func (c *call) find() error {
	c.selectService()
	if c.svc == nil {
		return &statusError{http.StatusNotFound, "no service has this host or path"}
	}
	c.kept = c.f.service(c.svc.Name)
	c.kept.delay.setHedged(c.svc.HedgeRatio)
	workspace, credential, ok := c.index.workspace(c.r.Header, c.f.d.Workspace)
	if !ok {
		return &statusError{http.StatusForbidden, "firm is unknown or needs its credential"}
	}
	c.workspace = workspace
	if c.f.d.Key != "" {
		c.key = c.r.Header.Get(c.f.d.Key)
	}
	c.once = c.key != "" || !c.route.Idempotent
	c.header = c.f.outbound(c.r.Header, workspace, c.key, credential)
	if c.svc.MaxBodyBytes > 0 && c.r.ContentLength > c.svc.MaxBodyBytes {
		return &statusError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body is above %d bytes", c.svc.MaxBodyBytes)}
	}
	return nil
}

// selectService finds the service by the rules, and without rules by the services' own hosts and prefixes.
func (c *call) selectService() {
	path := c.r.URL.EscapedPath()
	if c.rule = c.index.rule(c.r.Host, path); c.rule != nil {
		c.ruleState = c.index.ruleStates[c.rule]
		c.svc = c.index.services[c.ruleState.split.next(c.rule.Destinations)]
		c.route = sycamorevane.Route{Name: c.rule.Name, Prefix: c.rule.Prefix, Idempotent: c.rule.Idempotent}
		return
	}
	if c.svc = c.index.find(c.r.Host, c.r.URL.Path); c.svc != nil {
		c.route = c.svc.Route(c.r.Method, c.r.URL.Path)
	}
}

// softDeadline is the time by which the answer has its full worth; zero when there is none.
func (c *call) softDeadline() time.Time {
	if c.rule == nil || c.rule.SoftTimeout <= 0 {
		return time.Time{}
	}
	return c.began.Add(c.rule.SoftTimeout - c.waited)
}

func (c *call) setDeadline() error {
	c.timeout, c.progress = c.svc.Timeout, c.svc.ProgressTimeout
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.progress <= 0 {
		c.progress = defaultProgress
	}
	if c.rule != nil {
		c.timeout = c.rule.Timeout
		c.deadline = c.began.Add(c.timeout)
	}
	value := c.r.Header.Get(c.f.d.Timeout)
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return &statusError{http.StatusBadRequest, c.f.d.Timeout + " is not a number of milliseconds"}
	}
	if ms <= 0 {
		return c.refused("deadline has passed", retryAfter)
	}
	if c.rule != nil {
		c.waited = c.ruleState.allowance.elapsed(time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond)
	}
	wanted := c.began.Add(min(maxTimeout, time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond))
	c.patience = wanted
	if c.deadline.IsZero() || wanted.Before(c.deadline) {
		c.deadline = wanted
	}
	return nil
}

func (c *call) refused(reason string, after time.Duration) *sycamorevane.RefusedError {
	e := &sycamorevane.RefusedError{Workspace: c.workspace, Reason: reason, RetryAfter: after}
	if c.svc != nil {
		e.Service = c.svc.Name
	}
	return e
}

// serve reads the beginning of the body, claims the key, runs the attempts and answers.
func (c *call) serve() {
	if err := c.readPrefix(); err != nil {
		c.refuse(err)
		return
	}
	if c.key != "" {
		done, err := c.claimKey()
		if err != nil {
			c.refuse(err)
			return
		}
		if done {
			return
		}
	}
	res, err := c.run(c.r.Context())
	if err != nil {
		c.settleClaim(nil)
		c.refuse(err)
		return
	}
	c.deliver(res)
}

func (c *call) readPrefix() error {
	if c.r.Body == nil || c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		c.fingerprint = c.digest(nil)
		return nil
	}
	_ = c.rc.EnableFullDuplex()
	limit := c.svc.MaxBodyBytes
	if limit <= 0 {
		limit = math.MaxInt64
	}
	c.body = newUpload(c.r, c.rc, limit, c.progress)
	c.body.start(c.key != "")
	if err := c.body.failed(); err != nil {
		return c.uploadError(err)
	}
	if prefix := c.body.prefix(); prefix != nil {
		c.fingerprint = c.digest(prefix)
	}
	return nil
}

// uploadError explains why the caller's body could not be read.
func (c *call) uploadError(err error) error {
	switch {
	case c.body.over.Load():
		return &statusError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body is above %d bytes", c.svc.MaxBodyBytes)}
	case isTimeout(err):
		return &statusError{http.StatusRequestTimeout, "body made no progress"}
	}
	return &statusError{http.StatusBadRequest, "body ended early"}
}

// digest identifies the request for claims and quarantine: service, method, path with query and body prefix.
func (c *call) digest(prefix []byte) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range []string{c.svc.Name, c.r.Method, c.r.URL.RequestURI()} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(prefix)
	if sum := h.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// claimKey claims the idempotency key. It returns true when an answer was given.
func (c *call) claimKey() (bool, error) {
	if c.f.cfg.Dedup == nil {
		return false, c.refused("idempotency keys are not served", retryAfter)
	}
	claim := sycamorevane.Claim{
		Workspace: c.workspace, Service: c.svc.Name, Key: c.key, Digest: c.fingerprint, Token: rand.Uint64() | 1,
	}
	res, err := c.f.cfg.Dedup.Claim(c.r.Context(), claim)
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
		return false, &statusError{http.StatusUnprocessableEntity, c.f.d.Key + " was used with another request"}
	case sycamorevane.ClaimRunning:
		c.answerRunning()
		return true, nil
	case sycamorevane.ClaimUncertain:
	}
	c.uncertain = &sycamorevane.UncertainError{Reason: "an earlier request with this key may have run"}
	return false, c.uncertain
}

// settleClaim ends the claim after the attempts: with the answer, as proven not run, or as uncertain.
func (c *call) settleClaim(a *sycamorevane.RecordedResponse) {
	if c.claim == nil {
		return
	}
	claim := *c.claim
	c.claim = nil
	// The claim must be settled also when the caller has left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), settleTimeout)
	defer cancel()
	var err error
	if a == nil && c.uncertain == nil {
		err = c.f.cfg.Dedup.Abandon(ctx, claim)
	} else {
		err = c.f.cfg.Dedup.Finish(ctx, claim, a)
	}
	if err != nil {
		c.f.cfg.Log.Info("claim not settled", "service", claim.Service, "firm", claim.Workspace, "reason", err.Error())
	}
}

// settleTimeout bounds the exchange with claim holders after a request has ended.
const settleTimeout = time.Second
