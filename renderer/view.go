// Package renderer computes the numbered status view from the committed state and the entries' load summaries,
// and holds the large-screen page that shows it.
package renderer

import (
	"fmt"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
)

// StaleAfter is the age from which a view or an entry's summary counts as stale.
const StaleAfter = 3 * time.Second

// ReturnShown is how long a data centre that came back is shown as returning while it has cold servers.
const ReturnShown = 10 * time.Minute

// LoadRow is what one entry knows about one server, or, with an empty Server, about a whole pool.
type LoadRow struct {
	Service string
	DC      string
	Version string
	Server  string
	Addr    string
	// Calls and Failures were counted in Window, or in the summary's window when that is zero.
	Calls    uint64
	Failures uint64
	Window   time.Duration
	// BusySlots is how many of this entry's calls run now.
	BusySlots int
	// Owner is true on the entry that owns the pool; Slots, Limit, State, Reason, Probes and Budget are set only there.
	Owner bool
	Slots int
	// Limit is how many slots are usable now; below Slots while the server is cold or slow.
	Limit int
	// State is cold, ready, slow, failing or draining.
	State  string
	Reason string
	// P50 and P99 are latencies of complete good answers in the window; zero when there were none.
	P50 time.Duration
	P99 time.Duration
	// Probes is the probe rate per second, Budget the largest allowed one.
	Probes float64
	Budget float64
}

// Summary is one entry's report.
type Summary struct {
	Entry string
	DC    string
	// Version is the state version that the entry has in force.
	Version uint64
	Leaving bool
	// Window is the time the counts cover.
	Window time.Duration
	// Full is true when Loads has every row of the entry.
	Full bool
	// ReceivedAt is when the leader received the summary.
	ReceivedAt time.Time
	Loads      []LoadRow
}

// Control is one control host as the leader sees it.
type Control struct {
	Name string `json:"name"`
	DC   string `json:"dc"`
	// Role is leader, voter or learner.
	Role  string `json:"role"`
	Alive bool   `json:"alive"`
	// Fault is why the host does not take part, for example a write error; empty when it does.
	Fault string `json:"fault,omitempty"`
}

// Input is everything a view is computed from.
type Input struct {
	Term     uint64
	Seq      uint64
	Now      time.Time
	Leader   string
	State    *sycamorevane.State
	Entries  []Summary
	Controls []Control
	// Changes are the latest audit records, newest first.
	Changes []applier.Record
}

// View is the status at one moment. The same Number shows the same view on every control host.
type View struct {
	// Number is TERM.SEQ; Seq grows by one per view of a leader.
	Number string `json:"number"`
	Term   uint64 `json:"term"`
	Seq    uint64 `json:"seq"`
	// Time is when the view was made, in Unix ms by the leader's clock.
	Time     int64            `json:"time"`
	Leader   string           `json:"leader"`
	Version  uint64           `json:"version"`
	Services []Service        `json:"services"`
	DCs      []DC             `json:"dcs"`
	Rollouts []Rollout        `json:"rollouts"`
	Entries  []Host           `json:"entries"`
	Controls []Host           `json:"controls"`
	Changes  []applier.Record `json:"changes"`
}

// Service is the traffic of one service.
type Service struct {
	Name string `json:"name"`
	Flow
	Measure
	Versions []Version `json:"versions"`
	DCs      []Pool    `json:"dcs"`
}

// Measure is the cost of measurement, in probes per second, with the largest allowed.
type Measure struct {
	Probes float64 `json:"probes"`
	Budget float64 `json:"budget"`
}

// Flow is what passes through a server, pool, version or service.
type Flow struct {
	// Rate is calls per second.
	Rate float64 `json:"rate"`
	// Failing is the share of failed calls, 0 to 1.
	Failing float64 `json:"failing"`
	// Share is the part of the service's calls, 0 to 1.
	Share     float64 `json:"share"`
	Slots     int     `json:"slots"`
	BusySlots int     `json:"use"`
	// P50 is the mean over entries weighted by calls, P99 the largest of any entry; in ms.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Version is one version of a service.
type Version struct {
	Name string `json:"name"`
	Flow
	// TargetShare is the share that the rollout sets; -1 without one.
	TargetShare float64 `json:"want"`
	Servers     int     `json:"servers"`
}

// Pool is one service in one data centre.
type Pool struct {
	DC string `json:"dc"`
	Flow
	State   string   `json:"state"`
	Reason  string   `json:"reason"`
	Servers []Server `json:"servers"`
}

// Server is one backend server. It has fewer figures than a pool and leaves out empty ones, since the servers make
// up most of a view.
type Server struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Version string `json:"version"`
	State   string `json:"state"`
	Reason  string `json:"reason,omitempty"`
	// Warm is true when the server could take its full load, whether or not it is drained.
	Warm  bool `json:"warm,omitempty"`
	Slots int  `json:"slots"`
	// Limit is how many slots are usable now; below Slots while the server is cold or slow.
	Limit     int `json:"limit"`
	BusySlots int `json:"use"`
	// Rate is calls per second, Failing the share of failed ones, P99 in ms.
	Rate    float64 `json:"rate"`
	Failing float64 `json:"failing,omitempty"`
	P99     float64 `json:"p99"`
	// Probes and Budget are probes per second.
	Probes float64 `json:"probes,omitempty"`
	Budget float64 `json:"budget,omitempty"`
}

