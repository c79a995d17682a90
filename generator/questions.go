package generator

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/parser"
)

// deployment is what the answers describe. Values are kept as text until the parser has checked them.
type deployment struct {
	dcs        []string
	ports      map[string]string
	hosts      []host
	workspaces []section
	services   []section
	limits     section
	operators  []string
	// callers are the workspaces whose callers get a credential.
	callers []string
}

type host struct {
	name    string
	dc      string
	addr    string
	entry   bool
	control bool
}

// section is a section of the configuration with its keys in order.
type section struct {
	name   string
	keys   []string
	values map[string]string
	routes []route
}

type route struct {
	name       string
	method     string
	prefix     string
	idempotent bool
}

// nameRule is the kind of section whose rule for names applies to names that have no section of their own.
const nameRule = "dc"

// prompt is a question whose answer is checked by the parser's rule for the same section and key.
type prompt struct{ key, text, standard string }

var limitPrompts = []prompt{
	{"lease", "Time after which a silent backend server gets no more work", parser.DefaultServerLease.String()},
	{"ttl", "Time for which callers may keep the list of entries", parser.DefaultEntriesTTL.String()},
	{"header", "Largest request header in bytes", strconv.Itoa(parser.DefaultMaxHeaderBytes)},
	{"retention", "Time for which answers to requests with an idempotency key are kept", parser.DefaultClaimRetention.String()},
}

var servicePrompts = []prompt{
	{"timeout", "Deadline of a request that names none", parser.DefaultTimeout.String()},
	{"progress", "Longest time a body may stand still", parser.DefaultProgress.String()},
	{"retry", "Share of requests that may be retried, 0 to 1", fmt.Sprint(parser.DefaultRetry)},
	{"probe", "Share of a backend server's time that measuring may take, 0 to 0.5", fmt.Sprint(parser.DefaultProbe)},
	{"ceiling", "Largest share of calls for a new version that has not shown itself good, 0.001 to 0.5", fmt.Sprint(parser.DefaultCeiling)},
	{"queue", "Waiting requests per firm and entry", strconv.Itoa(parser.DefaultQueue)},
}

var portPrompts = []prompt{
	{"mesh", "Port for sessions between the system's hosts", "7000"},
	{"caller", "Port for callers", "8080"},
	{"announce", "Port for announcements of backend servers", "8081"},
	{"operator", "Port for operators", "9000"},
}

const (
	minControl = 3
	maxControl = 5
)

// deployment asks all questions in order.
func (a *asker) deployment() *deployment {
	d := &deployment{ports: make(map[string]string)}
	d.dcs = a.names("datacentres", "names", "Names of the data centres, comma separated", "dc")
	a.askHosts(d)
	for _, p := range portPrompts {
		d.ports[p.key] = a.ask(question{section: "ports", key: p.key, text: p.text, standard: p.standard, check: port})
	}
	a.askWorkspaces(d)
	for _, name := range a.names("services", "names", "Names of the services, comma separated", "service") {
		d.services = append(d.services, a.askService(name, d.services))
	}
	d.limits = section{name: "limits", values: make(map[string]string)}
	a.askParsed(&d.limits, limitPrompts)
	d.operators = a.names("operators", "names", "Names of the operators, comma separated", nameRule)
	return d
}

// names asks for a list of names; kind is the section of the configuration whose rule for names applies.
func (a *asker) names(section, key, text, kind string) []string {
	return split(a.ask(question{section: section, key: key, text: text, check: func(answer string) error {
		items := split(answer)
		for i, item := range items {
			if slices.Contains(items[:i], item) {
				return errors.Errorf("%q is given more than once", item)
			}
			if reason := rule(kind+" "+item, "", item); reason != "" {
				return errors.Errorf("%q: %s", item, reason)
			}
		}
		return nil
	}}))
}

// rule returns the parser's reason against a value, or "". The parser holds the only copy of the accepted ranges.
func rule(section, key, value string) string {
	text := "[" + section + "]\n"
	if key != "" {
		text += key + " = " + value + "\n"
	}
	_, err := parser.ParseConfig("", []byte(text))
	var faults parser.Faults
	if !errors.As(err, &faults) {
		return ""
	}
	for _, f := range faults {
		// A fault without section means that the value breaks the form of the file.
		if f.Section == "" || f.Section == section && f.Key == key && (key != "" || f.Value == value) {
			return f.Reason
		}
	}
	return ""
}

