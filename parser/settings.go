package parser

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"sycamorevane.example/sycamorevane"
)

// Contact is a host at which others can be reached before a configuration is known.
type Contact struct {
	Name string
	Addr string
}

// Settings is what one process reads at start.
type Settings struct {
	// Name is this host's name in the configuration.
	Name string
	DC   string
	// MeshAddr is host:port of the peer listener.
	MeshAddr string
	// Key is the cluster key, at least sycamorevane.MinClusterKeyBytes bytes.
	Key string
	// ControlHosts lists the control hosts.
	ControlHosts []Contact
	// Entry is nil on hosts without the entry role.
	Entry *EntrySettings
	// Control is nil on hosts without the control role.
	Control *ControlSettings
	Debug   bool
}

// EntrySettings turns on the caller and announce listeners.
type EntrySettings struct {
	// CallerAddr and AnnounceAddr are host:port.
	CallerAddr   string
	AnnounceAddr string
}

// ControlSettings turns on the durable control role.
type ControlSettings struct {
	// DataDir is the folder of the durable state; relative paths are relative to the settings file.
	DataDir string
	// OperatorAddr is host:port of the operator API.
	OperatorAddr string
	// Join is true on a host that replaces a lost one: it waits to be added instead of forming a cluster.
	Join bool
	// Operators maps names to SHA-256 digests of their tokens.
	Operators map[string]string
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Reason: err.Error()}}
	}
	return ParseSettings(file, data)
}

// ParseSettings checks the settings in data; file names them in errors. The error is Faults.
func ParseSettings(file string, data []byte) (*Settings, error) {
	r := &reader{file: file}
	f := r.load(data)
	if f == nil {
		return nil, r.result()
	}
	s := &Settings{}
	seen := sycamorevane.NewSet[string]()
	for _, sec := range f.Sections() {
		kind, who := split(sec.Name())
		if sec.Name() != "DEFAULT" && seen.Has(sec.Name()) {
			r.fault(sec.Name(), "", "", "section is given more than once")
			continue
		}
		seen.Add(sec.Name())
		switch {
		case sec.Name() == "DEFAULT":
			r.section(sec, nil)
		case sec.Name() == "host":
			r.section(sec, []field{
				{"name", true, name(&s.Name)}, {"dc", true, name(&s.DC)}, {"mesh", true, address(&s.MeshAddr)},
			})
		case sec.Name() == "cluster":
			r.section(sec, []field{{"key", true, clusterKey(&s.Key)}, {"control", true, contacts(&s.ControlHosts)}})
		case sec.Name() == "entry":
			s.Entry = &EntrySettings{}
			r.section(sec, []field{
				{"caller", true, address(&s.Entry.CallerAddr)}, {"announce", true, address(&s.Entry.AnnounceAddr)},
			})
		case sec.Name() == "control":
			c := s.operation()
			r.section(sec, []field{
				{"data", true, text(&c.DataDir)}, {"listen", true, address(&c.OperatorAddr)}, {"join", false, flag(&c.Join)},
			})
		case kind == "operator":
			r.operator(s, sec.Name(), who)
			r.section(sec, []field{{"token", true, func(v string) error {
				s.operation().Operators[who] = v
				return digest(v)
			}}})
		case sec.Name() == "log":
			r.section(sec, []field{{"debug", false, flag(&s.Debug)}})
		default:
			r.fault(sec.Name(), "", "", "unknown section; known are host, cluster, entry, control, operator NAME, log")
		}
	}
	r.checkSettings(s, seen)
	if err := r.result(); err != nil {
		return nil, err
	}
	if s.Control != nil && !filepath.IsAbs(s.Control.DataDir) {
		s.Control.DataDir = filepath.Join(filepath.Dir(file), s.Control.DataDir)
	}
	return s, nil
}

func (s *Settings) operation() *ControlSettings {
	if s.Control == nil {
		s.Control = &ControlSettings{Operators: make(map[string]string)}
	}
	return s.Control
}

func (r *reader) operator(s *Settings, section, who string) {
	if !namePattern.MatchString(who) {
		r.fault(section, "", who, "operator name must be lower-case letters, digits and hyphens")
	}
}

func (r *reader) checkSettings(s *Settings, seen sycamorevane.Set[string]) {
	for _, want := range []string{"host", "cluster"} {
		if !seen.Has(want) {
			r.fault(want, "", "", "section is missing")
		}
	}
	if !seen.Has("entry") && !seen.Has("control") {
		r.fault("entry", "", "", "a host needs the section entry, control or both")
	}
	if s.Control != nil && !seen.Has("control") {
		r.fault("control", "", "", "operators are given but the section control is missing")
	}
	if seen.Has("control") && len(s.Control.Operators) == 0 {
		r.fault("operator NAME", "token", "", "a control host needs at least one operator")
	}
}

func clusterKey(dst *string) func(string) error {
	return func(v string) error {
		if len(v) < sycamorevane.MinClusterKeyBytes {
			return fmt.Errorf("must have at least %d characters", sycamorevane.MinClusterKeyBytes)
		}
		*dst = v
		return nil
	}
}

func contacts(dst *[]Contact) func(string) error {
	return func(v string) error {
		var items []string
		_ = list(&items)(v)
		if len(items) == 0 {
			return fmt.Errorf("must list at least one NAME@IP:PORT")
		}
		for _, item := range items {
			who, addr, ok := strings.Cut(item, "@")
			_, err := netip.ParseAddrPort(addr)
			if !ok || err != nil || !namePattern.MatchString(who) {
				return fmt.Errorf("%q is not NAME@IP:PORT", item)
			}
			*dst = append(*dst, Contact{Name: who, Addr: addr})
		}
		return nil
	}
}

// FormatSettings writes settings in the form that ParseSettings reads.
func FormatSettings(s *Settings) []byte {
	w := &writer{}
	w.section("host")
	w.key("name", s.Name)
	w.key("dc", s.DC)
	w.key("mesh", s.MeshAddr)
	w.section("cluster")
	w.key("key", s.Key)
	items := make([]string, len(s.ControlHosts))
	for i, c := range s.ControlHosts {
		items[i] = c.Name + "@" + c.Addr
	}
	w.key("control", strings.Join(items, ", "))
	if s.Entry != nil {
		w.section("entry")
		w.key("caller", s.Entry.CallerAddr)
		w.key("announce", s.Entry.AnnounceAddr)
	}
	if c := s.Control; c != nil {
		w.section("control")
		w.key("data", c.DataDir)
		w.key("listen", c.OperatorAddr)
		if c.Join {
			w.key("join", "true")
		}
		for _, who := range sortedKeys(c.Operators) {
			w.section("operator " + who)
			w.key("token", c.Operators[who])
		}
	}
	if s.Debug {
		w.section("log")
		w.key("debug", "true")
	}
	return w.Bytes()
}
