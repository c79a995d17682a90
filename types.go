// Package sycamorevane holds the interfaces whose implementations vary, the plain data types shared by all
// packages and the error types. It has no logic beyond validation and small value types.
package sycamorevane

import (
	"slices"
	"time"
)

// ServerState is what a backend server says about itself when it announces.
type ServerState string

// States of a backend server.
const (
	ServerCold     ServerState = "cold"
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// Valid reports whether the state is one of the known states.
func (s ServerState) Valid() bool {
	return s == ServerCold || s == ServerReady || s == ServerDraining
}

// Server is one start of a backend server process.
type Server struct {
	// Service is the name of a configured service.
	Service string
	// Version is the release the server runs; never empty.
	Version string
	// ID is new for each start of the process, so a known Addr with a new ID is a restart.
	ID string
	// Addr is host:port by IP number.
	Addr string
	// DC is the name of a configured data centre.
	DC string
	// Slots is how many requests the server runs at once; at least 1.
	Slots int
	// MaxConns is the largest number of open connections over all entries; at least Slots.
	MaxConns int
	// State is the announced state, a hint: coldness is also detected from behaviour.
	State ServerState
	// Load is the last announced load in requests; it may be old or wrong.
	Load int
	// InstanceName is what the server calls itself in its answers; empty when that is its ID. Two starts may share it.
	InstanceName string
}

// LoadReport is what a server says of itself in an answer. Another caller's requests are part of it.
type LoadReport struct {
	// Running and Waiting count requests.
	Running, Waiting int
	// Slots is how many requests the server runs at once; 0 when it does not say.
	Slots int
	// Slowdown is how long work takes now relative to the usual time; 1 is usual, 0 means unknown.
	Slowdown float64
}

// Request describes the request that a Limiter finds a server for.
type Request struct {
	Service   string
	Workspace string
	// Route is the configured route pattern that the path matched, or "" for the default route.
	Route  string
	Method string
	// Version restricts the choice to one version; empty lets the rollout share decide.
	Version    string
	Idempotent bool
	// Deadline bounds waiting; zero means the service's default timeout.
	Deadline time.Time
	// ExcludedServers lists server IDs that have already failed this request.
	ExcludedServers []string
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// SoftDeadline is the time by which an answer has its full worth; zero when there is none.
	SoftDeadline time.Time
	// Hedge is set for a second attempt beside a running first one. It must not queue for room.
	Hedge bool
}

// Grant is the right to run one request on one server.
type Grant struct {
	// ID is unique per Limiter and process.
	ID     uint64
	Server Server
	// ExpiresAt is when the underlying slot loan expires unless it is renewed.
	ExpiresAt time.Time
	// Trial is true when the server's version is under rollout and has not been accepted.
	Trial bool
}

// OutcomeKind classifies the end of one attempt.
type OutcomeKind uint8

// Kinds of outcome.
const (
	// OutcomeOK is a complete answer below 500.
	OutcomeOK OutcomeKind = iota
	// OutcomeFailed is a complete answer of 500 or above that is not a not-run refusal.
	OutcomeFailed
	// OutcomeShed is the server's own refusal that says the request has not run.
	OutcomeShed
	// OutcomeConnectFailed is a connection that was never made.
	OutcomeConnectFailed
	// OutcomeIncomplete is a connection cut or an unreadable answer after the request was sent.
	OutcomeIncomplete
	// OutcomeTimeout is an attempt that made no progress within its limit.
	OutcomeTimeout
	// OutcomeCancelled is an attempt abandoned by the caller; it says nothing about the server.
	OutcomeCancelled
)

var outcomeNames = [...]string{"ok", "failed", "shed", "refused", "broken", "timeout", "cancelled"}

func (k OutcomeKind) String() string {
	if int(k) < len(outcomeNames) {
		return outcomeNames[k]
	}
	return "unknown"
}

// Outcome is what one attempt showed.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration
	Route   string
	// Fingerprint identifies the request for crash detection; zero when it has none.
	Fingerprint uint64
	// Load is what the server said of itself; nil when it said nothing.
	Load *LoadReport
	// AddressReused is set when another server has the address now.
	AddressReused bool
}

