package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// order is one order of a consumer, which sends it once more after a promise that it has not run.
type order struct {
	number string
	ids    []string
	status []int
}

// runBusyTarget has one of nine targets fail 0.4 of its requests with 503 after it has run them, without X-Not-Executed.
func runBusyTarget(rec *recorder, trouble bool) (bool, error) {
	var mu sync.Mutex
	applied := make(map[string]int)
	respond := func(t *target) func(http.ResponseWriter, *http.Request) bool {
		return func(w http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			applied[r.Header.Get("X-Order")]++
			mu.Unlock()
			if !trouble || t.number != 4 || rand.Float64() >= 0.4 {
				return false
			}
			id := r.Header.Get("X-Request-Id")
			answer := []byte("a part of the order is done, the rest has failed")
			w.Header().Set("X-Response-Seal", seal(t.id, id, answer))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write(answer)
			t.rec.printf("%s answers 503 to %s, which it has run", t.id, id)
			return true
		}
	}
	work := func(*http.Request) time.Duration { return 60 * time.Millisecond }
	d, log, stop, err := startSystemWith(rec, 6, 9, []route{{"/order/", "unsafe", "huvo11a", 2000}}, work, respond)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var orders []*order
	var wg sync.WaitGroup
	for i := range 1200 {
		o := &order{number: fmt.Sprintf("order-%d", i)}
		orders = append(orders, o)
		addr := d.entries[rand.IntN(3)].addr(callerPort)
		wg.Go(func() { o.send(rec, addr) })
		time.Sleep(15 * time.Millisecond)
	}
	wg.Wait()
	ran := make(map[string]bool)
	for _, a := range log.list() {
		ran[a.id] = true
	}
	refused, twice := 0, 0
	for _, o := range orders {
		for i, id := range o.ids {
			if isPromise(o.status[i]) && ran[id] {
				refused++
				rec.printf("%s was answered %d and has run", id, o.status[i])
			}
		}
		if applied[o.number] > 1 {
			twice++
			rec.printf("%s was applied %d times, by the attempts %v", o.number, applied[o.number], o.ids)
		}
	}
	rec.say("%d requests that aren't idempotent were answered 429, 503, 408 or 421 and have run; %d of %d orders were applied twice", refused, twice, len(orders))
	return refused > 0, nil
}

// isPromise reports whether the status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// send sends the order, and once more if the answer promises that it has not run.
func (o *order) send(rec *recorder, addr string) {
	for range 2 {
		id := newRequestID()
		status, err := postOrder(addr, id, o.number)
		o.ids, o.status = append(o.ids, id), append(o.status, status)
		rec.printf("consumer sent %s as %s to %s: status %d, error %v", o.number, id, addr, status, err)
		if !isPromise(status) {
			return
		}
	}
}

func postOrder(addr, id, number string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/order/"+number, bytes.NewReader([]byte(number)))
	if err != nil {
		return 0, err
	}
	req.Host = hostname
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2500")
	req.Header.Set("X-Order", number)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
