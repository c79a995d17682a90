package main

import (
	"net/http"
	"strings"
	"time"
)

// crash ends the target with all its connections. It is back after the given time, as a new start.
func (t *target) crash(d time.Duration) {
	t.rec.printf("%s crashes", t.id)
	t.stop()
	_ = t.server.Close()
	time.AfterFunc(d, func() {
		next := newTarget(t.d, t.log, t.service, t.zone, t.number, t.work)
		next.respond = t.respond
		if err := next.start(); err != nil {
			t.rec.printf("%s is not back: %v", t.id, err)
		}
	})
}

// crashRunning crashes the targets of the first runs under the prefix, each 100 ms after its run has begun.
func crashRunning(log *runLog, prefix string, count int) {
	seen := make(map[*target]bool)
	for ; len(seen) < count; time.Sleep(5 * time.Millisecond) {
		for _, a := range log.list() {
			if strings.HasPrefix(a.path, prefix) && !seen[a.target] && time.Since(a.at) >= 100*time.Millisecond && len(seen) < count {
				seen[a.target] = true
				a.target.crash(3 * time.Second)
			}
		}
	}
}

// runInnocent adds a route and crashes two of 14 targets while they run its first request. Later requests on the route are compared
// with those on the first one.
func runInnocent(rec *recorder, trouble bool) (bool, error) {
	work := func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, "/depth/") {
			return 400 * time.Millisecond
		}
		return 60 * time.Millisecond
	}
	d, log, stop, err := startSystemWith(rec, 6, 14, []route{{"/lohu930/", "safe", "huvo11a", 2000}}, work, nil)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	first := newTraffic(d, http.MethodGet, "/lohu930/2f", nil, 2*time.Second, 25*time.Millisecond)
	first.start()
	defer first.close()
	time.Sleep(4 * time.Second)
	routes := []route{{"/lohu930/", "safe", "huvo11a", 2000}, {"/depth/", "safe", "huvo11a", 2000}}
	if _, err := d.order("/config/replace", configuration(2, []string{"huvo11a"}, routes), d.controls[0]); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		go crashRunning(log, "/depth/", 2)
	}
	added := newTraffic(d, http.MethodGet, "/depth/today", nil, 2*time.Second, 250*time.Millisecond)
	added.resolve()
	added.send(added.addresses[0])
	rec.say("first request on the new route: %v", added.counts())
	time.Sleep(15 * time.Second)
	before := first.counts()
	later := newTraffic(d, http.MethodGet, "/depth/today", nil, 2*time.Second, 250*time.Millisecond)
	later.start()
	time.Sleep(20 * time.Second)
	later.close()
	after := first.counts()
	served, all := later.counts()[http.StatusOK], total(later.counts())
	servedFirst, allFirst := after[http.StatusOK]-before[http.StatusOK], total(after)-total(before)
	rec.say("15 s after the crashes: %d of %d requests on the new route served, %d of %d on the first", served, all, servedFirst, allFirst)
	return all >= 20 && 4*served*allFirst < servedFirst*all, nil
}

func total(counts map[int]int) int {
	n := 0
	for _, k := range counts {
		n += k
	}
	return n
}
