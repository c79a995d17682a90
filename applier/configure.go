package applier

import (
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"

	"sycamorevane.example/sycamorevane"
)

// configure replaces the configuration by one with a sequence number. A number that is not higher than the current one
// changes nothing and is not refused, so that a resent or outdated configuration can be acknowledged.
func configure(s *sycamorevane.State, c Command) decision {
	cfg := c.Args.Config
	if cfg == nil {
		return refuse("no configuration given")
	}
	if reason := CheckNumberedConfig(cfg); reason != "" {
		return refuse("%s", reason)
	}
	if cfg.SequenceNumber <= s.Config.SequenceNumber {
		return unchanged("configuration %d is stored", s.Config.SequenceNumber)
	}
	next := *s
	next.Config = *cfg
	return applied(&next)
}

// CheckNumberedConfig returns why a configuration with a sequence number is invalid, or "".
func CheckNumberedConfig(cfg *sycamorevane.Config) string {
	if cfg.SequenceNumber == 0 {
		return "configuration has no number"
	}
	if reason := checkNames("service", cfg.Services, func(s sycamorevane.Service) string { return s.Name }); reason != "" {
		return reason
	}
	serviceNames := sycamorevane.NewSet[string]()
	for i := range cfg.Services {
		serviceNames.Add(cfg.Services[i].Name)
		if reason := checkRatios(&cfg.Services[i]); reason != "" {
			return reason
		}
	}
	usedPaths := sycamorevane.NewSet[string]()
	for i := range cfg.Rules {
		r := &cfg.Rules[i]
		if reason := checkRule(r, serviceNames); reason != "" {
			return reason
		}
		path := strings.ToLower(r.Host) + r.Prefix
		if usedPaths.Has(path) {
			return fmt.Sprintf("rule %q has the host and prefix of another rule", r.Name)
		}
		usedPaths.Add(path)
	}
	return checkWorkspaces(cfg.Workspaces)
}

// emptyKeyDigest is the digest that an empty key has in Workspace.Credentials.
var emptyKeyDigest = sycamorevane.CredentialDigest("")

// checkWorkspaces returns why workspaces are invalid, or "". The reason contains neither keys nor their digests, since it
// appears in responses, the log and the audit trail. A key may be repeated within a workspace.
func checkWorkspaces(workspaces []sycamorevane.Workspace) string {
	if reason := checkNames("workspace", workspaces, func(w sycamorevane.Workspace) string { return w.Name }); reason != "" {
		return reason
	}
	if len(workspaces) > MaxUsageWorkspaces {
		return fmt.Sprintf("%d workspaces are given; at most %d are allowed", len(workspaces), MaxUsageWorkspaces)
	}
	owners := make(map[string]string)
	for i := range workspaces {
		w := &workspaces[i]
		// The name is sent to servers in a header, whose surrounding spaces receivers remove.
		if !httpguts.ValidHeaderFieldValue(w.Name) || strings.TrimSpace(w.Name) != w.Name {
			return fmt.Sprintf("workspace %q has a name that cannot be sent in a header", w.Name)
		}
		if w.Priority != nil && *w.Priority < 0 {
			return fmt.Sprintf("workspace %q has a negative priority", w.Name)
		}
		for _, digest := range w.Credentials {
			owner, used := owners[digest]
			switch {
			case digest == emptyKeyDigest:
				return fmt.Sprintf("workspace %q has an empty key", w.Name)
			case used && owner != w.Name:
				return fmt.Sprintf("workspaces %q and %q have the same key", owner, w.Name)
			}
			owners[digest] = w.Name
		}
	}
	return ""
}

func checkRule(r *sycamorevane.Rule, serviceNames sycamorevane.Set[string]) string {
	switch {
	case r.Host == "":
		return fmt.Sprintf("rule %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("rule %q has prefix %q; it must begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return fmt.Sprintf("rule %q has no timeout", r.Name)
	case r.Timeout > sycamorevane.MaxRuleTimeout:
		return fmt.Sprintf("rule %q has timeout %v; at most %v is allowed", r.Name, r.Timeout, sycamorevane.MaxRuleTimeout)
	case r.SoftTimeout < 0 || r.MaxAttempts < 0 || r.Priority < 0:
		return fmt.Sprintf("rule %q has a negative aim, priority or number of attempts", r.Name)
	}
	totalWeight := 0
	for _, p := range r.Destinations {
		if !serviceNames.Has(p.Service) {
			return fmt.Sprintf("rule %q names unknown service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return fmt.Sprintf("rule %q has a negative weight", r.Name)
		}
		totalWeight += p.Weight
	}
	if totalWeight == 0 {
		return fmt.Sprintf("rule %q has no part with a weight", r.Name)
	}
	return ""
}

// leave records servers that are leaving. A record with an instance name applies to all starts of that server up to its
// time, so a later record replaces an earlier one. Above MaxDrainedServers the command is refused, and the servers'
// reports are not acknowledged.
func leave(s *sycamorevane.State, c Command) decision {
	if len(c.Args.RemovedServers) == 0 {
		return refuse("no server is named")
	}
	drained := filterKeys(s.DrainedServers, func(string) bool { return true })
	changed := false
	for _, id := range c.Args.RemovedServers {
		if at, recorded := drained[id]; !recorded || at < c.AcceptedAt {
			drained[id], changed = c.AcceptedAt, true
		}
	}
	switch {
	case !changed:
		return unchanged("all of the servers are recorded")
	case len(drained) > MaxDrainedServers:
		return refuse("%d servers are drained, which is the limit", MaxDrainedServers)
	}
	next := *s
	next.DrainedServers = drained
	return applied(&next)
}
