package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// maxBufferedBytes is the size of the largest response that is buffered until it is complete.
	maxBufferedBytes = 256 << 10
	// bufferTimeout is how long a response of unknown length is buffered, so that a short one is known to be complete
	// before it is forwarded.
	bufferTimeout = 20 * time.Millisecond
	// responseAfterWriteErrorTimeout is how long a response is awaited after the server has stopped reading the request.
	responseAfterWriteErrorTimeout = 500 * time.Millisecond
	// maxInformational limits the number of 1xx responses before the final one.
	maxInformational = 5
	// minDelayedBodyBytes is the smallest body whose last byte is delayed while the host of the server is slow. A server
	// starts a request when it has the whole body, and the load of the host at that time determines how long the request
	// takes.
	minDelayedBodyBytes = 16 << 10
	// The last byte is delayed only if the server was selected at least maxSelectionAge ago, since the load of a host
	// changes several times a second, and by at most maxBodyDelay.
	maxSelectionAge = 20 * time.Millisecond
	maxBodyDelay    = 400 * time.Millisecond

	bitsPerByte    = 8
	bitsPerMegabit = 1e6
	// At most maxDiscardedBodyBytes are read, for at most discardTimeout, from a response that states that the request has
	// not run, so that its connection can be reused.
	maxDiscardedBodyBytes = 16 << 10
	discardTimeout        = 20 * time.Millisecond
)

var (
	errRequestIDMismatch   = errors.New("answer carries the id of another request")
	errUndelimitedResponse = errors.New("answer has neither length nor chunks, so that its end cannot be checked")
	errEndUnknown          = errors.New("answer ended with its connection, on which the request could not be written")
	errProofMissing        = errors.New("answer does not show that it is the server's own")
	errProtocol            = errors.New("server switched protocols")
	errCallerGone          = errors.New("caller disconnected")
	errServerRunsSuspect   = errors.New("server runs another request that is suspected of crashing servers")
)

// result is the result of one attempt.
type result struct {
	kind   sycamorevane.OutcomeKind
	server sycamorevane.Server
	id     string
	// mayHaveRun is set when the server may have started to run the request.
	mayHaveRun bool
	// uploadFailed is set when reading the caller's body failed.
	uploadFailed bool
	// notAttempted is the reason why no server was contacted; nil when one was.
	notAttempted error
	err          error
	resp         *http.Response
	body         []byte
	// stream is set instead of body when the response is streamed. attempt is then not finished yet; whoever reads the
	// stream must finish it.
	stream     io.Reader
	attempt    *attempt
	retryAfter time.Duration
	// latency is measured from the end of the request to the header of the response.
	latency time.Duration
	// load is the load that the server reported; nil for none.
	load *sycamorevane.LoadReport
	// bodyDelay is how long the last byte of the body was delayed.
	bodyDelay time.Duration
}

// succeeded reports whether the response can be forwarded without trying another server.
func (r *result) succeeded() bool { return r.resp != nil && r.kind == sycamorevane.OutcomeOK }

// attempt is one exchange with a server. Its finish method takes effect once.
type attempt struct {
	c         *call
	ctx       context.Context
	grant     sycamorevane.Grant
	permit    Permit
	id        string
	conn      *serverConn
	req       *http.Request
	body      *bodyReader
	startedAt time.Time
	latency   time.Duration
	// writeDone receives the result of a write on its own goroutine; nil when the request is written synchronously.
	writeDone         chan error
	requestSent       bool
	stopCloseOnCancel func() bool
	// cancel releases the context that was created for this attempt because of hedging; nil without one.
	cancel   context.CancelFunc
	finished bool
	// load is the load that the server reported.
	load *sycamorevane.LoadReport
	// addressReused is set when another server now listens on the address. noReuse is set when the connection must not be
	// used for further requests.
	addressReused bool
	noReuse       bool
	// requestSentAtNs is when writing the request ended, in Unix ns; 0 before. The latency of requests with a body is
	// measured from then.
	requestSentAtNs atomic.Int64
	// sendFailed is set when writing the request failed; it is set before requestSentAtNs.
	sendFailed atomic.Bool
	// bodyDelayNs is how long the last byte of the body was delayed.
	bodyDelayNs atomic.Int64
	// startedRunAt is when the attempt was counted as run; zero before. answered is set when the server has sent a response
	// that does not state that the request has not run.
	startedRunAt time.Time
	answered     bool
}

