package dispatcher

import (
	"time"

	"sycamorevane.example/sycamorevane"
)

// ApplySharedReport applies a load report that another entry has received at reportedAt. It is ignored if this entry has
// a newer one.
func (d *Dispatcher) ApplySharedReport(now, reportedAt time.Time, id string, load *sycamorevane.LoadReport) {
	d.mu.Lock()
	s := d.core.byID[id]
	if s == nil || s.reportedAt.After(reportedAt) {
		d.mu.Unlock()
		return
	}
	p := d.core.pool(s.record.Server.Service)
	p.markReportsLoad()
	s.applyLoadReport(now, load)
	p.recordReport(s)
	s.reportedAt = reportedAt
	probes := d.serveQueue(now, s.record.Server.Service)
	d.mu.Unlock()
	d.send(probes)
}
