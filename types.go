// Package sycamorevane defines the interfaces that have more than one implementation, the data types shared by all
// packages and the error types. Its only logic is validation, lookup in the configuration and small value types.
package sycamorevane

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// ServerState is the state that a backend server reports in its announcements.
type ServerState string

const (
	ServerCold     ServerState = "cold"
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// Valid reports whether the state is one of the known states.
func (s ServerState) Valid() bool {
	return s == ServerCold || s == ServerReady || s == ServerDraining
}

// Server is one backend server process. A restarted process is a new Server.
type Server struct {
	// Service is the name of a configured service.
	Service string
	// Version is the release that the server runs; never empty.
	Version string
	// ID is unique per process start, so that a known Addr with a new ID is a restart.
	ID string
	// Addr is host:port with an IP address.
	Addr string
	// DC is the name of a configured data centre.
	DC string
	// Slots is the number of requests that the server runs concurrently; at least 1.
	Slots int
	// MaxConns limits the open connections from all entries together; at least Slots.
	MaxConns int
	// State is the announced state. It is only a hint: a cold server is also detected from its behaviour.
	State ServerState
	// Load is the last announced number of requests; it may be outdated or wrong.
	Load int
	// InstanceName is the name that the server gives in its responses; empty when that is its ID. It may be the same for
	// several starts of a server.
	InstanceName string
}

// LoadReport is the load that a server reports in a response. It includes the requests of other callers.
type LoadReport struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// Slots is the number of requests that the server runs concurrently; 0 when it is not reported.
	Slots int
	// Slowdown is the current processing time relative to the usual one: 1 is usual, 0 means unknown.
	Slowdown float64
}

// Request describes a request for which a Limiter chooses a server.
type Request struct {
	Service   string
	Workspace string
	// Route is the configured route pattern that the path matched, or "" for the default route.
	Route  string
	Method string
	// Version restricts the choice to one version; when empty, the rollout share decides.
	Version    string
	Idempotent bool
	// Deadline bounds the waiting time; zero means the service's default timeout.
	Deadline time.Time
	// ExcludedServers lists the IDs of servers on which this request has already failed.
	ExcludedServers []string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Hedge is set for a second attempt that runs concurrently with the first one. It must not wait for a free slot.
	Hedge bool
}

// Grant permits one request to run on one server.
type Grant struct {
	// ID is unique per Limiter and process.
	ID     uint64
	Server Server
	// ExpiresAt is when the slot loan that the grant uses expires unless it is renewed.
	ExpiresAt time.Time
	// Trial is set when the server runs a version under rollout that has not been accepted yet.
	Trial bool
	// Cold is set when the server was in its cold start.
	Cold bool
	// Scheduler is the host that has chosen the server; empty when the entry has chosen it itself.
	Scheduler string
}

// OutcomeKind is the result of one attempt to run a request.
type OutcomeKind uint8

const (
	// OutcomeOK is a complete response with a status below 500.
	OutcomeOK OutcomeKind = iota
	// OutcomeFailed is a complete response with a status of 500 or above, other than OutcomeShed.
	OutcomeFailed
	// OutcomeShed is a rejection by the server that states that the request has not run.
	OutcomeShed
	// OutcomeConnectFailed means that no connection was established.
	OutcomeConnectFailed
	// OutcomeIncomplete means that, after the request was sent, the connection broke or the response was unreadable.
	OutcomeIncomplete
	// OutcomeTimeout means that the attempt made no progress within its limit.
	OutcomeTimeout
	// OutcomeCancelled means that the caller gave up; it is no evidence about the server.
	OutcomeCancelled
)

var outcomeNames = [...]string{"ok", "failed", "shed", "refused", "broken", "timeout", "cancelled"}

func (k OutcomeKind) String() string {
	if int(k) < len(outcomeNames) {
		return outcomeNames[k]
	}
	return "unknown"
}