// bodyReader records whether reading from the caller failed, and can delay the last byte.
type bodyReader struct {
	*prefixBufferReader
	failed atomic.Bool
	// remaining is the number of bytes still to be read. beforeLastByte is called before the last one; may be nil.
	remaining      int64
	beforeLastByte func()
}

func (b *bodyReader) Read(p []byte) (int, error) {
	if b.beforeLastByte != nil && b.remaining > 1 {
		p = p[:min(int64(len(p)), b.remaining-1)]
	}
	n, err := b.prefixBufferReader.Read(p)
	b.remaining -= int64(n)
	if b.beforeLastByte != nil && b.remaining == 0 && n > 0 {
		b.beforeLastByte()
	}
	if err != nil && err != io.EOF && err != errStopped {
		b.failed.Store(true)
	}
	return n, err
}

func (b *bodyReader) Close() error { return nil }

// attemptDeadline returns the time by which the response header must arrive.
func (c *call) attemptDeadline(now time.Time) time.Time {
	if !c.deadline.IsZero() {
		return c.deadline
	}
	if c.upload != nil {
		return now.Add(c.timeout)
	}
	return c.startedAt.Add(c.timeout)
}

// bodyDeadline returns the time by which the response body must arrive: grace after the deadline of the caller or, if
// the caller has set none, of the rule; zero for no limit.
func (c *call) bodyDeadline(grace time.Duration) time.Time {
	if c.deadline.IsZero() {
		return time.Time{}
	}
	if c.callerDeadline.After(c.deadline) {
		return c.callerDeadline.Add(grace)
	}
	return c.deadline.Add(grace)
}

// tryServer makes one attempt. It calls onGrant, unless nil, when a server has been selected. A hedge uses a new
// connection and does not wait for a free slot.
func (c *call) tryServer(ctx context.Context, excludedServers []string, hedge bool, onGrant func(server string)) *result {
	now := time.Now()
	if !hedge {
		c.resumeWait()
		c.progress.enter(stagePermit)
	}
	if ctx.Err() != nil {
		return &result{kind: sycamorevane.OutcomeCancelled, notAttempted: errCallerGone}
	}
	deadline := c.attemptDeadline(now)
	if !now.Before(deadline) {
		return &result{notAttempted: c.newRefusedError("deadline has passed", defaultRetryAfter)}
	}
	if c.attemptOutlastsProcess(now, deadline) {
		return &result{notAttempted: c.newShutdownError()}
	}
	var permit Permit
	if q := c.f.cfg.Quarantine; q != nil && c.fingerprint != 0 {
		var err error
		if permit, err = q.Admit(ctx, c.fingerprint); err != nil {
			return &result{notAttempted: err}
		}
	}
	req := sycamorevane.Request{
		Service: c.svc.Name, Workspace: c.workspace, Route: c.route.Name, Method: c.r.Method,
		Idempotent: !c.atMostOnce, Deadline: deadline, ExcludedServers: excludedServers, Priority: c.priority,
	}
	if !hedge {
		c.progress.enter(stageServer)
	}
	grant, err := c.acquire(ctx, req, hedge)
	if err != nil {
		if permit != nil {
			permit.Done()
		}
		return &result{notAttempted: err}
	}
	if err := c.checkCredential(); err != nil {
		c.f.cfg.Limiter.Release(grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled, Route: c.route.Name})
		if permit != nil {
			permit.Done()
		}
		return &result{notAttempted: err}
	}
	if !hedge {
		c.acquiredAt, c.scheduler = time.Now(), grant.Scheduler
	}
	a := &attempt{c: c, ctx: ctx, grant: grant, id: c.attemptID(), startedAt: time.Now(), permit: permit}
	if !hedge {
		c.progress.server.Store(&a.grant.Server)
		c.progress.enter(stageConnection)
	}
	if onGrant != nil {
		onGrant(grant.Server.ID)
	}
	if permit != nil && !permit.Start(grant.Server) {
		c.f.cfg.Limiter.Release(grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled, Route: c.route.Name})
		permit.Done()
		return &result{kind: sycamorevane.OutcomeCancelled, server: grant.Server, err: errServerRunsSuspect}
	}
	// The slot must be released even after a panic.
	defer func() {
		if p := recover(); p != nil {
			a.finish(sycamorevane.OutcomeCancelled, false)
			panic(p)
		}
	}()
	return a.exchange(deadline, hedge)
}

