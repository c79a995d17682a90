package runner

import (
	"time"

	"sycamorevane.example/sycamorevane"
	"sycamorevane.example/sycamorevane/coordinator"
	"sycamorevane.example/sycamorevane/encoder"
	"sycamorevane.example/sycamorevane/scheduler"
)

// schedulingHostInterval is how often an entry checks which control host schedules. It is short compared with the time after
// which a silent host counts as dead.
const schedulingHostInterval = 50 * time.Millisecond

// nearby returns the control hosts of this entry's data centre.
func (e *discoveryEntry) nearby() []string {
	if list := e.nearbyControls.Load(); list != nil {
		return *list
	}
	return nil
}

// schedulingHosts returns the control hosts that this entry needs sessions with because of shared placement.
func (e *discoveryEntry) schedulingHosts() []string {
	if e.placement == nil {
		return nil
	}
	return e.placement.WantedHosts()
}

func (e *discoveryEntry) schedulingHostLoop() {
	t := time.NewTicker(schedulingHostInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.placement.UpdateHosts()
		case <-e.p.ctx.Done():
			return
		}
	}
}

func newCoordinator(c *discoveryControl) *coordinator.Coordinator {
	p := c.p
	d := p.cfg.Adapter.Dialect()
	c.prober = coordinator.NewProber(coordinator.ProberConfig{
		InstanceHeader: d.Instance, ColdHeader: d.ColdRemaining, ParseLoad: d.ParseLoad, Log: p.cfg.Log,
	})
	return coordinator.New(coordinator.Config{
		Transport: p.mesh, DC: p.cfg.Settings.DC, NewPool: func() scheduler.Pool { return scheduler.New(scheduler.Config{}) },
		Servers: c.catalog.All, State: c.stateMachine.State, Probe: c.prober.Probe, Log: p.cfg.Log, Metrics: p.metrics,
	})
}

// addNearby returns a function that adds to a push the control hosts in the data centre of the receiving entry.
func (c *discoveryControl) addNearby(members []string) func(m *encoder.StatePush, entry string) {
	if c.coordinator == nil {
		return func(*encoder.StatePush, string) {}
	}
	dcs := map[string]string{c.p.mesh.Self(): c.p.cfg.Settings.DC}
	for _, peer := range c.p.mesh.Peers() {
		dcs[peer.Name] = peer.DC
	}
	near := make(map[string][]string)
	for _, name := range sycamorevane.NewSet(members...).Sorted() {
		if dc := dcs[name]; dc != "" {
			near[dc] = append(near[dc], name)
		}
	}
	return func(m *encoder.StatePush, entry string) { m.Near = near[dcs[entry]] }
}