// ServerDirective is what a server asks for in the header of any of its answers.
type ServerDirective struct {
	// Leaving is set when the server takes no new work.
	Leaving bool
	// Pause is how long the server wants no request of this host; 0 when it has not said.
	Pause time.Duration
}

// RecordedResponse is a recorded response to a request with an idempotency key.
type RecordedResponse struct {
	Status int
	// Header holds the end-to-end response headers.
	Header map[string][]string
	Body   []byte
	// BodyOmitted is true when the body was above the recording limit and is therefore absent.
	BodyOmitted bool
}

// Claim identifies one keyed request.
type Claim struct {
	Workspace string
	Service   string
	Key       string
	// Digest is a hash of method, path and body prefix; the same key with another digest is an error of the caller.
	Digest uint64
	// Token is unique per Claim call, so that only the owner of a claim can finish or abandon it.
	Token uint64
}

// ClaimState is the answer to a claim.
type ClaimState uint8

// States of a claim.
const (
	// ClaimFresh means that this caller may run the request.
	ClaimFresh ClaimState = iota
	// ClaimRunning means that another copy is running.
	ClaimRunning
	// ClaimAnswered means that the request ran and its answer is recorded.
	ClaimAnswered
	// ClaimUncertain means that the request may have run and its answer is unknown.
	ClaimUncertain
	// ClaimMismatch means that the key was used with another request.
	ClaimMismatch
)

// ClaimResult is the state of a claim with the recorded answer, which is set only for ClaimAnswered.
type ClaimResult struct {
	State    ClaimState
	Response *RecordedResponse
}

// Peer is another process of the system as seen from this one.
type Peer struct {
	Name  string
	DC    string
	Roles Set[string]
	Addr  string
	// Incarnation is new for each start of the peer's process.
	Incarnation uint64
	Alive       bool
	// LastHeard is when the last message arrived, by this host's monotonic clock.
	LastHeard time.Time
	// RTT is the smoothed heartbeat round trip.
	RTT time.Duration
}

// MinClusterKeyBytes is the shortest accepted cluster key in bytes.
const MinClusterKeyBytes = 16

// Roles of a host.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Host is one configured host of the system.
type Host struct {
	Name string
	DC   string
	// MeshAddr is the host:port of the peer listener.
	MeshAddr string `json:"Mesh"`
	// CallerAddr and Announce are host:port of the entry listeners; empty on hosts without the entry role.
	CallerAddr   string `json:"Caller"`
	AnnounceAddr string `json:"Announce"`
	// OperatorAddr is host:port of the control listener; empty on hosts without the control role.
	OperatorAddr string `json:"Operator"`
	Roles        Set[string]
}

// Workspace is a tenant whose traffic is kept apart from others'.
type Workspace struct {
	Name string
	// Weight is the share relative to other workspaces; at least 1.
	Weight int
	// Credentials are SHA-256 digests in hex of bearer tokens that identify the workspace.
	Credentials []string
}

// Route overrides the defaults of its service for matching requests.
type Route struct {
	// Name identifies the route in evidence, metrics and the status view.
	Name string
	// Method is an HTTP method, or empty for all.
	Method string
	// Prefix is the path prefix that the route matches; the longest match wins.
	Prefix string
	// Idempotent says whether a second run of the same request does no harm.
	Idempotent bool
}

