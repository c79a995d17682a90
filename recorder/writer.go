package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"sycamorevane.example/sycamorevane"
)

// maxQueuedLines limits the lines that wait for a slow reader. It covers a few seconds of the busiest host and at most
// 2 MB.
const maxQueuedLines = 4096

// Writer queues lines and writes them in a goroutine, so that callers do not block if the reader of out has stopped.
// Lines are dropped while the queue is full; a log line reports their number.
type Writer struct {
	out     io.Writer
	lines   *sycamorevane.Ring[[]byte]
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
}

// NewWriter returns a Writer that writes to out. It must be closed for the last queued lines to be written.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: sycamorevane.NewRing[[]byte](maxQueuedLines), stop: make(chan struct{})}
	w.done.Go(w.loop)
	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.lines.Push(append([]byte(nil), p...)) {
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the queued lines, for at most closeTimeout.
func (w *Writer) Close() error {
	close(w.stop)
	finished := make(chan struct{})
	go func() {
		w.done.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(closeTimeout): // The reader has stopped, so the rest cannot be written.
	}
	return nil
}

// closeTimeout limits how long Close waits for the reader of out.
const closeTimeout = 200 * time.Millisecond

func (w *Writer) loop() {
	for {
		w.writeQueued()
		select {
		case <-w.lines.Wake():
		case <-w.stop:
			w.writeQueued()
			return
		}
	}
}

func (w *Writer) writeQueued() {
	for line, ok := w.lines.Pop(); ok; line, ok = w.lines.Pop() {
		if n := w.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n)
		}
		_, _ = w.out.Write(line) // An error of the log itself cannot be logged.
	}
}
