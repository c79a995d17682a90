package assembler

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane/faker"
)

// Guards against entries that refuse the first calls after an idle period, during which their loops pause.
func TestFirstCallsAfterIdleTime(t *testing.T) {
	s := start(t, 3, 5)
	for _, dc := range s.Config.DCs {
		for range 2 {
			startServer(t, s, dc, "1")
		}
	}
	c := faker.NewCaller(faker.CallerConfig{Service: "flagboard", Host: "flagboard", Seeds: s.CallerAddrs(), Timeout: 5 * time.Second})
	t.Cleanup(c.Close)
	for _, idle := range []time.Duration{1500 * time.Millisecond, time.Second, 2 * time.Second} {
		time.Sleep(idle)
		for _, entry := range s.CallerAddrs() {
			r := c.Do(t.Context(), faker.Call{Method: http.MethodGet, Path: "/pond", EntryAddr: entry})
			require.NoError(t, r.Err)
			require.Equal(t, http.StatusOK, r.Status, "after %v idle: %s", idle, r.Body)
		}
	}
}
