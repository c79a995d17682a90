package forwarder

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sycamorevane.example/sycamorevane"
)

// Headers of the default dialect.
const (
	headerRequestID      = "X-Request-Id"
	headerServer         = "X-Backend-Server"
	headerVersion        = "X-Version"
	headerAttempts       = "X-Attempts"
	headerNotRun         = "X-Not-Run"
	headerTimeout        = "X-Timeout-Ms"
	headerWorkspace      = "X-Firm"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

// Dialect defines the headers that callers and servers of a deployment use. Names are in canonical form.
type Dialect struct {
	// RequestID holds the ID of a request and is echoed in the response. Timeout holds the remaining time in milliseconds.
	RequestID string
	Timeout   string
	// NotRun in a server's response states that the request has not run.
	NotRun string
	// NotRunStatuses are the statuses that callers take, without any header, as the statement that the request has not run and
	// will not. Nil when NotRun alone states it to callers.
	NotRunStatuses []int
	// Workspace and IdempotencyKey hold the workspace and the idempotency key; empty when callers do not send them.
	Workspace      string
	IdempotencyKey string
	// Key holds an API key, which selects the workspace of a request if the configuration contains workspaces. Workspace is
	// then sent only to servers. Without workspaces, both headers are forwarded as any other. Empty when callers do not send
	// API keys.
	Key string
	// Proof is present in every successful response of a server; empty when servers do not send it. A response without it
	// is not forwarded as a success.
	Proof string
	// ExpectInstance holds the instance name of the server that a request is meant for. Any other server responds with 421
	// and does not run the request. Empty when servers do not check it.
	ExpectInstance string
	// KeepRequestID forwards the request ID of the caller. Otherwise each attempt gets a new ID.
	KeepRequestID bool
	// AddServerHeaders adds the server, its version and the number of attempts to responses, and NotRun to responses of the
	// load balancer itself. Servers then state that a request has not run with status 503 and the value "true" in NotRun;
	// otherwise any value and any status do.
	AddServerHeaders bool
	// FractionalRetryAfter allows fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// Instance holds the instance name of a server in its response to a probe, and ColdRemaining the milliseconds until the
	// server is warm; empty when servers do not send them.
	Instance      string
	ColdRemaining string
	// Leaving is the header by which a server announces in any response that it accepts no new requests; empty when servers
	// do not send it.
	Leaving string
	// Limit is the header by which a server states in any response how many requests per second it accepts from all hosts
	// together; empty when servers do not send it.
	Limit string
	// ParseLoad parses the load that a server reports in a response header; nil when servers do not report it.
	ParseLoad func(http.Header) *sycamorevane.LoadReport
}

// DefaultDialect is used where a deployment does not define its own headers.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: headerRequestID, Timeout: headerTimeout, NotRun: headerNotRun, Workspace: headerWorkspace,
		IdempotencyKey: headerIdempotencyKey, AddServerHeaders: true,
	}
}

// callerWorkspace is the header by which callers name their workspace; empty when they do not.
func (d *Dialect) callerWorkspace() string {
	if d.Key != "" {
		return ""
	}
	return d.Workspace
}

// internalHeaders lists the headers that the load balancer sets itself. The values that callers send are dropped.
func (d *Dialect) internalHeaders() []string {
	names := []string{"Content-Length", "Expect"}
	for _, name := range []string{d.RequestID, d.Timeout, d.NotRun, d.callerWorkspace(), d.ExpectInstance} {
		if name != "" {
			names = append(names, name)
		}
	}
	if d.AddServerHeaders {
		names = append(names, headerServer, headerVersion, headerAttempts)
	}
	return names
}

// saysNotRun reports whether the response states that the server has not run the request.
func (d *Dialect) saysNotRun(resp *http.Response) bool {
	if d.ExpectInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	value := resp.Header.Get(d.NotRun)
	if d.AddServerHeaders {
		return resp.StatusCode == http.StatusServiceUnavailable && value == "true"
	}
	return value != ""
}

// statesNotRun reports whether callers take a response with the status as the statement that the request has not run.
func (d *Dialect) statesNotRun(status int) bool { return slices.Contains(d.NotRunStatuses, status) }

// hasProof reports whether the response may be forwarded as the server's own: it has the proof header, it is not a
// success, or the dialect has no proof header.
func (d *Dialect) hasProof(resp *http.Response) bool {
	return d.Proof == "" || resp.StatusCode >= http.StatusMultipleChoices || resp.Header.Get(d.Proof) != ""
}

// formatRetryAfter formats the value of Retry-After.
func (d *Dialect) formatRetryAfter(delay time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(max(0, delay.Seconds()), 'f', 3, 64)
	}
	return strconv.Itoa(int(max(1, math.Ceil(delay.Seconds()))))
}

// keepAliveTimeout returns the time after which the server closes an idle connection; 0 when the response does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, value := range h["Keep-Alive"] {
		for param := range strings.SplitSeq(value, ",") {
			seconds, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
			if n, err := strconv.Atoi(seconds); ok && err == nil && n > 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
