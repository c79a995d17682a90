package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// traffic sends requests to the entries in turn until the returned function is called. It counts what was served.
func (b *bed) traffic(interval time.Duration, method, path string) (stop func() (sent, served int)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	done := make(chan struct{})
	c := b.newConsumer()
	entries := b.of("edge")
	wg.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-t.C:
			}
			wg.Go(func() {
				r := c.send(entries[i%len(entries)], method, path, "")
				mu.Lock()
				defer mu.Unlock()
				sent++
				if r.status == http.StatusOK {
					served++
				}
			})
		}
	})
	return func() (int, int) {
		close(done)
		wg.Wait()
		c.close()
		return sent, served
	}
}

const trafficInterval = 40 * time.Millisecond

// evacuate evacuates a zone, takes it back while a control machine is frozen, and evacuates the zone again at that
// machine as it wakes. The rule is broken if requests then still reach targets of the zone.
func evacuate(b *bed, trouble bool) (bool, error) {
	if err := b.startAll(5, 3, 2); err != nil {
		return false, err
	}
	controls := b.of("core")
	frozen := controls[4]
	stop := b.traffic(trafficInterval, http.MethodGet, "/read/x")
	defer stop()
	if _, err := b.order(controls[:2], http.MethodPost, "/evacuate/zone-a/start", ""); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		b.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(3500 * time.Millisecond)
	if _, err := b.order(controls[:2], http.MethodPost, "/evacuate/zone-a/finish", ""); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		wake := time.AfterFunc(300*time.Millisecond, func() { b.signal(frozen, syscall.SIGCONT) })
		defer wake.Stop()
	}
	acked, err := b.order([]*host{frozen, controls[0]}, http.MethodPost, "/evacuate/zone-a/start", "")
	if err != nil {
		return false, err
	}
	bound := acked.Add(evacuationBound + outerBound)
	time.Sleep(time.Until(bound.Add(10 * time.Second)))
	late := 0
	for _, t := range b.targets {
		if t.zone == "zone-a" {
			late += len(t.arrivalsSince(bound))
		}
	}
	b.note("requests that reached targets of zone-a from %v to %v after the ack: %d", evacuationBound+outerBound,
		evacuationBound+outerBound+10*time.Second, late)
	return late > 0, nil
}

// writer checks in as another system would, every interval, until the returned function is called. It tries one machine
// again until that has answered.
func (b *bed) writer(h *host, path string, body func(sequence int) string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for sequence := 1; ; sequence++ {
			status, wait := 0, heartbeatInterval
			if status, _ = b.call(h, http.MethodPost, path, body(sequence), callTimeout); status == 0 || status >= 500 {
				wait = 100 * time.Millisecond
			}
			b.note("another writer: POST %s to %s: %d", path, h.name, status)
			select {
			case <-done:
				return
			case <-time.After(wait):
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// recover measures what is served before and after all processes are killed at the same moment. strike is called after
// the kill and returns what ends the disruption. The rule is broken if less than a quarter is served after the recovery,
// though a quarter or more was before.
func (b *bed) recover(strike func() (stop func())) (bool, error) {
	stop := b.traffic(trafficInterval, http.MethodGet, "/read/x")
	time.Sleep(5 * time.Second)
	sentBefore, servedBefore := stop()
	b.note("before the final fault: %d of %d requests served", servedBefore, sentBefore)
	b.first = false
	for _, h := range b.hosts {
		b.signal(h, syscall.SIGKILL)
	}
	for _, h := range b.hosts {
		<-h.done
	}
	end := strike()
	defer end()
	time.Sleep(500 * time.Millisecond)
	if err := b.startHosts(b.hosts); err != nil {
		return false, err
	}
	time.Sleep(recovery)
	stop = b.traffic(trafficInterval, http.MethodGet, "/read/x")
	time.Sleep(15 * time.Second)
	sent, served := stop()
	b.note("later than %v after the machines were back: %d of %d requests served", recovery, served, sent)
	fmt.Printf("served before: %d of %d, after the recovery: %d of %d\n", servedBefore, sentBefore, served, sent)
	return servedBefore*4 >= sentBefore && served*4 < sent, nil
}

// unreadable kills all processes while another writer checks in with an id that is no text.
func unreadable(b *bed, trouble bool) (bool, error) {
	if err := b.startAll(5, 3, 2); err != nil {
		return false, err
	}
	return b.recover(func() func() {
		var stops []func()
		for i, h := range b.of("core") {
			if trouble {
				stops = append(stops, b.writer(h, "/instances/%FF%FE/heartbeat", func(sequence int) string {
					return fmt.Sprintf(`{"service":"board","address":"%s201:%d","zone":"zone-a","version":"v1","slots":4,"state":"ready",`+
						`"cold_remaining_ms":0,"sequence":%d,"born":%d}`, b.net, 9+i, sequence, b.start.UnixMilli())
				}))
			}
		}
		return func() {
			for _, stop := range stops {
				stop()
			}
		}
	})
}

// otherService kills all processes. Afterwards another writer checks in with a service that the configuration does not
// name, once for each address at which a target listens.
func otherService(b *bed, trouble bool) (bool, error) {
	if err := b.startAll(5, 3, 2); err != nil {
		return false, err
	}
	return b.recover(func() func() {
		var stops []func()
		for i, t := range b.targets {
			if trouble {
				born := time.Now().UnixMilli()
				stops = append(stops, b.writer(b.of("core")[i%5], "/instances/agent-"+t.id+"/heartbeat", func(sequence int) string {
					return fmt.Sprintf(`{"service":"telemetry","address":%q,"zone":%q,"version":"v1","slots":4,"state":"ready",`+
						`"cold_remaining_ms":0,"sequence":%d,"born":%d}`, t.addr, t.zone, sequence, born)
				}))
			}
		}
		return func() {
			for _, stop := range stops {
				stop()
			}
		}
	})
}
