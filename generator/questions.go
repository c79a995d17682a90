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

// deployment is the deployment that the answers describe. Values remain strings until the parser validates them.
type deployment struct {
	dcs        []string
	ports      map[string]string
	hosts      []host
	workspaces []section
	services   []section
	limits     section
	operators  []string
	// workspacesWithToken lists the workspaces for which a caller token is generated.
	workspacesWithToken []string
}

type host struct {
	name    string
	dc      string
	addr    string
	entry   bool
	control bool
}

// section is a section of the configuration; keys lists its keys in order.
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

// nameSection is the section kind for which the parser validates names that have no section of their own.
const nameSection = "dc"

// prompt is a question whose answer the parser validates as the value of key.
type prompt struct{ key, text, defaultAnswer string }

var limitPrompts = []prompt{
	{"lease", "Time after which a silent backend server gets no more work", parser.DefaultServerLease.String()},
	{"ttl", "Time for which callers may keep the list of entries", parser.DefaultEntriesTTL.String()},
	{"header", "Largest request header in bytes", strconv.Itoa(parser.DefaultMaxHeaderBytes)},
	{"retention", "Time for which answers to requests with an idempotency key are kept", parser.DefaultClaimRetention.String()},
}

var servicePrompts = []prompt{
	{"timeout", "Deadline of a request that names none", parser.DefaultTimeout.String()},
	{"progress", "Longest time a body may stand still", parser.DefaultProgressTimeout.String()},
	{"retry", "Share of requests that may be retried, 0 to 1", fmt.Sprint(parser.DefaultRetryRatio)},
	{"probe", "Share of a backend server's time that measuring may take, 0 to 0.5", fmt.Sprint(parser.DefaultProbeRatio)},
	{"ceiling", "Largest share of calls for a new version that has not shown itself good, 0.001 to 0.5", fmt.Sprint(parser.DefaultMaxTrialShare)},
	{"queue", "Waiting requests per firm and entry", strconv.Itoa(parser.DefaultMaxQueued)},
}

var portPrompts = []prompt{
	{"mesh", "Port for sessions between the system's hosts", "7000"},
	{"caller", "Port for callers", "8080"},
	{"announce", "Port for announcements of backend servers", "8081"},
	{"operator", "Port for operators", "9000"},
}

const (
	minControlHosts = 3
	maxControlHosts = 5
)

// askAll asks all questions and returns the deployment that the answers describe.
func (qn *questionnaire) askAll() *deployment {
	d := &deployment{ports: make(map[string]string)}
	d.dcs = qn.askNames("datacentres", "names", "Names of the data centres, comma separated", "dc")
	qn.askHosts(d)
	for _, p := range portPrompts {
		d.ports[p.key] = qn.ask(question{section: "ports", key: p.key, text: p.text, defaultAnswer: p.defaultAnswer, check: checkPort})
	}
	qn.askWorkspaces(d)
	for _, name := range qn.askNames("services", "names", "Names of the services, comma separated", "service") {
		d.services = append(d.services, qn.askService(name, d.services))
	}
	d.limits = section{name: "limits", values: make(map[string]string)}
	qn.askPrompts(&d.limits, limitPrompts)
	d.operators = qn.askNames("operators", "names", "Names of the operators, comma separated", nameSection)
	return d
}

// askNames asks for a list of names, which the parser validates as names of sections of the given kind.
func (qn *questionnaire) askNames(section, key, text, kind string) []string {
	return splitList(qn.ask(question{section: section, key: key, text: text, check: func(answer string) error {
		items := splitList(answer)
		for i, item := range items {
			if slices.Contains(items[:i], item) {
				return errors.Errorf("%q is given more than once", item)
			}
			if reason := parserReason(kind+" "+item, "", item); reason != "" {
				return errors.Errorf("%q: %s", item, reason)
			}
		}
		return nil
	}}))
}

// parserReason returns why the parser rejects a value, or "". Asking the parser avoids a second copy of the accepted
// ranges.
func parserReason(section, key, value string) string {
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
		// A fault without a section means that the value makes the text invalid as an INI file.
		if f.Section == "" || f.Section == section && f.Key == key && (key != "" || f.Value == value) {
			return f.Reason
		}
	}
	return ""
}

func (qn *questionnaire) askPrompts(s *section, prompts []prompt) {
	for _, p := range prompts {
		s.set(p.key, qn.ask(question{section: s.name, key: p.key, text: sectionLabel(s.name) + p.text, defaultAnswer: p.defaultAnswer, check: func(v string) error {
			if reason := parserReason(s.name, p.key, v); reason != "" {
				return errors.New(reason)
			}
			return nil
		}}))
	}
}

