package applier

import (
	"slices"

	"sycamorevane.example/sycamorevane"
)

const (
	// MaxUsageWindows limits the recorded windows, an hour of windows of 5 s. When the platform accepts no reports for longer,
	// the oldest windows are dropped.
	MaxUsageWindows = 720
	// keptDeliveredWindows is the number of delivered windows that are kept, so that the last reports can be looked up.
	keptDeliveredWindows = 16
	// MaxUsageWorkspaces limits the workspaces of a window.
	MaxUsageWorkspaces = 4096
)

// UsageWindow holds the committed counts of one window of usage reports.
type UsageWindow struct {
	Number int64 `json:"window"`
	// Counts is the number of requests that servers began to run, by workspace.
	Counts map[string]uint64 `json:"counts"`
	// Sources is the number of entries that were expected to report, apart from those that shut down.
	Sources int `json:"sources"`
	// Delivered is true when the platform has accepted the report.
	Delivered bool `json:"delivered,omitempty"`
}

// UsageChange holds the arguments of a usage command.
type UsageChange struct {
	// Windows are the counts to record, by ascending number.
	Windows []UsageWindow `json:"windows,omitempty"`
	// Delivered are the numbers of windows whose reports the platform has accepted.
	Delivered []int64 `json:"delivered,omitempty"`
}

// UsageState holds the windows of usage reports. It is not part of sycamorevane.State, which is sent to entries.
type UsageState struct {
	// Last is the highest number of a window that has counts, including dropped windows; 0 for none.
	Last int64 `json:"last"`
	// Windows are the windows that are kept, by ascending number.
	Windows []UsageWindow `json:"windows"`
}

// Usage returns the windows of usage reports. The result is shared and must not be changed.
func (m *Machine) Usage() *UsageState { return m.usage.Load() }

// recordUsage records the counts of windows. A window can get counts only once, and only in ascending order, so that
// different counts are never sent for one window.
func (m *Machine) recordUsage(c Command) decision {
	change, s := c.Args.Usage, m.usage.Load()
	if change == nil || len(change.Windows) == 0 && len(change.Delivered) == 0 {
		return refuse("no usage given")
	}
	next := &UsageState{Last: s.Last, Windows: slices.Clone(s.Windows)}
	for _, w := range change.Windows {
		switch {
		case w.Number <= next.Last:
			return refuse("window %d is not after window %d, which has counts", w.Number, next.Last)
		case len(w.Counts) > MaxUsageWorkspaces:
			return refuse("window %d has %d workspaces; at most %d are allowed", w.Number, len(w.Counts), MaxUsageWorkspaces)
		}
		w.Delivered = false
		next.Last = w.Number
		next.Windows = append(next.Windows, w)
	}
	delivered := sycamorevane.NewSet(change.Delivered...)
	for i := range next.Windows {
		if delivered.Has(next.Windows[i].Number) {
			next.Windows[i].Delivered = true
		}
	}
	next.prune()
	m.usage.Store(next)
	return decision{result: ResultApplied}
}

// prune drops the oldest delivered windows above keptDeliveredWindows and the oldest windows above MaxUsageWindows.
func (s *UsageState) prune() {
	surplus := -keptDeliveredWindows
	for _, w := range s.Windows {
		if w.Delivered {
			surplus++
		}
	}
	s.Windows = slices.DeleteFunc(s.Windows, func(w UsageWindow) bool {
		remove := w.Delivered && surplus > 0
		if remove {
			surplus--
		}
		return remove
	})
	s.Windows = slices.Delete(s.Windows, 0, max(0, len(s.Windows)-MaxUsageWindows))
}
