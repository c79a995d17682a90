package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
)

// Ask sends a request of the system's own to a server and returns the header of the answer. It takes no slot of the
// limiter. Errors: those of the connection, the context's.
func (f *Forwarder) Ask(ctx context.Context, s sycamorevane.Server, path string) (int, http.Header, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, nil, errors.New("a probe needs a deadline")
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
	resp, err := exchangeProbe(conn, req)
	if err != nil {
		conn.pool.discard(conn)
		return 0, nil, err
	}
	f.reportDirective(&s, resp)
	if resp.Close || endsWithConnection(resp) {
		conn.pool.discard(conn)
	} else {
		conn.serverIdleTimeout = keepAliveTimeout(resp.Header)
		conn.pool.put(conn, time.Now())
	}
	return resp.StatusCode, resp.Header, nil
}

func exchangeProbe(conn *serverConn, req *http.Request) (*http.Response, error) {
	if err := req.Write(conn.w); err != nil {
		return nil, errors.Trace(err)
	}
	if err := conn.w.Flush(); err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := conn.readResponse(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode < http.StatusOK {
		return nil, errors.New("answer to a probe is provisional")
	}
	// The connection is used again only after the whole answer.
	if _, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBodyBytes); err != io.EOF {
		return nil, errors.New("answer to a probe is broken or too long")
	}
	return resp, nil
}
