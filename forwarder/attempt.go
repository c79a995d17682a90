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
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

const (
	// bufferSize is the largest answer that is held back until it is complete.
	bufferSize = 256 << 10
	// holdTime is how long an answer of unknown length is held back, so that a short one can be checked whole.
	holdTime = 20 * time.Millisecond
	// lateAnswer is how long an answer is awaited after the server has closed its side for the request body.
	lateAnswer = 500 * time.Millisecond
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 5
	// longBody is the size from which the end of a body is held back while the machine of its server is slow: how long a
	// request takes is settled when it starts, which is when the server has the whole body.
	longBody = 16 << 10
	// quietAge is how old the choice of the server may be without that, and maxHold the longest wait; the load of a
	// machine changes several times a second.
	quietAge = 20 * time.Millisecond
	maxHold  = 400 * time.Millisecond

	bitsPerByte    = 8
	bitsPerMegabit = 1e6
	// maxShedBody and shedTime bound what is read of a not-run refusal to keep its connection.
	maxShedBody = 16 << 10
	shedTime    = 20 * time.Millisecond
)

var (
	errMismatch   = errors.New("answer carries the id of another request")
	errUnbounded  = errors.New("answer has neither length nor chunks, so that its end cannot be checked")
	errUnproved   = errors.New("answer does not show that it is the server's own")
	errProtocol   = errors.New("server switched protocols")
	errCallerGone = errors.New("caller has left")
	errSuspect    = errors.New("server runs another request that is suspected of crashing servers")
)

// result is what one attempt came to.
type result struct {
	kind   sycamorevane.OutcomeKind
	server sycamorevane.Server
	id     string
	// sent is true when the server may have acted on the request.
	sent bool
	// upload is true when the caller's body failed.
	upload bool
	// refused is set when no server was asked.
	refused error
	err     error
	resp    *http.Response
	body    []byte
	// stream is the rest of an answer that is not whole; open is then the attempt to finish.
	stream io.Reader
	open   *attempt
	after  time.Duration
	// latency is from the end of the request to the header of the answer.
	latency time.Duration
	// load is what the server said of itself; nil when it said nothing.
	load *sycamorevane.LoadReport
	// held is how long the end of the body was held back.
	held time.Duration
}

// good reports whether the answer can be given to the caller without trying elsewhere.
func (r *result) good() bool { return r.resp != nil && r.kind == sycamorevane.OutcomeOK }

// attempt is one exchange with a server. Its finish runs exactly once.
type attempt struct {
	c      *call
	ctx    context.Context
	grant  sycamorevane.Grant
	permit Permit
	id     string
	conn   *serverConn
	out    *http.Request
	body   *bodyReader
	began  time.Time
	latent time.Duration
	// wrote receives the end of a request written by its own goroutine; nil when written in place.
	wrote   chan error
	sentAll bool
	stop    func() bool
	// cancel releases the context of a hedged attempt; nil without one.
	cancel   context.CancelFunc
	finished bool
	// load is what the server said of itself.
	load *sycamorevane.LoadReport
	// stale is set when another server has the address; single when the connection must not be used again.
	stale  bool
	single bool
	// uploaded is when the request was written in Unix ns; the latency counts from there.
	uploaded atomic.Int64
	// held is how long the end of the body was held back, in ns.
	held atomic.Int64
}

// bodyReader remembers that the caller's side failed, and can hold the last byte back.
type bodyReader struct {
	*spoolReader
	failed atomic.Bool
	// left is how many bytes are still to be read; settle, unless nil, is called before the last one.
	left   int64
	settle func()
}

func (b *bodyReader) Read(p []byte) (int, error) {
	if b.settle != nil && b.left > 1 {
		p = p[:min(int64(len(p)), b.left-1)]
	}
	n, err := b.spoolReader.Read(p)
	b.left -= int64(n)
	if b.settle != nil && b.left == 0 && n > 0 {
		b.settle()
	}
	if err != nil && err != io.EOF && err != errStopped {
		b.failed.Store(true)
	}
	return n, err
}

