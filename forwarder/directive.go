package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"sycamorevane.example/sycamorevane"
)

// maxPause bounds the time for which a server may ask for no requests, so that a wrong value does not take it out for good.
const maxPause = 5 * time.Minute

// reportDirective passes on what the server asks for in the header of an answer.
func (f *Forwarder) reportDirective(s *sycamorevane.Server, resp *http.Response) {
	if f.cfg.OnDirective == nil {
		return
	}
	directive := f.dialect.directive(s, resp)
	if directive.Leaving || directive.Pause > 0 {
		f.cfg.OnDirective(s.ID, directive)
	}
}

// directive reads what the server asks for. Another server that has its address by now speaks for itself only.
func (d *Dialect) directive(s *sycamorevane.Server, resp *http.Response) sycamorevane.ServerDirective {
	if d.Expect != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return sycamorevane.ServerDirective{}
	}
	if name := resp.Header.Get(d.Instance); d.Instance != "" && name != "" && name != s.InstanceName {
		return sycamorevane.ServerDirective{}
	}
	var directive sycamorevane.ServerDirective
	if d.Leaving != "" {
		directive.Leaving = resp.Header.Get(d.Leaving) == "1"
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		directive.Pause = parsePause(resp.Header)
	}
	return directive
}

// parsePause reads Retry-After: seconds, also with fractions, or a date, which counts from the date of the answer. What
// cannot be read asks for nothing.
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
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	sent, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0
	}
	return max(0, min(until.Sub(sent), maxPause))
}
