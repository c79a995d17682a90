package coordinator

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/dispatcher"
)

// Guards against the load of another server that now uses the address, and against a new connection for each probe.
func TestProbe(t *testing.T) {
	conns := sycamorevane.NewSet[string]()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns.Add(r.RemoteAddr)
		w.Header().Set("Name", "x")
		w.Header().Set("Running", "3")
		w.Header().Set("Cold", "250")
	}))
	defer h.Close()
	p := NewProber(ProberConfig{InstanceHeader: "Name", ColdHeader: "Cold", Log: logr.Discard(), ParseLoad: func(h http.Header) *sycamorevane.LoadReport {
		n, _ := strconv.Atoi(h.Get("Running"))
		return &sycamorevane.LoadReport{Running: n}
	}})
	defer p.Close()
	s := sycamorevane.Server{ID: "x@1", InstanceName: "x", Addr: h.Listener.Addr().String()}
	for range 3 {
		r := p.Probe(t.Context(), s, "/health")
		require.Equal(t, dispatcher.ProbeResult{Answered: true, Load: &sycamorevane.LoadReport{Running: 3}, ColdRemaining: 250 * time.Millisecond}, r)
	}
	require.Len(t, conns, 1)
	s.InstanceName = "y"
	r := p.Probe(t.Context(), s, "/health")
	require.True(t, r.AddressReused)
	require.Nil(t, r.Load)
	h.Close()
	require.False(t, p.Probe(t.Context(), s, "/health").Answered)
}
