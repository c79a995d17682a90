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

// Default values of the configuration.
const (
	DefaultServerLease     = 3 * time.Second
	DefaultEntriesTTL      = 5 * time.Second
	DefaultMaxHeaderBytes  = 32 << 10
	DefaultClaimRetention  = 10 * time.Minute
	DefaultTimeout         = 5 * time.Second
	DefaultProgressTimeout = 20 * time.Second
	DefaultMaxQueued       = 128
	DefaultRetryRatio      = 0.1
	DefaultProbeRatio      = 0.02
	DefaultMaxTrialShare   = 0.05
	DefaultMaxBodyBytes    = 64 << 20
)

// Upper limits of the configuration.
const (
	// MaxServerLease is 3 s because a server that no longer announces itself must stop receiving requests within 3 s.
	MaxServerLease = 3 * time.Second
	MaxHosts       = 1024
	// MaxControlHosts limits the control hosts, since each further one only makes reaching a quorum slower.
	MaxControlHosts = 7
)

// LoadConfig reads and validates a configuration file. Errors are Faults.
func LoadConfig(file string) (*sycamorevane.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Reason: err.Error()}}
	}
	return ParseConfig(file, data)
}

// ParseConfig parses and validates the configuration in data; file is the name used in errors. Errors are Faults.
func ParseConfig(file string, data []byte) (*sycamorevane.Config, error) {
	r := &reader{file: file}
	f := r.parseINI(data)
	if f == nil {
		return nil, r.faultsError()
	}
	c := &sycamorevane.Config{Limits: defaultLimits()}
	routes := make(map[string][]sycamorevane.Route)
	for _, section := range f.Sections() {
		r.decodeConfigSection(c, routes, section)
	}
	for i := range c.Services {
		c.Services[i].Routes = routes[c.Services[i].Name]
		delete(routes, c.Services[i].Name)
	}
	for _, service := range sortedKeys(routes) {
		r.addFault("route "+service+"/"+routes[service][0].Name, "", "", "service %q is not configured", service)
	}
	r.faults = append(r.faults, Check(file, c)...)
	if err := r.faultsError(); err != nil {
		return nil, err
	}
	return c, nil
}

func defaultLimits() sycamorevane.Limits {
	return sycamorevane.Limits{
		ServerLease: DefaultServerLease, EntriesTTL: DefaultEntriesTTL, MaxHeaderBytes: DefaultMaxHeaderBytes, ClaimRetention: DefaultClaimRetention,
	}
}

// DefaultService returns a service with default limits that is selected by its name in the Host header.
func DefaultService(name string) sycamorevane.Service {
	return sycamorevane.Service{
		Name: name, Hosts: []string{name}, Timeout: DefaultTimeout, ProgressTimeout: DefaultProgressTimeout, MaxQueued: DefaultMaxQueued,
		RetryRatio: DefaultRetryRatio, ProbeRatio: DefaultProbeRatio, MaxTrialShare: DefaultMaxTrialShare, MaxBodyBytes: DefaultMaxBodyBytes,
	}
}

func (r *reader) decodeConfigSection(c *sycamorevane.Config, routes map[string][]sycamorevane.Route, section *ini.Section) {
	kind, name := splitSectionName(section.Name())
	switch kind {
	case "DEFAULT":
		r.decodeSection(section, nil)
	case "limits":
		r.decodeSection(section, limitFields(&c.Limits))
	case "dc":
		r.decodeSection(section, nil)
		c.DCs = append(c.DCs, name)
	case "firm":
		workspace := sycamorevane.Workspace{Name: name, Weight: 1}
		r.decodeSection(section, []field{
			{"weight", false, integerParser(&workspace.Weight, 1, 1000)}, {"credentials", false, listParser(&workspace.Credentials)},
		})
		c.Workspaces = append(c.Workspaces, workspace)
	case "service":
		s := DefaultService(name)
		r.decodeSection(section, serviceFields(&s))
		c.Services = append(c.Services, s)
	case "route":
		service, route, ok := strings.Cut(name, "/")
		if !ok || !namePattern.MatchString(route) {
			r.addFault(section.Name(), "", "", "section must be named route SERVICE/ROUTE")
			return
		}
		rt := sycamorevane.Route{Name: route}
		r.decodeSection(section, []field{
			{"method", false, stringParser(&rt.Method)}, {"prefix", true, stringParser(&rt.Prefix)}, {"idempotent", true, boolParser(&rt.Idempotent)},
		})
		routes[service] = append(routes[service], rt)
	case "host":
		h := sycamorevane.Host{Name: name}
		var roles []string
		r.decodeSection(section, []field{
			{"dc", true, nameParser(&h.DC)},
			{"roles", true, listParser(&roles)},
			{"mesh", true, addrPortParser(&h.MeshAddr)},
			{"caller", false, addrPortParser(&h.CallerAddr)},
			{"announce", false, addrPortParser(&h.AnnounceAddr)},
			{"operator", false, addrPortParser(&h.OperatorAddr)},
		})
		h.Roles = sycamorevane.NewSet(roles...)
		c.Hosts = append(c.Hosts, h)
	default:
		r.addFault(section.Name(), "", "", "unknown section; known are limits, dc NAME, firm NAME, service NAME, route SERVICE/ROUTE, host NAME")
	}
}

