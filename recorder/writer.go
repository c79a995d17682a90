package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"sycamorevane.example/sycamorevane"
)

// writerLines bounds the lines that wait for a slow reader: a few seconds of the busiest host, 2 MB at most.
const writerLines = 4096

// Writer passes lines on from a goroutine of its own, so that a reader that has stopped does not hold up the writers.
// Lines that find no room are dropped, and a line says how many were.
type Writer struct {
	out     io.Writer
	lines   *sycamorevane.Ring[[]byte]
	dropped atomic.Int64
	stop    chan struct{}
	done    sync.WaitGroup
}

// NewWriter returns a writer to out. Close writes what is left.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: sycamorevane.NewRing[[]byte](writerLines), stop: make(chan struct{})}
	w.done.Go(w.loop)
	return w
}

// Write implements io.Writer; it never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.lines.Push(append([]byte(nil), p...)) {
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes the lines that wait, for at most a moment.
func (w *Writer) Close() error {
	close(w.stop)
	ended := make(chan struct{})
	go func() {
		w.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeWait): // The reader has stopped.
	}
	return nil
}

// closeWait bounds the wait for a reader at the end of the process.
const closeWait = 200 * time.Millisecond

func (w *Writer) loop() {
	for {
		w.drain()
		select {
		case <-w.lines.Wake():
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for line, ok := w.lines.Pop(); ok; line, ok = w.lines.Pop() {
		if n := w.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", n)
		}
		_, _ = w.out.Write(line) // There is nowhere to report it.
	}
}
