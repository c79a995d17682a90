package recorder

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that block because the reader of the log has stopped, and against dropped lines that are not
// reported.
func TestWriterDoesNotWaitForItsReader(t *testing.T) {
	r, out := io.Pipe()
	w := NewWriter(out)
	log := NewLogger(w, false)
	startedAt := time.Now()
	for range 3 * maxQueuedLines {
		log.Info("request failed")
	}
	require.Less(t, time.Since(startedAt), 2*time.Second)
	var buf bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&buf, r)
	}()
	require.NoError(t, w.Close())
	require.NoError(t, out.Close())
	<-read
	require.Contains(t, buf.String(), "log lines dropped")
	require.GreaterOrEqual(t, strings.Count(buf.String(), "request failed"), maxQueuedLines/2)
}
