package parser

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sycamorevane.example/sycamorevane"
)

// Defaults of the configuration.
const (
	DefaultServerLease    = 3 * time.Second
	DefaultEntriesTTL     = 5 * time.Second
	DefaultMaxHeaderBytes = 32 << 10
	DefaultClaimRetention = 10 * time.Minute
	DefaultTimeout        = 5 * time.Second
	DefaultProgress       = 20 * time.Second
	DefaultQueue          = 128
	DefaultRetry          = 0.1
	DefaultProbe          = 0.02
	DefaultCeiling        = 0.05
	DefaultBody           = 64 << 20
)

// Ranges of the configuration.
const (
	// MaxLease keeps a silent server's lease within the 3 s in which it must stop getting work.
	MaxLease = 3 * time.Second
	MaxHosts = 1024
	// MaxControl is the largest number of control hosts; more would only slow the quorum.
	MaxControl = 7
)

// LoadConfig reads and checks a configuration file.
func LoadConfig(file string) (*sycamorevane.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Reason: err.Error()}}
	}
	return ParseConfig(file, data)
}

// ParseConfig checks the configuration in data; file names it in errors. The error is Faults.
func ParseConfig(file string, data []byte) (*sycamorevane.Config, error) {
	r := &reader{file: file}
	f := r.load(data)
	if f == nil {
		return nil, r.result()
	}
	c := &sycamorevane.Config{Limits: defaultLimits()}
	routes := make(map[string][]sycamorevane.Route)
	for _, sec := range f.Sections() {
		r.configSection(c, routes, sec)
	}
	for i := range c.Services {
		c.Services[i].Routes = routes[c.Services[i].Name]
		delete(routes, c.Services[i].Name)
	}
	for _, service := range sortedKeys(routes) {
		r.fault("route "+service+"/"+routes[service][0].Name, "", "", "service %q is not configured", service)
	}
	r.faults = append(r.faults, Check(file, c)...)
	if err := r.result(); err != nil {
		return nil, err
	}
	return c, nil
}

func defaultLimits() sycamorevane.Limits {
	return sycamorevane.Limits{
		ServerLease: DefaultServerLease, EntriesTTL: DefaultEntriesTTL, MaxHeaderBytes: DefaultMaxHeaderBytes, ClaimRetention: DefaultClaimRetention,
	}
}

// DefaultService returns a service with default limits that is reached by its name as Host header.
func DefaultService(name string) sycamorevane.Service {
	return sycamorevane.Service{
		Name: name, Hosts: []string{name}, Timeout: DefaultTimeout, ProgressTimeout: DefaultProgress, MaxQueued: DefaultQueue,
		RetryRatio: DefaultRetry, ProbeRatio: DefaultProbe, MaxTrialShare: DefaultCeiling, MaxBodyBytes: DefaultBody,
	}
}

func (r *reader) configSection(c *sycamorevane.Config, routes map[string][]sycamorevane.Route, sec *ini.Section) {
	kind, who := split(sec.Name())
	switch kind {
	case "DEFAULT":
		r.section(sec, nil)
	case "limits":
		r.section(sec, limitFields(&c.Limits))
	case "dc":
		r.section(sec, nil)
		c.DCs = append(c.DCs, who)
	case "firm":
		workspace := sycamorevane.Workspace{Name: who, Weight: 1}
		r.section(sec, []field{
			{"weight", false, whole(&workspace.Weight, 1, 1000)}, {"credentials", false, list(&workspace.Credentials)},
		})
		c.Workspaces = append(c.Workspaces, workspace)
	case "service":
		s := DefaultService(who)
		r.section(sec, serviceFields(&s))
		c.Services = append(c.Services, s)
	case "route":
		service, route, ok := strings.Cut(who, "/")
		if !ok || !namePattern.MatchString(route) {
			r.fault(sec.Name(), "", "", "section must be named route SERVICE/ROUTE")
			return
		}
		rt := sycamorevane.Route{Name: route}
		r.section(sec, []field{
			{"method", false, text(&rt.Method)}, {"prefix", true, text(&rt.Prefix)}, {"idempotent", true, flag(&rt.Idempotent)},
		})
		routes[service] = append(routes[service], rt)
	case "host":
		h := sycamorevane.Host{Name: who}
		var roles []string
		r.section(sec, []field{
			{"dc", true, name(&h.DC)},
			{"roles", true, list(&roles)},
			{"mesh", true, address(&h.MeshAddr)},
			{"caller", false, address(&h.CallerAddr)},
			{"announce", false, address(&h.AnnounceAddr)},
			{"operator", false, address(&h.OperatorAddr)},
		})
		h.Roles = sycamorevane.NewSet(roles...)
		c.Hosts = append(c.Hosts, h)
	default:
		r.fault(sec.Name(), "", "", "unknown section; known are limits, dc NAME, firm NAME, service NAME, route SERVICE/ROUTE, host NAME")
	}
}