func (b *bodyReader) Close() error { return nil }

// until is when the attempt must have brought the header of an answer.
func (c *call) until(now time.Time) time.Time {
	if !c.deadline.IsZero() {
		return c.deadline
	}
	if c.body != nil {
		return now.Add(c.timeout)
	}
	return c.began.Add(c.timeout)
}

// latest is when the body of an answer must have come: some time after the caller has given up, or after the operator
// wants it to wait no longer; zero for no bound.
func (c *call) latest(grace time.Duration) time.Time {
	if c.deadline.IsZero() {
		return time.Time{}
	}
	if c.patience.After(c.deadline) {
		return c.patience.Add(grace)
	}
	return c.deadline.Add(grace)
}

// try runs one attempt and calls granted, which may be nil, when a server is chosen. With hedge it uses a new
// connection and does not queue for a slot.
func (c *call) try(ctx context.Context, excludedServers []string, hedge bool, granted func(server string)) *result {
	now := time.Now()
	if ctx.Err() != nil {
		return &result{kind: sycamorevane.OutcomeCancelled, refused: errCallerGone}
	}
	until := c.until(now)
	if !now.Before(until) {
		return &result{refused: c.refused("deadline has passed", retryAfter)}
	}
	var permit Permit
	if q := c.f.cfg.Quarantine; q != nil && c.fingerprint != 0 {
		var err error
		if permit, err = q.Admit(ctx, c.fingerprint); err != nil {
			return &result{refused: err}
		}
	}
	req := sycamorevane.Request{
		Service: c.svc.Name, Workspace: c.workspace, Route: c.route.Name, Method: c.r.Method,
		Idempotent: !c.once, Deadline: until, ExcludedServers: excludedServers, SoftDeadline: c.softDeadline(),
	}
	if c.rule != nil {
		req.Priority = c.rule.Priority
	}
	grant, err := c.acquire(ctx, req, hedge)
	if err != nil {
		if permit != nil {
			permit.Done()
		}
		return &result{refused: err}
	}
	if !hedge {
		c.placed = time.Now()
	}
	a := &attempt{c: c, ctx: ctx, grant: grant, id: c.attemptID(), began: time.Now(), permit: permit}
	if granted != nil {
		granted(grant.Server.ID)
	}
	if permit != nil && !permit.Start(grant.Server) {
		c.f.cfg.Limiter.Release(grant, sycamorevane.Outcome{Kind: sycamorevane.OutcomeCancelled, Route: c.route.Name})
		permit.Done()
		return &result{kind: sycamorevane.OutcomeCancelled, server: grant.Server, err: errSuspect}
	}
	// A panic must not keep the slot.
	defer func() {
		if p := recover(); p != nil {
			a.finish(sycamorevane.OutcomeCancelled, false)
			panic(p)
		}
	}()
	return a.exchange(until, hedge)
}

// attemptID names the attempt towards the server.
func (c *call) attemptID() string {
	if c.f.d.KeepID {
		return c.requestID()
	}
	return c.f.requestID()
}

func (c *call) acquire(ctx context.Context, req sycamorevane.Request, hedge bool) (sycamorevane.Grant, error) {
	if !hedge {
		return c.f.cfg.Limiter.Acquire(ctx, req)
	}
	wait := cmp.Or(c.f.cfg.HedgeWait, hedgeWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req.Deadline, req.Hedge = time.Now().Add(wait), true
	return c.f.cfg.Limiter.Acquire(ctx, req)
}

func (a *attempt) exchange(until time.Time, fresh bool) *result {
	c := a.c
	if a.ctx.Err() != nil || !a.began.Before(until) {
		return a.unconnected(context.DeadlineExceeded) // It became dead work while it waited for the slot.
	}
	age := maxIdleOnce
	switch {
	case fresh:
		age = 0
	case !c.once:
		age = maxIdle
	}
	p := c.f.pools.get(&a.grant.Server, c.f.sharers(c.index.entries), a.began)
	conn, err := p.get(a.ctx, age, until)
	if err != nil {
		return a.unconnected(err)
	}
	a.conn = conn
	conn.begin(c.progress)
	a.stop = context.AfterFunc(a.ctx, func() { _ = conn.Close() })
	a.prepare(until)
	if err := a.write(until); err != nil {
		return a.fail(err)
	}
	resp, err := a.readHead()
	if err != nil {
		return a.fail(err)
	}
	return a.readBody(resp)
}

// sharers is the number of entries that share the connections of a server: configured, unless the deployment tells.
func (f *Forwarder) sharers(configured int) int {
	if f.cfg.Peers != nil {
		return max(1, f.cfg.Peers())
	}
	return configured
}

func (a *attempt) unconnected(err error) *result {
	kind := sycamorevane.OutcomeConnectFailed
	if a.ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errPoolClosed) {
		kind = sycamorevane.OutcomeCancelled // The server was not asked.
	}
	a.finish(kind, false)
	return &result{kind: kind, server: a.grant.Server, id: a.id, err: err}
}

