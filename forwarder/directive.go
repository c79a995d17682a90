package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// maxPause limits the pause that a server may request, so that a wrong value does not exclude the server forever.
const maxPause = 5 * time.Minute

// reportDirective reports what the server requests in the header of a response to a request that was sent at requestedAt.
func (f *Forwarder) reportDirective(s *sycamorevane.Server, resp *http.Response, requestedAt time.Time) {
	if f.cfg.OnDirective == nil {
		return
	}
	directive, err := f.dialect.directive(s, resp)
	if err != nil {
		f.sampler.Info(time.Now(), "request limit of a server could not be read", "server", s.ID, "reason", err.Error())
	}
	if directive.Limit != nil {
		directive.Limit.RequestedAt = requestedAt
	}
	if directive.Leaving || directive.Pause > 0 || directive.Limit != nil {
		f.cfg.OnDirective(s.ID, directive)
	}
}

// directive reads what the server requests. Responses of another server that now has the address are ignored. An error means
// that the limit could not be read; the rest of the directive is valid.
func (d *Dialect) directive(s *sycamorevane.Server, resp *http.Response) (sycamorevane.ServerDirective, error) {
	if d.ExpectInstance != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return sycamorevane.ServerDirective{}, nil
	}
	if name := resp.Header.Get(d.Instance); d.Instance != "" && name != "" && name != s.InstanceName {
		return sycamorevane.ServerDirective{}, nil
	}
	var directive sycamorevane.ServerDirective
	if d.Leaving != "" {
		directive.Leaving = resp.Header.Get(d.Leaving) == "1"
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		directive.Pause = parsePause(resp.Header)
	}
	var err error
	directive.Limit, err = d.limitStatement(resp.Header)
	return directive, err
}

// limitStatement reads the request limit of the server. A response without a limit states that there is none only if it
// has the proof that the server has written the header. One that cannot be read states nothing.
func (d *Dialect) limitStatement(h http.Header) (*sycamorevane.LimitStatement, error) {
	if d.Limit == "" {
		return nil, nil
	}
	value := strings.TrimSpace(h.Get(d.Limit))
	if value == "" {
		if d.Proof == "" || h.Get(d.Proof) == "" {
			return nil, nil
		}
		return &sycamorevane.LimitStatement{}, nil
	}
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return nil, errors.Errorf("request limit %q is not a rate", value)
	}
	return &sycamorevane.LimitStatement{RequestLimit: sycamorevane.RequestLimit{Limited: true, Rate: rate}}, nil
}

// parsePause parses Retry-After: seconds with an optional fraction, or a date, which is relative to the Date of the
// response. Invalid values mean no pause.
func parsePause(h http.Header) time.Duration {
	value := h.Get(headerRetryAfter)
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	retryAt, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	date, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0
	}
	return max(0, min(retryAt.Sub(date), maxPause))
}
