package applier

import (
	"fmt"
	"strings"

	"sycamorevane.example/sycamorevane"
)

// configure puts a numbered configuration into force. An older or equal number changes nothing, so that a resent or
// overtaken one can be acknowledged.
func configure(s *sycamorevane.State, c Command) verdict {
	cfg := c.Args.Config
	if cfg == nil {
		return refuse("no configuration given")
	}
	if reason := CheckRules(cfg); reason != "" {
		return refuse("%s", reason)
	}
	if cfg.SequenceNumber <= s.Config.SequenceNumber {
		return unchanged("configuration %d is stored", s.Config.SequenceNumber)
	}
	next := *s
	next.Config = *cfg
	return applied(&next)
}

// CheckRules returns why a numbered configuration cannot be put into force, or "".
func CheckRules(cfg *sycamorevane.Config) string {
	if cfg.SequenceNumber == 0 {
		return "configuration has no number"
	}
	if reason := checkNames("service", cfg.Services, func(s sycamorevane.Service) string { return s.Name }); reason != "" {
		return reason
	}
	known := sycamorevane.NewSet[string]()
	for i := range cfg.Services {
		known.Add(cfg.Services[i].Name)
		if reason := checkShares(&cfg.Services[i]); reason != "" {
			return reason
		}
	}
	places := sycamorevane.NewSet[string]()
	for i := range cfg.Rules {
		r := &cfg.Rules[i]
		if reason := checkRule(r, known); reason != "" {
			return reason
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if places.Has(place) {
			return fmt.Sprintf("rule %q has the host and prefix of another rule", r.Name)
		}
		places.Add(place)
	}
	return ""
}

func checkRule(r *sycamorevane.Rule, known sycamorevane.Set[string]) string {
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
	total := 0
	for _, p := range r.Destinations {
		if !known.Has(p.Service) {
			return fmt.Sprintf("rule %q names unknown service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return fmt.Sprintf("rule %q has a negative weight", r.Name)
		}
		total += p.Weight
	}
	if total == 0 {
		return fmt.Sprintf("rule %q has no part with a weight", r.Name)
	}
	return ""
}

// leave records servers that are leaving. A later record of a label ends later starts of that server. Above MaxDrained the
// command is refused and the server stays unacknowledged.
func leave(s *sycamorevane.State, c Command) verdict {
	if len(c.Args.RemovedServers) == 0 {
		return refuse("no server is named")
	}
	left := keep(s.DrainedServers, func(string) bool { return true })
	news := false
	for _, id := range c.Args.RemovedServers {
		if at, known := left[id]; !known || at < c.AcceptedAt {
			left[id], news = c.AcceptedAt, true
		}
	}
	switch {
	case !news:
		return unchanged("all of the servers are recorded")
	case len(left) > MaxDrained:
		return refuse("%d servers are drained, which is the limit", MaxDrained)
	}
	next := *s
	next.DrainedServers = left
	return applied(&next)
}
