package parser

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"sycamorevane.example/sycamorevane"
)

// Contact is the address of a host that a process connects to before it has received a configuration.
type Contact struct {
	Name string
	Addr string
}

// Settings are the settings that a process reads at its start.
type Settings struct {
	// Name is this host's name in the configuration.
	Name string
	DC   string
	// MeshAddr is the host:port of the listener for peers.
	MeshAddr string
	// Key is the cluster key of at least sycamorevane.MinClusterKeyBytes bytes.
	Key          string
	ControlHosts []Contact
	// Entry is nil on hosts without the entry role.
	Entry *EntrySettings
	// Control is nil on hosts without the control role.
	Control *ControlSettings
	Debug   bool
}

// EntrySettings holds the settings of the entry role.
type EntrySettings struct {
	// CallerAddr and AnnounceAddr are the host:port of the listeners for callers and for announcements of servers.
	CallerAddr   string
	AnnounceAddr string
}

// ControlSettings holds the settings of the control role.
type ControlSettings struct {
	// DataDir is the folder of the durable state; a relative path in the file is relative to the file's folder.
	DataDir string
	// OperatorAddr is the host:port of the operator API.
	OperatorAddr string
	// Join is true on a host that replaces a lost one: it waits to be added to the cluster instead of forming a new one.
	Join bool
	// Operators maps the names of operators to the SHA-256 digests of their tokens.
	Operators map[string]string
}

// LoadSettings reads and validates a settings file. Errors are Faults.
func LoadSettings(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Reason: err.Error()}}
	}
	return ParseSettings(file, data)
}

// ParseSettings parses and validates the settings in data; file is the name used in errors. Errors are Faults.
func ParseSettings(file string, data []byte) (*Settings, error) {
	r := &reader{file: file}
	f := r.parseINI(data)
	if f == nil {
		return nil, r.faultsError()
	}
	s := &Settings{}
	seen := sycamorevane.NewSet[string]()
	for _, section := range f.Sections() {
		kind, name := splitSectionName(section.Name())
		if section.Name() != "DEFAULT" && seen.Has(section.Name()) {
			r.addFault(section.Name(), "", "", "section is given more than once")
			continue
		}
		seen.Add(section.Name())
		switch {
		case section.Name() == "DEFAULT":
			r.decodeSection(section, nil)
		case section.Name() == "host":
			r.decodeSection(section, []field{
				{"name", true, nameParser(&s.Name)}, {"dc", true, nameParser(&s.DC)}, {"mesh", true, addrPortParser(&s.MeshAddr)},
			})
		case section.Name() == "cluster":
			r.decodeSection(section, []field{{"key", true, clusterKeyParser(&s.Key)}, {"control", true, contactsParser(&s.ControlHosts)}})
		case section.Name() == "entry":
			s.Entry = &EntrySettings{}
			r.decodeSection(section, []field{
				{"caller", true, addrPortParser(&s.Entry.CallerAddr)}, {"announce", true, addrPortParser(&s.Entry.AnnounceAddr)},
			})
		case section.Name() == "control":
			c := s.ensureControl()
			r.decodeSection(section, []field{
				{"data", true, stringParser(&c.DataDir)}, {"listen", true, addrPortParser(&c.OperatorAddr)}, {"join", false, boolParser(&c.Join)},
			})
		case kind == "operator":
			r.checkOperatorName(s, section.Name(), name)
			r.decodeSection(section, []field{{"token", true, func(v string) error {
				s.ensureControl().Operators[name] = v
				return checkDigest(v)
			}}})
		case section.Name() == "log":
			r.decodeSection(section, []field{{"debug", false, boolParser(&s.Debug)}})
		default:
			r.addFault(section.Name(), "", "", "unknown section; known are host, cluster, entry, control, operator NAME, log")
		}
	}
	r.checkSettings(s, seen)
	if err := r.faultsError(); err != nil {
		return nil, err
	}
	if s.Control != nil && !filepath.IsAbs(s.Control.DataDir) {
		s.Control.DataDir = filepath.Join(filepath.Dir(file), s.Control.DataDir)
	}
	return s, nil
}

// ensureControl returns s.Control and creates it if necessary, since the sections control and operator come in any order.
func (s *Settings) ensureControl() *ControlSettings {
	if s.Control == nil {
		s.Control = &ControlSettings{Operators: make(map[string]string)}
	}
	return s.Control
}

func (r *reader) checkOperatorName(s *Settings, section, name string) {
	if !namePattern.MatchString(name) {
		r.addFault(section, "", name, "operator name must be lower-case letters, digits and hyphens")
	}
}

func (r *reader) checkSettings(s *Settings, seen sycamorevane.Set[string]) {
	for _, required := range []string{"host", "cluster"} {
		if !seen.Has(required) {
			r.addFault(required, "", "", "section is missing")
		}
	}
	if !seen.Has("entry") && !seen.Has("control") {
		r.addFault("entry", "", "", "a host needs the section entry, control or both")
	}
	if s.Control != nil && !seen.Has("control") {
		r.addFault("control", "", "", "operators are given but the section control is missing")
	}
	if seen.Has("control") && len(s.Control.Operators) == 0 {
		r.addFault("operator NAME", "token", "", "a control host needs at least one operator")
	}
}

func clusterKeyParser(dst *string) func(string) error {
	return func(v string) error {
		if len(v) < sycamorevane.MinClusterKeyBytes {
			return fmt.Errorf("must have at least %d characters", sycamorevane.MinClusterKeyBytes)
		}
		*dst = v
		return nil
	}
}

func contactsParser(dst *[]Contact) func(string) error {
	return func(v string) error {
		var items []string
		_ = listParser(&items)(v)
		if len(items) == 0 {
			return fmt.Errorf("must list at least one NAME@IP:PORT")
		}
		for _, item := range items {
			name, addr, ok := strings.Cut(item, "@")
			_, err := netip.ParseAddrPort(addr)
			if !ok || err != nil || !namePattern.MatchString(name) {
				return fmt.Errorf("%q is not NAME@IP:PORT", item)
			}
			*dst = append(*dst, Contact{Name: name, Addr: addr})
		}
		return nil
	}
}

// FormatSettings returns settings in the file format that ParseSettings reads.
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
		for _, name := range sortedKeys(c.Operators) {
			w.section("operator " + name)
			w.key("token", c.Operators[name])
		}
	}
	if s.Debug {
		w.section("log")
		w.key("debug", "true")
	}
	return w.Bytes()
}