// DC is one data centre.
type DC struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"reason"`
	// Since is when operators last changed it, in Unix ms; zero for never.
	Since     int64   `json:"since,omitempty"`
	Rate      float64 `json:"rate"`
	Share     float64 `json:"share"`
	Servers   int     `json:"servers"`
	BusySlots int     `json:"use"`
}

// Rollout is a rollout with the measured share of the new version.
type Rollout struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	FromVersion string  `json:"from"`
	ToVersion   string  `json:"to"`
	Phase       string  `json:"phase"`
	Reason      string  `json:"reason"`
	Share       float64 `json:"share"`
	// MeasuredShare is the measured share.
	MeasuredShare  float64 `json:"seen"`
	DeadlineAtRisk bool    `json:"late"`
	StartedAt      int64   `json:"started"`
	Deadline       int64   `json:"deadline"`
	ChangedAt      int64   `json:"changed"`
	Actor          string  `json:"by"`
}

// Host is one host of the system.
type Host struct {
	Name    string `json:"name"`
	DC      string `json:"dc"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Version uint64 `json:"version,omitempty"`
}

// States shown for servers, data centres and hosts.
const (
	StateReady     = "ready"
	StateCold      = "cold"
	StateSlow      = "slow"
	StateFailing   = "failing"
	StateDraining  = "draining"
	StateDrained   = "drained"
	StateReturning = "returning"
	StateSilent    = "silent"
	StateDown      = "down"
	StateLeaving   = "leaving"
	StateBehind    = "behind"
)

// Age is how old the view is at now.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(v.Time)) }

// Stale reports whether the view is too old to act on.
func (v *View) Stale(now time.Time) bool { return v.Age(now) > StaleAfter }

// Capacity sums warm slots and use by service and data centre, for the check of a drain.
func (v *View) Capacity() []applier.Capacity {
	var rows []applier.Capacity
	for _, s := range v.Services {
		for _, p := range s.DCs {
			row := applier.Capacity{Service: s.Name, DC: p.DC, BusySlots: p.BusySlots}
			for _, srv := range p.Servers {
				if srv.Warm {
					row.Slots += srv.Slots
				}
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// Target describes a server by id, or returns nil for an unknown one.
func (v *View) Target(id string) *applier.Target {
	for _, s := range v.Services {
		for _, p := range s.DCs {
			for _, srv := range p.Servers {
				if srv.ID != id {
					continue
				}
				t := &applier.Target{Service: s.Name, DC: p.DC}
				if srv.Warm {
					t.Slots = srv.Slots
				}
				return t
			}
		}
	}
	return nil
}

// AnnouncedSlots returns the announced slots of a service by version.
func (v *View) AnnouncedSlots(service string) map[string]int {
	slots := map[string]int{}
	for _, s := range v.Services {
		if s.Name != service {
			continue
		}
		for _, ver := range s.Versions {
			if ver.Servers > 0 {
				slots[ver.Name] = ver.Slots
			}
		}
	}
	return slots
}

func number(term, seq uint64) string { return fmt.Sprintf("%d.%d", term, seq) }

// HasReports is true when at least one entry has reported lately, so that the view can tell capacity.
func (v *View) HasReports() bool {
	for _, e := range v.Entries {
		if e.State != StateSilent {
			return true
		}
	}
	return false
}

// seen is the measured share of a version.
func (v *View) seen(service, version string) float64 {
	for _, s := range v.Services {
		for _, ver := range s.Versions {
			if s.Name == service && ver.Name == version {
				return ver.Share
			}
		}
	}
	return 0
}
