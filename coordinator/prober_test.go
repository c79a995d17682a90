package coordinator

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
)

// Guards against the load of another server that now uses the address, and against a new connection for each probe.
func TestProbe(t *testing.T) {
	conns := sycamorevane.NewSet[string]()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns.Add(r.RemoteAddr)
		w.Header().Set("Name", "x")
		w.Header().Set("Running", "3")
	}))
	defer h.Close()
	p := NewProber("Name", func(h http.Header) *sycamorevane.LoadReport {
		n, _ := strconv.Atoi(h.Get("Running"))
		return &sycamorevane.LoadReport{Running: n}
	})
	defer p.Close()
	s := sycamorevane.Server{ID: "x@1", InstanceName: "x", Addr: h.Listener.Addr().String()}
	for range 3 {
		require.Equal(t, &sycamorevane.LoadReport{Running: 3}, p.Probe(t.Context(), s, "/health"))
	}
	require.Len(t, conns, 1)
	s.InstanceName = "y"
	require.Nil(t, p.Probe(t.Context(), s, "/health"))
	h.Close()
	require.Nil(t, p.Probe(t.Context(), s, "/health"))
}
