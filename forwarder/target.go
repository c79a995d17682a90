package forwarder

import (
	"net/http"
	"net/url"
	"strings"
)

// requestTarget returns a URL that is written to a server as the caller wrote it. url.URL escapes characters that are not
// allowed in a URI but that callers send, such as "|" or letters outside ASCII. It returns an error for control characters
// and for a path that cannot be written unchanged.
func requestTarget(r *http.Request) (*url.URL, error) {
	sent := r.RequestURI
	if strings.IndexFunc(sent, isControl) >= 0 {
		return nil, &statusError{http.StatusBadRequest, "URL contains a control character"}
	}
	if !strings.HasPrefix(sent, "/") || r.URL.RequestURI() == sent {
		return r.URL, nil
	}
	path, query, hasQuery := strings.Cut(sent, "?")
	u := &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery}
	if u.RequestURI() != sent {
		return nil, &statusError{http.StatusBadRequest, "path contains characters that must be escaped"}
	}
	return u, nil
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }
