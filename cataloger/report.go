package cataloger

import (
	"fmt"
	"math"
	"time"
	"unicode/utf8"
)

const (
	// maxFieldBytes limits each text of a report. The names of servers, services, versions and data centres are a few dozen
	// bytes; the catalog of a large deployment must fit into one message.
	maxFieldBytes = 512
	// maxSlots limits the slots of a server, far above what one process can run.
	maxSlots = 1 << 16
	// maxColdRemaining is the largest value that a message can hold.
	maxColdRemaining = math.MaxUint32 * time.Millisecond
)

// InvalidReportError reports that a report names no server that can be used.
type InvalidReportError struct{ Field, Reason string }

func (e *InvalidReportError) Error() string { return fmt.Sprintf("field %s %s", e.Field, e.Reason) }

// validate checks that a report can be held in a message. One that cannot would make each message fail that contains it.
func (r *Report) validate() error {
	s := &r.Server
	for _, f := range []struct{ name, value string }{
		{"id", s.ID}, {"name", s.InstanceName}, {"service", s.Service}, {"version", s.Version}, {"address", s.Addr}, {"data centre", s.DC},
	} {
		switch {
		case len(f.value) > maxFieldBytes:
			return &InvalidReportError{Field: f.name, Reason: fmt.Sprintf("is above %d bytes", maxFieldBytes)}
		case !utf8.ValidString(f.value):
			return &InvalidReportError{Field: f.name, Reason: "is not valid UTF-8"}
		}
	}
	switch {
	case s.ID == "":
		return &InvalidReportError{Field: "id", Reason: "is empty"}
	case s.Slots < 0 || s.Slots > maxSlots:
		return &InvalidReportError{Field: "slots", Reason: fmt.Sprintf("is not between 0 and %d", maxSlots)}
	case r.ColdRemaining < 0 || r.ColdRemaining > maxColdRemaining:
		return &InvalidReportError{Field: "cold time", Reason: "is out of range"}
	}
	return nil
}