func limitFields(l *sycamorevane.Limits) []field {
	return []field{
		{"lease", false, durationParser(&l.ServerLease, 500*time.Millisecond, MaxServerLease)},
		{"ttl", false, durationParser(&l.EntriesTTL, 100*time.Millisecond, time.Minute)},
		{"header", false, integerParser(&l.MaxHeaderBytes, 1<<10, 1<<20)},
		{"retention", false, durationParser(&l.ClaimRetention, time.Second, 24*time.Hour)},
	}
}

func serviceFields(s *sycamorevane.Service) []field {
	return []field{
		{"hosts", false, listParser(&s.Hosts)},
		{"prefix", false, stringParser(&s.Prefix)},
		{"timeout", false, durationParser(&s.Timeout, 10*time.Millisecond, 10*time.Minute)},
		{"progress", false, durationParser(&s.ProgressTimeout, 100*time.Millisecond, 10*time.Minute)},
		{"queue", false, integerParser(&s.MaxQueued, 1, 100_000)},
		{"retry", false, rangeParser(&s.RetryRatio, 0, 1)},
		{"probe", false, rangeParser(&s.ProbeRatio, 0, 0.5)},
		{"ceiling", false, rangeParser(&s.MaxTrialShare, 0.001, 0.5)},
		{"body", false, integerParser(&s.MaxBodyBytes, 0, 1<<40)},
	}
}

// Check validates a whole configuration: names, references between sections, duplicates and the ranges of values. It
// also validates configurations that were not read from a file, such as those sent over the operator API.
func Check(file string, c *sycamorevane.Config) Faults {
	r := &reader{file: file}
	r.checkNames("dc", c.DCs)
	r.checkNames("firm", names(c.Workspaces, func(f sycamorevane.Workspace) string { return f.Name }))
	r.checkNames("service", names(c.Services, func(s sycamorevane.Service) string { return s.Name }))
	r.checkNames("host", names(c.Hosts, func(h sycamorevane.Host) string { return h.Name }))
	if len(c.DCs) == 0 {
		r.addFault("dc NAME", "", "", "at least one data centre is needed")
	}
	if len(c.Services) == 0 {
		r.addFault("service NAME", "", "", "at least one service is needed")
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
			r.addFault(kind+" "+n, "", n, "name must be lower-case letters, digits and hyphens, 1 to 63 characters")
		}
		if seen.Has(n) {
			r.addFault(kind+" "+n, "", n, "section is given more than once")
		}
		seen.Add(n)
	}
}

func (r *reader) checkWorkspaces(c *sycamorevane.Config) {
	ownerByCredential := make(map[string]string)
	for _, workspace := range c.Workspaces {
		section := "firm " + workspace.Name
		if workspace.Weight < 1 {
			r.addFault(section, "weight", strconv.Itoa(workspace.Weight), "must be at least 1")
		}
		for _, credential := range workspace.Credentials {
			if err := checkDigest(credential); err != nil {
				r.addFault(section, "credentials", credential, "%v", err)
			}
			if other, taken := ownerByCredential[credential]; taken {
				r.addFault(section, "credentials", credential, "also belongs to firm %q", other)
			}
			ownerByCredential[credential] = workspace.Name
		}
	}
}

func (r *reader) checkServices(c *sycamorevane.Config) {
	hosts, prefixes := make(map[string]string), make(map[string]string)
	for _, s := range c.Services {
		section := "service " + s.Name
		if len(s.Hosts) == 0 && s.Prefix == "" {
			r.addFault(section, "hosts", "", "a service needs hosts or a prefix")
		}
		for _, h := range s.Hosts {
			r.checkUnique(section, "hosts", strings.ToLower(h), s.Name, hosts)
		}
		if s.Prefix != "" {
			r.checkPath(section, "prefix", s.Prefix)
			r.checkUnique(section, "prefix", s.Prefix, s.Name, prefixes)
		}
		r.checkRoutes(s)
	}
}

func (r *reader) checkRoutes(s sycamorevane.Service) {
	seen := sycamorevane.NewSet[string]()
	routeByMethodAndPrefix := make(map[string]string)
	for _, rt := range s.Routes {
		section := "route " + s.Name + "/" + rt.Name
		if seen.Has(rt.Name) {
			r.addFault(section, "", "", "section is given more than once")
		}
		seen.Add(rt.Name)
		r.checkPath(section, "prefix", rt.Prefix)
		r.checkUnique(section, "prefix", rt.Method+" "+rt.Prefix, rt.Name, routeByMethodAndPrefix)
		if rt.Method != strings.ToUpper(rt.Method) {
			r.addFault(section, "method", rt.Method, "must be an HTTP method in capitals")
		}
	}
}

