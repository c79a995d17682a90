package dispatcher

import (
	"cmp"
	"slices"

	"sycamorevane.example/sycamorevane"
)

// turns orders the waiting requests of a service so that workspaces with the same priority are served in turn, however
// many requests each of them has. It is used only if the configuration contains workspaces. Requests without a
// workspace share one turn.
type turns struct {
	// count is the number of requests served from the queue. lastServed is its value when the workspace was last served.
	count      uint64
	lastServed map[turnKey]uint64
}

type turnKey struct {
	priority  int
	workspace string
}

func turnOf(req *sycamorevane.Request) turnKey { return turnKey{req.Priority, req.Workspace} }

// sort keeps the order by priority. Within a priority, the first requests of all workspaces come first, then the second
// ones, and so on; each time the workspace that was served the longest time ago goes first. The order of the requests of
// one workspace stays the same.
func (t *turns) sort(waiters []*waiter) {
	type turn struct {
		waiter   *waiter
		position int
		served   uint64
	}
	positions := make(map[turnKey]int)
	list := make([]turn, len(waiters))
	for i, w := range waiters {
		key := turnOf(w.req)
		list[i] = turn{w, positions[key], t.lastServed[key]}
		positions[key]++
	}
	slices.SortStableFunc(list, func(a, b turn) int {
		return cmp.Or(
			cmp.Compare(a.waiter.req.Priority, b.waiter.req.Priority), cmp.Compare(a.position, b.position), cmp.Compare(a.served, b.served),
		)
	})
	for i := range list {
		waiters[i] = list[i].waiter
	}
}

func (t *turns) recordServed(req *sycamorevane.Request) {
	if t.lastServed == nil {
		t.lastServed = make(map[turnKey]uint64)
	}
	t.count++
	t.lastServed[turnOf(req)] = t.count
}

// hasWorkspaces reports whether the configuration contains workspaces.
func (v *view) hasWorkspaces() bool { return len(v.state.Config.Workspaces) > 0 }

// displace makes room in a full queue for a request by refusing a request of the workspace with the most waiting
// requests, so that one workspace cannot keep the others out. It refuses the newest request of that workspace with the
// lowest priority, but none that is more urgent than w. It returns false if no request has to give way. The caller holds
// the lock.
func (d *Dispatcher) displace(v *view, w *waiter) bool {
	if !v.hasWorkspaces() || w.req.Hedge || !w.latestStart.After(v.now) {
		return false
	}
	list := d.queue[w.req.Service]
	counts := make(map[string]int)
	for _, other := range list {
		counts[other.req.Workspace]++
	}
	victim := -1
	for i := len(list) - 1; i >= 0 && list[i].req.Priority >= w.req.Priority; i-- {
		if victim < 0 || counts[list[i].req.Workspace] > counts[list[victim].req.Workspace] {
			victim = i
		}
	}
	// With a difference of 1, the two workspaces would displace each other's requests in alternation.
	if victim < 0 || counts[list[victim].req.Workspace] <= counts[w.req.Workspace]+1 {
		return false
	}
	other := list[victim]
	d.queue[w.req.Service] = slices.Delete(list, victim, victim+1)
	d.displaced.Inc(1)
	d.reject(other, d.refuse(other.req, "queue is full of requests of its workspace", d.retryAfter(v, other)))
	return true
}
