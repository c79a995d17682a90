package forwarder

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"sycamorevane.example/sycamorevane"
)

// index finds the service and the workspace of a request in one State.
type index struct {
	state              *sycamorevane.State
	servicesByHost     map[string]*sycamorevane.Service
	servicesWithPrefix []*sycamorevane.Service
	workspacesByName   map[string]*sycamorevane.Workspace
	// workspacesByDigest has the hex digests of credentials as keys.
	workspacesByDigest map[string]*sycamorevane.Workspace
	// entryHosts is the number of configured entry hosts, at least 1.
	entryHosts int
	// rulesByHost holds the rules of each host, the longest prefix first.
	rulesByHost    map[string][]*sycamorevane.Rule
	servicesByName map[string]*sycamorevane.Service
	// ruleStates holds the state that is kept for each rule. It is passed on from index to index.
	ruleStates map[*sycamorevane.Rule]*ruleState
}

// current returns the index of the current state, or nil before the first one.
func (f *Forwarder) current() *index {
	s := f.cfg.State()
	if s == nil {
		return nil
	}
	if x := f.index.Load(); x != nil && x.state == s {
		return x
	}
	prev := f.index.Load()
	x := newIndex(s, prev)
	if f.index.CompareAndSwap(prev, x) {
		f.logCredentials(x, prev)
	}
	return x
}

// newIndex takes the states of rules that still exist over from prev, which may be nil.
func newIndex(s *sycamorevane.State, prev *index) *index {
	x := &index{
		state:              s,
		servicesByHost:     make(map[string]*sycamorevane.Service),
		workspacesByName:   make(map[string]*sycamorevane.Workspace),
		rulesByHost:        make(map[string][]*sycamorevane.Rule),
		servicesByName:     make(map[string]*sycamorevane.Service),
		ruleStates:         make(map[*sycamorevane.Rule]*ruleState),
		workspacesByDigest: make(map[string]*sycamorevane.Workspace),
		entryHosts:         max(1, len(s.Config.HostsWith(sycamorevane.RoleEntry))),
	}
	x.addRules(s, prev)
	for i := range s.Config.Services {
		svc := &s.Config.Services[i]
		x.servicesByName[svc.Name] = svc
		for _, h := range svc.Hosts {
			x.servicesByHost[strings.ToLower(h)] = svc
		}
		if svc.Prefix != "" {
			x.servicesWithPrefix = append(x.servicesWithPrefix, svc)
		}
	}
	for i := range s.Config.Workspaces {
		workspace := &s.Config.Workspaces[i]
		x.workspacesByName[workspace.Name] = workspace
		for _, digest := range workspace.Credentials {
			x.workspacesByDigest[strings.ToLower(digest)] = workspace
		}
	}
	return x
}

func (x *index) addRules(s *sycamorevane.State, prev *index) {
	for i := range s.Config.Rules {
		r := &s.Config.Rules[i]
		host := strings.ToLower(r.Host)
		x.rulesByHost[host] = append(x.rulesByHost[host], r)
		x.ruleStates[r] = prev.inheritRuleState(r)
	}
	for _, list := range x.rulesByHost {
		slices.SortFunc(list, func(a, b *sycamorevane.Rule) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// inheritRuleState returns the state that the next index uses for rule r. It is that of the rule with the same host and
// prefix in x, since the State changes each time a server leaves or a rollout takes a step, but the rules rarely do. When
// the destinations have changed, the round robin starts over.
func (x *index) inheritRuleState(r *sycamorevane.Rule) *ruleState {
	fresh := newRuleState()
	if x == nil {
		return fresh
	}
	host := strings.ToLower(r.Host)
	for _, old := range x.rulesByHost[host] {
		if old.Prefix != r.Prefix {
			continue
		}
		state := x.ruleStates[old]
		if !slices.Equal(old.Destinations, r.Destinations) {
			return &ruleState{roundRobin: fresh.roundRobin, medianLatency: state.medianLatency}
		}
		return state
	}
	return fresh
}

// findRule returns the rule of a request, or nil.
func (x *index) findRule(host, path string) *sycamorevane.Rule {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range x.rulesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// findService returns the service by Host, else by the longest configured path prefix, else nil.
func (x *index) findService(host, path string) *sycamorevane.Service {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if svc, ok := x.servicesByHost[host]; ok {
		return svc
	}
	if svc, ok := x.servicesByHost[strings.ToLower(host)]; ok {
		return svc
	}
	var best *sycamorevane.Service
	for _, svc := range x.servicesWithPrefix {
		if underPrefix(path, svc.Prefix) && (best == nil || len(svc.Prefix) > len(best.Prefix)) {
			best = svc
		}
	}
	return best
}

// underPrefix matches whole path segments, so that prefix /a does not match /ab.
func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// workspace returns the name of the workspace and whether its credential was used. It returns false when the request
// names a workspace that it may not use. Requests that name none belong to the workspace "".
func (x *index) workspace(h http.Header, header string) (name string, byCredential, ok bool) {
	if workspace := x.workspaceByToken(h); workspace != nil {
		return workspace.Name, true, true
	}
	if header == "" {
		return "", false, true
	}
	claimed := h.Get(header)
	if claimed == "" {
		return "", false, true
	}
	workspace, known := x.workspacesByName[claimed]
	if !known || len(workspace.Credentials) > 0 {
		return "", false, false
	}
	return claimed, false, true
}

func (x *index) workspaceByToken(h http.Header) *sycamorevane.Workspace {
	const scheme = "bearer "
	auth := h.Get("Authorization")
	if len(x.workspacesByDigest) == 0 || len(auth) <= len(scheme) || !strings.EqualFold(auth[:len(scheme)], scheme) {
		return nil
	}
	return x.workspacesByDigest[sycamorevane.CredentialDigest(strings.TrimSpace(auth[len(scheme):]))]
}
