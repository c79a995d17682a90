package forwarder

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// checkShutdown refuses a request that may take longer than the process still runs. The caller may return at once, since
// other entries can serve it.
func (c *call) checkShutdown() error {
	stopsAt := c.f.cfg.StopsAt()
	if stopsAt.IsZero() {
		return nil
	}
	if end := c.bodyDeadline(0); !end.IsZero() && !end.After(stopsAt) {
		return nil
	}
	return c.newShutdownError()
}

// attemptOutlastsProcess reports whether an attempt that starts now would usually still run when the process stops.
func (c *call) attemptOutlastsProcess(now, deadline time.Time) bool {
	stopsAt := c.f.cfg.StopsAt()
	return !stopsAt.IsZero() && deadline.After(stopsAt) && now.Add(c.serviceState.tailLatency.get()).After(stopsAt)
}

func (c *call) newShutdownError() *sycamorevane.RefusedError {
	return c.newRefusedError("entry is shutting down and the request may take longer", 0)
}
