package main

import (
	"net/http"
	"syscall"
	"time"
)

// runEvacuation evacuates a zone, takes it back and evacuates it again. The operator sends the order to take it back first to a
// control host that is frozen for 2.4 s, and then to another one, which acknowledges it.
func runEvacuation(rec *recorder, trouble bool) (bool, error) {
	const zone = "plateau-b"
	work := func(*http.Request) time.Duration { return 60 * time.Millisecond }
	d, log, stop, err := startSystem(rec, 6, []route{{"/lohu930/", "safe", "huvo11a", 2000}}, work)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	consumers := newTraffic(d, http.MethodGet, "/lohu930/2f", nil, 2*time.Second, 20*time.Millisecond)
	consumers.start()
	defer consumers.close()
	time.Sleep(5 * time.Second)

	frozen, other := d.controls[4], d.controls[3]
	if _, err := d.order("/evacuate/"+zone+"/start", nil, other); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		d.signal(frozen, syscall.SIGSTOP)
		time.AfterFunc(2400*time.Millisecond, func() { d.signal(frozen, syscall.SIGCONT) })
	}
	if _, err := d.order("/evacuate/"+zone+"/finish", nil, frozen); err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	acked, err := d.order("/evacuate/"+zone+"/start", nil, other)
	if err != nil {
		return false, err
	}
	time.Sleep(evacuationTime + touchTime + 8*time.Second)

	late := 0
	for _, a := range log.list() {
		if a.target.zone == zone && a.at.After(acked.Add(evacuationTime)) {
			late++
		}
	}
	rec.say("consumers' answers by status: %v", consumers.counts())
	rec.say("%d requests reached %s later than %v after its second evacuation was acknowledged", late, zone, evacuationTime)
	return late > 0, nil
}