func limitFields(l *sycamorevane.Limits) []field {
	return []field{
		{"lease", false, duration(&l.ServerLease, 500*time.Millisecond, MaxLease)},
		{"ttl", false, duration(&l.EntriesTTL, 100*time.Millisecond, time.Minute)},
		{"header", false, whole(&l.MaxHeaderBytes, 1<<10, 1<<20)},
		{"retention", false, duration(&l.ClaimRetention, time.Second, 24*time.Hour)},
	}
}

func serviceFields(s *sycamorevane.Service) []field {
	return []field{
		{"hosts", false, list(&s.Hosts)},
		{"prefix", false, text(&s.Prefix)},
		{"timeout", false, duration(&s.Timeout, 10*time.Millisecond, 10*time.Minute)},
		{"progress", false, duration(&s.ProgressTimeout, 100*time.Millisecond, 10*time.Minute)},
		{"queue", false, whole(&s.MaxQueued, 1, 100_000)},
		{"retry", false, share(&s.RetryRatio, 0, 1)},
		{"probe", false, share(&s.ProbeRatio, 0, 0.5)},
		{"ceiling", false, share(&s.MaxTrialShare, 0.001, 0.5)},
		{"body", false, whole(&s.MaxBodyBytes, 0, 1<<40)},
	}
}

// Check returns every fault in a configuration that its fields alone do not show: names, references, duplicates.
// It also serves configurations that did not come from a file.
func Check(file string, c *sycamorevane.Config) Faults {
	r := &reader{file: file}
	r.checkNames("dc", c.DCs)
	r.checkNames("firm", names(c.Workspaces, func(f sycamorevane.Workspace) string { return f.Name }))
	r.checkNames("service", names(c.Services, func(s sycamorevane.Service) string { return s.Name }))
	r.checkNames("host", names(c.Hosts, func(h sycamorevane.Host) string { return h.Name }))
	if len(c.DCs) == 0 {
		r.fault("dc NAME", "", "", "at least one data centre is needed")
	}
	if len(c.Services) == 0 {
		r.fault("service NAME", "", "", "at least one service is needed")
	}
	r.checkWorkspaces(c)
	r.checkServices(c)
	r.checkHosts(c)
	r.checkRanges(c)
	return r.faults
}

func names[T any](items []T, name func(T) string) []string {
	list := make([]string, len(items))
	for i, item := range items {
		list[i] = name(item)
	}
	return list
}

func (r *reader) checkNames(kind string, list []string) {
	seen := sycamorevane.NewSet[string]()
	for _, n := range list {
		if !namePattern.MatchString(n) {
			r.fault(kind+" "+n, "", n, "name must be lower-case letters, digits and hyphens, 1 to 63 characters")
		}
		if seen.Has(n) {
			r.fault(kind+" "+n, "", n, "section is given more than once")
		}
		seen.Add(n)
	}
}

func (r *reader) checkWorkspaces(c *sycamorevane.Config) {
	owner := make(map[string]string)
	for _, f := range c.Workspaces {
		section := "firm " + f.Name
		if f.Weight < 1 {
			r.fault(section, "weight", strconv.Itoa(f.Weight), "must be at least 1")
		}
		for _, cred := range f.Credentials {
			if err := digest(cred); err != nil {
				r.fault(section, "credentials", cred, "%v", err)
			}
			if other, taken := owner[cred]; taken {
				r.fault(section, "credentials", cred, "also belongs to firm %q", other)
			}
			owner[cred] = f.Name
		}
	}
}

