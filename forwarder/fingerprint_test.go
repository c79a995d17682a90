package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
)

// fingerprintRecorder is a Quarantine that admits all requests.
type fingerprintRecorder struct {
	mu   sync.Mutex
	last uint64
}

func (q *fingerprintRecorder) Admit(_ context.Context, fingerprint uint64) (Permit, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last = fingerprint
	return anyPermit{}, nil
}

type anyPermit struct{}

func (anyPermit) Start(sycamorevane.Server) bool                                { return true }
func (anyPermit) End(sycamorevane.Server, sycamorevane.OutcomeKind) (died bool) { return false }
func (anyPermit) Done()                                                         {}

// fingerprintRig sends requests through a Forwarder and returns their fingerprints.
type fingerprintRig struct {
	*testRig
	recorder *fingerprintRecorder
}

func newFingerprintRig(t *testing.T) *fingerprintRig {
	recorder := &fingerprintRecorder{}
	_, server := newBackend(t, faker.Behaviour{})
	return &fingerprintRig{newTestRig(t, func(cfg *Config, _ *sycamorevane.State) { cfg.Quarantine = recorder }, server), recorder}
}

// send sends a request whose body has a known length if it is a strings.Reader.
func (r *fingerprintRig) send(method, host, path string, body io.Reader, header ...string) uint64 {
	r.t.Helper()
	r.recorder.last = 0
	req, err := http.NewRequest(method, r.httpServer.URL+path, body)
	require.NoError(r.t, err)
	req.Host = host
	for i := 0; i+1 < len(header); i += 2 {
		req.Header[header[i]] = []string{header[i+1]}
	}
	resp, err := r.client.Do(req)
	require.NoError(r.t, err)
	require.NoError(r.t, resp.Body.Close())
	require.NotZero(r.t, r.recorder.last)
	return r.recorder.last
}

// Guards against copies of a request that are taken for different requests, and against different requests taken for copies.
func TestFingerprint(t *testing.T) {
	const host, path = "flagboard.test", "/pond/4?x=1"
	r := newFingerprintRig(t)
	text := strings.NewReader
	original := r.send("POST", host, path, text("raise"))
	for name, copied := range map[string]uint64{
		"repeated":         r.send("POST", host, path, text("raise")),
		"other request ID": r.send("POST", host, path, text("raise"), "X-Request-Id", "other"),
		"other deadline":   r.send("POST", host, path, text("raise"), "X-Timeout-Ms", "1234"),
		"host with a port": r.send("POST", "Flagboard.test:80", path, text("raise")),
	} {
		assert.Equal(t, original, copied, name)
	}
	for name, other := range map[string]uint64{
		"method":    r.send("PUT", host, path, text("raise")),
		"path":      r.send("POST", host, "/pond/5?x=1", text("raise")),
		"query":     r.send("POST", host, "/pond/4?x=2", text("raise")),
		"body":      r.send("POST", host, path, text("lower")),
		"workspace": r.send("POST", host, path, text("raise"), "X-Firm", "open"),
	} {
		assert.NotEqual(t, original, other, name)
	}
	large := strings.Repeat("x", 2*maxPrefixBytes)
	assert.Equal(t, r.send("POST", host, path, text(large)), r.send("POST", host, path, text(large)))
	assert.NotEqual(t, r.send("POST", host, path, text(large)), r.send("POST", host, path, text(large+"x")), "length")
}

// Guards against a fingerprint of a body of unknown length that depends on how much of it has arrived.
func TestFingerprintOfASlowBody(t *testing.T) {
	r := newFingerprintRig(t)
	send := func(first, second string) uint64 {
		body, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, first)
			time.Sleep(5 * prefixTimeout)
			_, _ = io.WriteString(w, second)
			_ = w.Close()
		}()
		return r.send("POST", "flagboard.test", "/pond/4", body)
	}
	require.Equal(t, send("ra", "ise"), send("rai", "se"))
}
