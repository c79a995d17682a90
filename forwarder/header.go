package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// serverHeader returns the header of the request to a server. If a credential selected the workspace, it is not
// forwarded. If requests carry API keys, neither the key nor the workspace header of the caller is ever forwarded.
func (f *Forwarder) serverHeader(x *index, in http.Header, workspace, key string, byCredential bool) http.Header {
	out := make(http.Header, len(in)+4)
	for name, values := range in {
		out[name] = values
	}
	removeHopByHop(out, in["Connection"])
	for _, name := range f.internalHeaders {
		delete(out, name)
	}
	if x.requiresKeys(&f.dialect) {
		delete(out, f.dialect.Key)
		delete(out, f.dialect.Workspace)
	} else if byCredential {
		delete(out, "Authorization")
	}
	if workspace != "" {
		out[f.dialect.Workspace] = []string{workspace}
	}
	if key != "" {
		out[f.dialect.IdempotencyKey] = []string{key}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // Prevents net/http from adding its own.
	}
	return out
}

// removeHopByHop removes the hop-by-hop headers and the headers that are listed in Connection.
func removeHopByHop(h http.Header, connection []string) {
	for _, list := range connection {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
