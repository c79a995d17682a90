package parser

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sycamorevane.example/sycamorevane"
)

// DiscoverySettings is what one process reads at start in an open deployment, whose hosts find each other from a few
// seeds.
type DiscoverySettings struct {
	// Name is this host's name for people; the system knows it by its mesh address.
	Name string
	DC   string
	// Address is this host's IP number, Ports the first and last port that are free for traffic between hosts.
	Address string
	Ports   [2]int
	// Key is the cluster key, at least sycamorevane.MinClusterKeyBytes bytes.
	Key string
	// Seeds are IP:port of hosts with the control role; all control hosts listen on the same port.
	Seeds []string
	// FirstStart is true when the whole system starts for the first time, with empty disks.
	FirstStart bool
	// DCs lists the data centres of the deployment.
	DCs []string
	// Entry is nil on hosts without the entry role, Control on those without the control role.
	Entry   *DiscoveryEntry
	Control *DiscoveryControl
	// Memory is the limit of the process in MiB; 0 for none.
	Memory int
	// Processor is the share of a core that the host has, Link its bandwidth in Mbit/s; 0 when not known.
	Processor float64
	Link      float64
	// Metrics is the port at which the metrics are served under /metrics; 0 for none.
	Metrics int
	Bounds  DiscoveryBounds
	Debug   bool
}

// DiscoveryEntry turns on the entry role.
type DiscoveryEntry struct {
	// CallerAddr and ReadyAddr are host:port.
	CallerAddr string
	ReadyAddr  string
}

// DiscoveryControl turns on the control role.
type DiscoveryControl struct {
	DataDir string
	// OperatorAddr is host:port of the API, DirectoryAddr that of the callers' directory.
	OperatorAddr  string
	DirectoryAddr string
}

// DiscoveryBounds are promises of the deployment that decisions follow from.
type DiscoveryBounds struct {
	// Heartbeat is the time between two reports of a server.
	Heartbeat time.Duration
	// GracePeriod is the time from the order to stop to the end by force.
	GracePeriod time.Duration
	// Drain is the time after which a server that has said that it leaves gets no new work; 0 when the deployment sets
	// none.
	Drain time.Duration
	// TTL is the longest time that callers may keep the directory's answer.
	TTL time.Duration
	// RetryShare and RetrySlack bound the requests that are sent once more within some seconds and over all entries: a
	// share of all requests, and a number besides.
	RetryShare float64
	RetrySlack float64
	// ColdFactor and ColdSlack bound the requests per second of a cold server over all entries.
	ColdFactor float64
	ColdSlack  float64
	// TrialShare bounds the part of a service's requests that a bad version may get.
	TrialShare float64
}

// LoadDiscovery reads and checks a settings file of an open deployment.
func LoadDiscovery(file string) (*DiscoverySettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Reason: err.Error()}}
	}
	return ParseDiscovery(file, data)
}

// ParseDiscovery checks the settings in data; file names them in errors. The error is Faults.
func ParseDiscovery(file string, data []byte) (*DiscoverySettings, error) {
	r := &reader{file: file}
	f := r.load(data)
	if f == nil {
		return nil, r.result()
	}
	s := &DiscoverySettings{}
	seen := sycamorevane.NewSet[string]()
	for _, sec := range f.Sections() {
		if sec.Name() != "DEFAULT" && seen.Has(sec.Name()) {
			r.fault(sec.Name(), "", "", "section is given more than once")
			continue
		}
		seen.Add(sec.Name())
		switch sec.Name() {
		case "DEFAULT":
			r.section(sec, nil)
		case "host":
			r.section(sec, []field{
				{"name", true, text(&s.Name)},
				{"dc", true, text(&s.DC)},
				{"address", true, ip(&s.Address)},
				{"ports", true, ports(&s.Ports)},
				{"memory", false, whole(&s.Memory, 0, 1<<30)},
				{"cpu", false, number(&s.Processor)},
				{"link", false, number(&s.Link)},
				{"metrics", false, whole(&s.Metrics, 1, 65535)},
			})
		case "cluster":
			r.section(sec, []field{
				{"key", true, clusterKey(&s.Key)},
				{"seeds", true, addresses(&s.Seeds)},
				{"first", false, flag(&s.FirstStart)},
				{"dcs", true, texts(&s.DCs)},
			})
		case "entry":
			s.Entry = &DiscoveryEntry{}
			r.section(sec, []field{
				{"caller", true, address(&s.Entry.CallerAddr)}, {"ready", true, address(&s.Entry.ReadyAddr)},
			})
		case "control":
			s.Control = &DiscoveryControl{}
			r.section(sec, []field{
				{"data", true, text(&s.Control.DataDir)},
				{"listen", true, address(&s.Control.OperatorAddr)},
				{"directory", true, address(&s.Control.DirectoryAddr)},
			})
		case "bounds":
			r.section(sec, boundFields(&s.Bounds))
		case "log":
			r.section(sec, []field{{"debug", false, flag(&s.Debug)}})
		default:
			r.fault(sec.Name(), "", "", "unknown section; known are host, cluster, entry, control, bounds, log")
		}
	}
	r.checkOpen(s, seen)
	if err := r.result(); err != nil {
		return nil, err
	}
	return s, nil
}

