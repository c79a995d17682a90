package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// maxPrefixBytes is how much of a request body is kept in memory for its fingerprint and for retries.
	maxPrefixBytes = 64 << 10
	// prefixTimeout is how long the prefix of a body of unknown length is awaited before the request is sent. It is short
	// so that bidirectional streams start without delay.
	prefixTimeout = 20 * time.Millisecond
)

var errBodyTooLarge = errors.New("request body is above the service's limit")

// upload is the body of a caller's request.
type upload struct {
	*prefixBuffer
	body   io.Reader
	rc     *http.ResponseController
	length int64
	// remaining is how many more bytes the service's limit allows.
	remaining       int64
	progressTimeout time.Duration
	tooLarge        atomic.Bool
	// readToEnd is set when the caller's body has been read completely.
	readToEnd atomic.Bool
	aborted   atomic.Bool
	bytesRead atomic.Int64
	// readDeadlineNs is when the current read from the caller times out, in Unix ns; 0 between reads.
	readDeadlineNs atomic.Int64
	// fillDone is closed when the goroutine that reads a body of unknown length has ended; nil without one.
	fillDone chan struct{}
}

func newUpload(ctx context.Context, r *http.Request, rc *http.ResponseController, limit int64, progressTimeout time.Duration, p *pacer) *upload {
	u := &upload{body: r.Body, rc: rc, length: r.ContentLength, remaining: limit, progressTimeout: progressTimeout}
	size := maxPrefixBytes
	if u.length >= 0 && u.length < maxPrefixBytes {
		size = int(u.length) + 1 // One more byte, so that the read also sees the end.
	}
	u.prefixBuffer = newPrefixBuffer(p.pace(ctx, u, u.length, true), size)
	return u
}

// readPrefix reads the prefix. It waits for the whole prefix if the length of the body is known or awaitPrefix is set.
// No server's slot is in use meanwhile.
func (u *upload) readPrefix(awaitPrefix bool) {
	if u.length >= 0 {
		u.fill()
		return
	}
	u.fillDone = make(chan struct{})
	go func() {
		defer close(u.fillDone)
		u.fill()
	}()
	if awaitPrefix {
		u.awaitDone(-1)
		return
	}
	u.awaitDone(prefixTimeout)
}

// Read reads from the caller with the progress timeout and the size limit.
func (u *upload) Read(p []byte) (int, error) {
	deadline := time.Now().Add(u.progressTimeout)
	u.readDeadlineNs.Store(deadline.UnixNano())
	_ = u.rc.SetReadDeadline(deadline)
	if u.aborted.Load() {
		return 0, errStopped
	}
	n, err := u.body.Read(p)
	if err == nil {
		u.readDeadlineNs.Store(0)
	}
	u.remaining -= int64(n)
	u.bytesRead.Add(int64(n))
	if u.remaining < 0 {
		u.tooLarge.Store(true)
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		u.readToEnd.Store(true)
		// From here on, net/http reads from the connection to notice when the caller disconnects; that read must not time out.
		_ = u.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// stalled reports whether the caller has stopped sending. net/http cancels the request's context before a read that
// timed out returns, so a cancelled context alone does not mean that the caller has disconnected.
func (u *upload) stalled() bool {
	deadlineNs := u.readDeadlineNs.Load()
	return deadlineNs != 0 && !u.readToEnd.Load() && !u.aborted.Load() && time.Now().UnixNano() >= deadlineNs
}

// stopReading makes reads from the caller fail.
func (u *upload) stopReading() {
	u.aborted.Store(true)
	if !u.readToEnd.Load() {
		_ = u.rc.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort makes reads from the caller fail, so that no goroutine of the request is left running.
func (u *upload) abort() {
	u.stopReading()
	if u.fillDone != nil {
		<-u.fillDone
	}
}
