package forwarder

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// maxPrefixBytes is how much of a request body is kept for fingerprint, digest and replay.
	maxPrefixBytes = 64 << 10
	// prefixTimeout is how long the prefix of a body of unknown length is awaited before the request is sent, so
	// that two-way streams start without delay.
	prefixTimeout = 20 * time.Millisecond
)

var errBodyTooLarge = errors.New("request body is above the service's limit")

// upload is the body of a caller's request.
type upload struct {
	*prefixBuffer
	body   io.Reader
	rc     *http.ResponseController
	length int64
	// remaining is how many bytes the service's limit still allows.
	remaining       int64
	progressTimeout time.Duration
	tooLarge        atomic.Bool
	// readToEnd is set when the caller's body was read to its proper end.
	readToEnd atomic.Bool
	aborted   atomic.Bool
	// readDeadlineNs is when the present read of the caller's body times out, in Unix ns; 0 between reads.
	readDeadlineNs atomic.Int64
	// fillDone is closed when the goroutine of a body of unknown length has ended; nil without one.
	fillDone chan struct{}
}

func newUpload(r *http.Request, rc *http.ResponseController, limit int64, progressTimeout time.Duration) *upload {
	u := &upload{body: r.Body, rc: rc, length: r.ContentLength, remaining: limit, progressTimeout: progressTimeout}
	size := maxPrefixBytes
	if u.length >= 0 && u.length < maxPrefixBytes {
		size = int(u.length) + 1 // One more byte, so that the end is seen.
	}
	u.prefixBuffer = newPrefixBuffer(u, size)
	return u
}

// readPrefix reads the prefix. The prefix of a body of known length, and of a keyed request, is awaited without
// holding a server's slot.
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
	if u.remaining < 0 {
		u.tooLarge.Store(true)
		return 0, errBodyTooLarge
	}
	if err == io.EOF {
		u.readToEnd.Store(true)
		// The server watches the connection for its end from here on, which must not time out.
		_ = u.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// stalled reports whether the caller has made no progress. net/http cancels the request's context before a read
// that timed out returns, so that the end of the context alone does not mean that the caller has left.
func (u *upload) stalled() bool {
	deadlineNs := u.readDeadlineNs.Load()
	return deadlineNs != 0 && !u.readToEnd.Load() && !u.aborted.Load() && time.Now().UnixNano() >= deadlineNs
}

// abort makes reads from the caller fail, so that no goroutine of the request stays behind.
func (u *upload) abort() {
	u.aborted.Store(true)
	if !u.readToEnd.Load() {
		_ = u.rc.SetReadDeadline(time.Unix(1, 0))
	}
	if u.fillDone != nil {
		<-u.fillDone
	}
}