// prepare builds the request for the server.
func (a *attempt) prepare(until time.Time) {
	c := a.c
	header := maps.Clone(c.header)
	header[c.f.d.RequestID] = []string{a.id}
	ms := max(1, time.Until(until).Milliseconds())
	header[c.f.d.Timeout] = []string{strconv.FormatInt(ms, 10)}
	if c.f.d.Expect != "" {
		header[c.f.d.Expect] = []string{a.grant.Server.InstanceName}
	}
	a.out = &http.Request{
		Method: c.r.Method, URL: c.r.URL, Host: c.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if c.body == nil {
		return
	}
	a.body = &bodyReader{spoolReader: c.body.reader(), left: c.body.length}
	if c.f.cfg.AwaitQuiet != nil && c.body.length >= longBody {
		a.body.settle = a.awaitQuiet
	}
	a.out.Body = a.body
	a.out.ContentLength = c.body.length
	if c.body.length < 0 {
		a.out.TransferEncoding = []string{"chunked"}
	}
}

// awaitQuiet waits until the machine of the server is not slow, as long as the answer can still be in time.
func (a *attempt) awaitQuiet() {
	aim := a.c.softDeadline()
	if aim.IsZero() {
		return
	}
	began := time.Now()
	defer func() { a.held.Store(int64(time.Since(began))) }()
	until := aim.Add(-time.Duration(hedgeRoom * float64(a.c.ruleState.median.get())))
	if !a.awaitSent(until) || time.Since(a.began) < quietAge {
		return
	}
	if latest := time.Now().Add(maxHold); latest.Before(until) {
		until = latest
	}
	a.c.f.cfg.AwaitQuiet(a.ctx, a.grant.Server.ID, until)
}

// awaitSent waits until what has been written of the body should have left this host, and reports whether that is before
// until and the attempt goes on. The system takes more at once than the link does.
func (a *attempt) awaitSent(until time.Time) bool {
	if a.c.f.cfg.Link <= 0 {
		return true
	}
	seconds := float64(a.c.body.length) * bitsPerByte / (a.c.f.cfg.Link * bitsPerMegabit)
	sent := a.began.Add(time.Duration(seconds * float64(time.Second)))
	if !sent.Before(until) {
		return false
	}
	timer := time.NewTimer(time.Until(sent))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// write sends the request; a body that is still arriving is sent by a goroutine.
func (a *attempt) write(until time.Time) error {
	if a.body == nil || a.c.body.whole() {
		_ = a.conn.SetReadDeadline(until.Add(a.c.f.cfg.Grace))
		err := a.send()
		a.sentAll = err == nil
		if err != nil && a.body != nil && a.conn.sent.Load() > 0 {
			_ = a.conn.SetReadDeadline(time.Now().Add(lateAnswer))
			return nil // The server may have answered before it closed.
		}
		return err
	}
	_ = a.conn.SetReadDeadline(a.c.deadline) // A zero time means no deadline while the upload makes progress.
	a.wrote = make(chan error, 1)
	go func() {
		err := a.send()
		switch {
		case a.body.failed.Load():
			_ = a.conn.Close() // The server must not take the body for complete.
		case err != nil:
			_ = a.conn.SetReadDeadline(time.Now().Add(lateAnswer))
		case a.c.deadline.IsZero():
			_ = a.conn.SetReadDeadline(time.Now().Add(a.c.timeout))
		}
		a.wrote <- err
	}()
	return nil
}

func (a *attempt) send() error {
	err := a.out.Write(a.conn.w)
	if err == nil {
		err = a.conn.w.Flush()
	}
	a.uploaded.Store(time.Now().UnixNano())
	return err
}

func (a *attempt) readHead() (*http.Response, error) {
	for range maxInformational {
		resp, err := a.conn.readAnswer(a.out)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK && a.belated(resp) {
			a.single = true
			if _, err := io.CopyN(io.Discard, resp.Body, bufferSize); err != io.EOF {
				return nil, errMismatch
			}
			continue
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, a.checkHead(resp)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocol
		}
	}
	return nil, errProtocol
}

// belated reports whether the answer belongs to an earlier request of the connection, as its id tells: some servers
// send a second answer late. What it was for has been answered, so it is dropped.
func (a *attempt) belated(resp *http.Response) bool {
	echo := resp.Header[a.c.f.d.RequestID]
	return a.c.f.d.KeepID && a.conn.reused && len(echo) == 1 && echo[0] != a.id
}

func (a *attempt) checkHead(resp *http.Response) error {
	a.latent = time.Since(a.began)
	if at := a.uploaded.Load(); at != 0 && a.body != nil {
		a.latent = max(0, time.Since(time.Unix(0, at)))
	}
	if load := a.c.f.d.Load; load != nil {
		a.load = load(resp.Header)
	}
	a.conn.idleFor = idleOf(resp.Header)
	echoes := resp.Header[a.c.f.d.RequestID]
	for _, echo := range echoes {
		if echo != a.id {
			a.c.f.counts.mismatched.Inc(1)
			return errMismatch
		}
	}
	a.c.f.reportDirective(&a.grant.Server, resp)
	switch {
	case a.c.f.d.notRun(resp):
	case a.c.f.d.Proof != "" && len(echoes) == 0:
		return errMismatch
	case !a.c.f.d.proved(resp):
		return errUnproved
	case unbounded(resp) && a.c.f.d.Proof == "" && !bodyless(a.out.Method, resp.StatusCode):
		return errUnbounded
	}
	return nil
}

// unbounded reports whether the answer ends with its connection. Its end can only be told from a reset.
func unbounded(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// readBody reads a short answer whole and leaves a long one to be streamed.
func (a *attempt) readBody(resp *http.Response) *result {
	a.conn.head = -1
	a.conn.until = a.c.latest(a.c.f.cfg.Grace)
	res := &result{
		server: a.grant.Server, id: a.id, sent: true, resp: resp, kind: sycamorevane.OutcomeOK, latency: a.latent, load: a.load,
		held: time.Duration(a.held.Load()),
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		res.kind = sycamorevane.OutcomeFailed
	}
	if a.c.f.d.notRun(resp) {
		return a.shed(resp)
	}
	var err error
	switch {
	case bodyless(a.out.Method, resp.StatusCode) || resp.ContentLength == 0:
	case resp.ContentLength > 0 && resp.ContentLength <= bufferSize:
		res.body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, res.body)
	case unbounded(resp):
		err = a.readAll(resp, res)
	case resp.ContentLength < 0 && (!a.c.once || a.c.claim != nil):
		err = a.hold(resp, res)
	default:
		res.stream = resp.Body
	}
	if err != nil {
		return a.fail(err)
	}
	if res.stream != nil {
		a.conn.until = a.c.latest(a.c.progress)
		res.open = a
		return res
	}
	a.finish(res.kind, !resp.Close)
	return res
}

// hold waits a moment for the end of an answer of unknown length.
func (a *attempt) hold(resp *http.Response, res *result) error {
	s := newSpool(resp.Body, bufferSize)
	go s.fill()
	s.await(holdTime)
	if err := s.failed(); err != nil {
		return err
	}
	if s.whole() {
		res.body = s.prefix()
		return nil
	}
	res.stream = s.reader()
	return nil
}

// readAll reads an answer that ends with its connection. A longer one than fits into memory is passed on in chunks,
// so that a reset cuts the caller's connection, too.
func (a *attempt) readAll(resp *http.Response, res *result) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferSize+1))
	if err != nil {
		return err
	}
	if len(body) <= bufferSize {
		res.body = body
		return nil
	}
	res.stream = io.MultiReader(bytes.NewReader(body), resp.Body)
	return nil
}