// attemptID returns the request ID to send to the server.
func (c *call) attemptID() string {
	if c.f.dialect.KeepRequestID {
		return c.requestID()
	}
	return c.f.requestID()
}

func (c *call) acquire(ctx context.Context, req sycamorevane.Request, hedge bool) (sycamorevane.Grant, error) {
	if !hedge {
		return c.f.cfg.Limiter.Acquire(ctx, req)
	}
	timeout := cmp.Or(c.f.cfg.HedgeAcquireTimeout, defaultHedgeAcquireTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req.Deadline, req.Hedge = time.Now().Add(timeout), true
	return c.f.cfg.Limiter.Acquire(ctx, req)
}

func (a *attempt) exchange(deadline time.Time, hedge bool) *result {
	c := a.c
	if a.ctx.Err() != nil || !a.startedAt.Before(deadline) {
		return a.connectFailed(context.DeadlineExceeded) // Cancelled or past its deadline while waiting for a slot.
	}
	p := c.f.pools.get(&a.grant.Server, c.f.entryCount(c.index.entryHosts), a.startedAt)
	conn, err := a.openConn(p, hedge, deadline)
	if err != nil {
		return a.connectFailed(err)
	}
	if !c.endWait() {
		p.put(conn, time.Now())
		return a.connectFailed(context.Canceled)
	}
	if !hedge {
		c.progress.enter(stageRunning)
	}
	a.conn = conn
	conn.beginExchange(c.progressTimeout)
	a.stopCloseOnCancel = context.AfterFunc(a.ctx, func() { _ = conn.Close() })
	a.buildRequest(deadline)
	if err := a.writeRequest(deadline); err != nil {
		return a.fail(err)
	}
	resp, err := a.readHeader()
	if err != nil {
		return a.fail(err)
	}
	return a.readBody(resp)
}

// openConn returns a connection on which no response to another request can be taken for the response to this one.
func (a *attempt) openConn(p *connPool, newConn bool, deadline time.Time) (*serverConn, error) {
	maxAge := maxIdleAtMostOnce
	switch {
	case newConn, a.c.atMostOnce && p.omitsIDs.Load():
		maxAge = 0
	case !a.c.atMostOnce:
		maxAge = maxIdle
	}
	conn, err := p.get(a.ctx, maxAge, deadline)
	if err != nil || !slices.Contains(conn.refusedIDs, a.id) {
		return conn, err
	}
	p.discard(conn)
	return p.get(a.ctx, 0, deadline)
}

// entryCount returns the number of entries that share the connection limit of a server: configured, unless the Config
// overrides it.
func (f *Forwarder) entryCount(configured int) int {
	if f.cfg.EntryCount != nil {
		return max(1, f.cfg.EntryCount())
	}
	return configured
}

func (a *attempt) connectFailed(err error) *result {
	kind := sycamorevane.OutcomeConnectFailed
	if a.ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errPoolClosed) {
		kind = sycamorevane.OutcomeCancelled // The server was not contacted.
	}
	a.finish(kind, false)
	return &result{kind: kind, server: a.grant.Server, id: a.id, err: err}
}

