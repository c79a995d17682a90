// Package accountant counts, per workspace, the requests that servers began to run, and reports the counts of fixed
// windows of true time to the platform.
//
// Entries count in cells of their monotonic clock (Counter) and send all cells that are not settled to the control leader
// (Reporter). The leader assigns the cells to windows (ledger), decides when the counts of a window are committed to the
// replicated log and when a committed window is sent (Core), and does so (Accountant).
package accountant

import (
	"context"
	"time"
)

// CellWidth is the width of a cell. A cell belongs to the window that contains its middle, so that a count is off by at most
// half a cell at each end of the window: 2% of a window of 5 s if all requests of an entry are at the wrong side.
const CellWidth = 100 * time.Millisecond

// Config holds what a deployment requires of usage reports.
type Config struct {
	// Window is the length of a window.
	Window time.Duration
	// Late is the time after the end of a window by which its report is due.
	Late time.Duration
	// Lease is how long after it became leader a host waits before it sends, so that calls of successive holders do not
	// alternate.
	Lease time.Duration
	// ThawSlack is how long after a pause of its process a host may still act on what it believed before.
	ThawSlack time.Duration
	// Tolerance is the permitted relative error of a count.
	Tolerance float64
	// CallRate limits the calls per second; 0 means defaultCallRate.
	CallRate float64
}

// Report is one call to the platform.
type Report struct {
	Window int64
	Counts map[string]uint64
	// Holder is the name of this host and Token its term as the leader.
	Holder string
	Token  uint64
}

// Result is the result of a call to the platform.
type Result uint8

// Results of a call.
const (
	// ResultUnknown means that there was no valid response. The call may still take effect.
	ResultUnknown Result = iota
	// ResultAccepted means that the platform has the counts of the window.
	ResultAccepted
	// ResultSuperseded means that a holder with a higher token has called.
	ResultSuperseded
	// ResultThrottled means that there were too many calls.
	ResultThrottled
)

func (r Result) String() string {
	return [...]string{"unknown", "accepted", "superseded", "throttled"}[r]
}

// Sender makes the call to the platform. The error explains ResultUnknown.
type Sender interface {
	Send(ctx context.Context, r Report) (Result, error)
}