// shed takes the server's own refusal, which says that the request has not run.
func (a *attempt) shed(resp *http.Response) *result {
	a.conn.until = time.Now().Add(shedTime) // Its body says nothing more.
	_, err := io.CopyN(io.Discard, resp.Body, maxShedBody)
	a.stale = resp.StatusCode == http.StatusMisdirectedRequest
	a.finish(sycamorevane.OutcomeShed, err == io.EOF && !resp.Close)
	seconds, _ := strconv.Atoi(resp.Header.Get(headerRetry))
	return &result{
		kind: sycamorevane.OutcomeShed, server: a.grant.Server, id: a.id,
		after: time.Duration(max(0, min(seconds, 3600))) * time.Second,
	}
}

// fail classifies an error after the connection was made.
func (a *attempt) fail(err error) *result {
	res := &result{
		server: a.grant.Server, id: a.id, err: err, kind: sycamorevane.OutcomeIncomplete,
		sent: a.conn.sent.Load() > 0,
	}
	switch {
	case a.body != nil && (a.body.failed.Load() || a.c.body.stalled()):
		res.kind = sycamorevane.OutcomeCancelled
		res.upload = true
	case a.ctx.Err() != nil:
		res.kind = sycamorevane.OutcomeCancelled
	case isTimeout(err):
		res.kind = sycamorevane.OutcomeTimeout
	default:
		a.explainBroken(err)
	}
	a.finish(res.kind, false)
	return res
}