// Service is one configured service.
type Service struct {
	Name string
	// Hosts are the Host header values that select the service, without port.
	Hosts []string
	// Prefix selects the service by path; empty for none.
	Prefix string
	// Timeout bounds a request that names no deadline of its own.
	Timeout time.Duration
	// ProgressTimeout bounds the time in which a body must make progress.
	ProgressTimeout time.Duration `json:"Progress"`
	// MaxQueued bounds the waiting requests of a workspace on one entry.
	MaxQueued int `json:"Queue"`
	// RetryRatio is the share of first attempts that may be retried or hedged, 0 to 1.
	RetryRatio float64 `json:"Retry"`
	// HedgeRatio is the share of requests that may be sent to a second server while the first has not answered; 0 for half
	// of Retry.
	HedgeRatio float64 `json:"Hedge,omitempty"`
	// ProbeRatio is the share of a server's slot time that measuring may take, 0 to 1.
	ProbeRatio float64 `json:"Probe"`
	// MaxTrialShare is the largest share of calls for a version that has not shown itself good, 0 to 1.
	MaxTrialShare float64 `json:"Ceiling"`
	// MaxBodyBytes bounds a request body in bytes.
	MaxBodyBytes int64 `json:"Body"`
	Routes       []Route
	// HealthPath is the path at which a server says whether it is well; empty for none.
	HealthPath string `json:"Health,omitempty"`
	// MaxConns bounds the open connections to one server over all entries; 0 leaves it to what the server announces.
	MaxConns int `json:"Conns,omitempty"`
	// ColdPeriod is how long a server stays cold after its start, ColdRate the requests per second that it then bears.
	ColdPeriod time.Duration `json:"Cold,omitempty"`
	ColdRate   float64       `json:",omitempty"`
}

// Destination is one destination of a rule.
type Destination struct {
	Service string
	// Weight is the part's share relative to the sum over the rule's parts; not negative.
	Weight int
}

// Rule sends the requests of a host and path prefix to services. Of the rules of a host the one with the longest
// matching prefix applies.
type Rule struct {
	Name string
	// Host is compared with the Host header without its port, in lower case; never empty.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent says whether a second run of the same request does no harm.
	Idempotent bool
	// Timeout is the longest time a caller is kept waiting; more than 0 and at most MaxRuleTimeout.
	Timeout time.Duration
	// SoftTimeout is the time within which an answer has its full worth; 0 for none.
	SoftTimeout time.Duration `json:"Aim"`
	// Priority is the rank, 0 the most urgent.
	Priority int
	// MaxAttempts bounds the servers that one request may be sent to; 0 for the default.
	MaxAttempts int `json:"Attempts"`
	// Destinations are the services that get the requests; at least one with a positive weight.
	Destinations []Destination `json:"Parts"`
}

// MaxRuleTimeout is the longest Timeout of a rule.
const MaxRuleTimeout = 10 * time.Minute