func boundFields(b *DiscoveryBounds) []field {
	return []field{
		{"heartbeat", true, millis(&b.Heartbeat)},
		{"grace", true, seconds(&b.GracePeriod)},
		{"drain", false, millis(&b.Drain)},
		{"ttl", true, seconds(&b.TTL)},
		{"retryshare", true, number(&b.RetryShare)},
		{"retryslack", true, number(&b.RetrySlack)},
		{"coldfactor", true, number(&b.ColdFactor)},
		{"coldslack", true, number(&b.ColdSlack)},
		{"trialshare", true, number(&b.TrialShare)},
	}
}

func (r *reader) checkOpen(s *DiscoverySettings, seen sycamorevane.Set[string]) {
	for _, want := range []string{"host", "cluster", "bounds"} {
		if !seen.Has(want) {
			r.fault(want, "", "", "section is missing")
		}
	}
	if s.Entry == nil && s.Control == nil {
		r.fault("entry", "", "", "a host needs the section entry, control or both")
	}
	if seen.Has("cluster") && seen.Has("host") && !slices.Contains(s.DCs, s.DC) {
		r.fault("host", "dc", s.DC, "is not among the data centres of the section cluster")
	}
}

// Mesh is the address at which this host is known to others.
func (s *DiscoverySettings) Mesh() string { return s.MeshOf(s.Address) }

// MeshOf is the mesh address of another host: all use the first port of the same range.
func (s *DiscoverySettings) MeshOf(host string) string {
	return netip.AddrPortFrom(netip.MustParseAddr(host), uint16(s.Ports[0])).String()
}

// SeedMeshes are the mesh addresses of the seeds.
func (s *DiscoverySettings) SeedMeshes() []string {
	var list []string
	for _, seed := range s.Seeds {
		list = append(list, s.MeshOf(netip.MustParseAddrPort(seed).Addr().String()))
	}
	return list
}

func ip(dst *string) func(string) error {
	return func(v string) error {
		if _, err := netip.ParseAddr(v); err != nil {
			return fmt.Errorf("must be an IP number")
		}
		*dst = v
		return nil
	}
}

func ports(dst *[2]int) func(string) error {
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

func texts(dst *[]string) func(string) error {
	return func(v string) error {
		_ = list(dst)(v)
		if len(*dst) == 0 {
			return fmt.Errorf("must not be empty")
		}
		return nil
	}
}

func addresses(dst *[]string) func(string) error {
	return func(v string) error {
		_ = list(dst)(v)
		for _, item := range *dst {
			if _, err := netip.ParseAddrPort(item); err != nil {
				return fmt.Errorf("%q is not IP:PORT", item)
			}
		}
		return nil
	}
}

func number(dst *float64) func(string) error {
	return func(v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f >= 0) {
			return fmt.Errorf("must be a number, 0 or more")
		}
		*dst = f
		return nil
	}
}

func seconds(dst *time.Duration) func(string) error { return scaled(dst, time.Second) }

func millis(dst *time.Duration) func(string) error { return scaled(dst, time.Millisecond) }

func scaled(dst *time.Duration, unit time.Duration) func(string) error {
	return func(v string) error {
		var f float64
		if err := number(&f)(v); err != nil {
			return err
		}
		*dst = time.Duration(f * float64(unit))
		return nil
	}
}