// buildRequest builds the request for the server.
func (a *attempt) buildRequest(deadline time.Time) {
	c := a.c
	header := maps.Clone(c.header)
	header[c.f.dialect.RequestID] = []string{a.id}
	ms := max(1, time.Until(deadline).Milliseconds())
	header[c.f.dialect.Timeout] = []string{strconv.FormatInt(ms, 10)}
	if c.f.dialect.ExpectInstance != "" {
		header[c.f.dialect.ExpectInstance] = []string{a.grant.Server.InstanceName}
	}
	a.req = &http.Request{
		Method: c.r.Method, URL: c.target, Host: c.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if c.upload == nil {
		return
	}
	a.body = &bodyReader{prefixBufferReader: c.upload.reader(), remaining: c.upload.length}
	if c.f.cfg.WaitWhileSlow != nil && c.upload.length >= minDelayedBodyBytes {
		a.body.beforeLastByte = a.delayLastByte
	}
	a.req.Body = a.body
	if c.f.pacer != nil {
		a.req.Body = io.NopCloser(c.f.pacer.pace(a.ctx, a.body, c.upload.length, false))
	}
	a.req.ContentLength = c.upload.length
	if c.upload.length < 0 {
		a.req.TransferEncoding = []string{"chunked"}
	}
}

// delayLastByte waits while the host of the server is slow, but only as long as the response can still arrive before the
// deadline.
func (a *attempt) delayLastByte() {
	if a.c.ruleState == nil || a.c.deadline.IsZero() {
		return
	}
	start := time.Now()
	defer func() { a.bodyDelayNs.Store(int64(time.Since(start))) }()
	deadline := a.c.deadline
	if end := a.c.f.stopEnd.Load(); end != nil && end.Before(deadline) {
		deadline = *end
	}
	deadline = deadline.Add(-a.c.plannedLatency())
	if !a.awaitTransmission(deadline) || time.Since(a.startedAt) < maxSelectionAge {
		return
	}
	if latest := time.Now().Add(maxBodyDelay); latest.Before(deadline) {
		deadline = latest
	}
	a.c.f.cfg.WaitWhileSlow(a.ctx, a.grant.Server.ID, deadline)
}

// awaitTransmission waits until the body written so far should have been transmitted, since the kernel accepts data
// faster than the link sends it. It returns false if that is not before the deadline or the attempt has been cancelled.
func (a *attempt) awaitTransmission(deadline time.Time) bool {
	if a.c.f.cfg.LinkMbps <= 0 {
		return true
	}
	sentAt := a.startedAt.Add(a.c.transmissionTime(a.c.upload.length))
	if !sentAt.Before(deadline) {
		return false
	}
	timer := time.NewTimer(time.Until(sentAt))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// writeRequest sends the request. A body that is still arriving is sent on a separate goroutine.
func (a *attempt) writeRequest(deadline time.Time) error {
	if a.body == nil || a.c.upload.fullyBuffered() {
		_ = a.conn.SetReadDeadline(deadline.Add(a.c.f.cfg.ResponseGrace))
		err := a.send()
		a.requestSent = err == nil
		if err != nil && a.body != nil && a.conn.bytesSent.Load() > 0 {
			_ = a.conn.SetReadDeadline(time.Now().Add(responseAfterWriteErrorTimeout))
			return nil // The server may have responded before it closed the connection.
		}
		return err
	}
	_ = a.conn.SetReadDeadline(a.c.deadline) // A zero time means no deadline while the upload makes progress.
	a.writeDone = make(chan error, 1)
	go func() {
		err := a.send()
		switch {
		case a.body.failed.Load():
			_ = a.conn.Close() // The server must not take the body for complete.
		case err != nil:
			_ = a.conn.SetReadDeadline(time.Now().Add(responseAfterWriteErrorTimeout))
		case a.c.deadline.IsZero():
			_ = a.conn.SetReadDeadline(time.Now().Add(a.c.timeout))
		}
		a.writeDone <- err
	}()
	return nil
}

func (a *attempt) send() error {
	err := a.req.Write(a.conn.w)
	if err == nil {
		err = a.conn.w.Flush()
	}
	a.sendFailed.Store(err != nil)
	a.requestSentAtNs.Store(time.Now().UnixNano())
	if err == nil {
		a.countRun()
	}
	return err
}

// countRun counts the attempt as run. A request that was not sent completely is not counted, since servers begin when they
// have all of it.
func (a *attempt) countRun() {
	if a.c.f.cfg.Runs != nil {
		a.startedRunAt = time.Now()
		a.c.f.cfg.Runs.Started(a.c.workspace, a.startedRunAt)
	}
}

// correctRunCount corrects the count of countRun when the attempt has ended.
func (a *attempt) correctRunCount(kind sycamorevane.OutcomeKind) {
	switch counted := !a.startedRunAt.IsZero(); {
	case counted && kind == sycamorevane.OutcomeShed:
		a.c.f.cfg.Runs.Rejected(a.c.workspace, a.startedRunAt)
	case !counted && a.answered:
		a.countRun()
	}
}

func (a *attempt) readHeader() (*http.Response, error) {
	for range maxInformational {
		resp, err := a.conn.readResponse(a.req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK && a.isForEarlierRequest(resp) {
			a.noReuse = true
			if _, err := io.CopyN(io.Discard, resp.Body, maxBufferedBytes); err != io.EOF {
				return nil, errRequestIDMismatch
			}
			continue
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, a.checkHeader(resp)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocol
		}
	}
	return nil, errProtocol
}

// isForEarlierRequest reports whether the response belongs to an earlier exchange on the connection: its request ID is that of
// another request, or it has none and the server has answered a probe, which has none either. Some servers send a late second
// response; it is dropped, since its request has already been answered.
func (a *attempt) isForEarlierRequest(resp *http.Response) bool {
	d := &a.c.f.dialect
	if !d.KeepRequestID || !a.conn.reused {
		return false
	}
	echo := resp.Header[d.RequestID]
	if len(echo) == 0 {
		return a.conn.probed && resp.Header.Get(d.Proof) == ""
	}
	return len(echo) == 1 && echo[0] != a.id
}

func (a *attempt) checkHeader(resp *http.Response) error {
	a.latency = time.Since(a.startedAt)
	if sentAt := a.requestSentAtNs.Load(); sentAt != 0 && a.body != nil {
		a.latency = max(0, time.Since(time.Unix(0, sentAt)))
	}
	if load := a.c.f.dialect.ParseLoad; load != nil {
		a.load = load(resp.Header)
	}
	a.conn.serverIdleTimeout = keepAliveTimeout(resp.Header)
	echoes := resp.Header[a.c.f.dialect.RequestID]
	for _, echo := range echoes {
		if echo != a.id {
			a.c.f.metrics.mismatched.Inc(1)
			return errRequestIDMismatch
		}
	}
	a.c.f.reportDirective(&a.grant.Server, resp, a.startedAt)
	if len(echoes) == 0 && !a.c.f.dialect.KeepRequestID {
		a.conn.pool.omitsIDs.Store(true)
	}
	switch {
	case a.conn.reused && len(echoes) == 0 && (a.c.f.dialect.KeepRequestID || a.c.f.dialect.saysNotRun(resp)):
		return errRequestIDMismatch // It may be a late second response, so that it does not say whether this request ran.
	case a.c.f.dialect.saysNotRun(resp):
	case a.c.f.dialect.Proof != "" && len(echoes) == 0:
		return errRequestIDMismatch
	case !a.c.f.dialect.hasProof(resp):
		return errProofMissing
	case endsWithConnection(resp) && a.c.f.dialect.Proof == "" && !hasNoBody(a.req.Method, resp.StatusCode):
		return errUndelimitedResponse
	}
	return nil
}

// endsWithConnection reports whether the end of the response is marked only by the end of the connection. Such a
// response is complete unless the connection was reset.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// readBody reads a short response completely and leaves a long one to be streamed.
func (a *attempt) readBody(resp *http.Response) *result {
	a.conn.headerRemaining = -1
	a.conn.setBodyDeadline(a.c.bodyDeadline(a.c.f.cfg.ResponseGrace))
	res := &result{
		server: a.grant.Server, id: a.id, mayHaveRun: true, resp: resp, kind: sycamorevane.OutcomeOK, latency: a.latency, load: a.load,
		bodyDelay: time.Duration(a.bodyDelayNs.Load()),
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		res.kind = sycamorevane.OutcomeFailed
	}
	if a.c.f.dialect.saysNotRun(resp) {
		return a.readNotRun(resp)
	}
	a.answered = true
	if p := a.c.f.pacer; p != nil {
		resp.Body = io.NopCloser(p.pace(a.ctx, resp.Body, resp.ContentLength, true))
	}
	var err error
	switch {
	case hasNoBody(a.req.Method, resp.StatusCode) || resp.ContentLength == 0:
	case a.mustStream(resp):
		res.stream = resp.Body
	case resp.ContentLength > 0 && resp.ContentLength <= maxBufferedBytes:
		res.body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, res.body)
	case endsWithConnection(resp):
		err = a.readToClose(resp, res)
	case resp.ContentLength < 0 && (!a.c.atMostOnce || a.c.claim != nil):
		err = a.bufferOrStream(resp, res)
	default:
		res.stream = resp.Body
	}
	if err != nil {
		return a.fail(err)
	}
	if res.stream != nil {
		a.conn.setBodyDeadline(a.c.bodyDeadline(a.c.progressTimeout))
		res.attempt = a
		return res
	}
	a.finish(res.kind, !resp.Close)
	return res
}

// mustStream reports whether a response that would otherwise be buffered is streamed because too much memory is in use.
func (a *attempt) mustStream(resp *http.Response) bool {
	size := resp.ContentLength
	switch {
	case size > maxBufferedBytes:
		return false
	case size < 0 && !endsWithConnection(resp) && a.c.atMostOnce && a.c.claim == nil:
		return false // Not buffered in any case; see readBody.
	case size < 0:
		size = maxBufferedBytes
	}
	if a.c.memory.take(size) {
		return false
	}
	a.c.f.metrics.streamedForMemory.Inc(1)
	return true
}

// requestDelivered reports whether the whole request has been written without an error. After a reset, a write error takes
// the only notice of it that the kernel gives, and reads then see a regular end of the connection.
func (a *attempt) requestDelivered() bool {
	return a.requestSentAtNs.Load() != 0 && !a.sendFailed.Load()
}

// checkEnd returns an error if a response that ends with its connection may have been cut off.
func (a *attempt) checkEnd(resp *http.Response) error {
	if endsWithConnection(resp) && !a.requestDelivered() {
		return errEndUnknown
	}
	return nil
}

// bufferOrStream waits for up to bufferTimeout for the end of a response of unknown length, and leaves it to be streamed
// if it takes longer.
func (a *attempt) bufferOrStream(resp *http.Response, res *result) error {
	buffer := newPrefixBuffer(resp.Body, maxBufferedBytes)
	go buffer.fill()
	buffer.awaitDone(bufferTimeout)
	if err := buffer.sourceErr(); err != nil {
		return err
	}
	if buffer.fullyBuffered() {
		res.body = buffer.prefix()
		return nil
	}
	res.stream = buffer.reader()
	return nil
}

// readToClose reads a response that ends with its connection. If it is larger than maxBufferedBytes, it is forwarded in
// chunks, so that a reset also breaks the caller's connection.
func (a *attempt) readToClose(resp *http.Response, res *result) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return err
	}
	if len(body) <= maxBufferedBytes {
		res.body = body
		return a.checkEnd(resp)
	}
	res.stream = io.MultiReader(bytes.NewReader(body), resp.Body)
	return nil
}

