package runner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/faker"
)

// Guards against servers that send a probe response without end, which would fill the memory of the host.
func TestEndlessProbeResponses(t *testing.T) {
	cases := map[string]faker.EndlessResponse{
		"header": {Prefix: "HTTP/1.1 200 OK\r\n", Repeated: "X-Fill: " + strings.Repeat("x", 4000) + "\r\n", Interval: 10 * time.Millisecond},
		"body":   {Prefix: "HTTP/1.1 200 OK\r\n\r\n{\"state\":\"", Repeated: strings.Repeat("x", 4000), Interval: 10 * time.Millisecond},
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			server, err := faker.NewEndlessServer(response)
			require.NoError(t, err)
			defer server.Close()
			require.Error(t, probe(ctx, sycamorevane.Server{Addr: server.Addr()}))
			require.NoError(t, ctx.Err(), "the probe must end when its limit is reached")
		})
	}
}