// sectionLabel returns the start of a question at the terminal, which names the service or workspace.
func sectionLabel(section string) string {
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

func checkPort(answer string) error {
	if n, err := strconv.ParseUint(answer, 10, 16); err != nil || n == 0 {
		return errors.New("must be a port number from 1 to 65535")
	}
	return nil
}

func checkYesNo(answer string) error {
	if answer != "yes" && answer != "no" {
		return errors.New("must be yes or no")
	}
	return nil
}

func (qn *questionnaire) askHosts(d *deployment) {
	dcByAddr := make(map[string]string)
	for _, dc := range d.dcs {
		answer := qn.ask(question{
			section: "dc " + dc, key: "hosts", text: "Addresses of the system's hosts in " + dc + ", IP numbers, comma separated",
			optional: true, check: func(v string) error { return checkHostAddresses(v, dcByAddr) },
		})
		for i, addr := range splitList(answer) {
			dcByAddr[addr] = dc
			d.hosts = append(d.hosts, host{name: fmt.Sprintf("%s-%d", dc, i+1), dc: dc, addr: addr})
		}
	}
	all := make([]string, len(d.hosts))
	for i, h := range d.hosts {
		all[i] = h.name
	}
	if qn.answers == nil {
		fmt.Fprintf(qn.out, "The hosts are called %s.\n", strings.Join(all, ", "))
	}
	entries := qn.askHostSubset("entries", "Hosts that serve callers, comma separated, or all", "all", all, nil)
	disks := qn.askHostSubset("disks", "Hosts that have a disk, comma separated, or all", "", all, nil)
	control := qn.askHostSubset("control", "Hosts with a disk that serve control: 3 or 5", d.suggestControlHosts(disks), disks, d.checkControl)
	for i := range d.hosts {
		h := &d.hosts[i]
		h.entry = slices.Contains(entries, h.name)
		h.control = slices.Contains(control, h.name)
		if !h.entry && !h.control && qn.err == nil && len(qn.faults) == 0 {
			qn.addFault("hosts", "entries", h.name, "the host serves neither callers nor control; give it a task or leave it out")
		}
	}
}

func checkHostAddresses(answer string, dcByAddr map[string]string) error {
	seen := sycamorevane.NewSet[string]()
	for _, item := range splitList(answer) {
		addr, err := netip.ParseAddr(item)
		if err != nil || addr.IsUnspecified() || addr.IsMulticast() || addr.Zone() != "" {
			return errors.Errorf("%q must be the IP number of one host, for example 10.0.0.1", item)
		}
		if dc, ok := dcByAddr[item]; ok {
			return errors.Errorf("%q already belongs to a host in %s", item, dc)
		}
		if seen.Has(item) {
			return errors.Errorf("%q is given more than once", item)
		}
		seen.Add(item)
	}
	return nil
}

// askHostSubset asks for a subset of hostNames. extraCheck, if not nil, validates the chosen hosts.
func (qn *questionnaire) askHostSubset(key, text, defaultAnswer string, hostNames []string, extraCheck func([]string) error) []string {
	answer := qn.ask(question{section: "hosts", key: key, text: text, defaultAnswer: defaultAnswer, check: func(v string) error {
		chosen := splitList(v)
		if v == "all" {
			chosen = hostNames
		}
		for i, name := range chosen {
			if !slices.Contains(hostNames, name) {
				return errors.Errorf("%q is not one of %s", name, strings.Join(hostNames, ", "))
			}
			if slices.Contains(chosen[:i], name) {
				return errors.Errorf("%q is given more than once", name)
			}
		}
		if extraCheck != nil {
			return extraCheck(chosen)
		}
		return nil
	}})
	if answer == "all" {
		return hostNames
	}
	return splitList(answer)
}

// checkControl requires 3 or 5 control hosts. With three or more data centres, no data centre may contain a majority of
// them, since the failure of that data centre would then leave no quorum.
func (d *deployment) checkControl(chosen []string) error {
	if len(chosen) != minControlHosts && len(chosen) != maxControlHosts {
		return errors.Errorf("must be %d or %d hosts, not %d", minControlHosts, maxControlHosts, len(chosen))
	}
	count := make(map[string]int)
	for _, h := range d.hosts {
		if slices.Contains(chosen, h.name) {
			count[h.dc]++
		}
	}
	for dc, n := range count {
		if len(d.dcs) >= minControlHosts && n > len(chosen)/2 {
			return errors.Errorf("must be spread, so that no data centre holds more than %d of %d; %s holds %d", len(chosen)/2, len(chosen), dc, n)
		}
	}
	return nil
}

// suggestControlHosts returns a default choice of control hosts: hosts with a disk, taken in turn from each data centre.
func (d *deployment) suggestControlHosts(disks []string) string {
	var chosen []string
	for round := 0; len(chosen) < minControlHosts && round < len(disks); round++ {
		for _, dc := range d.dcs {
			var candidates []string
			for _, h := range d.hosts {
				if h.dc == dc && slices.Contains(disks, h.name) {
					candidates = append(candidates, h.name)
				}
			}
			if round < len(candidates) && len(chosen) < minControlHosts {
				chosen = append(chosen, candidates[round])
			}
		}
	}
	return strings.Join(chosen, ", ")
}

func (qn *questionnaire) askWorkspaces(d *deployment) {
	text := "Names of the firms or teams that share the services, comma separated"
	for _, name := range qn.askNames("firms", "names", text, "firm") {
		s := section{name: "firm " + name, values: make(map[string]string)}
		qn.askPrompts(&s, []prompt{{"weight", "Weight of its share under load, relative to others, 1 to 1000", "1"}})
		token := qn.ask(question{
			section: s.name, key: "token", text: sectionLabel(s.name) + "Generate a token by which its callers are recognised, yes or no",
			defaultAnswer: "no", check: checkYesNo,
		})
		if token == "yes" {
			d.workspacesWithToken = append(d.workspacesWithToken, name)
		}
		d.workspaces = append(d.workspaces, s)
	}
}

func (qn *questionnaire) askService(name string, otherServices []section) section {
	s := section{name: "service " + name, values: make(map[string]string)}
	s.set("hosts", qn.ask(question{
		section: s.name, key: "hosts", text: sectionLabel(s.name) + "Host headers that select it, comma separated", defaultAnswer: name,
		check: func(v string) error { return checkHostHeaders(v, otherServices) },
	}))
	s.set("prefix", qn.ask(question{
		section: s.name, key: "prefix", text: sectionLabel(s.name) + "Path prefix that selects it", optional: true, check: checkPrefix,
	}))
	qn.askPrompts(&s, servicePrompts)
	body := qn.ask(question{
		section: s.name, key: "body", text: sectionLabel(s.name) + "Largest request body, for example 64 MiB", defaultAnswer: "64 MiB",
		check: func(v string) error {
			_, err := parseSize(v)
			return err
		},
	})
	if n, err := parseSize(body); err == nil {
		s.set("body", strconv.FormatInt(n, 10))
	}
	s.routes = append(qn.askRoutes(s, "once", "Requests that must run at most once, each NAME METHOD PREFIX, comma separated", false),
		qn.askRoutes(s, "repeatable", "Requests with POST or PATCH that may run twice, each NAME METHOD PREFIX, comma separated", true)...)
	return s
}

// checkHostHeaders rejects Host headers that already select another service.
func checkHostHeaders(answer string, otherServices []section) error {
	for _, item := range splitList(answer) {
		for _, o := range otherServices {
			if slices.Contains(splitList(strings.ToLower(o.values["hosts"])), strings.ToLower(item)) {
				return errors.Errorf("%q already selects %s", item, o.name)
			}
		}
	}
	return nil
}

func checkPrefix(answer string) error {
	if !strings.HasPrefix(answer, "/") || strings.HasPrefix(answer, "/.vane") || strings.ContainsAny(answer, " \t") {
		return errors.New("must be a path that starts with / and not with /.vane")
	}
	return nil
}

// sizeUnits are tried in order; a number without a unit is in bytes.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

const maxBodyBytes = 1 << 40

func parseSize(answer string) (int64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(answer, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > maxBodyBytes/u.bytes {
			break
		}
		return n * u.bytes, nil
	}
	return 0, errors.New("must be a size from 0 B to 1024 GiB, for example 64 MiB")
}

func (qn *questionnaire) askRoutes(s section, key, text string, idempotent bool) []route {
	answer := qn.ask(question{section: s.name, key: key, text: sectionLabel(s.name) + text, optional: true, check: func(v string) error {
		for _, item := range splitList(v) {
			if err := checkRoute(item); err != nil {
				return err
			}
		}
		return nil
	}})
	var routes []route
	for _, item := range splitList(answer) {
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
	if reason := parserReason(nameSection+" "+f[0], "", f[0]); reason != "" {
		return errors.Errorf("%q: %s", f[0], reason)
	}
	if err := checkPrefix(f[2]); err != nil {
		return errors.Errorf("%q: prefix %v", item, err)
	}
	return nil
}
