package registrar

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/decoder"
	"sycamorevane.example/sycamorevane/responder"
)

const (
	// bodyLimit bounds an announcement in bytes.
	bodyLimit = 4 << 10
	maxText   = 128
	maxSlots  = 10_000
	maxConns  = 100_000
)

// announcement is the body of POST /.vane/announce.
type announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	DC      string `json:"dc"`
	Slots   int    `json:"slots"`
	Conns   int    `json:"conns"`
	State   string `json:"state"`
	Load    int    `json:"load"`
}

// leaseAnswer tells the server how long its lease lasts in ms and where to renew it.
type leaseAnswer struct {
	Lease int64  `json:"lease"`
	Entry string `json:"entry"`
}

// Handler serves the announce listener.
func (r *Registrar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /.vane/announce", r.serveAnnounce)
	mux.HandleFunc("DELETE /.vane/announce/{id}", r.serveLeave)
	return mux
}

func (r *Registrar) serveAnnounce(w http.ResponseWriter, req *http.Request) {
	var a announcement
	if err := decoder.JSON(w, req, bodyLimit, &a); err != nil {
		var body *decoder.BodyError
		errors.As(err, &body)
		responder.WriteError(w, body.Status, body.Field, body.Reason)
		return
	}
	st := r.cfg.State()
	if st == nil {
		r.unavailable(w, "no configuration is in force yet")
		return
	}
	if r.cfg.Connected != nil && !r.cfg.Connected() {
		r.unavailable(w, "entry is cut off from control and from most entries; announce at another one")
		return
	}
	if err := a.check(&st.Config); err != nil {
		responder.WriteError(w, http.StatusBadRequest, "", err.Error())
		return
	}
	owner, err := r.Announce(req.Context(), a.server())
	var left *LeftError
	if errors.As(err, &left) {
		responder.WriteError(w, http.StatusGone, "", err.Error())
		return
	}
	if err != nil {
		r.unavailable(w, err.Error())
		return
	}
	responder.WriteJSON(w, http.StatusOK, leaseAnswer{Lease: r.Lease().Milliseconds(), Entry: r.address(st, owner)})
}

func (r *Registrar) unavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	responder.WriteError(w, http.StatusServiceUnavailable, "", reason)
}

func (r *Registrar) address(st *sycamorevane.State, name string) string {
	if h := st.Config.Host(name); h != nil && h.AnnounceAddr != "" {
		return h.AnnounceAddr
	}
	return r.cfg.Listener
}

func (r *Registrar) serveLeave(w http.ResponseWriter, req *http.Request) {
	r.Leave(req.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (a *announcement) server() sycamorevane.Server {
	return sycamorevane.Server{
		Service: a.Service, Version: a.Version, ID: a.ID, Addr: a.Addr, DC: a.DC, Slots: a.Slots, MaxConns: a.Conns,
		State: sycamorevane.ServerState(a.State), Load: a.Load,
	}
}

// check names the first field that cannot be accepted.
func (a *announcement) check(c *sycamorevane.Config) error {
	switch {
	case c.Service(a.Service) == nil:
		return fmt.Errorf("service %q is not configured", a.Service)
	case !slices.Contains(c.DCs, a.DC):
		return fmt.Errorf("dc %q is not configured", a.DC)
	case !printable(a.ID):
		return fmt.Errorf("id must be 1 to %d visible characters", maxText)
	case !printable(a.Version):
		return fmt.Errorf("version must be 1 to %d visible characters", maxText)
	case !sycamorevane.ServerState(a.State).Valid():
		return fmt.Errorf("state %q must be cold, ready or draining", a.State)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("slots %d must be from 1 to %d", a.Slots, maxSlots)
	case a.Conns < a.Slots || a.Conns > maxConns:
		return fmt.Errorf("conns %d must be from slots (%d) to %d", a.Conns, a.Slots, maxConns)
	case a.Load < 0:
		return fmt.Errorf("load %d must not be negative", a.Load)
	}
	if _, err := netip.ParseAddrPort(a.Addr); err != nil {
		return fmt.Errorf("addr %q must be an IP number and port", a.Addr)
	}
	return nil
}

func printable(s string) bool {
	if s == "" || len(s) > maxText {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// Timeouts of the announce listener: bodies are small, so a slow one is not served.
const (
	ReadTimeout  = 5 * time.Second
	WriteTimeout = 5 * time.Second
)