// readNotRun handles a response that states that the request has not run.
func (a *attempt) readNotRun(resp *http.Response) *result {
	a.conn.setBodyDeadline(time.Now().Add(discardTimeout)) // The body is only read so that the connection can be reused.
	_, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBodyBytes)
	a.addressReused = resp.StatusCode == http.StatusMisdirectedRequest
	if a.c.f.dialect.KeepRequestID {
		a.conn.refusedIDs = append(a.conn.refusedIDs, a.id)
	}
	a.finish(sycamorevane.OutcomeShed, err == io.EOF && !resp.Close && len(a.conn.refusedIDs) <= maxRefusedIDs)
	seconds, _ := strconv.Atoi(resp.Header.Get(headerRetryAfter))
	return &result{
		kind: sycamorevane.OutcomeShed, server: a.grant.Server, id: a.id,
		retryAfter: time.Duration(max(0, min(seconds, 3600))) * time.Second,
	}
}

// fail classifies an error that occurred on an established connection.
func (a *attempt) fail(err error) *result {
	res := &result{
		server: a.grant.Server, id: a.id, err: err, kind: sycamorevane.OutcomeIncomplete,
		mayHaveRun: a.conn.bytesSent.Load() > 0,
	}
	switch {
	case a.body != nil && (a.body.failed.Load() || a.c.upload.stalled()):
		res.kind = sycamorevane.OutcomeCancelled
		res.uploadFailed = true
	case a.ctx.Err() != nil:
		res.kind = sycamorevane.OutcomeCancelled
	case isTimeout(err):
		res.kind = sycamorevane.OutcomeTimeout
	default:
		a.logMalformed(err)
	}
	a.finish(res.kind, false)
	return res
}

