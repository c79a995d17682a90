package forwarder

import (
	"net/http"
	"time"

	"sycamorevane.example/sycamorevane"
)

// movedKeyRetryAfter is the Retry-After for a request whose key belongs to another workspace than on its arrival. A new
// request is served at once, so the time only keeps retries from arriving together with the change on other entries.
const movedKeyRetryAfter = 100 * time.Millisecond

// requiresKeys reports whether requests to rules that are not public carry an API key.
func (x *index) requiresKeys(d *Dialect) bool {
	return d.Key != "" && len(x.workspacesByName) > 0
}

// authenticate selects the workspace by the API key of the request. A public rule also serves requests without a known
// key, and treats them as requests without a workspace. Requests that match nothing pass, so that they are answered as
// in a deployment without keys.
func (c *call) authenticate() error {
	d := &c.f.dialect
	if !c.index.requiresKeys(d) || c.rule == nil && c.index.findService(c.r.Host, c.r.URL.Path) == nil {
		return nil
	}
	if keys := c.r.Header[d.Key]; len(keys) == 1 {
		digest := sycamorevane.CredentialDigest(keys[0])
		if w := c.index.workspacesByDigest[digest]; w != nil {
			c.workspace, c.credential = w.Name, digest
			if w.Priority != nil {
				c.priority = *w.Priority
			}
			return nil
		}
	}
	if c.rule != nil && c.rule.Public {
		return nil
	}
	return c.f.unauthorized("key is missing or unknown")
}

// checkCredential rejects a request whose key was revoked after the request arrived, for example during a slow upload or
// the wait for a server. It is called before each attempt.
func (c *call) checkCredential() error {
	x := c.f.current()
	if x == c.index || x == nil || !x.requiresKeys(&c.f.dialect) {
		return nil
	}
	if !c.index.requiresKeys(&c.f.dialect) {
		// Its header was built without regard to keys and may contain one.
		return c.newRefusedError("keys are required since the request arrived", movedKeyRetryAfter)
	}
	if c.credential == "" || c.rule != nil && c.rule.Public {
		return nil
	}
	switch w := x.workspacesByDigest[c.credential]; {
	case w == nil:
		return c.f.unauthorized("key was revoked")
	case w.Name != c.workspace:
		return c.newRefusedError("key was moved to another workspace", movedKeyRetryAfter)
	}
	return nil
}

func (f *Forwarder) unauthorized(reason string) error {
	f.metrics.unauthorized.Inc(1)
	return &statusError{http.StatusUnauthorized, reason}
}

// logCredentials logs how many keys a new state adds and removes. It never logs a key or its digest.
func (f *Forwarder) logCredentials(x, prev *index) {
	if f.dialect.Key == "" {
		return
	}
	added, removed, workspaces := len(x.workspacesByDigest), 0, 0
	if prev != nil {
		workspaces = len(prev.workspacesByName)
		for digest := range prev.workspacesByDigest {
			if x.workspacesByDigest[digest] == nil {
				removed++
			} else {
				added--
			}
		}
	}
	if added > 0 || removed > 0 || workspaces != len(x.workspacesByName) {
		f.cfg.Log.Info("workspaces changed", "version", x.state.Version, "workspaces", len(x.workspacesByName), "added", added, "removed", removed)
	}
}
