// Package parser reads and validates the INI files of the system: the settings of one host and the configuration
// that all hosts share. It reports all errors of a file, each with file, section and key, instead of stopping at the
// first.
package parser

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sycamorevane.example/sycamorevane"
)

// Faults lists all errors found in one file. It is never returned empty.
type Faults []*sycamorevane.ConfigError

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// namePattern matches valid names of services, workspaces, data centres, hosts and routes: DNS labels, so that the name
// of a service is a valid Host header.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// digestPattern matches a SHA-256 digest in lower-case hex.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// reader decodes the sections of one file and collects the errors found.
type reader struct {
	file   string
	faults Faults
}

func (r *reader) addFault(section, key, value, format string, args ...any) {
	r.faults = append(r.faults, &sycamorevane.ConfigError{
		File: r.file, Section: section, Key: key, Value: value, Reason: fmt.Sprintf(format, args...),
	})
}

// faultsError returns the collected faults as an error, or nil if there are none.
func (r *reader) faultsError() error {
	if len(r.faults) == 0 {
		return nil
	}
	return r.faults
}

// parseINI parses the file. Repeated sections and keys are kept instead of merged, so that they can be reported as
// errors. It returns nil if data is not an INI file.
func (r *reader) parseINI(data []byte) *ini.File {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true,
		AllowShadows:           true,
		// Tokens and paths may contain any character, so only whole lines are treated as comments.
		IgnoreInlineComment:        true,
		SkipUnrecognizableLines:    false,
		KeyValueDelimiters:         "=",
		AllowDuplicateShadowValues: true,
	}, data)
	if err != nil {
		r.addFault("", "", "", "is not an INI file: %v", err)
		return nil
	}
	return f
}

// field describes one key of a section; parse parses its value and stores it.
type field struct {
	key      string
	required bool
	parse    func(value string) error
}

// decodeSection decodes the keys of s with the given fields. Unknown, repeated and missing required keys are faults.
func (r *reader) decodeSection(s *ini.Section, fields []field) {
	for _, key := range s.Keys() {
		i := slices.IndexFunc(fields, func(f field) bool { return f.key == key.Name() })
		if i < 0 {
			r.addFault(s.Name(), key.Name(), key.Value(), "unknown key; known are %s", strings.Join(fieldKeys(fields), ", "))
			continue
		}
		if len(key.ValueWithShadows()) > 1 {
			r.addFault(s.Name(), key.Name(), key.Value(), "key is given more than once")
			continue
		}
		if err := fields[i].parse(strings.TrimSpace(key.Value())); err != nil {
			r.addFault(s.Name(), key.Name(), key.Value(), "%v", err)
		}
	}
	for _, f := range fields {
		if f.required && !s.HasKey(f.key) {
			r.addFault(s.Name(), f.key, "", "key is missing")
		}
	}
}

func fieldKeys(fields []field) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return names
}

// splitSectionName splits a section name such as "service flagboard" into its kind and the name of the object.
func splitSectionName(section string) (kind, name string) {
	kind, name, _ = strings.Cut(section, " ")
	return kind, strings.TrimSpace(name)
}

// The functions below return a parser that stores a valid value in dst. Its errors state the accepted values.

func stringParser(dst *string) func(string) error {
	return func(v string) error {
		if v == "" {
			return fmt.Errorf("must not be empty")
		}
		*dst = v
		return nil
	}
}

func nameParser(dst *string) func(string) error {
	return func(v string) error {
		if !namePattern.MatchString(v) {
			return fmt.Errorf("must be lower-case letters, digits and hyphens, 1 to 63 characters")
		}
		*dst = v
		return nil
	}
}

func listParser(dst *[]string) func(string) error {
	return func(v string) error {
		*dst = nil
		for _, item := range strings.Split(v, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*dst = append(*dst, item)
			}
		}
		return nil
	}
}

func durationParser(dst *time.Duration, lo, hi time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < lo || d > hi {
			return fmt.Errorf("must be a duration from %v to %v, for example %v", lo, hi, lo)
		}
		*dst = d
		return nil
	}
}

func integerParser[T int | int64](dst *T, lo, hi T) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < int64(lo) || n > int64(hi) {
			return fmt.Errorf("must be a whole number from %d to %d", lo, hi)
		}
		*dst = T(n)
		return nil
	}
}

func rangeParser(dst *float64, lo, hi float64) func(string) error {
	return func(v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f >= lo && f <= hi) {
			return fmt.Errorf("must be a number from %g to %g", lo, hi)
		}
		*dst = f
		return nil
	}
}

func boolParser(dst *bool) func(string) error {
	return func(v string) error {
		switch v {
		case "true", "yes":
			*dst = true
		case "false", "no":
			*dst = false
		default:
			return fmt.Errorf("must be true or false")
		}
		return nil
	}
}

func addrPortParser(dst *string) func(string) error {
	return func(v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return fmt.Errorf("must be an IP number and port, for example 127.0.0.1:7000")
		}
		*dst = v
		return nil
	}
}

func checkDigest(v string) error {
	if !digestPattern.MatchString(v) {
		return fmt.Errorf("must be a SHA-256 digest of 64 hex digits")
	}
	return nil
}

// CheckFile reads a settings or configuration file and returns all errors in it. A file with a [host] section is
// treated as a settings file.
func CheckFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return Faults{{File: file, Reason: err.Error()}}
	}
	r := &reader{file: file}
	f := r.parseINI(data)
	if f == nil {
		return r.faultsError()
	}
	if f.HasSection("host") {
		_, err = ParseSettings(file, data)
	} else {
		_, err = ParseConfig(file, data)
	}
	return err
}