// logMalformed logs that the server sent no valid response.
func (a *attempt) logMalformed(err error) {
	a.c.f.metrics.malformed.Inc(1)
	a.c.f.sampler.Info(time.Now(), "server gave no proper answer", "server", a.grant.Server.ID, "request", a.id,
		"fingerprint", sycamorevane.FormatFingerprint(a.c.fingerprint), "reason", err.Error(), "sent", a.conn.bytesSent.Load())
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}

// finish ends the attempt: it returns or closes the connection, releases the slot and reports the outcome.
func (a *attempt) finish(kind sycamorevane.OutcomeKind, reusable bool) {
	if a.finished {
		return
	}
	a.finished = true
	a.releaseConn(reusable)
	a.correctRunCount(kind)
	if a.cancel != nil {
		a.cancel()
	}
	if a.latency == 0 {
		a.latency = time.Since(a.startedAt)
	}
	c := a.c
	o := sycamorevane.Outcome{
		Kind: kind, Latency: a.latency, Route: c.route.Name, Fingerprint: c.fingerprint, Load: a.load,
		AddressReused: a.addressReused, Cold: a.grant.Cold,
	}
	c.f.cfg.Limiter.Release(a.grant, o)
	c.f.cfg.Observe(c.svc.Name, a.grant.Server.Version, c.route.Name, o)
	if a.permit != nil {
		if a.permit.End(a.grant.Server, kind) {
			c.f.sampler.Info(time.Now(), "server died while it ran the request", "request", a.id, "server", a.grant.Server.ID,
				"fingerprint", sycamorevane.FormatFingerprint(c.fingerprint))
		}
		a.permit.Done()
	}
}

// releaseConn returns the connection to the pool if it is reusable, and closes it otherwise.
func (a *attempt) releaseConn(reusable bool) {
	if a.conn == nil {
		return
	}
	if !a.stopCloseOnCancel() {
		reusable = false // The context has ended and the connection is closed.
	}
	if a.writeDone != nil {
		if a.requestSentAtNs.Load() == 0 {
			// The server responded before the body was completely sent. Closing the connection ends the write; stop ends the wait
			// for further bytes from the caller.
			_ = a.conn.Close()
			a.body.stop()
			if !a.c.upload.replayable() {
				a.c.upload.abort()
			}
		}
		a.requestSent = <-a.writeDone == nil
	}
	if reusable && a.requestSent && !a.noReuse {
		a.conn.pool.put(a.conn, time.Now())
		return
	}
	a.conn.pool.discard(a.conn)
}