func (r *reader) checkServices(c *sycamorevane.Config) {
	hosts, prefixes := make(map[string]string), make(map[string]string)
	for _, s := range c.Services {
		section := "service " + s.Name
		if len(s.Hosts) == 0 && s.Prefix == "" {
			r.fault(section, "hosts", "", "a service needs hosts or a prefix")
		}
		for _, h := range s.Hosts {
			r.unique(section, "hosts", strings.ToLower(h), s.Name, hosts)
		}
		if s.Prefix != "" {
			r.checkPath(section, "prefix", s.Prefix)
			r.unique(section, "prefix", s.Prefix, s.Name, prefixes)
		}
		r.checkRoutes(s)
	}
}

func (r *reader) checkRoutes(s sycamorevane.Service) {
	seen := sycamorevane.NewSet[string]()
	match := make(map[string]string)
	for _, rt := range s.Routes {
		section := "route " + s.Name + "/" + rt.Name
		if seen.Has(rt.Name) {
			r.fault(section, "", "", "section is given more than once")
		}
		seen.Add(rt.Name)
		r.checkPath(section, "prefix", rt.Prefix)
		r.unique(section, "prefix", rt.Method+" "+rt.Prefix, rt.Name, match)
		if rt.Method != strings.ToUpper(rt.Method) {
			r.fault(section, "method", rt.Method, "must be an HTTP method in capitals")
		}
	}
}

func (r *reader) checkPath(section, key, path string) {
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "/.vane") {
		r.fault(section, key, path, "must start with / and not with /.vane")
	}
}

func (r *reader) unique(section, key, value, owner string, taken map[string]string) {
	if other, ok := taken[value]; ok {
		r.fault(section, key, value, "already belongs to %q", other)
		return
	}
	taken[value] = owner
}

func (r *reader) checkHosts(c *sycamorevane.Config) {
	if len(c.Hosts) > MaxHosts {
		r.fault("host NAME", "", strconv.Itoa(len(c.Hosts)), "at most %d hosts are supported", MaxHosts)
	}
	addrs := make(map[string]string)
	for _, h := range c.Hosts {
		section := "host " + h.Name
		if !slices.Contains(c.DCs, h.DC) {
			r.fault(section, "dc", h.DC, "data centre is not configured")
		}
		for _, role := range h.Roles.Sorted() {
			if role != sycamorevane.RoleEntry && role != sycamorevane.RoleControl {
				r.fault(section, "roles", role, "must be entry, control or both")
			}
		}
		r.checkListener(section, "mesh", h.MeshAddr, len(h.Roles) > 0)
		r.checkListener(section, "caller", h.CallerAddr, h.Roles.Has(sycamorevane.RoleEntry))
		r.checkListener(section, "announce", h.AnnounceAddr, h.Roles.Has(sycamorevane.RoleEntry))
		r.checkListener(section, "operator", h.OperatorAddr, h.Roles.Has(sycamorevane.RoleControl))
		// A list and not a map, so that the same clash is always reported for the same listener.
		for _, l := range []struct{ key, addr string }{
			{"mesh", h.MeshAddr}, {"caller", h.CallerAddr}, {"announce", h.AnnounceAddr}, {"operator", h.OperatorAddr},
		} {
			if l.addr != "" {
				r.unique(section, l.key, l.addr, h.Name, addrs)
			}
		}
	}
	if len(c.HostsWith(sycamorevane.RoleEntry)) == 0 {
		r.fault("host NAME", "roles", "", "at least one host needs the role entry")
	}
	if n := len(c.HostsWith(sycamorevane.RoleControl)); n == 0 || n > MaxControl {
		r.fault("host NAME", "roles", strconv.Itoa(n), "1 to %d hosts need the role control; 3 or 5 survive failures", MaxControl)
	}
}