// explainBroken logs what a server sent in place of an answer.
func (a *attempt) explainBroken(err error) {
	a.c.f.counts.malformed.Inc(1)
	a.c.f.sampler.Info(time.Now(), "server gave no proper answer", "server", a.grant.Server.ID, "request", a.id,
		"reason", err.Error(), "sent", a.conn.sent.Load())
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}

// finish ends the attempt: the connection is kept or closed, the slot released and the outcome reported.
func (a *attempt) finish(kind sycamorevane.OutcomeKind, reusable bool) {
	if a.finished {
		return
	}
	a.finished = true
	a.closeConn(reusable)
	if a.cancel != nil {
		a.cancel()
	}
	if a.latent == 0 {
		a.latent = time.Since(a.began)
	}
	c := a.c
	o := sycamorevane.Outcome{Kind: kind, Latency: a.latent, Route: c.route.Name, Fingerprint: c.fingerprint, Load: a.load, AddressReused: a.stale}
	c.f.cfg.Limiter.Release(a.grant, o)
	c.f.cfg.Observe(c.svc.Name, a.grant.Server.Version, c.route.Name, o)
	if a.permit != nil {
		a.permit.End(a.grant.Server, kind)
		a.permit.Done()
	}
}

func (a *attempt) closeConn(reusable bool) {
	if a.conn == nil {
		return
	}
	if !a.stop() {
		reusable = false // The caller has left and the connection is closed.
	}
	if a.wrote != nil {
		if a.uploaded.Load() == 0 {
			// The server answered before the body was sent. Closing ends the write, stop ends the wait for
			// the caller's next bytes.
			_ = a.conn.Close()
			a.body.stop()
			if !a.c.body.replayable() {
				a.c.body.abort()
			}
		}
		a.sentAll = <-a.wrote == nil
	}
	if reusable && a.sentAll && !a.single {
		a.conn.pool.put(a.conn, time.Now())
		return
	}
	a.conn.pool.discard(a.conn)
}
