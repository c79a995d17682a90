package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pipelined is a connection on which a consumer sends further requests before the first one is answered.
type pipelined struct {
	conn net.Conn
	ids  []string
	path string
}

// sendPipelined sends n safe requests on a new connection.
func sendPipelined(addr, path string, n int, deadline time.Duration) (*pipelined, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	p := &pipelined{conn: conn, path: path}
	return p, p.send(n, deadline)
}

// send sends n safe requests on the connection.
func (p *pipelined) send(n int, deadline time.Duration) error {
	p.ids = nil
	var b strings.Builder
	for range n {
		id := newRequestID()
		p.ids = append(p.ids, id)
		fmt.Fprintf(&b, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", p.path, id, hostname, id, deadline.Milliseconds())
	}
	_ = p.conn.SetDeadline(time.Now().Add(deadline))
	_, err := io.WriteString(p.conn, b.String())
	return err
}

// useKeptConnection sends one request, and once it is answered four more at a time on the same connection. It returns the last
// requests and how many of them were answered.
func useKeptConnection(addr string) (*pipelined, int, error) {
	p, err := sendPipelined(addr, "/lohu930/", 1, 4*time.Second)
	if err != nil {
		return &pipelined{}, 0, err
	}
	defer func() { _ = p.conn.Close() }()
	if n, err := p.receive(); err != nil {
		return p, n, err
	}
	if err := p.send(4, 4*time.Second); err != nil {
		return p, 0, err
	}
	n, err := p.receive()
	return p, n, err
}

// receive reads the answers in order. It returns the number of complete ones and why the next one is missing.
func (p *pipelined) receive() (int, error) {
	r := bufio.NewReader(p.conn)
	for i := range p.ids {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return i, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return i, err
		}
		if id := resp.Header.Get("X-Request-Id"); id != p.ids[i] {
			return i, errors.New("answer belongs to another request: " + id)
		}
	}
	return len(p.ids), nil
}

// runLeavers lets each fifth consumer that has sent 12 requests on a connection leave after 150 ms, while the targets are slow.
func runLeavers(rec *recorder, trouble bool) (bool, error) {
	const requests, work = 12, 900 * time.Millisecond
	d, log, stop, err := startSystem(rec, 6, []route{{"/lohu930/", "safe", "huvo11a", 4000}}, func(*http.Request) time.Duration { return work })
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	left := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 60 {
		addr := d.entries[rand.IntN(3)].addr(callerPort)
		wg.Go(func() {
			p, err := sendPipelined(addr, "/lohu930/", requests, 6*time.Second)
			if err != nil {
				rec.printf("consumer could not send: %v", err)
				return
			}
			defer func() { _ = p.conn.Close() }()
			rec.printf("consumer sent %v to %s", p.ids, addr)
			if !trouble || i%5 != 0 {
				n, err := p.receive()
				rec.printf("consumer of %s got %d of %d answers: %v", p.ids[0], n, requests, err)
				return
			}
			time.Sleep(150 * time.Millisecond)
			_ = p.conn.Close()
			rec.printf("consumer of %s leaves", p.ids[0])
			mu.Lock()
			defer mu.Unlock()
			for _, id := range p.ids {
				left[id] = time.Now()
			}
		})
		time.Sleep(350 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(6 * time.Second)
	reachedLate, lasting, atWork := 0, 0, 0
	for _, a := range log.list() {
		at, ok := left[a.id]
		switch {
		case !ok:
		case a.at.After(at.Add(500 * time.Millisecond)):
			reachedLate++
		case a.at.Add(work).After(at.Add(500 * time.Millisecond)):
			lasting++
			if a.ended.IsZero() || a.ended.After(at.Add(500*time.Millisecond)) {
				atWork++
			}
		}
	}
	rec.say("%d requests reached a target more than 0.5 s after their consumer had left", reachedLate)
	rec.say("of %d requests that would have lasted so long, targets were at work on %d 0.5 s after their consumer had left", lasting, atWork)
	return reachedLate > 5 || 4*atWork > lasting, nil
}

// garbler makes half of the targets break off 2 of 100 answers. All targets send their answers in chunks, with a pause of 60 ms in
// the middle.
type garbler struct {
	mu     sync.Mutex
	broken map[string]bool
	// enabled is set while answers are broken off.
	enabled bool
}

func (g *garbler) respond(t *target) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Response-Seal", seal(t.id, id, nil))
		_, _ = io.WriteString(w, "first half, ")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(60 * time.Millisecond)
		g.mu.Lock()
		breaks := g.enabled && t.number%2 == 0 && rand.Float64() < 0.02
		if breaks {
			g.broken[id] = true
		}
		g.mu.Unlock()
		if breaks {
			t.rec.printf("%s breaks off the answer to %s", t.id, id)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "second half")
		return true
	}
}

// runBrokenPipeline lets consumers send four safe requests at a time on kept connections while some targets break off answers.
func runBrokenPipeline(rec *recorder, trouble bool) (bool, error) {
	g := &garbler{broken: make(map[string]bool), enabled: trouble}
	d, log, stop, err := startSystemWith(rec, 6, 9, []route{{"/lohu930/", "safe", "huvo11a", 2000}}, func(*http.Request) time.Duration { return 60 * time.Millisecond }, g.respond)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	unanswered := make(map[string]bool)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 600 {
		addr := d.entries[rand.IntN(3)].addr(callerPort)
		wg.Go(func() {
			p, n, err := useKeptConnection(addr)
			if err == nil {
				return
			}
			rec.printf("consumer of %v on %s got %d of %d answers: %v", p.ids, addr, n, len(p.ids), err)
			mu.Lock()
			defer mu.Unlock()
			for _, id := range p.ids[n:] {
				unanswered[id] = true
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	lost := make(map[string]bool)
	for _, a := range log.list() {
		if unanswered[a.id] && !g.broken[a.id] {
			rec.printf("%s was passed on to %s, which is sound for it, and its connection was closed without an answer", a.id, a.target.id)
			lost[a.id] = true
		}
	}
	rec.say("%d answers were broken off; %d requests had been passed on to sound targets and got no answer", len(g.broken), len(lost))
	return len(lost) > 3, nil
}
