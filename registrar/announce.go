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
	// maxBodyBytes limits the body of an announcement.
	maxBodyBytes = 4 << 10
	maxTextBytes = 128
	maxSlots     = 10_000
	maxConns     = 100_000
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

// leaseResponse is the response to an announcement: the duration of the lease in ms, and the address at which to renew it.
type leaseResponse struct {
	Lease int64  `json:"lease"`
	Entry string `json:"entry"`
}

// Handler returns the handler for the announce listener.
func (r *Registrar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /.vane/announce", r.serveAnnounce)
	mux.HandleFunc("DELETE /.vane/announce/{id}", r.serveLeave)
	return mux
}

func (r *Registrar) serveAnnounce(w http.ResponseWriter, req *http.Request) {
	var a announcement
	if err := decoder.JSON(w, req, maxBodyBytes, &a); err != nil {
		var body *decoder.BodyError
		errors.As(err, &body)
		responder.WriteError(w, body.Status, body.Field, body.Reason)
		return
	}
	st := r.cfg.State()
	if st == nil {
		r.writeUnavailable(w, "no configuration is in force yet")
		return
	}
	if r.cfg.Connected != nil && !r.cfg.Connected() {
		r.writeUnavailable(w, "entry is cut off from control and from most entries; announce at another one")
		return
	}
	if err := a.validate(&st.Config); err != nil {
		responder.WriteError(w, http.StatusBadRequest, "", err.Error())
		return
	}
	owner, err := r.Announce(req.Context(), a.server())
	var leftErr *LeftError
	if errors.As(err, &leftErr) {
		responder.WriteError(w, http.StatusGone, "", err.Error())
		return
	}
	if err != nil {
		r.writeUnavailable(w, err.Error())
		return
	}
	responder.WriteJSON(w, http.StatusOK, leaseResponse{Lease: r.Lease().Milliseconds(), Entry: r.announceAddr(st, owner)})
}

func (r *Registrar) writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	responder.WriteError(w, http.StatusServiceUnavailable, "", reason)
}

func (r *Registrar) announceAddr(st *sycamorevane.State, name string) string {
	if h := st.Config.Host(name); h != nil && h.AnnounceAddr != "" {
		return h.AnnounceAddr
	}
	return r.cfg.AnnounceAddr
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

// validate returns an error that names the first invalid field.
func (a *announcement) validate(c *sycamorevane.Config) error {
	switch {
	case c.Service(a.Service) == nil:
		return fmt.Errorf("service %q is not configured", a.Service)
	case !slices.Contains(c.DCs, a.DC):
		return fmt.Errorf("dc %q is not configured", a.DC)
	case !isVisibleText(a.ID):
		return fmt.Errorf("id must be 1 to %d visible characters", maxTextBytes)
	case !isVisibleText(a.Version):
		return fmt.Errorf("version must be 1 to %d visible characters", maxTextBytes)
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

func isVisibleText(s string) bool {
	if s == "" || len(s) > maxTextBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// Timeouts of the announce listener. They are short since bodies are small.
const (
	ReadTimeout  = 5 * time.Second
	WriteTimeout = 5 * time.Second
)
