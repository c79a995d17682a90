package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that has no server yet.
type waiter struct {
	Ask
	sequence  uint64
	arrivedAt time.Time
	// work is the expected time on an idle host, spread its mean deviation.
	work, spread time.Duration
	// latestStart is until when a start on an idle host is expected to finish the request before its deadline.
	latestStart time.Time
	// freshUntil is until when the request waits for fresh load reports.
	freshUntil time.Time
}

// compareWaiters orders the requests of one workspace by the time until which they can wait.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.sequence, b.sequence))
}

// line holds the waiting requests of one workspace and priority in order.
type line struct {
	workspace string
	waiters   []*waiter
	// served is the work in seconds that the workspace has got while it had waiting requests.
	served float64
}

// class holds the waiting requests of one priority. Its lines are never empty.
type class struct {
	priority int
	lines    []*line
	count    int
	// work is the sum of the work of the requests.
	work time.Duration
}

// workBefore estimates the work of the requests that go before w, which need not be in the class. Workspaces are served in
// turn, so of each other workspace only as many requests go before it as of its own, and one more.
func (c *class) workBefore(w *waiter) time.Duration {
	if c.priority < w.Priority || c.count == 0 {
		return c.work
	}
	own := 0
	for _, l := range c.lines {
		if l.workspace == w.Workspace {
			own, _ = slices.BinarySearchFunc(l.waiters, w, compareWaiters)
		}
	}
	before := own
	for _, l := range c.lines {
		if l.workspace != w.Workspace {
			before += min(len(l.waiters), own+1)
		}
	}
	return c.work * time.Duration(before) / time.Duration(c.count)
}

// queue holds waiting requests by priority, the most urgent first.
type queue struct {
	classes []*class
	count   int
}

func (q *queue) class(priority int) *class {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority})
	}
	return q.classes[i]
}

func (q *queue) add(w *waiter) {
	c := q.class(w.Priority)
	var l *line
	leastServed := 0.0
	for i, other := range c.lines {
		if other.workspace == w.Workspace {
			l = other
		}
		if i == 0 || other.served < leastServed {
			leastServed = other.served
		}
	}
	if l == nil {
		l = &line{workspace: w.Workspace, served: leastServed}
		c.lines = append(c.lines, l)
	}
	i, _ := slices.BinarySearchFunc(l.waiters, w, compareWaiters)
	l.waiters = slices.Insert(l.waiters, i, w)
	c.count++
	c.work += w.work
	q.count++
}

// remove removes the request and charges its workspace with the work.
func (q *queue) remove(w *waiter, work time.Duration) {
	c := q.class(w.Priority)
	for n, l := range c.lines {
		if l.workspace != w.Workspace {
			continue
		}
		if i, found := slices.BinarySearchFunc(l.waiters, w, compareWaiters); found {
			l.waiters = slices.Delete(l.waiters, i, i+1)
			c.count--
			c.work -= w.work
			q.count--
		}
		l.served += work.Seconds()
		if len(l.waiters) == 0 {
			c.lines = slices.Delete(c.lines, n, n+1)
		}
		return
	}
}

// next yields the requests in order: by priority, workspaces in turn, and by time left. The queue must not change
// meanwhile, except that the last yielded request may be removed before the iteration ends.
func (q *queue) next(yield func(*waiter) bool) {
	for _, c := range q.classes {
		for w := range c.next {
			if !yield(w) {
				return
			}
		}
	}
}

// next yields the requests of the class in order.
func (c *class) next(yield func(*waiter) bool) {
	lines := slices.Clone(c.lines)
	slices.SortStableFunc(lines, func(a, b *line) int { return cmp.Compare(a.served, b.served) })
	for i := 0; ; i++ {
		more := false
		for _, l := range lines {
			if i >= len(l.waiters) {
				continue
			}
			more = true
			if !yield(l.waiters[i]) {
				return
			}
		}
		if !more {
			return
		}
	}
}
