package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// restartDelay is the time from a crash of a target to its next start at the same address.
	restartDelay = 2 * time.Second
	// maxLateRetries is how many retries of a request may reach targets later than touch after its third crash.
	maxLateRetries = 3
)

// crash ends a target as a killed process would, and starts it again under another id after restartDelay.
func (t *target) crash() {
	t.bed.note("target %s crashes", t.id)
	t.cancel()
	_ = t.server.Close()
	time.AfterFunc(restartDelay, func() {
		l, err := net.Listen("tcp", t.addr)
		if err != nil {
			t.bed.note("target at %s does not come back: %v", t.addr, err)
			return
		}
		t.bed.startTarget(l, t.service, t.zone, t.respond)
	})
}

// crashing sends the same request again and again, which crashes every target that begins to run it. The rule is broken
// if more than maxLateRetries of its retries reach targets later than touch after it has crashed the third.
func crashing(b *bed, trouble bool) (bool, error) {
	if err := b.startAll(3, 3, 3); err != nil {
		return false, err
	}
	for _, t := range b.targets {
		t.respond = func(t *target, _ http.ResponseWriter, r *http.Request) bool {
			if !trouble || !strings.HasSuffix(r.URL.Path, "deadly") {
				return false
			}
			go t.crash()
			<-t.ctx.Done()
			panic(http.ErrAbortHandler)
		}
	}
	for _, t := range b.targets {
		t.longWork = 200 * time.Millisecond
	}
	stop := b.traffic(trafficInterval, http.MethodPost, "/set/long")
	time.Sleep(2 * time.Second)
	c := b.newConsumer()
	defer c.close()
	for i := range 20 {
		c.send(b.of("edge")[i%3], http.MethodPost, "/set/deadly", "the same body")
		time.Sleep(time.Second)
	}
	sent, served := stop()
	b.mu.Lock()
	targets := b.targets
	b.mu.Unlock()
	var crashes []time.Time
	for _, t := range targets {
		for _, a := range t.arrivalsSince(b.start) {
			if strings.HasSuffix(a.path, "deadly") {
				crashes = append(crashes, a.at)
			}
		}
	}
	if !trouble || len(crashes) < 3 {
		b.note("requests of others: %d of %d served", served, sent)
		return false, nil
	}
	third := nth(crashes, 3)
	late := 0
	for _, at := range crashes {
		if at.After(third.Add(touch)) {
			late++
		}
	}
	b.note("the request crashed %d targets, %d of them later than %v after the third; requests of others: %d of %d served",
		len(crashes), late, touch, served, sent)
	fmt.Printf("crashes %d, late %d; others: %d of %d served\n", len(crashes), late, served, sent)
	return late > maxLateRetries, nil
}

// nth returns the n-th earliest time, counted from 1.
func nth(list []time.Time, n int) time.Time {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, time.Time.Compare)
	return sorted[n-1]
}
