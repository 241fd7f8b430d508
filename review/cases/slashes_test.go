package cases

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["slashes"] = runSlashes }

const (
	slashRequests = 200
	slashNodes    = 2
)

// targets records the request target and Host that each request reached a server with.
type targets struct {
	mu  sync.Mutex
	got map[string]string
}

// runSlashes sends requests whose path begins with two slashes, on a route for all paths.
func runSlashes(e *env) int {
	st := newStore()
	seen := &targets{got: map[string]string{}}
	startTargetServer(st, seen)
	st.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "booking", "host": "desk.example", "pathPrefix": "/", "kind": "unsafe", "timeoutMs": 6000, "sloMs": 600, "priority": 2, "service": "casting-book", "maxAttempts": 2}},
		"services": []any{map[string]any{"name": "casting-book", "healthPath": "/health", "maxConns": 208, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range slashNodes {
		e.addNode(fmt.Sprintf("frontend-%02d", i+1), "kbh-vesterbro", st.addr())
	}
	for _, n := range e.nodes {
		e.start(n)
	}
	e.waitReady(1)
	changed, served := 0, 0
	for i := range slashRequests {
		id := fmt.Sprintf("s-%04d", i)
		target := fmt.Sprintf("/looks/%d", i)
		if e.trouble && i%2 == 1 {
			target = fmt.Sprintf("//looks/%d", i)
		}
		want := target + " Host: desk.example"
		status := sendRaw(e.nodes[i%len(e.nodes)], target, id)
		seen.mu.Lock()
		got := seen.got[id]
		seen.mu.Unlock()
		e.rec.eventf("client sends %s %s, gets %d; the server got %s", id, want, status, got)
		if status == http.StatusOK {
			served++
		}
		if got != "" && got != want {
			changed++
			if changed <= 5 {
				e.rec.logf("UNASKED: the client sent %q, the server ran %q", want, got)
			}
		}
	}
	e.rec.logf("%d requests, %d served, %d reached a server with another path", slashRequests, served, changed)
	switch {
	case served < slashRequests/2:
		return exitNotRun
	case changed > 0:
		return exitBroken
	}
	return exitHeld
}

// sendRaw sends one request with a target exactly as given.
func sendRaw(n *node, target, id string) int {
	c, err := net.DialTimeout("tcp", n.frontAddr(), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(7 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nhold", target, id)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	return r.StatusCode
}

// startTargetServer starts a server that records the request line and the Host header of
// each request, as they stand on the connection.
func startTargetServer(st *store, seen *targets) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveTargets(c, seen)
		}
	}()
	st.put("servers", "i-0001", map[string]any{
		"service": "casting-book", "address": l.Addr().String(), "zone": "kbh-vesterbro", "version": "v1", "maxConcurrency": 4,
		"state": "ready", "warmupLeftMs": 0, "callSeq": 1, "born": time.Now().UnixMilli(),
	})
}

func serveTargets(c net.Conn, seen *targets) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		if len(fields) != 3 {
			return
		}
		id, host := "", ""
		for {
			header, err := r.ReadString('\n')
			if err != nil {
				return
			}
			name, value, ok := strings.Cut(strings.TrimSpace(header), ":")
			if !ok {
				break
			}
			switch strings.ToLower(name) {
			case "request-id":
				id = strings.TrimSpace(value)
			case "host":
				host = strings.TrimSpace(value)
			}
		}
		if _, err := r.Discard(len("hold")); err != nil {
			return
		}
		seen.mu.Lock()
		seen.got[id] = fields[1] + " Host: " + host
		seen.mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: i-0001.%s\r\nContent-Length: 4\r\n\r\nheld", id, id)
	}
}
