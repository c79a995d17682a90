package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of the disruption in the late case, as in the users' site file: extraShare of the targets send a late second
// copy of extraRate of their answers for extraFor. It comes again after extraPause.
const (
	extraShare  = 0.6
	extraRate   = 0.03
	extraFor    = 5 * time.Second
	extraPause  = 3 * time.Second
	lateTargets = 15
	lateSlots   = 4
	lateQueue   = 2
)

// Requests arrive every latePace on average, at three quarters of what the targets can run, for lateDuration. While the
// disruption lasts, lateBurst times as many arrive.
const (
	latePace     = 1955 * time.Microsecond
	lateBurst    = 1.7
	lateDuration = 90 * time.Second
)

// plainTarget is a target that does not tell its load. It runs a few requests at a time, queues a few more and rejects
// the others, health checks like any other request.
type plainTarget struct {
	*target
	faulty   bool
	slots    chan struct{}
	mu       sync.Mutex
	accepted int
	extras   int
}

// inWindow reports whether the disruption lasts at this moment.
func (b *bed) inWindow() bool { return time.Since(b.start)%(extraFor+extraPause) < extraFor }

// addPlainTarget starts a plain target that checks in like any other.
func (b *bed) addPlainTarget(service, zone string, faulty bool) (*plainTarget, error) {
	l, err := net.Listen("tcp", b.net+"200:0")
	if err != nil {
		return nil, err
	}
	t := &plainTarget{target: b.newTarget(service, zone, l.Addr().String()), faulty: faulty, slots: make(chan struct{}, lateSlots)}
	t.server = &http.Server{}
	t.wg.Go(t.checkIn)
	t.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	})
	go func() {
		<-t.ctx.Done()
		_ = l.Close()
	}()
	b.mu.Lock()
	b.targets = append(b.targets, t.target)
	b.mu.Unlock()
	b.note("target %s of %s in %s starts at %s, faulty: %v", t.id, service, zone, t.addr, faulty)
	return t, nil
}

// serve answers the requests of a connection one after the other.
func (t *plainTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	extra, of := "", ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		if extra != "" {
			t.bed.note("target %s sends a second copy of its answer to %s where the answer to %s %s is due", t.id, of, req.URL.Path, id)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		answer := t.answer(req, id, string(body))
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if t.faulty && t.bed.inWindow() && rand.Float64() < extraRate {
			extra, of = answer, req.URL.Path+" "+id+" ("+strings.SplitN(answer, "\r\n", 2)[0]+")"
			t.mu.Lock()
			t.extras++
			t.mu.Unlock()
		}
	}
}

// answer runs a request, or rejects it when no room is left.
func (t *plainTarget) answer(req *http.Request, id, body string) string {
	head := ""
	if id != "" {
		head = "X-Request-Id: " + id + "\r\n"
	} else {
		head = "X-Instance-Id: " + t.id + "\r\n"
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != t.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Not-Executed: instance\r\nContent-Length: 0\r\n\r\n"
	}
	t.mu.Lock()
	full := t.accepted >= lateSlots+lateQueue
	if !full {
		t.accepted++
	}
	t.mu.Unlock()
	if full {
		t.bed.note("target %s rejects %s %s", t.id, req.URL.Path, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
	}
	defer func() {
		t.mu.Lock()
		t.accepted--
		t.mu.Unlock()
	}()
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	if id == "" {
		time.Sleep(6 * time.Millisecond)
		return "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	t.target.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{time.Now(), id, req.RequestURI, req.Method, body})
	t.target.mu.Unlock()
	t.bed.note("target %s runs request %s %s", t.id, id, req.RequestURI)
	time.Sleep(time.Duration(60+rand.IntN(60)) * time.Millisecond)
	text := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", head, t.id, len(text), text)
}

// late sends requests that may run only once to targets that at times send a second copy of an answer. The rule is
// broken if one of them runs twice, or has run and is answered as not run.
func late(b *bed, trouble bool) (bool, error) {
	b.addHosts(3, 6)
	if err := b.startHosts(b.hosts); err != nil {
		return false, err
	}
	if _, err := b.order(b.of("core"), http.MethodPost, "/config/replace", config(3)); err != nil {
		return false, err
	}
	for i := range lateTargets {
		t, err := b.addPlainTarget("board", "zone-"+string(rune('a'+i%3)), trouble && float64(i+1) <= extraShare*lateTargets)
		if err != nil {
			return false, err
		}
		defer t.stop()
	}
	for _, h := range b.of("edge") {
		if err := b.awaitServed(h); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]response)
	c := b.newConsumer()
	defer c.close()
	entries := b.of("edge")
	end := time.Now().Add(lateDuration)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			r := c.send(entries[i%len(entries)], http.MethodPost, "/set/x", "order")
			mu.Lock()
			defer mu.Unlock()
			results[r.id] = r
		})
		pace := float64(latePace)
		if b.inWindow() {
			pace /= lateBurst
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * pace))
	}
	wg.Wait()
	runs := make(map[string]int)
	for _, t := range b.targets {
		for _, a := range t.arrivals {
			runs[a.id]++
		}
	}
	counts := make(map[int]int)
	twice, refused := 0, 0
	for id, r := range results {
		counts[r.status]++
		if runs[id] > 1 {
			twice++
			b.note("TWICE: request %s ran %d times, status %d", id, runs[id], r.status)
		}
		if (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && runs[id] > 0 {
			refused++
			b.note("REFUSED: request %s ran %d times and was answered %d", id, runs[id], r.status)
		}
	}
	b.note("requests by status: %v; ran more than once: %d; ran and were answered as not run: %d", counts, twice, refused)
	fmt.Println(counts, "twice", twice, "refused", refused)
	return twice+refused > 0, nil
}