// Outcome describes how one attempt ended.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration
	Route   string
	// Fingerprint identifies the request for crash detection; zero when it has none.
	Fingerprint uint64
	// Load is the load that the server reported; nil for none.
	Load *LoadReport
	// AddressReused is set when another server now listens on the address.
	AddressReused bool
	// Cold is set when the server was in its cold start as the attempt began.
	Cold bool
}

// ServerDirective is what a server requests in the header of a response.
type ServerDirective struct {
	// Leaving is set when the server accepts no new requests.
	Leaving bool
	// Pause is how long this host must not send requests to the server; 0 for none.
	Pause time.Duration
	// Limit is what the response states about the request limit of the server; nil when it does not state anything.
	Limit *LimitStatement
}

// RequestLimit is the rate of requests that a server accepts from all hosts together.
type RequestLimit struct {
	// Limited is set while the server has a limit.
	Limited bool
	// Rate is the limit in requests per second, 0 or more; 0 when Limited is not set.
	Rate float64
}

// LimitStatement is a request limit as stated in a response.
type LimitStatement struct {
	RequestLimit
	// RequestedAt is when the request that the response answers was sent.
	RequestedAt time.Time
}

// RecordedResponse is the stored response to a request with an idempotency key.
type RecordedResponse struct {
	Status int
	// Header holds the end-to-end response headers.
	Header map[string][]string
	Body   []byte
	// BodyOmitted is set when the body was larger than the recording limit and was not stored.
	BodyOmitted bool
}

// Claim identifies one request with an idempotency key.
type Claim struct {
	Workspace string
	Service   string
	Key       string
	// Digest is a hash of method, path and body prefix. A known key with another digest is an error of the caller.
	Digest uint64
	// Token is unique per call of Deduplicator.Claim, so that only the owner of a claim can finish or abandon it.
	Token uint64
}

// ClaimState is the result of Deduplicator.Claim.
type ClaimState uint8

const (
	// ClaimFresh means that the key is new and this caller may run the request.
	ClaimFresh ClaimState = iota
	// ClaimRunning means that another copy of the request is running.
	ClaimRunning
	// ClaimAnswered means that the request ran and its response is recorded.
	ClaimAnswered
	// ClaimUncertain means that the request may have run and its response is unknown.
	ClaimUncertain
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch
)

// ClaimResult is the state of a claim. Response is set only for ClaimAnswered.
type ClaimResult struct {
	State    ClaimState
	Response *RecordedResponse
}

// Peer is another process of the load balancer as seen from this one.
type Peer struct {
	Name  string
	DC    string
	Roles Set[string]
	Addr  string
	// Incarnation is unique per start of the peer's process.
	Incarnation uint64
	Alive       bool
	// LastHeard is the arrival time of the last message, by this host's monotonic clock.
	LastHeard time.Time
	// RTT is the smoothed round-trip time of heartbeats.
	RTT time.Duration
}

// MinClusterKeyBytes is the minimum length of the cluster key.
const MinClusterKeyBytes = 16

// Roles of a host: entries forward requests, control hosts decide on the configuration and rollouts.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Host is one configured host of the load balancer.
type Host struct {
	Name string
	DC   string
	// MeshAddr is host:port of the listener for peers.
	MeshAddr string `json:"Mesh"`
	// CallerAddr and AnnounceAddr are host:port of the listeners for callers and for announcements of backend servers;
	// empty on hosts without the entry role.
	CallerAddr   string `json:"Caller"`
	AnnounceAddr string `json:"Announce"`
	// OperatorAddr is host:port of the operator API; empty on hosts without the control role.
	OperatorAddr string `json:"Operator"`
	Roles        Set[string]
}

// Workspace is a tenant whose traffic is isolated from that of the other tenants.
type Workspace struct {
	Name string
	// Weight is the share of the capacity relative to other workspaces; at least 1.
	Weight int
	// Credentials are the hex SHA-256 digests of the bearer tokens or API keys that identify the workspace.
	Credentials []string
	// Priority is the rank of the requests of the workspace; 0 is the most urgent. It takes precedence over Rule.Priority;
	// nil means that the rule decides.
	Priority *int `json:",omitempty"`
}

