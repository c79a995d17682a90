package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamorevane.example/sycamorevane/inspector"
)

const (
	// maxCallerWait is how long a caller waits for the response to its command. Callers try another host after 1 s.
	maxCallerWait = 900 * time.Millisecond
	// closeDelay is how long after a command the notice that its caller has closed the connection may arrive. Both are
	// retransmitted one after the other when the link comes back, a round trip apart.
	closeDelay = 100 * time.Millisecond
)

var (
	errCallerClosed = errors.New("caller has closed the connection")
	errCallerLate   = errors.New("request has waited too long at this host")
)

// callerWaits returns nil if the caller of the request that ctx belongs to still waits for the response, else the reason. A
// request may have waited in the kernel while the process was suspended, or on its way while a link was cut.
func callerWaits(ctx context.Context) error {
	conn := inspector.FromContext(ctx)
	if conn == nil {
		return nil
	}
	status, err := conn.Status()
	if err != nil {
		return err
	}
	if remaining := time.Until(status.ReceivedAt.Add(closeDelay)); remaining > 0 {
		sleep(ctx, remaining)
		if status, err = conn.Status(); err != nil {
			return err
		}
	}
	switch {
	case status.Closed:
		return errCallerClosed
	case time.Since(status.ReceivedAt) >= maxCallerWait:
		return errCallerLate
	}
	return nil
}
