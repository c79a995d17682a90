// Package authenticator checks the bearer tokens of operators.
package authenticator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/responder"
)

// Authenticator holds the digests of the operators' tokens.
type Authenticator struct {
	log     logr.Logger
	digests [][sha256.Size]byte
	names   []string
}

type operatorKey struct{}

// New returns an Authenticator for operators, which maps the SHA-256 digest of a token in hex to the operator name.
func New(operators map[string]string, log logr.Logger) (*Authenticator, error) {
	a := &Authenticator{log: log}
	for digest, name := range operators {
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != sha256.Size {
			return nil, errors.Errorf("token digest of operator %q is not SHA-256 in hex", name)
		}
		if name == "" {
			return nil, errors.New("a token digest has no operator name")
		}
		a.digests = append(a.digests, [sha256.Size]byte(raw))
		a.names = append(a.names, name)
	}
	return a, nil
}

// Operator returns the name of the operator whose token the request carries. It compares all digests in constant time.
func (a *Authenticator) Operator(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	digest := sha256.Sum256([]byte(token))
	match := -1
	for i := range a.digests {
		if subtle.ConstantTimeCompare(digest[:], a.digests[i][:]) == 1 {
			match = i
		}
	}
	if match < 0 {
		return "", false
	}
	return a.names[match], true
}

// Wrap returns a handler that passes only requests with a known token to next, where Name returns the operator.
func (a *Authenticator) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.Operator(r)
		if !ok {
			a.log.Info("operator request without a valid token", "remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
			w.Header().Set("WWW-Authenticate", "Bearer")
			responder.WriteError(w, http.StatusUnauthorized, "authorization", "missing or unknown token")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// Name returns the operator of a request from its context, or "" outside of a handler that Wrap protects.
func Name(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
