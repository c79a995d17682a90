// Package requester is the client of the operator API, used by the commands `do` and `show`.
package requester

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/applier"
	"sycamorevane.example/sycamorevane/commander"
	"sycamorevane.example/sycamorevane/responder"
)

const (
	// DefaultTimeout limits a command including all its resends. It allows for the election of a leader, up to 2 s.
	DefaultTimeout = 30 * time.Second
	// attemptTimeout exceeds commander.DefaultTimeout, so that the host's response to its own time-out still arrives.
	attemptTimeout = commander.DefaultTimeout + time.Second
	// addressPause is the delay before the next address, roundPause the delay after all addresses have been tried.
	addressPause = 50 * time.Millisecond
	roundPause   = 500 * time.Millisecond
	// maxRetryAfter limits the delay that a host can request by Retry-After.
	maxRetryAfter    = 5 * time.Second
	maxResponseBytes = 32 << 20
)

// Config holds the settings of a Client.
type Config struct {
	// Addrs are the operator addresses of all control hosts, as host:port or URL.
	Addrs []string
	Token string
	// Timeout limits a command including all its resends; zero means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the HTTP client; nil means one that opens a new connection for each attempt.
	HTTP *http.Client
}

// Client sends each request to the control hosts in turn until one of them answers.
type Client struct {
	cfg Config
	// addrIndex is the index of the address to try first: the one that answered the last request.
	addrIndex int
}

// Command is a command as sent to the operator API.
type Command struct {
	ID              string  `json:"id"`
	Op              string  `json:"op"`
	Args            any     `json:"args"`
	ExpectedVersion *uint64 `json:"if,omitempty"`
}

// NotAppliedError is returned for a command whose outcome is that it was not applied.
type NotAppliedError struct{ Outcome applier.Outcome }

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("command %s was not applied (%s): %s", e.Outcome.ID, e.Outcome.Result, e.Outcome.Reason)
}

// UnknownOutcomeError is returned if a command may or may not have been applied.
type UnknownOutcomeError struct {
	ID      string
	LastErr error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of command %s is unknown; resend it with -id %s (last attempt: %v)", e.ID, e.ID, e.LastErr)
}

// RejectedError is returned if a control host rejects the request, so that sending it again would not help.
type RejectedError struct {
	Status   int
	Response responder.ErrorResponse
}

func (e *RejectedError) Error() string {
	if e.Response.Field == "" {
		return fmt.Sprintf("control answered %d: %s", e.Status, e.Response.Error)
	}
	return fmt.Sprintf("control answered %d: %s (field %q)", e.Status, e.Response.Error, e.Response.Field)
}

// New returns a client. It fails if cfg has no address or no token.
func New(cfg Config) (*Client, error) {
	if len(cfg.Addrs) == 0 {
		return nil, errors.New("no control address given: use -control or SYCAMOREVANE_CONTROL")
	}
	if cfg.Token == "" {
		return nil, errors.New("no operator token given: use -token or SYCAMOREVANE_TOKEN")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	cfg.Addrs = slices.Clone(cfg.Addrs)
	for i, addr := range cfg.Addrs {
		if !strings.Contains(addr, "://") {
			cfg.Addrs[i] = "http://" + addr
		}
	}
	return &Client{cfg: cfg}, nil
}

// NewID returns a new random id for a command.
func NewID() string { return rand.Text() }

// Send sends a command and resends it with the same id until a control host reports its outcome or rejects it. It
// generates an id if cmd has none. Errors: *RejectedError and *UnknownOutcomeError without a response;
// *sycamorevane.VersionConflictError and *NotAppliedError together with the response.
func (c *Client) Send(ctx context.Context, cmd Command) (commander.CommandResponse, error) {
	var resp commander.CommandResponse
	if cmd.ID == "" {
		cmd.ID = NewID()
	}
	body, err := json.Marshal(cmd)
	if err != nil {
		return resp, errors.Trace(err)
	}
	data, err := c.request(ctx, http.MethodPost, "/v1/commands", body)
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return resp, err
	}
	if err != nil {
		return resp, &UnknownOutcomeError{ID: cmd.ID, LastErr: err}
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return resp, &UnknownOutcomeError{ID: cmd.ID, LastErr: err}
	}
	if conflict := resp.Conflict(); conflict != nil {
		return resp, conflict
	}
	if resp.Result == applier.ResultRefused {
		return resp, &NotAppliedError{Outcome: resp.Outcome}
	}
	return resp, nil
}

// Query returns the response to a GET request for path from the first control host that can answer.
func (c *Client) Query(ctx context.Context, path string) ([]byte, error) {
	return c.request(ctx, http.MethodGet, path, nil)
}

// request tries the addresses in turn until a host gives a final response or the time-out expires.
func (c *Client) request(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var lastErr error
	for n := 1; ; n++ {
		addr := c.cfg.Addrs[c.addrIndex]
		data, retryAfter, err := c.requestOnce(ctx, method, addr+path, body)
		if err == nil {
			return data, nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			return nil, err
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		c.addrIndex = (c.addrIndex + 1) % len(c.cfg.Addrs)
		pause := addressPause
		if n%len(c.cfg.Addrs) == 0 {
			pause = max(roundPause, retryAfter)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, errors.Annotatef(lastErr, "no control host answered in %v", c.cfg.Timeout)
		}
	}
}

// requestOnce sends the request to one address. With an error after which another attempt may succeed, it returns the
// delay that the host requested by Retry-After.
func (c *Client) requestOnce(ctx context.Context, method, url string, body []byte) ([]byte, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &RejectedError{Response: responder.ErrorResponse{Error: err.Error()}}
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, 0, errors.Annotatef(err, "answer of %s", url)
	}
	if len(data) > maxResponseBytes {
		return nil, 0, errors.Errorf("answer of %s is above %d bytes", url, maxResponseBytes)
	}
	return classifyResponse(res, data)
}

func classifyResponse(res *http.Response, data []byte) ([]byte, time.Duration, error) {
	var response responder.ErrorResponse
	hasOutcome := res.StatusCode == http.StatusOK || res.StatusCode == http.StatusConflict || res.StatusCode == http.StatusUnprocessableEntity
	if hasOutcome && json.Valid(data) {
		return data, 0, nil
	}
	_ = json.Unmarshal(data, &response)
	if response.Error == "" {
		response.Error = http.StatusText(res.StatusCode)
	}
	if !hasOutcome && res.StatusCode < http.StatusInternalServerError {
		return nil, 0, &RejectedError{Status: res.StatusCode, Response: response}
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	retryAfter := min(time.Duration(seconds)*time.Second, maxRetryAfter)
	return nil, retryAfter, errors.Errorf("%s answered %d: %s", res.Request.URL.Host, res.StatusCode, response.Error)
}
