package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sycamorevane.example/sycamorevane"
)

// Headers of the product's own interface.
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

// Dialect names the headers by which callers and servers of a deployment express themselves. Names are in canonical
// form.
type Dialect struct {
	// RequestID names a request and is echoed in its answer, Timeout the milliseconds that are left for it.
	RequestID string
	Timeout   string
	// NotRun in a server's answer says that the request has not run.
	NotRun string
	// Workspace and Key carry the workspace and the idempotency key; empty when callers have none.
	Workspace string
	Key       string
	// Proof is the header that each good answer of a server has; empty when there is none. An answer without it is
	// not passed on as a success.
	Proof string
	// Expect names the server that a request is meant for. Another server answers 421 and does not run it. Empty when
	// servers do not check.
	Expect string
	// KeepID passes the caller's request id on. Without it each attempt gets an id of its own.
	KeepID bool
	// Marks adds what the system knows of a request to its answer.
	Marks bool
	// Fractions lets Retry-After have fractions of a second.
	Fractions bool
	// Instance names a server in its answer to a probe, ColdRemaining the milliseconds that it stays cold; empty when
	// servers do not say.
	Instance      string
	ColdRemaining string
	// Leaving is the header by which a server says in any answer that it takes no new work; empty when servers do not.
	Leaving string
	// Load reads what a server says of its load; nil when servers say nothing.
	Load func(http.Header) *sycamorevane.LoadReport
}

// DefaultDialect is the dialect of the product's own interface.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: headerRequestID, Timeout: headerTimeout, NotRun: headerNotRun, Workspace: headerWorkspace, Key: headerIdempotencyKey,
		Marks: true,
	}
}

// internalHeaders are the headers that the system sets; a caller's values are not trusted.
func (d *Dialect) internalHeaders() []string {
	names := []string{"Content-Length", "Expect"}
	for _, name := range []string{d.RequestID, d.Timeout, d.NotRun, d.Workspace, d.Expect} {
		if name != "" {
			names = append(names, name)
		}
	}
	if d.Marks {
		names = append(names, headerServer, headerVersion, headerAttempts)
	}
	return names
}

// saysNotRun reports whether a server's answer says that it did not run the request.
func (d *Dialect) saysNotRun(resp *http.Response) bool {
	if d.Expect != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	value := resp.Header.Get(d.NotRun)
	if d.Marks {
		return resp.StatusCode == http.StatusServiceUnavailable && value == "true"
	}
	return value != ""
}

// hasProof reports whether the answer may be passed on as the server's own.
func (d *Dialect) hasProof(resp *http.Response) bool {
	return d.Proof == "" || resp.StatusCode >= http.StatusMultipleChoices || resp.Header.Get(d.Proof) != ""
}

// formatRetryAfter is the value of Retry-After.
func (d *Dialect) formatRetryAfter(delay time.Duration) string {
	if d.Fractions {
		return strconv.FormatFloat(max(0, delay.Seconds()), 'f', 3, 64)
	}
	return strconv.Itoa(int(max(1, math.Ceil(delay.Seconds()))))
}

// keepAliveTimeout reads the time after which a server closes an idle connection; 0 when the answer does not say.
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