// Route returns the configured route with the longest matching prefix, or the default route of the method.
func (s *Service) Route(method, path string) Route {
	best := Route{Idempotent: defaultIdempotent(method)}
	for _, r := range s.Routes {
		if r.Method != "" && r.Method != method {
			continue
		}
		if len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix && (best.Name == "" || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// defaultIdempotent follows RFC 9110, section 9.2.2.
func defaultIdempotent(method string) bool {
	return slices.Contains([]string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}, method)
}

// Limits are system-wide limits.
type Limits struct {
	// ServerLease is how long an announcement lasts without renewal.
	ServerLease time.Duration `json:"Lease"`
	// EntriesTTL is how long callers keep the entries answer.
	EntriesTTL time.Duration `json:"TTL"`
	// MaxHeaderBytes bounds request header bytes and URL length.
	MaxHeaderBytes int `json:"Header"`
	// ClaimRetention is how long a finished claim is kept.
	ClaimRetention time.Duration `json:"Retention"`
	// HeaderTimeout bounds the arrival of a request header, Idle the time between two requests of a connection; 0 for
	// the defaults.
	HeaderTimeout time.Duration `json:"HeaderTime,omitempty"`
	IdleTimeout   time.Duration `json:"Idle,omitempty"`
}

// Config is what operators apply; control versions it.
type Config struct {
	Services   []Service
	Workspaces []Workspace `json:"Firms"`
	DCs        []string
	Hosts      []Host
	Limits     Limits
	// SequenceNumber orders whole configurations of a deployment whose operators number them: the highest takes effect.
	// It is 0 where changes are ordered by State.Version.
	SequenceNumber uint64 `json:"Number,omitempty"`
	// Rules route requests where services are not selected by their own hosts and prefixes.
	Rules []Rule `json:",omitempty"`
	// Document is the configuration as the operator sent it; entries do not get it.
	Document []byte `json:",omitempty"`
}

// Service returns the named service or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Host returns the named host or nil.
func (c *Config) Host(name string) *Host {
	for i := range c.Hosts {
		if c.Hosts[i].Name == name {
			return &c.Hosts[i]
		}
	}
	return nil
}

// HostsWith returns the names of the hosts that have the role, in configured order.
func (c *Config) HostsWith(role string) []string {
	var names []string
	for _, h := range c.Hosts {
		if h.Roles.Has(role) {
			names = append(names, h.Name)
		}
	}
	return names
}

// RolloutPhase is the state of a version move.
type RolloutPhase string

// Phases of a rollout.
const (
	RolloutWaiting   RolloutPhase = "waiting"
	RolloutTrial     RolloutPhase = "trial"
	RolloutMoving    RolloutPhase = "moving"
	RolloutDone      RolloutPhase = "done"
	RolloutReverting RolloutPhase = "reverting"
	RolloutReverted  RolloutPhase = "reverted"
)

// Terminal reports whether the phase is an end state.
func (p RolloutPhase) Terminal() bool { return p == RolloutDone || p == RolloutReverted }

// Rollout is the durable state of one version move.
type Rollout struct {
	// ID is the command id that started the move.
	ID          string
	Service     string
	FromVersion string `json:"From"`
	ToVersion   string `json:"To"`
	Phase       RolloutPhase
	// Share is the part of the service's calls that go to To, 0 to 1.
	Share float64
	// Reason says why the move is in its phase.
	Reason string
	// DeadlineAtRisk is true when the deadline is not expected to be met.
	DeadlineAtRisk bool `json:"Late"`
	// Started, Deadline and Changed are wall-clock times in Unix ms; display and deadline only.
	StartedAt int64 `json:"Started"`
	Deadline  int64
	ChangedAt int64  `json:"Changed"`
	Actor     string `json:"By"`
	// Irreversible is set when the old servers end as soon as the new version has taken over, so that nothing is left to go
	// back to.
	Irreversible bool `json:"Final,omitempty"`
}

// State is the committed state that control pushes to entries.
type State struct {
	// Version is the log index of the last change; it never goes down.
	Version uint64
	Config  Config
	// DrainedDCs and DrainedServers get no new work. The value is the Unix ms time of acceptance. Servers are named by
	// their ids, or by their labels alone; see Leaving.
	DrainedDCs     map[string]int64
	DrainedServers map[string]int64
	// UndrainedDCs holds data centres that came back, with the Unix ms time of acceptance; their share ramps.
	UndrainedDCs map[string]int64 `json:"Returned"`
	// Rollouts holds the latest move per service.
	Rollouts map[string]Rollout
	// ServingVersions is the version per service that carries its calls outside of rollouts. Servers of other versions get
	// no calls, so that a version nobody has rolled out stays idle.
	ServingVersions map[string]string `json:"Serving"`
}

// ServerDrained reports whether the start of a server at born, in Unix ms, is recorded as leaving: by its id, or by its label
// where its end did not say which start it was, which ends all starts until then.
func (s *State) ServerDrained(srv *Server, startedAt int64) bool {
	if _, ok := s.DrainedServers[srv.ID]; ok {
		return true
	}
	at, ok := s.DrainedServers[srv.InstanceName]
	return ok && startedAt <= at
}

// VersionShares returns the share of calls per version of the service. A nil map means that no version is preferred yet.
func (s *State) VersionShares(service string) map[string]float64 {
	r, ok := s.Rollouts[service]
	serving := s.ServingVersions[service]
	if !ok || r.Phase.Terminal() && serving != "" {
		if serving == "" {
			return nil
		}
		return map[string]float64{serving: 1}
	}
	switch r.Phase {
	case RolloutDone:
		return map[string]float64{r.ToVersion: 1}
	case RolloutReverted, RolloutReverting, RolloutWaiting:
		return map[string]float64{r.FromVersion: 1}
	case RolloutTrial, RolloutMoving:
		return map[string]float64{r.FromVersion: 1 - r.Share, r.ToVersion: r.Share}
	}
	return nil
}
