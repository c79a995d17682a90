package applier

import (
	"fmt"
	"slices"

	"sycamorevane.example/sycamorevane"
)

// checkConfig returns why a configuration is invalid, or "". It checks only what the rest of the system relies on; the
// parser checks far more before a configuration is sent.
func checkConfig(cfg *sycamorevane.Config) string {
	if len(cfg.DCs) == 0 {
		return "configuration has no data centre"
	}
	if len(cfg.Services) == 0 {
		return "configuration has no service"
	}
	if reason := checkNames("data centre", cfg.DCs, func(s string) string { return s }); reason != "" {
		return reason
	}
	if reason := checkNames("service", cfg.Services, func(s sycamorevane.Service) string { return s.Name }); reason != "" {
		return reason
	}
	if reason := checkNames("firm", cfg.Workspaces, func(f sycamorevane.Workspace) string { return f.Name }); reason != "" {
		return reason
	}
	if reason := checkNames("host", cfg.Hosts, func(h sycamorevane.Host) string { return h.Name }); reason != "" {
		return reason
	}
	for _, h := range cfg.Hosts {
		if !slices.Contains(cfg.DCs, h.DC) {
			return fmt.Sprintf("host %q is in unknown data centre %q", h.Name, h.DC)
		}
	}
	for i := range cfg.Services {
		if reason := checkRatios(&cfg.Services[i]); reason != "" {
			return reason
		}
	}
	return ""
}

func checkNames[T any](kind string, list []T, name func(T) string) string {
	seen := sycamorevane.Set[string]{}
	for _, item := range list {
		n := name(item)
		if n == "" {
			return fmt.Sprintf("configuration has a %s without a name", kind)
		}
		if seen.Has(n) {
			return fmt.Sprintf("configuration has %s %q twice", kind, n)
		}
		seen.Add(n)
	}
	return ""
}

func checkRatios(s *sycamorevane.Service) string {
	for _, v := range []struct {
		key   string
		value float64
	}{{"retry", s.RetryRatio}, {"probe", s.ProbeRatio}, {"ceiling", s.MaxTrialShare}} {
		if !(v.value >= 0 && v.value <= 1) {
			return fmt.Sprintf("service %q has %s %g; it must be 0 to 1", s.Name, v.key, v.value)
		}
	}
	return ""
}