func (a *asker) askParsed(s *section, prompts []prompt) {
	for _, p := range prompts {
		s.set(p.key, a.ask(question{section: s.name, key: p.key, text: label(s.name) + p.text, standard: p.standard, check: func(v string) error {
			if reason := rule(s.name, p.key, v); reason != "" {
				return errors.New(reason)
			}
			return nil
		}}))
	}
}

// label names the service or workspace that a question at the terminal is about.
func label(section string) string {
	if kind, name, ok := strings.Cut(section, " "); ok {
		return strings.ToUpper(kind[:1]) + kind[1:] + " " + name + ". "
	}
	return ""
}

func (s *section) set(key, value string) {
	if value == "" {
		return
	}
	s.keys = append(s.keys, key)
	s.values[key] = value
}

func port(answer string) error {
	if n, err := strconv.ParseUint(answer, 10, 16); err != nil || n == 0 {
		return errors.New("must be a port number from 1 to 65535")
	}
	return nil
}

func yes(answer string) error {
	if answer != "yes" && answer != "no" {
		return errors.New("must be yes or no")
	}
	return nil
}

func (a *asker) askHosts(d *deployment) {
	taken := make(map[string]string)
	for _, dc := range d.dcs {
		answer := a.ask(question{
			section: "dc " + dc, key: "hosts", text: "Addresses of the system's hosts in " + dc + ", IP numbers, comma separated",
			optional: true, check: func(v string) error { return addresses(v, taken) },
		})
		for i, addr := range split(answer) {
			taken[addr] = dc
			d.hosts = append(d.hosts, host{name: fmt.Sprintf("%s-%d", dc, i+1), dc: dc, addr: addr})
		}
	}
	all := make([]string, len(d.hosts))
	for i, h := range d.hosts {
		all[i] = h.name
	}
	if a.answers == nil {
		fmt.Fprintf(a.out, "The hosts are called %s.\n", strings.Join(all, ", "))
	}
	entries := a.choose("entries", "Hosts that serve callers, comma separated, or all", "all", all, nil)
	disks := a.choose("disks", "Hosts that have a disk, comma separated, or all", "", all, nil)
	control := a.choose("control", "Hosts with a disk that serve control: 3 or 5", d.spread(disks), disks, d.checkControl)
	for i := range d.hosts {
		h := &d.hosts[i]
		h.entry = slices.Contains(entries, h.name)
		h.control = slices.Contains(control, h.name)
		if !h.entry && !h.control && a.err == nil && len(a.faults) == 0 {
			a.fault("hosts", "entries", h.name, "the host serves neither callers nor control; give it a task or leave it out")
		}
	}
}

func addresses(answer string, taken map[string]string) error {
	seen := sycamorevane.NewSet[string]()
	for _, item := range split(answer) {
		addr, err := netip.ParseAddr(item)
		if err != nil || addr.IsUnspecified() || addr.IsMulticast() || addr.Zone() != "" {
			return errors.Errorf("%q must be the IP number of one host, for example 10.0.0.1", item)
		}
		if dc, ok := taken[item]; ok {
			return errors.Errorf("%q already belongs to a host in %s", item, dc)
		}
		if seen.Has(item) {
			return errors.Errorf("%q is given more than once", item)
		}
		seen.Add(item)
	}
	return nil
}

// choose asks for some of the given hosts.
func (a *asker) choose(key, text, standard string, from []string, more func([]string) error) []string {
	answer := a.ask(question{section: "hosts", key: key, text: text, standard: standard, check: func(v string) error {
		chosen := split(v)
		if v == "all" {
			chosen = from
		}
		for i, name := range chosen {
			if !slices.Contains(from, name) {
				return errors.Errorf("%q is not one of %s", name, strings.Join(from, ", "))
			}
			if slices.Contains(chosen[:i], name) {
				return errors.Errorf("%q is given more than once", name)
			}
		}
		if more != nil {
			return more(chosen)
		}
		return nil
	}})
	if answer == "all" {
		return from
	}
	return split(answer)
}

// checkControl accepts 3 or 5 hosts. With three or more data centres none of them may hold a majority, since its
// loss would end control.
func (d *deployment) checkControl(chosen []string) error {
	if len(chosen) != minControl && len(chosen) != maxControl {
		return errors.Errorf("must be %d or %d hosts, not %d", minControl, maxControl, len(chosen))
	}
	count := make(map[string]int)
	for _, h := range d.hosts {
		if slices.Contains(chosen, h.name) {
			count[h.dc]++
		}
	}
	for dc, n := range count {
		if len(d.dcs) >= minControl && n > len(chosen)/2 {
			return errors.Errorf("must be spread, so that no data centre holds more than %d of %d; %s holds %d", len(chosen)/2, len(chosen), dc, n)
		}
	}
	return nil
}

