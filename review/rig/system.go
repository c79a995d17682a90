package main

import (
	"net/http"
	"time"
)

// startSystem starts a small deployment with one service and waits until it serves. Requests take what work returns.
func startSystem(rec *recorder, entries int, routes []route, work func(*http.Request) time.Duration) (*deployment, *runLog, func(), error) {
	return startSystemWith(rec, entries, 9, routes, work, nil)
}

// startSystemWith is startSystem with a number of targets, which write their answers by themselves unless respond is nil.
func startSystemWith(
	rec *recorder, entries, servers int, routes []route, work func(*http.Request) time.Duration,
	respond func(*target) func(http.ResponseWriter, *http.Request) bool,
) (*deployment, *runLog, func(), error) {
	d, err := newDeployment(rec, 5, entries)
	if err != nil {
		return nil, nil, nil, err
	}
	log := &runLog{}
	var targets []*target
	stop := func() {
		for _, t := range targets {
			t.close()
		}
		d.close()
	}
	if err := d.startAll(); err != nil {
		return d, log, stop, err
	}
	for i := range servers {
		t := newTarget(d, log, "huvo11a", zones[i%len(zones)], i, work)
		if respond != nil {
			t.respond = respond(t)
		}
		targets = append(targets, t)
		if err := t.start(); err != nil {
			return d, log, stop, err
		}
	}
	time.Sleep(2 * time.Second)
	if err := d.configure(configuration(1, []string{"huvo11a"}, routes)); err != nil {
		return d, log, stop, err
	}
	return d, log, stop, d.awaitReady()
}
