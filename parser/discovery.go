package parser

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sycamorevane.example/sycamorevane"
)

// DiscoverySettings are the settings that a process reads at its start in a deployment with discovery, where the hosts
// find each other through a few seeds.
type DiscoverySettings struct {
	// Name is for people only; the hosts identify each other by mesh address.
	Name string
	DC   string
	// IPAddr is the IP address of this host, PortRange the first and last port of the range for traffic between hosts.
	IPAddr    string
	PortRange [2]int
	// Key is the cluster key of at least sycamorevane.MinClusterKeyBytes bytes.
	Key string
	// Seeds are the addresses (IP:port) of control hosts; all control hosts use the same port.
	Seeds []string
	// FirstStart is true when the whole deployment starts for the first time, with empty disks.
	FirstStart bool
	// DCs lists the data centres of the deployment.
	DCs []string
	// Entry is nil on hosts without the entry role, Control on those without the control role.
	Entry   *DiscoveryEntry
	Control *DiscoveryControl
	// MemoryLimitMiB is the memory limit of the process in MiB; 0 means no limit.
	MemoryLimitMiB int
	// CPUShare is the share of a CPU core that the host has, LinkMbps its bandwidth in Mbit/s; 0 means unknown.
	CPUShare float64
	LinkMbps float64
	// MetricsPort is the port that serves /metrics; 0 means that metrics are not served.
	MetricsPort int
	Bounds      DiscoveryBounds
	// Cloud is the platform that the deployment runs on, as far as it is called.
	Cloud DiscoveryCloud
	// PaceTransfers is set when large bodies leave a part of the link of an entry to small requests.
	PaceTransfers bool
	// Contracts lists the optional features that the deployment requests, by the platform's names.
	Contracts []string
	Debug     bool
}

// DiscoveryCloud holds the settings for calls to the platform.
type DiscoveryCloud struct {
	// Addr is the host:port that takes the calls; "" for none.
	Addr string
	// Duties are the platform's names of what the deployment has to report.
	Duties []string
	// DutyRate limits the calls per second of all hosts together; 0 if the deployment sets no limit.
	DutyRate float64
}

// DiscoveryEntry holds the settings of the entry role.
type DiscoveryEntry struct {
	// CallerAddr and ReadyAddr are the host:port of the listeners for callers and for readiness checks.
	CallerAddr string
	ReadyAddr  string
}

// DiscoveryControl holds the settings of the control role.
type DiscoveryControl struct {
	// DataDir is the folder of the durable state.
	DataDir string
	// OperatorAddr is the host:port of the operator API, DirectoryAddr that of the directory for callers.
	OperatorAddr  string
	DirectoryAddr string
}

// DiscoveryBounds are the limits and intervals that the deployment guarantees or requires.
type DiscoveryBounds struct {
	// HeartbeatInterval is the interval at which servers report.
	HeartbeatInterval time.Duration
	// GracePeriod is the time between the stop signal and the forced end of a process; defaultGracePeriod if not set.
	GracePeriod time.Duration
	// DrainTime is the time after which a server that has announced its shutdown gets no new requests; 0 if the deployment
	// sets no limit.
	DrainTime time.Duration
	// DirectoryTTL is how long callers may cache a response of the directory; defaultDirectoryTTL if not set.
	DirectoryTTL time.Duration
	// RetryRatio and RetrySlack limit the retries of all entries together within a period of some seconds: RetryRatio as
	// a fraction of all requests, plus RetrySlack retries; defaultRetryRatio and 0 if not set.
	RetryRatio float64
	RetrySlack float64
	// ColdFactor and ColdSlack limit the requests per second that all entries together send to a cold server;
	// defaultColdFactor and 0 if not set.
	ColdFactor float64
	ColdSlack  float64
	// MaxTrialShare and TrialSlack limit the requests that a bad version may receive until the deadline of its rollout:
	// MaxTrialShare as a fraction of the service's requests in that time, plus TrialSlack requests; defaultMaxTrialShare and
	// 0 if not set.
	MaxTrialShare float64
	TrialSlack    float64
	// LostHosts is the number of control hosts that may be lost at the same time, with their disks; defaultLostHosts if not
	// set.
	LostHosts int
	// ReportWindow is the length of a window of usage reports; 0 if there are no usage reports.
	ReportWindow time.Duration
	// UsageLate is the time after the end of a window by which its report is due; defaultUsageLate if not set.
	UsageLate time.Duration
	// UsageTolerance is the permitted relative error of a count; defaultUsageTolerance if not set.
	UsageTolerance float64
	// Lease is how long a new holder of the reports waits before it sends; defaultLease if not set. ThawSlack is how long
	// after a pause of its process a host may still act as the holder; defaultThawSlack if not set.
	Lease     time.Duration
	ThawSlack time.Duration
	// EnforceFencing tells whether the platform rejects calls with a lower token than it has seen. The token is always sent.
	EnforceFencing bool
}

// maxLostHosts limits DiscoveryBounds.LostHosts, far above the size of any control group.
const maxLostHosts = 1000

// minReportWindow is the shortest window of usage reports.
const minReportWindow = time.Second