// spread suggests control hosts: hosts with a disk, in turn from each data centre.
func (d *deployment) spread(disks []string) string {
	var chosen []string
	for round := 0; len(chosen) < minControl && round < len(disks); round++ {
		for _, dc := range d.dcs {
			var own []string
			for _, h := range d.hosts {
				if h.dc == dc && slices.Contains(disks, h.name) {
					own = append(own, h.name)
				}
			}
			if round < len(own) && len(chosen) < minControl {
				chosen = append(chosen, own[round])
			}
		}
	}
	return strings.Join(chosen, ", ")
}

func (a *asker) askWorkspaces(d *deployment) {
	text := "Names of the firms or teams that share the services, comma separated"
	for _, name := range a.names("firms", "names", text, "firm") {
		s := section{name: "firm " + name, values: make(map[string]string)}
		a.askParsed(&s, []prompt{{"weight", "Weight of its share under load, relative to others, 1 to 1000", "1"}})
		token := a.ask(question{
			section: s.name, key: "token", text: label(s.name) + "Generate a token by which its callers are recognised, yes or no",
			standard: "no", check: yes,
		})
		if token == "yes" {
			d.callers = append(d.callers, name)
		}
		d.workspaces = append(d.workspaces, s)
	}
}

func (a *asker) askService(name string, others []section) section {
	s := section{name: "service " + name, values: make(map[string]string)}
	s.set("hosts", a.ask(question{
		section: s.name, key: "hosts", text: label(s.name) + "Host headers that select it, comma separated", standard: name,
		check: func(v string) error { return freeHeaders(v, others) },
	}))
	s.set("prefix", a.ask(question{
		section: s.name, key: "prefix", text: label(s.name) + "Path prefix that selects it", optional: true, check: prefix,
	}))
	a.askParsed(&s, servicePrompts)
	body := a.ask(question{
		section: s.name, key: "body", text: label(s.name) + "Largest request body, for example 64 MiB", standard: "64 MiB",
		check: func(v string) error {
			_, err := size(v)
			return err
		},
	})
	if n, err := size(body); err == nil {
		s.set("body", strconv.FormatInt(n, 10))
	}
	s.routes = append(a.askRoutes(s, "once", "Requests that must run at most once, each NAME METHOD PREFIX, comma separated", false),
		a.askRoutes(s, "repeatable", "Requests with POST or PATCH that may run twice, each NAME METHOD PREFIX, comma separated", true)...)
	return s
}

// freeHeaders refuses Host headers that already select another service.
func freeHeaders(answer string, others []section) error {
	for _, item := range split(answer) {
		for _, o := range others {
			if slices.Contains(split(strings.ToLower(o.values["hosts"])), strings.ToLower(item)) {
				return errors.Errorf("%q already selects %s", item, o.name)
			}
		}
	}
	return nil
}

func prefix(answer string) error {
	if !strings.HasPrefix(answer, "/") || strings.HasPrefix(answer, "/.vane") || strings.ContainsAny(answer, " \t") {
		return errors.New("must be a path that starts with / and not with /.vane")
	}
	return nil
}

// sizeUnits are tried in order; a number without unit is in bytes.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

const maxBody = 1 << 40

func size(answer string) (int64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(answer, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > maxBody/u.bytes {
			break
		}
		return n * u.bytes, nil
	}
	return 0, errors.New("must be a size from 0 B to 1024 GiB, for example 64 MiB")
}

func (a *asker) askRoutes(s section, key, text string, idempotent bool) []route {
	answer := a.ask(question{section: s.name, key: key, text: label(s.name) + text, optional: true, check: func(v string) error {
		for _, item := range split(v) {
			if err := checkRoute(item); err != nil {
				return err
			}
		}
		return nil
	}})
	var routes []route
	for _, item := range split(answer) {
		f := strings.Fields(item)
		routes = append(routes, route{name: f[0], method: f[1], prefix: f[2], idempotent: idempotent})
	}
	return routes
}

func checkRoute(item string) error {
	f := strings.Fields(item)
	if len(f) != 3 || f[1] != strings.ToUpper(f[1]) {
		return errors.Errorf("%q must be NAME METHOD PREFIX, for example raise POST /flags", item)
	}
	if reason := rule(nameRule+" "+f[0], "", f[0]); reason != "" {
		return errors.Errorf("%q: %s", f[0], reason)
	}
	if err := prefix(f[2]); err != nil {
		return errors.Errorf("%q: prefix %v", item, err)
	}
	return nil
}
