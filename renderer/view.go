// Package renderer computes the numbered status view from the committed state and the load summaries of the entries,
// and contains the status page that displays it.
package renderer

import (
	"fmt"
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/applier"
)

// StaleAfter is the age above which a view or a summary is stale.
const StaleAfter = 3 * time.Second

// ReturningPeriod is how long an undrained data centre with cold servers is shown as returning.
const ReturningPeriod = 10 * time.Minute

// LoadRow describes the traffic of one entry to one server, or to a whole pool if Server is empty.
type LoadRow struct {
	Service string
	DC      string
	Version string
	Server  string
	Addr    string
	// Calls and Failures were counted during Window, or during the summary's window if Window is zero.
	Calls    uint64
	Failures uint64
	Window   time.Duration
	// BusySlots is the number of this entry's calls that are running.
	BusySlots int
	// Owner is true in rows of the entry that owns the pool; only these have Slots, UsableSlots, State, Reason, ProbeRate
	// and MaxProbeRate.
	Owner bool
	Slots int
	// UsableSlots is the number of slots that may be used now, which is below Slots while the server is cold or slow.
	UsableSlots int
	// State is cold, ready, slow, failing or draining.
	State  string
	Reason string
	// P50 and P99 are the latencies of complete successful responses in the window; zero if there were none.
	P50 time.Duration
	P99 time.Duration
	// ProbeRate is the number of probes per second, MaxProbeRate the largest allowed number.
	ProbeRate    float64
	MaxProbeRate float64
}

// Summary is the load report of one entry.
type Summary struct {
	Entry string
	DC    string
	// Version is the state version that the entry uses.
	Version uint64
	// ShuttingDown is true while the entry shuts down.
	ShuttingDown bool
	// Window is the period in which the counts were taken.
	Window time.Duration
	// Full is true when Loads contains all rows of the entry.
	Full bool
	// ReceivedAt is when the leader received the summary.
	ReceivedAt time.Time
	Loads      []LoadRow
}

// Control is the status of one control host as known to the leader.
type Control struct {
	Name string `json:"name"`
	DC   string `json:"dc"`
	// Role is leader, voter or learner.
	Role  string `json:"role"`
	Alive bool   `json:"alive"`
	// Fault is why the host does not take part in the control group, for example a write error; empty if it does.
	Fault string `json:"fault,omitempty"`
}

// Input is the data from which a view is computed.
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

// View is the status of the system at one time. Views with the same Number are identical on all control hosts.
type View struct {
	// Number is TERM.SEQ; Seq increases by one with each view of a leader.
	Number string `json:"number"`
	Term   uint64 `json:"term"`
	Seq    uint64 `json:"seq"`
	// Time is when the view was computed, in Unix ms of the leader's clock.
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

// Measure holds the number of probes per second and the largest allowed number.
type Measure struct {
	ProbeRate    float64 `json:"probes"`
	MaxProbeRate float64 `json:"budget"`
}

// Flow is the traffic of a pool, version or service.
type Flow struct {
	CallsPerSecond float64 `json:"rate"`
	// FailureRate is the fraction of failed calls, 0 to 1.
	FailureRate float64 `json:"failing"`
	// Share is the fraction of the service's calls, 0 to 1.
	Share     float64 `json:"share"`
	Slots     int     `json:"slots"`
	BusySlots int     `json:"use"`
	// P50 is the mean of the entries' values weighted by calls, P99 the largest value of any entry; both in ms.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Version is one version of a service.
type Version struct {
	Name string `json:"name"`
	Flow
	// TargetShare is the version's share according to State.VersionShares; -1 if no version is preferred yet.
	TargetShare float64 `json:"want"`
	Servers     int     `json:"servers"`
}

// Pool is the set of servers of one service in one data centre.
type Pool struct {
	DC string `json:"dc"`
	Flow
	State   string   `json:"state"`
	Reason  string   `json:"reason"`
	Servers []Server `json:"servers"`
}

// Server is one backend server. It has fewer values than a pool and omits empty ones, since servers make up most of the
// size of a view.
type Server struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Version string `json:"version"`
	State   string `json:"state"`
	Reason  string `json:"reason,omitempty"`
	// Warm is true when the server can handle its full load, whether or not it is drained.
	Warm  bool `json:"warm,omitempty"`
	Slots int  `json:"slots"`
	// UsableSlots is the number of slots that may be used now, which is below Slots while the server is cold or slow.
	UsableSlots int `json:"limit"`
	BusySlots   int `json:"use"`
	// FailureRate is the fraction of failed calls, 0 to 1; P99 is in ms.
	CallsPerSecond float64 `json:"rate"`
	FailureRate    float64 `json:"failing,omitempty"`
	P99            float64 `json:"p99"`
	// ProbeRate and MaxProbeRate are in probes per second.
	ProbeRate    float64 `json:"probes,omitempty"`
	MaxProbeRate float64 `json:"budget,omitempty"`
}

// DC is one data centre.
type DC struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"reason"`
	// Since is when operators last drained or undrained the data centre, in Unix ms; zero means never.
	Since          int64   `json:"since,omitempty"`
	CallsPerSecond float64 `json:"rate"`
	Share          float64 `json:"share"`
	Servers        int     `json:"servers"`
	BusySlots      int     `json:"use"`
}

// Rollout is the status of a rollout.
type Rollout struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	FromVersion string  `json:"from"`
	ToVersion   string  `json:"to"`
	Phase       string  `json:"phase"`
	Reason      string  `json:"reason"`
	Share       float64 `json:"share"`
	// MeasuredShare is the measured share of calls to ToVersion.
	MeasuredShare  float64 `json:"seen"`
	DeadlineAtRisk bool    `json:"late"`
	StartedAt      int64   `json:"started"`
	Deadline       int64   `json:"deadline"`
	ChangedAt      int64   `json:"changed"`
	Actor          string  `json:"by"`
}

// Host is the status of an entry host or a control host.
type Host struct {
	Name    string `json:"name"`
	DC      string `json:"dc"`
	State   string `json:"state"`
	Reason  string `json:"reason"`
	Version uint64 `json:"version,omitempty"`
}

// States of servers, pools, data centres and hosts.
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

// Age returns the age of the view at now.
func (v *View) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(v.Time)) }

// Stale reports whether the view is too old for decisions to be based on it.
func (v *View) Stale(now time.Time) bool { return v.Age(now) > StaleAfter }

// Capacity returns the warm slots and the busy slots per service and data centre, which are checked before a drain.
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

// Target returns the service, data centre and warm slots of the server with the id, or nil if there is none.
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

// AnnouncedSlots returns the announced slots of a service per version.
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

// HasReports reports whether at least one entry has reported recently, so that the capacities in the view are known.
func (v *View) HasReports() bool {
	for _, e := range v.Entries {
		if e.State != StateSilent {
			return true
		}
	}
	return false
}

// measuredShare returns the measured share of a version, or 0 if the view does not have the version.
func (v *View) measuredShare(service, version string) float64 {
	for _, s := range v.Services {
		for _, ver := range s.Versions {
			if s.Name == service && ver.Name == version {
				return ver.Share
			}
		}
	}
	return 0
}
