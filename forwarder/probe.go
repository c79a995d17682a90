package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// Probe sends a GET request to a server without using a slot of the limiter, and returns the status and the header of the
// response. Errors are those of the connection and of the context.
func (f *Forwarder) Probe(ctx context.Context, s sycamorevane.Server, path string) (int, http.Header, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, nil, errors.New("context of a probe has no deadline")
	}
	conn, err := f.pools.get(&s, f.entryCount(1), time.Now()).get(ctx, maxIdle, deadline)
	if err != nil {
		return 0, nil, err
	}
	conn.beginExchange(time.Until(deadline))
	_ = conn.SetReadDeadline(deadline)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+path, http.NoBody)
	if err != nil {
		conn.pool.discard(conn)
		return 0, nil, errors.Trace(err)
	}
	req.Header["User-Agent"] = []string{""}
	sentAt := time.Now()
	resp, dropped, err := f.exchangeProbe(conn, req)
	if err != nil {
		conn.pool.discard(conn)
		return 0, nil, err
	}
	f.reportDirective(&s, resp, sentAt)
	if dropped || resp.Close || endsWithConnection(resp) {
		conn.pool.discard(conn)
	} else {
		conn.serverIdleTimeout = keepAliveTimeout(resp.Header)
		conn.pool.put(conn, time.Now())
	}
	return resp.StatusCode, resp.Header, nil
}

// exchangeProbe sends a probe and reads its response. A probe has no request ID: a response with one is a late second response
// to an earlier request, which is dropped. dropped reports that there was one.
func (f *Forwarder) exchangeProbe(conn *serverConn, req *http.Request) (resp *http.Response, dropped bool, err error) {
	conn.probed = true
	if err := req.Write(conn.w); err != nil {
		return nil, false, errors.Trace(err)
	}
	if err := conn.w.Flush(); err != nil {
		return nil, false, errors.Trace(err)
	}
	for range maxInformational {
		resp, err := conn.readResponse(req)
		if err != nil {
			return nil, dropped, errors.Trace(err)
		}
		if resp.StatusCode < http.StatusOK {
			return nil, dropped, errors.New("probe got an informational response")
		}
		// The connection is reused only after the complete response.
		if _, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBodyBytes); err != io.EOF {
			return nil, dropped, errors.New("response to a probe is incomplete or too long")
		}
		if !f.dialect.KeepRequestID || !conn.reused || resp.Header.Get(f.dialect.RequestID) == "" {
			return resp, dropped, nil
		}
		dropped = true
	}
	return nil, dropped, errors.New("probe got only responses to earlier requests")
}
