package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	callerTimeout = 30 * time.Second
	// maxEntriesBytes bounds the response of /.vane/entries.
	maxEntriesBytes = 1 << 20
)

// CallerConfig describes a fake caller.
type CallerConfig struct {
	// Service is the service requested from /.vane/entries; Host is the Host header of calls.
	Service   string
	Host      string
	Workspace string
	// Token is sent as a bearer credential when set.
	Token string
	// Seeds are the host:port of caller listeners that are queried when no known entry responds.
	Seeds []string
	// Timeout is sent as X-Timeout-Ms when set.
	Timeout time.Duration
}

// Entry is one item in the response of /.vane/entries.
type Entry struct {
	Addr   string `json:"addr"`
	DC     string `json:"dc"`
	Weight int    `json:"weight"`
}

// Call is one request of the fake caller.
type Call struct {
	// ID is sent in HeaderCallID; empty generates a new one.
	ID             string
	Method         string
	Path           string
	IdempotencyKey string
	Body           io.Reader
	Header         http.Header
	// EntryAddr is the host:port of the entry to use; empty chooses one by weight.
	EntryAddr string
}

// Result is how a call ended.
type Result struct {
	ID        string
	EntryAddr string
	Status    int
	Header    http.Header
	Body      []byte
	// Err is set when no complete response arrived.
	Err     error
	Start   time.Time
	Latency time.Duration
}

// NotRun reports whether the response says that the request has not run.
func (r *Result) NotRun() bool { return r.Err == nil && r.Header.Get("X-Not-Run") == "true" }

// Caller requests the list of entries, caches it for its TTL and sends calls directly to the entries.
type Caller struct {
	cfg    CallerConfig
	client *http.Client

	mu              sync.Mutex
	entries         []Entry
	entriesExpireAt time.Time
}

// NewCaller returns a caller. Close ends its idle connections.
func NewCaller(cfg CallerConfig) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:  true,
	}
	return &Caller{cfg: cfg, client: &http.Client{Transport: transport, Timeout: callerTimeout}}
}

// Close ends idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends one call and reads the whole response. It never sends the call twice.
func (c *Caller) Do(ctx context.Context, call Call) Result {
	if call.ID == "" {
		call.ID = fmt.Sprintf("%016x", rand.Uint64())
	}
	res := Result{ID: call.ID, Start: time.Now()}
	entry := call.EntryAddr
	if entry == "" {
		entry, res.Err = c.chooseEntry(ctx)
		if res.Err != nil {
			return res
		}
	}
	res.EntryAddr = entry
	res.Err = c.roundTrip(ctx, call, &res)
	res.Latency = time.Since(res.Start)
	return res
}

func (c *Caller) roundTrip(ctx context.Context, call Call, res *Result) error {
	if call.Method == "" {
		call.Method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+res.EntryAddr+call.Path, call.Body)
	if err != nil {
		return errors.Trace(err)
	}
	req.GetBody = nil // Without GetBody, net/http does not resend a request that has a body.
	c.setHeaders(req, call)
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	res.Status = resp.StatusCode
	res.Header = resp.Header
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	res.Body = body.Bytes()
	return errors.Trace(err)
}

func (c *Caller) setHeaders(req *http.Request, call Call) {
	req.Host = c.cfg.Host
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderCallID, call.ID)
	if c.cfg.Workspace != "" {
		req.Header.Set("X-Firm", c.cfg.Workspace)
	}
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	if call.IdempotencyKey != "" {
		// With a lower-case key, net/http does not recognize the header and so does not retry the request by itself on a
		// broken connection.
		req.Header["idempotency-key"] = []string{call.IdempotencyKey}
	}
	if c.cfg.Timeout > 0 {
		req.Header.Set("X-Timeout-Ms", strconv.FormatInt(c.cfg.Timeout.Milliseconds(), 10))
	}
}

// Entries returns the known entries after refreshing them when their TTL has passed.
func (c *Caller) Entries(ctx context.Context) ([]Entry, error) {
	c.mu.Lock()
	known, fresh := c.entries, time.Now().Before(c.entriesExpireAt)
	c.mu.Unlock()
	if fresh && len(known) > 0 {
		return known, nil
	}
	addrs := make([]string, 0, len(known)+len(c.cfg.Seeds))
	for _, e := range known {
		addrs = append(addrs, e.Addr)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = append(addrs, c.cfg.Seeds...)
	var lastErr error
	for _, addr := range addrs {
		if lastErr = c.fetchEntries(ctx, addr); lastErr == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.entries, nil
		}
	}
	return nil, errors.Annotatef(lastErr, "none of %d entries responded", len(addrs))
}

func (c *Caller) fetchEntries(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + addr + "/.vane/entries?service=" + c.cfg.Service
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Entries []Entry `json:"entries"`
		TTL     int64   `json:"ttl"`
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("entry %s answered %d", addr, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEntriesBytes)).Decode(&answer); err != nil {
		return errors.Trace(err)
	}
	if len(answer.Entries) == 0 {
		return errors.Errorf("entry %s returned an empty list of entries", addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = answer.Entries
	c.entriesExpireAt = time.Now().Add(time.Duration(answer.TTL) * time.Millisecond)
	return nil
}

func (c *Caller) chooseEntry(ctx context.Context) (string, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return "", errors.Trace(err)
	}
	total := 0
	for _, e := range entries {
		total += max(1, e.Weight)
	}
	n := rand.IntN(total)
	for _, e := range entries {
		n -= max(1, e.Weight)
		if n < 0 {
			return e.Addr, nil
		}
	}
	return entries[0].Addr, nil
}
