package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// excusedUntil is how long after a SIGTERM a request may be sent of which the rule excuses that it is broken off.
	excusedUntil = gracePeriod * time.Second / 2
	// sendDelay is the time from the opening of a connection to its first request.
	sendDelay = 150 * time.Millisecond
	// longWork is how long the orders of this case take, orderTimeout the time limit of the consumer.
	longWork     = 2500 * time.Millisecond
	orderTimeout = 4000 * time.Millisecond
)

// order is one request of the stop case.
type order struct {
	id     string
	sentAt time.Time
	status int
	err    error
	endAt  time.Time
}

// sendOrder opens a connection, sends one order on it after sendDelay and reads the answer.
func (b *bed) sendOrder(h *host) order {
	o := order{id: newID()}
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, b.port+7), time.Second)
	if err != nil {
		o.err = err
		b.note("consumer: no connection to %s", h.name)
		return o
	}
	defer func() { _ = c.Close() }()
	time.Sleep(sendDelay)
	_ = c.SetDeadline(time.Now().Add(orderTimeout))
	o.sentAt = time.Now()
	text := fmt.Sprintf("POST /set/long HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\norder",
		o.id, orderTimeout.Milliseconds())
	if _, o.err = io.WriteString(c, text); o.err == nil {
		var resp *http.Response
		if resp, o.err = http.ReadResponse(bufio.NewReader(c), nil); o.err == nil {
			_, o.err = io.ReadAll(resp.Body)
			o.status = resp.StatusCode
		}
	}
	o.endAt = time.Now()
	b.note("consumer: order %s to %s, sent at %.3f, ended: %d %v", o.id, h.name, o.sentAt.Sub(b.start).Seconds(), o.status, o.err)
	return o
}

// stopping stops an entry as the platform does, while consumers that still know its address send orders. The rule is
// broken if an order that was sent later than excusedUntil after the SIGTERM and runs on a target gets no answer.
func stopping(b *bed, trouble bool) (bool, error) {
	b.config = strings.Replace(config(3), `"unsafe",1500`, fmt.Sprintf(`"unsafe",%d`, orderTimeout.Milliseconds()), 1)
	if err := b.startAll(3, 2, 2); err != nil {
		return false, err
	}
	for _, t := range b.targets {
		t.longWork = longWork
	}
	entry := b.of("edge")[0]
	time.Sleep(2 * time.Second)
	term := time.Now()
	if trouble {
		b.signal(entry, syscall.SIGTERM)
		kill := time.AfterFunc(gracePeriod*time.Second, func() { b.signal(entry, syscall.SIGKILL) })
		defer kill.Stop()
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var orders []order
	for at := 2800 * time.Millisecond; at < 3200*time.Millisecond; at += 30 * time.Millisecond {
		time.Sleep(time.Until(term.Add(at)))
		wg.Go(func() {
			o := b.sendOrder(entry)
			mu.Lock()
			defer mu.Unlock()
			orders = append(orders, o)
		})
	}
	wg.Wait()
	ran := make(map[string]bool)
	for _, t := range b.targets {
		for _, a := range t.arrivalsSince(term) {
			ran[a.id] = true
		}
	}
	lost := 0
	for _, o := range orders {
		sent := o.sentAt.Sub(term)
		if o.sentAt.IsZero() || !ran[o.id] || o.status != 0 {
			continue
		}
		held := o.endAt.Sub(o.sentAt)
		b.note("order %s, sent %.3f s after the SIGTERM, ran on a target and got no answer; the connection ended after %.3f s",
			o.id, sent.Seconds(), held.Seconds())
		if sent > excusedUntil && held < orderTimeout-100*time.Millisecond {
			lost++
		}
	}
	b.note("orders that were sent later than %v after the SIGTERM, ran and got no answer: %d", excusedUntil, lost)
	return lost > 0, nil
}
