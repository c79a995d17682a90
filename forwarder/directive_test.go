package forwarder

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// directiveRecorder records the directives of servers.
type directiveRecorder struct {
	mu         sync.Mutex
	directives []sycamorevane.ServerDirective
}

func (r *directiveRecorder) record(_ string, directive sycamorevane.ServerDirective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directives = append(r.directives, directive)
}

func (r *directiveRecorder) all() []sycamorevane.ServerDirective {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directives
}

// Guards against directives of servers that are missed in some kinds of responses.
func TestNotices(t *testing.T) {
	const notRunHeader = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nX-Request-Id: ID\r\nContent-Length: 0\r\n"
	leaving, oneSecondPause := sycamorevane.ServerDirective{Leaving: true}, sycamorevane.ServerDirective{Pause: time.Second}
	cases := map[string]struct {
		response string
		want     sycamorevane.ServerDirective
	}{
		"good answer":            {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 2\r\n\r\nok", leaving},
		"answer in chunks":       {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", leaving},
		"failed answer":          {"HTTP/1.1 500 Error\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n", leaving},
		"refusal":                {notRunHeader + "X-Leaves: 1\r\n\r\n", leaving},
		"refusal with a pause":   {notRunHeader + "Retry-After: 1\r\n\r\n", oneSecondPause},
		"both":                   {notRunHeader + "X-Leaves: 1\r\nRetry-After: 1\r\n\r\n", sycamorevane.ServerDirective{Leaving: true, Pause: time.Second}},
		"another server's":       {"HTTP/1.1 421 Misdirected\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n", sycamorevane.ServerDirective{}},
		"another request's":      {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: other\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n", sycamorevane.ServerDirective{}},
		"pause in a good answer": {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", sycamorevane.ServerDirective{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, server := newScriptedServer(t, respondOnce(c.response, 0))
			recorder := &directiveRecorder{}
			r := newTestRig(t, withRules(func(cfg *Config, _ *sycamorevane.State) {
				cfg.Dialect.Leaving, cfg.OnDirective = "X-Leaves", recorder.record
			}), server)
			_, _, _ = r.do("POST", "/set/x", "")
			got := sycamorevane.ServerDirective{}
			for _, directive := range recorder.all() {
				got = directive
			}
			require.Equal(t, c.want, got)
		})
	}
	t.Run("answer to a question", func(t *testing.T) {
		_, server := newScriptedServer(t, respondOnce("HTTP/1.1 503 Unavailable\r\nX-Leaves: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", 0))
		recorder := &directiveRecorder{}
		r := newTestRig(t, withRules(func(cfg *Config, _ *sycamorevane.State) {
			cfg.Dialect.Leaving, cfg.OnDirective = "X-Leaves", recorder.record
		}), server)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _, err := r.f.Probe(ctx, server, "/health")
		require.NoError(t, err)
		require.Equal(t, []sycamorevane.ServerDirective{{Leaving: true, Pause: 2 * time.Second}}, recorder.all())
	})
	t.Run("before a long answer has ended", func(t *testing.T) {
		directiveReceived := make(chan struct{})
		_, server := newScriptedServer(t, respondOnce("HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 600000\r\n\r\n"+
			strings.Repeat("x", 300000), 200*time.Millisecond))
		r := newTestRig(t, withRules(func(cfg *Config, _ *sycamorevane.State) {
			cfg.Dialect.Leaving, cfg.OnDirective = "X-Leaves", func(string, sycamorevane.ServerDirective) { close(directiveReceived) }
		}), server)
		requestEnded := make(chan struct{})
		go func() {
			defer close(requestEnded)
			_, _, _ = r.do("POST", "/set/x", "")
		}()
		select {
		case <-directiveReceived:
		case <-requestEnded:
			t.Fatal("the directive was reported only after the end of the response")
		}
		<-requestEnded
	})
}

// Guards against values that cannot be parsed, and against one that excludes a server forever.
func TestPauseOf(t *testing.T) {
	const date = "Wed, 02 Dec 2026 10:00:00 GMT"
	cases := map[string]struct {
		value, date string
		want        time.Duration
	}{
		"absent":             {"", "", 0},
		"seconds":            {"2", "", 2 * time.Second},
		"fraction":           {"0.25", "", 250 * time.Millisecond},
		"zero":               {"0", "", 0},
		"negative":           {"-3", "", 0},
		"not a number":       {"soon", "", 0},
		"not a number, NaN":  {"NaN", "", 0},
		"infinite":           {"Inf", "", maxPause},
		"absurdly long":      {"99999999999999999999", "", maxPause},
		"date":               {"Wed, 02 Dec 2026 10:00:07 GMT", date, 7 * time.Second},
		"date in the past":   {"Wed, 02 Dec 2026 09:00:00 GMT", date, 0},
		"date, far":          {"Wed, 02 Dec 2099 10:00:07 GMT", date, maxPause},
		"date without basis": {"Wed, 02 Dec 2026 10:00:07 GMT", "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := http.Header{}
			if c.value != "" {
				h.Set("Retry-After", c.value)
			}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			require.Equal(t, c.want, parsePause(h))
		})
	}
}