func (r *reader) checkPath(section, key, path string) {
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "/.vane") {
		r.addFault(section, key, path, "must start with / and not with /.vane")
	}
}

func (r *reader) checkUnique(section, key, value, owner string, owners map[string]string) {
	if otherOwner, ok := owners[value]; ok {
		r.addFault(section, key, value, "already belongs to %q", otherOwner)
		return
	}
	owners[value] = owner
}

func (r *reader) checkHosts(c *sycamorevane.Config) {
	if len(c.Hosts) > MaxHosts {
		r.addFault("host NAME", "", strconv.Itoa(len(c.Hosts)), "at most %d hosts are supported", MaxHosts)
	}
	addrs := make(map[string]string)
	for _, h := range c.Hosts {
		section := "host " + h.Name
		if !slices.Contains(c.DCs, h.DC) {
			r.addFault(section, "dc", h.DC, "data centre is not configured")
		}
		for _, role := range h.Roles.Sorted() {
			if role != sycamorevane.RoleEntry && role != sycamorevane.RoleControl {
				r.addFault(section, "roles", role, "must be entry, control or both")
			}
		}
		r.checkListener(section, "mesh", h.MeshAddr, len(h.Roles) > 0)
		r.checkListener(section, "caller", h.CallerAddr, h.Roles.Has(sycamorevane.RoleEntry))
		r.checkListener(section, "announce", h.AnnounceAddr, h.Roles.Has(sycamorevane.RoleEntry))
		r.checkListener(section, "operator", h.OperatorAddr, h.Roles.Has(sycamorevane.RoleControl))
		// Iterates over a slice instead of a map, so that a duplicate address is always reported for the same listener.
		for _, l := range []struct{ key, addr string }{
			{"mesh", h.MeshAddr}, {"caller", h.CallerAddr}, {"announce", h.AnnounceAddr}, {"operator", h.OperatorAddr},
		} {
			if l.addr != "" {
				r.checkUnique(section, l.key, l.addr, h.Name, addrs)
			}
		}
	}
	if len(c.HostsWith(sycamorevane.RoleEntry)) == 0 {
		r.addFault("host NAME", "roles", "", "at least one host needs the role entry")
	}
	if n := len(c.HostsWith(sycamorevane.RoleControl)); n == 0 || n > MaxControlHosts {
		r.addFault("host NAME", "roles", strconv.Itoa(n), "1 to %d hosts need the role control; 3 or 5 survive failures", MaxControlHosts)
	}
}

func (r *reader) checkListener(section, key, addr string, required bool) {
	if required && addr == "" {
		r.addFault(section, key, "", "the host's roles need this address")
	}
	if !required && addr != "" {
		r.addFault(section, key, addr, "the host's roles do not use this address")
	}
	if addr != "" && addrPortParser(new(string))(addr) != nil {
		r.addFault(section, key, addr, "must be an IP number and port, for example 127.0.0.1:7000")
	}
}

// checkRanges formats every value and parses it again, so that the ranges of the file format also apply to a
// configuration that was not read from a file.
func (r *reader) checkRanges(c *sycamorevane.Config) {
	limits := c.Limits
	r.checkFieldRanges("limits", limitFields(&limits), limitValues(c.Limits))
	for _, s := range c.Services {
		parsed := s
		r.checkFieldRanges("service "+s.Name, serviceFields(&parsed), serviceValues(s))
	}
}

func (r *reader) checkFieldRanges(section string, fields []field, values map[string]string) {
	for _, f := range fields {
		value, ok := values[f.key]
		if !ok {
			continue
		}
		if err := f.parse(value); err != nil {
			r.addFault(section, f.key, value, "%v", err)
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
		"retry": formatFloat(s.RetryRatio), "probe": formatFloat(s.ProbeRatio), "ceiling": formatFloat(s.MaxTrialShare),
		"body": strconv.FormatInt(s.MaxBodyBytes, 10), "hosts": strings.Join(s.Hosts, ", "),
	}
	if s.Prefix != "" {
		values["prefix"] = s.Prefix
	}
	return values
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// FormatConfig returns a configuration in the file format that ParseConfig reads.
func FormatConfig(c *sycamorevane.Config) []byte {
	w := &writer{}
	w.section("limits")
	w.fields(limitFields(&sycamorevane.Limits{}), limitValues(c.Limits))
	for _, dc := range c.DCs {
		w.section("dc " + dc)
	}
	for _, workspace := range c.Workspaces {
		w.section("firm " + workspace.Name)
		w.key("weight", strconv.Itoa(workspace.Weight))
		if len(workspace.Credentials) > 0 {
			w.key("credentials", strings.Join(workspace.Credentials, ", "))
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

// fields writes the values that are set, in the order of fields.
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
