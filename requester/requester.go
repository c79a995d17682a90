// Package requester is the client side of the operator interface, used by the commands `do` and `show`.
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
	// DefaultTimeout bounds a command with all its resends; an election takes up to 2 s.
	DefaultTimeout = 30 * time.Second
	// attemptTimeout is above commander.DefaultTimeout, so that the host's own answer arrives first.
	attemptTimeout = commander.DefaultTimeout + time.Second
	// nextPause is the wait before the next address, roundPause after all addresses were tried.
	nextPause  = 50 * time.Millisecond
	roundPause = 500 * time.Millisecond
	// maxPause bounds how long a Retry-After is obeyed.
	maxPause = 5 * time.Second
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 32 << 20
)

// Config holds what a Client is built from.
type Config struct {
	// Addrs are the operator addresses of all control hosts, as host:port or URL.
	Addrs []string
	Token string
	// Timeout bounds a command with all its resends; zero means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the client to use; nil means one that keeps no connection between attempts.
	HTTP *http.Client
}

// Client talks to whichever control host answers.
type Client struct {
	cfg Config
	// at is the address to try first: the one that answered last.
	at int
}

// Command is a command in its external form.
type Command struct {
	ID   string  `json:"id"`
	Op   string  `json:"op"`
	Args any     `json:"args"`
	If   *uint64 `json:"if,omitempty"`
}

// NotAppliedError says that a command was decided and not applied.
type NotAppliedError struct{ Outcome applier.Outcome }

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("command %s was not applied (%s): %s", e.Outcome.ID, e.Outcome.Result, e.Outcome.Reason)
}

// UnknownError says that a command may or may not have been applied.
type UnknownError struct {
	ID   string
	Last error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of command %s is unknown; resend it with -id %s (last attempt: %v)", e.ID, e.ID, e.Last)
}

// RejectedError says that a control host does not accept the request as it is.
type RejectedError struct {
	Status int
	Fault  responder.Fault
}

func (e *RejectedError) Error() string {
	if e.Fault.Field == "" {
		return fmt.Sprintf("control answered %d: %s", e.Status, e.Fault.Error)
	}
	return fmt.Sprintf("control answered %d: %s (field %q)", e.Status, e.Fault.Error, e.Fault.Field)
}

// New returns a client. Errors: no address, no token.
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

// NewID returns an id for one command.
func NewID() string { return rand.Text() }

// Send sends a command and resends it with the same id until a control host decides it. An empty id gets a new one.
// Errors: *RejectedError, *UnknownError, and with the answer *sycamorevane.VersionConflictError and *NotAppliedError.
func (c *Client) Send(ctx context.Context, cmd Command) (commander.CommandResponse, error) {
	var a commander.CommandResponse
	if cmd.ID == "" {
		cmd.ID = NewID()
	}
	body, err := json.Marshal(cmd)
	if err != nil {
		return a, errors.Trace(err)
	}
	data, err := c.attempts(ctx, http.MethodPost, "/v1/commands", body)
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return a, err
	}
	if err != nil {
		return a, &UnknownError{ID: cmd.ID, Last: err}
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, &UnknownError{ID: cmd.ID, Last: err}
	}
	if conflict := a.Conflict(); conflict != nil {
		return a, conflict
	}
	if a.Result == applier.ResultRefused {
		return a, &NotAppliedError{Outcome: a.Outcome}
	}
	return a, nil
}

// Query reads a path of the operator interface from the first control host that can answer.
func (c *Client) Query(ctx context.Context, path string) ([]byte, error) {
	return c.attempts(ctx, http.MethodGet, path, nil)
}

// attempts goes through the addresses until one gives a final answer or the time is over.
func (c *Client) attempts(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var last error
	for n := 1; ; n++ {
		addr := c.cfg.Addrs[c.at]
		data, wait, err := c.attempt(ctx, method, addr+path, body)
		if err == nil {
			return data, nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			return nil, err
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		c.at = (c.at + 1) % len(c.cfg.Addrs)
		pause := nextPause
		if n%len(c.cfg.Addrs) == 0 {
			pause = max(roundPause, wait)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, errors.Annotatef(last, "no control host answered in %v", c.cfg.Timeout)
		}
	}
}

// attempt asks one address. It returns the wait asked for with an error that another attempt may not meet.
func (c *Client) attempt(ctx context.Context, method, url string, body []byte) ([]byte, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &RejectedError{Fault: responder.Fault{Error: err.Error()}}
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, 0, errors.Annotatef(err, "answer of %s", url)
	}
	if len(data) > maxAnswer {
		return nil, 0, errors.Errorf("answer of %s is above %d bytes", url, maxAnswer)
	}
	return classify(res, data)
}

func classify(res *http.Response, data []byte) ([]byte, time.Duration, error) {
	var fault responder.Fault
	decided := res.StatusCode == http.StatusOK || res.StatusCode == http.StatusConflict || res.StatusCode == http.StatusUnprocessableEntity
	if decided && json.Valid(data) {
		return data, 0, nil
	}
	_ = json.Unmarshal(data, &fault)
	if fault.Error == "" {
		fault.Error = http.StatusText(res.StatusCode)
	}
	if !decided && res.StatusCode < http.StatusInternalServerError {
		return nil, 0, &RejectedError{Status: res.StatusCode, Fault: fault}
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	wait := min(time.Duration(seconds)*time.Second, maxPause)
	return nil, wait, errors.Errorf("%s answered %d: %s", res.Request.URL.Host, res.StatusCode, fault.Error)
}
