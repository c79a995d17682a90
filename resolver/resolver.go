// Package resolver tells callers which entries to use.
package resolver

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/responder"
)

// presenceTimeout is how long the last Presence message of an entry is valid.
const presenceTimeout = 3 * time.Second

// Entry is the address of an entry that callers may use.
type Entry struct {
	Addr   string `json:"addr"`
	DC     string `json:"dc"`
	Weight int    `json:"weight"`
}

// EntriesResponse is the response to GET /.vane/entries.
type EntriesResponse struct {
	Entries []Entry `json:"entries"`
	// TTL is how long a caller may cache the response, in ms.
	TTL     int64  `json:"ttl"`
	Version uint64 `json:"version"`
}

// BuildResponse lists the entries that accept requests. Entries in drained data centres are listed only if
// there are no others.
func BuildResponse(st *sycamorevane.State, accepting func(name string) bool) EntriesResponse {
	resp := EntriesResponse{Entries: []Entry{}, TTL: st.Config.Limits.EntriesTTL.Milliseconds(), Version: st.Version}
	var drained []Entry
	for _, h := range st.Config.Hosts {
		if !h.Roles.Has(sycamorevane.RoleEntry) || !accepting(h.Name) {
			continue
		}
		e := Entry{Addr: h.CallerAddr, DC: h.DC, Weight: 1}
		if _, isDrained := st.DrainedDCs[h.DC]; isDrained {
			drained = append(drained, e)
			continue
		}
		resp.Entries = append(resp.Entries, e)
	}
	if len(resp.Entries) == 0 {
		resp.Entries = append(resp.Entries, drained...)
	}
	slices.SortFunc(resp.Entries, func(x, y Entry) int { return strings.Compare(x.Addr, y.Addr) })
	return resp
}

// Config holds the dependencies and settings of a Resolver.
type Config struct {
	Transport sycamorevane.Transport
	State     func() *sycamorevane.State
	// Accepting reports whether this entry accepts new requests.
	Accepting func() bool
	// Leaving reports whether this entry is shutting down.
	Leaving func() bool
}

// Resolver tracks which entries accept requests.
type Resolver struct {
	cfg Config

	mu    sync.Mutex
	peers map[string]presence
}

type presence struct {
	accepting  bool
	receivedAt time.Time
}

// New returns a Resolver and registers its message handler.
func New(cfg Config) *Resolver {
	r := &Resolver{cfg: cfg, peers: make(map[string]presence)}
	cfg.Transport.Handle(&encoder.Presence{}, r.onPresence)
	return r
}

// Announce sends to the other entries whether this one accepts requests. It must be called every second and on each
// change.
func (r *Resolver) Announce() {
	m := &encoder.Presence{Accepting: r.cfg.Accepting(), Leaving: r.cfg.Leaving()}
	for _, p := range r.cfg.Transport.Peers() {
		if p.Alive && p.Roles.Has(sycamorevane.RoleEntry) {
			_ = r.cfg.Transport.Send(p.Name, m)
		}
	}
}

func (r *Resolver) onPresence(from string, m proto.Message) proto.Message {
	p, _ := m.(*encoder.Presence)
	r.mu.Lock()
	r.peers[from] = presence{accepting: p.Accepting && !p.Leaving, receivedAt: time.Now()}
	r.mu.Unlock()
	return nil
}

// Accepting reports whether the named entry accepts new requests, according to its last message.
func (r *Resolver) Accepting(name string) bool {
	if name == r.cfg.Transport.Self() {
		return r.cfg.Accepting() && !r.cfg.Leaving()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[name]
	return p.accepting && time.Since(p.receivedAt) < presenceTimeout
}

// ServeHTTP handles GET /.vane/entries?service=S.
func (r *Resolver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet && req.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		responder.WriteError(w, http.StatusMethodNotAllowed, "", "use GET")
		return
	}
	st := r.cfg.State()
	if st == nil {
		w.Header().Set("Retry-After", "1")
		responder.WriteError(w, http.StatusServiceUnavailable, "", "no configuration is in force yet")
		return
	}
	service := req.URL.Query().Get("service")
	if service != "" && st.Config.Service(service) == nil {
		responder.WriteError(w, http.StatusNotFound, "", "service is not configured")
		return
	}
	resp := BuildResponse(st, r.Accepting)
	if len(resp.Entries) == 0 {
		w.Header().Set("Retry-After", "1")
		responder.WriteError(w, http.StatusServiceUnavailable, "", "no entry accepts requests")
		return
	}
	responder.WriteJSON(w, http.StatusOK, resp)
}
