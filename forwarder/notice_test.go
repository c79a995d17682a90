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

// notices collects what servers ask for.
type notices struct {
	mu   sync.Mutex
	list []sycamorevane.ServerDirective
}

func (n *notices) take(_ string, notice sycamorevane.ServerDirective) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = append(n.list, notice)
}

func (n *notices) all() []sycamorevane.ServerDirective {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list
}

// Guards against servers whose wishes are not heard, in any kind of answer.
func TestNotices(t *testing.T) {
	const shed = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nX-Request-Id: ID\r\nContent-Length: 0\r\n"
	leaves, second := sycamorevane.ServerDirective{Leaving: true}, sycamorevane.ServerDirective{Pause: time.Second}
	cases := map[string]struct {
		answer string
		want   sycamorevane.ServerDirective
	}{
		"good answer":            {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 2\r\n\r\nok", leaves},
		"answer in chunks":       {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", leaves},
		"failed answer":          {"HTTP/1.1 500 Error\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n", leaves},
		"refusal":                {shed + "X-Leaves: 1\r\n\r\n", leaves},
		"refusal with a pause":   {shed + "Retry-After: 1\r\n\r\n", second},
		"both":                   {shed + "X-Leaves: 1\r\nRetry-After: 1\r\n\r\n", sycamorevane.ServerDirective{Leaving: true, Pause: time.Second}},
		"another server's":       {"HTTP/1.1 421 Misdirected\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n", sycamorevane.ServerDirective{}},
		"another request's":      {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: other\r\nX-Leaves: 1\r\nContent-Length: 0\r\n\r\n", sycamorevane.ServerDirective{}},
		"pause in a good answer": {"HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", sycamorevane.ServerDirective{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, server := newScript(t, once(c.answer, 0))
			n := &notices{}
			r := newRig(t, withRules(func(cfg *Config, _ *sycamorevane.State) {
				cfg.Dialect.Leaving, cfg.OnDirective = "X-Leaves", n.take
			}), server)
			_, _, _ = r.do("POST", "/set/x", "")
			got := sycamorevane.ServerDirective{}
			for _, notice := range n.all() {
				got = notice
			}
			require.Equal(t, c.want, got)
		})
	}
	t.Run("answer to a question", func(t *testing.T) {
		_, server := newScript(t, once("HTTP/1.1 503 Unavailable\r\nX-Leaves: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", 0))
		n := &notices{}
		r := newRig(t, withRules(func(cfg *Config, _ *sycamorevane.State) {
			cfg.Dialect.Leaving, cfg.OnDirective = "X-Leaves", n.take
		}), server)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _, err := r.f.Ask(ctx, server, "/health")
		require.NoError(t, err)
		require.Equal(t, []sycamorevane.ServerDirective{{Leaving: true, Pause: 2 * time.Second}}, n.all())
	})
	t.Run("before a long answer has ended", func(t *testing.T) {
		heard := make(chan struct{})
		_, server := newScript(t, once("HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: ID\r\nX-Leaves: 1\r\nContent-Length: 600000\r\n\r\n"+
			strings.Repeat("x", 300000), 200*time.Millisecond))
		r := newRig(t, withRules(func(cfg *Config, _ *sycamorevane.State) {
			cfg.Dialect.Leaving, cfg.OnDirective = "X-Leaves", func(string, sycamorevane.ServerDirective) { close(heard) }
		}), server)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _, _ = r.do("POST", "/set/x", "")
		}()
		select {
		case <-heard:
		case <-ended:
			t.Fatal("heard at its end only")
		}
		<-ended
	})
}

// Guards against times that cannot be read, and against one that takes a server out for good.
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
			require.Equal(t, c.want, pauseOf(h))
		})
	}
}
