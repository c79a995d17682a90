package forwarder

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a response to a change that does not say which server may have run it.
func TestUncertainResponseNamesTheServer(t *testing.T) {
	t.Parallel()
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, server := newScriptedServer(t, func(s *scriptedServer, _ int, c net.Conn) {
				_, _ = s.readRequest(bufio.NewReader(c))
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			r := newTestRig(t, nil, server)
			resp, _, err := r.do("POST", "/raise", "x")
			require.NoError(t, err)
			assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
			assert.Equal(t, "false", resp.Header.Get(headerNotRun))
			assert.Equal(t, server.ID, resp.Header.Get(headerServer))
		})
	}
	t.Run("not run", func(t *testing.T) {
		t.Parallel()
		resp, _, err := newTestRig(t, nil).do("POST", "/raise", "x")
		require.NoError(t, err)
		assert.Equal(t, "true", resp.Header.Get(headerNotRun))
		assert.Empty(t, resp.Header.Get(headerServer))
	})
}