// Defaults of the bounds that a deployment may lack because it does not use the feature that they limit.
const (
	defaultLostHosts    = 1
	defaultGracePeriod  = 6 * time.Second
	defaultDirectoryTTL = 2 * time.Second
	// defaultRetryRatio keeps a brownout from being amplified by retries.
	defaultRetryRatio = 0.1
	// defaultColdFactor keeps a cold server at the rate that it states.
	defaultColdFactor    = 1
	defaultMaxTrialShare = 0.05
	// The defaults for usage reports apply only with ReportWindow.
	defaultUsageLate      = 10 * time.Second
	defaultUsageTolerance = 0.05
	defaultLease          = 3 * time.Second
	defaultThawSlack      = 300 * time.Millisecond
)

func defaultBounds() DiscoveryBounds {
	return DiscoveryBounds{
		LostHosts: defaultLostHosts, GracePeriod: defaultGracePeriod, DirectoryTTL: defaultDirectoryTTL, RetryRatio: defaultRetryRatio,
		ColdFactor: defaultColdFactor, MaxTrialShare: defaultMaxTrialShare,
		UsageLate: defaultUsageLate, UsageTolerance: defaultUsageTolerance, Lease: defaultLease, ThawSlack: defaultThawSlack,
	}
}

// LoadDiscovery reads and validates a settings file of a deployment with discovery. Errors are Faults.
func LoadDiscovery(file string) (*DiscoverySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Reason: err.Error()}}
	}
	return ParseDiscovery(file, data)
}

// ParseDiscovery parses and validates the settings in data; file is the name used in errors. Errors are Faults.
func ParseDiscovery(file string, data []byte) (*DiscoverySettings, error) {
	r := &reader{file: file}
	f := r.parseINI(data)
	if f == nil {
		return nil, r.faultsError()
	}
	s := &DiscoverySettings{Bounds: defaultBounds()}
	seen := sycamorevane.NewSet[string]()
	for _, section := range f.Sections() {
		if section.Name() != "DEFAULT" && seen.Has(section.Name()) {
			r.addFault(section.Name(), "", "", "section is given more than once")
			continue
		}
		seen.Add(section.Name())
		switch section.Name() {
		case "DEFAULT":
			r.decodeSection(section, nil)
		case "host":
			r.decodeSection(section, []field{
				{"name", true, stringParser(&s.Name)},
				{"dc", true, stringParser(&s.DC)},
				{"address", true, ipParser(&s.IPAddr)},
				{"ports", true, portRangeParser(&s.PortRange)},
				{"memory", false, integerParser(&s.MemoryLimitMiB, 0, 1<<30)},
				{"cpu", false, nonNegativeParser(&s.CPUShare)},
				{"link", false, nonNegativeParser(&s.LinkMbps)},
				{"metrics", false, integerParser(&s.MetricsPort, 1, 65535)},
			})
		case "cluster":
			r.decodeSection(section, []field{
				{"key", true, clusterKeyParser(&s.Key)},
				{"seeds", true, addrPortListParser(&s.Seeds)},
				{"first", false, boolParser(&s.FirstStart)},
				{"dcs", true, nonEmptyListParser(&s.DCs)},
				{"contracts", false, listParser(&s.Contracts)},
			})
		case "entry":
			s.Entry = &DiscoveryEntry{}
			r.decodeSection(section, []field{
				{"caller", true, addrPortParser(&s.Entry.CallerAddr)}, {"ready", true, addrPortParser(&s.Entry.ReadyAddr)},
			})
		case "control":
			s.Control = &DiscoveryControl{}
			r.decodeSection(section, []field{
				{"data", true, stringParser(&s.Control.DataDir)},
				{"listen", true, addrPortParser(&s.Control.OperatorAddr)},
				{"directory", true, addrPortParser(&s.Control.DirectoryAddr)},
			})
		case "bounds":
			r.decodeSection(section, boundFields(&s.Bounds))
		case "transfers":
			r.decodeSection(section, []field{{"pace", true, boolParser(&s.PaceTransfers)}})
		case "cloud":
			r.decodeSection(section, []field{
				{"address", false, cloudAddrParser(&s.Cloud.Addr)},
				{"duties", false, listParser(&s.Cloud.Duties)},
				{"rate", false, nonNegativeParser(&s.Cloud.DutyRate)},
			})
		case "log":
			r.decodeSection(section, []field{{"debug", false, boolParser(&s.Debug)}})
		default:
			r.addFault(section.Name(), "", "", "unknown section; known are host, cluster, entry, control, bounds, transfers, cloud, log")
		}
	}
	r.checkDiscovery(s, seen)
	if err := r.faultsError(); err != nil {
		return nil, err
	}
	return s, nil
}

