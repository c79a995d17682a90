package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// plainPaths hold only characters that RFC 3986 allows in a path, rawPaths also others, which clients send as they are: browsers
// and other clients that follow the WHATWG URL standard don't encode the vertical bar, and curl encodes nothing.
var (
	plainPaths = []string{"2f", "a%20b", "a%7Cb", "a%c3%bc", "a//b", "a/./b", "~x;v=1", "a+b", "a:b@c", "(a)", "x?q=a|b", "x?", "%2f..%2f"}
	rawPaths   = []string{"a|b", "pond|7/flag", "a\xc3\xbcb", "a^b", "x/{7}", "a\"b"}
)

// runPaths sends safe requests and compares the request target that a server gets with the one that the consumer sent.
func runPaths(rec *recorder, trouble bool) (bool, error) {
	got := make(chan [2]string, 100)
	respond := func(t *target) func(http.ResponseWriter, *http.Request) bool {
		return func(_ http.ResponseWriter, r *http.Request) bool {
			got <- [2]string{r.Header.Get("X-Request-Id"), r.RequestURI}
			return false
		}
	}
	d, _, stop, err := startSystemWith(rec, 3, []route{{"/lohu930/", "safe", "huvo11a", 2000}}, func(*http.Request) time.Duration { return 20 * time.Millisecond }, respond)
	if stop != nil {
		defer stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	paths := plainPaths
	if trouble {
		paths = append(append([]string{}, plainPaths...), rawPaths...)
	}
	sent, changed, run := make(map[string]string), 0, 0
	for i, p := range paths {
		id, path := newRequestID(), "/lohu930/"+p
		sent[id] = path
		status, err := sendRaw(d.entries[i%len(d.entries)].addr(callerPort), id, path)
		rec.printf("consumer sent %s for %q: status %q, error %v", id, path, status, err)
	}
	for len(got) > 0 {
		g := <-got
		run++
		if sent[g[0]] != g[1] {
			changed++
			rec.say("%s was sent with the path %q and run with the path %q", g[0], sent[g[0]], g[1])
		}
	}
	rec.say("%d requests sent, %d run, %d with another path", len(paths), run, changed)
	return changed > 0, nil
}

// sendRaw sends one request with the path as it is and returns the status line of the answer.
func sendRaw(addr, id, path string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n", path, hostname, id)
	if _, err := io.WriteString(conn, head); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}