func (r *reader) checkListener(section, key, addr string, wanted bool) {
	if wanted && addr == "" {
		r.fault(section, key, "", "the host's roles need this address")
	}
	if !wanted && addr != "" {
		r.fault(section, key, addr, "the host's roles do not use this address")
	}
	if addr != "" && address(new(string))(addr) != nil {
		r.fault(section, key, addr, "must be an IP number and port, for example 127.0.0.1:7000")
	}
}

// checkRanges sends every value through the decoder of its key, so that a configuration that did not come from
// a file meets the same ranges.
func (r *reader) checkRanges(c *sycamorevane.Config) {
	limits := c.Limits
	r.ranges("limits", limitFields(&limits), limitValues(c.Limits))
	for _, s := range c.Services {
		decoded := s
		r.ranges("service "+s.Name, serviceFields(&decoded), serviceValues(s))
	}
}

func (r *reader) ranges(section string, fields []field, values map[string]string) {
	for _, f := range fields {
		value, given := values[f.key]
		if !given {
			continue
		}
		if err := f.set(value); err != nil {
			r.fault(section, f.key, value, "%v", err)
		}
	}
}

func limitValues(l sycamorevane.Limits) map[string]string {
	return map[string]string{
		"lease": l.ServerLease.String(), "ttl": l.EntriesTTL.String(), "header": strconv.Itoa(l.MaxHeaderBytes), "retention": l.ClaimRetention.String(),
	}
}

func serviceValues(s sycamorevane.Service) map[string]string {
	values := map[string]string{
		"timeout": s.Timeout.String(), "progress": s.ProgressTimeout.String(), "queue": strconv.Itoa(s.MaxQueued),
		"retry": formatShare(s.RetryRatio), "probe": formatShare(s.ProbeRatio), "ceiling": formatShare(s.MaxTrialShare),
		"body": strconv.FormatInt(s.MaxBodyBytes, 10), "hosts": strings.Join(s.Hosts, ", "),
	}
	if s.Prefix != "" {
		values["prefix"] = s.Prefix
	}
	return values
}

func formatShare(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// FormatConfig writes a configuration in the form that ParseConfig reads.
func FormatConfig(c *sycamorevane.Config) []byte {
	w := &writer{}
	w.section("limits")
	w.fields(limitFields(&sycamorevane.Limits{}), limitValues(c.Limits))
	for _, dc := range c.DCs {
		w.section("dc " + dc)
	}
	for _, f := range c.Workspaces {
		w.section("firm " + f.Name)
		w.key("weight", strconv.Itoa(f.Weight))
		if len(f.Credentials) > 0 {
			w.key("credentials", strings.Join(f.Credentials, ", "))
		}
	}
	for _, s := range c.Services {
		w.section("service " + s.Name)
		w.fields(serviceFields(&sycamorevane.Service{}), serviceValues(s))
		for _, rt := range s.Routes {
			w.section("route " + s.Name + "/" + rt.Name)
			if rt.Method != "" {
				w.key("method", rt.Method)
			}
			w.key("prefix", rt.Prefix)
			w.key("idempotent", strconv.FormatBool(rt.Idempotent))
		}
	}
	for _, h := range c.Hosts {
		w.host(h)
	}
	return w.Bytes()
}

// writer builds an INI file.
type writer struct{ bytes.Buffer }

func (w *writer) section(name string) {
	if w.Len() > 0 {
		w.WriteByte('\n')
	}
	fmt.Fprintf(w, "[%s]\n", name)
}

func (w *writer) key(key, value string) { fmt.Fprintf(w, "%s = %s\n", key, value) }

// fields writes the values in the order of the fields that read them.
func (w *writer) fields(fields []field, values map[string]string) {
	for _, f := range fields {
		if value, ok := values[f.key]; ok {
			w.key(f.key, value)
		}
	}
}

func (w *writer) host(h sycamorevane.Host) {
	w.section("host " + h.Name)
	w.key("dc", h.DC)
	w.key("roles", strings.Join(h.Roles.Sorted(), ", "))
	w.key("mesh", h.MeshAddr)
	for _, pair := range [][2]string{{"caller", h.CallerAddr}, {"announce", h.AnnounceAddr}, {"operator", h.OperatorAddr}} {
		if pair[1] != "" {
			w.key(pair[0], pair[1])
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