func boundFields(b *DiscoveryBounds) []field {
	return []field{
		{"heartbeat", true, millisecondsParser(&b.HeartbeatInterval)},
		{"grace", false, secondsParser(&b.GracePeriod)},
		{"drain", false, millisecondsParser(&b.DrainTime)},
		{"ttl", false, secondsParser(&b.DirectoryTTL)},
		{"retryshare", false, nonNegativeParser(&b.RetryRatio)},
		{"retryslack", false, nonNegativeParser(&b.RetrySlack)},
		{"coldfactor", false, nonNegativeParser(&b.ColdFactor)},
		{"coldslack", false, nonNegativeParser(&b.ColdSlack)},
		{"trialshare", false, nonNegativeParser(&b.MaxTrialShare)},
		{"trialslack", false, nonNegativeParser(&b.TrialSlack)},
		{"losses", false, integerParser(&b.LostHosts, 0, maxLostHosts)},
		{"usagewindow", false, usageWindowParser(&b.ReportWindow)},
		{"usagelate", false, secondsParser(&b.UsageLate)},
		{"usagetolerance", false, nonNegativeParser(&b.UsageTolerance)},
		{"lease", false, millisecondsParser(&b.Lease)},
		{"thawslack", false, millisecondsParser(&b.ThawSlack)},
		{"fencing", false, boolParser(&b.EnforceFencing)},
	}
}

func (r *reader) checkDiscovery(s *DiscoverySettings, seen sycamorevane.Set[string]) {
	for _, required := range []string{"host", "cluster", "bounds"} {
		if !seen.Has(required) {
			r.addFault(required, "", "", "section is missing")
		}
	}
	if s.Entry == nil && s.Control == nil {
		r.addFault("entry", "", "", "a host needs the section entry, control or both")
	}
	if seen.Has("cluster") && seen.Has("host") && !slices.Contains(s.DCs, s.DC) {
		r.addFault("host", "dc", s.DC, "is not among the data centres of the section cluster")
	}
}

// MeshAddr returns the address under which the other hosts know this one.
func (s *DiscoverySettings) MeshAddr() string { return s.MeshAddrOf(s.IPAddr) }

// MeshAddrOf returns the mesh address of another host. All hosts have the same port range and use its first port.
func (s *DiscoverySettings) MeshAddrOf(host string) string {
	return netip.AddrPortFrom(netip.MustParseAddr(host), uint16(s.PortRange[0])).String()
}

// SeedMeshAddrs returns the mesh addresses of the seeds.
func (s *DiscoverySettings) SeedMeshAddrs() []string {
	var list []string
	for _, seed := range s.Seeds {
		list = append(list, s.MeshAddrOf(netip.MustParseAddrPort(seed).Addr().String()))
	}
	return list
}

func ipParser(dst *string) func(string) error {
	return func(v string) error {
		if _, err := netip.ParseAddr(v); err != nil {
			return fmt.Errorf("must be an IP number")
		}
		*dst = v
		return nil
	}
}

func portRangeParser(dst *[2]int) func(string) error {
	return func(v string) error {
		first, last, _ := strings.Cut(v, ",")
		a, errA := strconv.ParseUint(strings.TrimSpace(first), 10, 16)
		b, errB := strconv.ParseUint(strings.TrimSpace(last), 10, 16)
		if errA != nil || errB != nil || a == 0 || b < a {
			return fmt.Errorf("must be the first and last port of a range, for example 7720,7735")
		}
		*dst = [2]int{int(a), int(b)}
		return nil
	}
}

func nonEmptyListParser(dst *[]string) func(string) error {
	return func(v string) error {
		_ = listParser(dst)(v)
		if len(*dst) == 0 {
			return fmt.Errorf("must not be empty")
		}
		return nil
	}
}

func addrPortListParser(dst *[]string) func(string) error {
	return func(v string) error {
		_ = listParser(dst)(v)
		for _, item := range *dst {
			if _, err := netip.ParseAddrPort(item); err != nil {
				return fmt.Errorf("%q is not IP:PORT", item)
			}
		}
		return nil
	}
}

// cloudAddrParser accepts names besides IP addresses, since the platform is not part of the deployment.
func cloudAddrParser(dst *string) func(string) error {
	return func(v string) error {
		if host, port, err := net.SplitHostPort(v); err != nil || host == "" || port == "" {
			return fmt.Errorf("must be HOST:PORT")
		}
		*dst = v
		return nil
	}
}

// usageWindowParser rejects windows that are too short to be counted by cells and reported within a second or two.
func usageWindowParser(dst *time.Duration) func(string) error {
	return func(v string) error {
		if err := secondsParser(dst)(v); err != nil {
			return err
		}
		if *dst < minReportWindow {
			return fmt.Errorf("must be at least %g", minReportWindow.Seconds())
		}
		return nil
	}
}

func nonNegativeParser(dst *float64) func(string) error {
	return func(v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f >= 0) {
			return fmt.Errorf("must be a number, 0 or more")
		}
		*dst = f
		return nil
	}
}

func secondsParser(dst *time.Duration) func(string) error { return scaledParser(dst, time.Second) }

func millisecondsParser(dst *time.Duration) func(string) error {
	return scaledParser(dst, time.Millisecond)
}

func scaledParser(dst *time.Duration, unit time.Duration) func(string) error {
	return func(v string) error {
		var f float64
		if err := nonNegativeParser(&f)(v); err != nil {
			return err
		}
		*dst = time.Duration(f * float64(unit))
		return nil
	}
}