// CredentialDigest returns the digest of a bearer token or an API key as held in Workspace.Credentials.
func CredentialDigest(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// Route overrides the defaults of its service for matching requests.
type Route struct {
	// Name identifies the route in rollout evidence, metrics and the status view.
	Name string
	// Method is an HTTP method, or empty for all.
	Method string
	// Prefix is the path prefix that the route matches; the longest matching prefix wins.
	Prefix string
	// Idempotent is set when a request may safely run more than once.
	Idempotent bool
}

// Service is one configured service and the limits of its requests.
type Service struct {
	Name string
	// Hosts are the Host header values, without port, that select the service.
	Hosts []string
	// Prefix selects the service by path; empty for none.
	Prefix string
	// Timeout bounds a request that has no deadline of its own.
	Timeout time.Duration
	// ProgressTimeout is the longest time for which the transfer of a body may stall.
	ProgressTimeout time.Duration `json:"Progress"`
	// MaxQueued bounds the waiting requests of one workspace on one entry.
	MaxQueued int `json:"Queue"`
	// RetryRatio bounds the retries and hedges as a share of first attempts, 0 to 1.
	RetryRatio float64 `json:"Retry"`
	// HedgeRatio bounds the share of requests that may be sent to a second server before the first has responded; 0
	// means half of RetryRatio.
	HedgeRatio float64 `json:"Hedge,omitempty"`
	// ProbeRatio bounds the share of a server's slot time that probes may use, 0 to 1.
	ProbeRatio float64 `json:"Probe"`
	// MaxTrialShare bounds the share of calls that go to a version under trial, which has not been accepted yet; 0 to 1.
	MaxTrialShare float64 `json:"Ceiling"`
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64 `json:"Body"`
	Routes       []Route
	// HealthPath is the path of the server's health check; empty for none.
	HealthPath string `json:"Health,omitempty"`
	// MaxConns bounds the open connections to one server from all entries together; 0 means the limit that the server
	// announces.
	MaxConns int `json:"Conns,omitempty"`
	// ColdPeriod is how long a server stays cold after its start; ColdRate is the requests per second that a cold server
	// can handle.
	ColdPeriod time.Duration `json:"Cold,omitempty"`
	ColdRate   float64       `json:",omitempty"`
}

// Destination is one destination of a rule.
type Destination struct {
	Service string
	// Weight is the share of the requests relative to the sum of the weights of the rule's destinations; not negative.
	Weight int
}

// Rule routes the requests for a host and path prefix to services. Of the rules for a host, the one with the longest
// matching prefix applies.
type Rule struct {
	Name string
	// Host is compared with the Host header in lower case and without its port; never empty.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is set when a request may safely run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for a response; more than 0 and at most MaxRuleTimeout.
	Timeout time.Duration
	// SoftTimeout is the time after which a response is logged as late; 0 for none. No decision depends on it.
	SoftTimeout time.Duration `json:"Aim"`
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of servers that a request is sent to; 0 means the default.
	MaxAttempts int `json:"Attempts"`
	// Public is set when requests need no API key. Without workspaces in the configuration no request needs one.
	Public bool `json:",omitempty"`
	// Destinations are the services that receive the requests; at least one has a positive weight.
	Destinations []Destination `json:"Parts"`
}

// MaxRuleTimeout is the largest allowed Rule.Timeout.
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

// defaultIdempotent reports whether the method is idempotent according to RFC 9110, section 9.2.2.
func defaultIdempotent(method string) bool {
	return slices.Contains([]string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}, method)
}

// Limits are the limits of the whole deployment.
type Limits struct {
	// ServerLease is how long an announcement of a backend server is valid without renewal.
	ServerLease time.Duration `json:"Lease"`
	// EntriesTTL is how long callers may cache the list of entries.
	EntriesTTL time.Duration `json:"TTL"`
	// MaxHeaderBytes bounds the size of a request header and the length of a URL.
	MaxHeaderBytes int `json:"Header"`
	// ClaimRetention is how long a finished claim is kept.
	ClaimRetention time.Duration `json:"Retention"`
	// HeaderTimeout bounds the time to receive a request header, IdleTimeout the time between two requests on a
	// connection; 0 means the default.
	HeaderTimeout time.Duration `json:"HeaderTime,omitempty"`
	IdleTimeout   time.Duration `json:"Idle,omitempty"`
}

// Config is the configuration that operators apply. The control hosts version it; see State.Version.
type Config struct {
	Services   []Service
	Workspaces []Workspace `json:"Firms"`
	DCs        []string
	Hosts      []Host
	Limits     Limits
	// SequenceNumber orders configurations in deployments whose operators number them: the highest number takes effect.
	// It is 0 in deployments that order changes by State.Version.
	SequenceNumber uint64 `json:"Number,omitempty"`
	// Rules route requests in deployments that do not select services by their own hosts and prefixes.
	Rules []Rule `json:",omitempty"`
	// Document is the configuration as sent by the operator; it is not pushed to entries.
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

// RolloutPhase is the phase of a rollout.
type RolloutPhase string

const (
	RolloutWaiting   RolloutPhase = "waiting"
	RolloutTrial     RolloutPhase = "trial"
	RolloutMoving    RolloutPhase = "moving"
	RolloutDone      RolloutPhase = "done"
	RolloutReverting RolloutPhase = "reverting"
	RolloutReverted  RolloutPhase = "reverted"
)

// Terminal reports whether the rollout has ended.
func (p RolloutPhase) Terminal() bool { return p == RolloutDone || p == RolloutReverted }

// Rollout is the stored state of the replacement of one version of a service by another.
type Rollout struct {
	// ID is the ID of the command that started the rollout.
	ID          string
	Service     string
	FromVersion string `json:"From"`
	ToVersion   string `json:"To"`
	Phase       RolloutPhase
	// Share is the share of the service's calls that go to ToVersion, 0 to 1.
	Share float64
	// Reason explains why the rollout is in its phase.
	Reason string
	// DeadlineAtRisk is set when the rollout is not expected to finish before Deadline.
	DeadlineAtRisk bool `json:"Late"`
	// StartedAt, Deadline and ChangedAt are wall-clock times in Unix ms. They are used only for display and to check
	// the deadline.
	StartedAt int64 `json:"Started"`
	Deadline  int64
	ChangedAt int64  `json:"Changed"`
	Actor     string `json:"By"`
	// Irreversible is set when the servers of the old version stop as soon as the new one has taken over, so that a
	// rollback is impossible.
	Irreversible bool `json:"Final,omitempty"`
}

// State is the committed state that the control hosts push to entries.
type State struct {
	// Version is the log index of the last change; it never decreases.
	Version uint64
	Config  Config
	// DrainedDCs and DrainedServers receive no new requests. The value is the time of acceptance in Unix ms. The key of
	// a server is its ID or, when only that is known, its InstanceName; see ServerDrained.
	DrainedDCs     map[string]int64
	DrainedServers map[string]int64
	// UndrainedDCs holds data centres that were drained before, with the time of acceptance in Unix ms. Their share of
	// the requests increases gradually.
	UndrainedDCs map[string]int64 `json:"Returned"`
	// Rollouts holds the latest rollout per service.
	Rollouts map[string]Rollout
	// ServingVersions is the version per service that receives the calls outside of rollouts. Servers of other versions
	// receive none, so that a version without a rollout stays idle.
	ServingVersions map[string]string `json:"Serving"`
	// Quarantined holds the requests that crash servers, by FormatFingerprint, with the time of acceptance in Unix ms. All
	// entries refuse them. It is used in deployments with discovery.
	Quarantined map[string]int64
}

// ServerDrained reports whether the server, which started at startedAt in Unix ms, is recorded in DrainedServers: by its
// ID, or by its InstanceName when its deregistration did not state when it was started. The latter covers all starts up
// to the recorded time.
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
