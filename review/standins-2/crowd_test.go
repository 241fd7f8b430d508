package standins_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The services of the site: shards of three servers each, and what a part is like.
const (
	shardCount    = 10
	serverSlots   = 3
	serverQueue   = 18
	workTime      = 15 * time.Millisecond
	partBytes     = 1008
	sweepDeadline = 1200 * time.Millisecond
)

// The crowd at each of two nodes. A connection sends legal requests one after the other, without
// reading the answers, at a pace that leaves a fifth of the machine's link free.
const (
	crowdConns   = 1250
	crowdStep    = 20 * time.Millisecond
	crowdBytes   = 1024 // of each connection in each step
	crowdTime    = 60 * time.Second
	endsOfFault  = 3 // of processes on a machine that make the day count 0, on two machines at least
	watchStep    = 100 * time.Millisecond
	memoryLimit  = memoryMb << 10 // in KB
	callersPerS  = 40
	restartDelay = time.Second
)

// crowd opens many connections to two of three nodes and sends requests ahead on each.
func crowd(b *bench) int {
	var gather []string
	var services []any
	for i := range shardCount {
		service := fmt.Sprintf("shard-%d", i)
		gather = append(gather, service)
		services = append(services, map[string]any{"name": service, "healthPath": "/health", "maxConns": 66, "warmupS": 3.0, "warmupPerS": 0.0})
		for j := range 3 {
			s := &server{id: fmt.Sprintf("i-%d-%d", i, j), service: service, zone: "north-a", slots: serverSlots, queue: serverQueue}
			free := make(chan struct{}, serverSlots)
			s.answer = func(w http.ResponseWriter, r *http.Request, _ int) bool {
				free <- struct{}{}
				time.Sleep(workTime)
				<-free
				running := int(s.running.Load())
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", s.id, s.stamps.Add(1)))
				w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, s.slots), max(running-s.slots, 0), s.slots))
				_, _ = w.Write(bytes.Repeat([]byte("0123456789abcdef"), partBytes/16))
				return true
			}
			s.start(b.store)
		}
	}
	configuration := config(7, map[string]any{"name": "none"}, nil)
	configuration["routes"] = []any{map[string]any{"name": "r-1", "host": "look.example", "pathPrefix": "/find/", "kind": "safe", "timeoutMs": sweepDeadline.Milliseconds(), "sloMs": 120, "priority": 1, "gather": gather, "topK": 50, "minCoverage": 0.89, "maxAttempts": 2}}
	configuration["services"] = services
	b.store.put("config", "main", configuration)
	for i := range 3 {
		n := &node{name: fmt.Sprintf("north-%d", i+1), zone: "north-a", region: "north", zones: map[string]string{"north-a": "north"}, folder: b.folder, binary: b.binary, contracts: plainContracts}
		n.reserve()
		n.door = b.store.serve(nil)
		b.nodes = append(b.nodes, n)
	}
	for _, n := range b.nodes {
		n.start(true)
	}
	for _, n := range b.nodes {
		if !n.ready() {
			b.record.say("%s is not ready", n.name)
			return exitCannotRun
		}
	}
	c := newCallers()
	for _, n := range b.nodes {
		c.call(n, "find", "", callersPerS)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if b.trouble {
		b.record.say("crowds of %d connections come to %s and %s", crowdConns, b.nodes[0].name, b.nodes[1].name)
		for _, n := range b.nodes[:2] {
			for i := range crowdConns {
				wg.Add(1)
				go func() {
					defer wg.Done()
					sendAhead(n.front, fmt.Sprintf("%s-crowd-%d", n.name, i), stop)
				}()
			}
		}
	}
	ends, most := map[string]int{}, map[string]int{}
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(watchStep) {
		for _, n := range b.nodes {
			resident, unread := n.memory()
			if resident+unread > most[n.name] {
				most[n.name] = resident + unread
				b.record.add("%s: %d KB resident and %d KB received and not read", n.name, resident, unread)
			}
			if resident+unread > memoryLimit {
				ends[n.name]++
				b.record.say("%s has %d KB resident and %d KB received and not read, %d KB are allowed: the platform ends it", n.name, resident, unread, memoryLimit)
				n.kill()
				time.Sleep(restartDelay)
				n.start(false)
			}
		}
	}
	close(stop)
	wg.Wait()
	c.end()
	answers := map[int]int{}
	for id, s := range c.sent {
		answers[s.status]++
		b.record.add("%s sent at %.3f, answered %d", id, b.seconds(s.at), s.status)
	}
	b.record.say("ordinary callers got these answers, 0 for none: %v", answers)
	machines := 0
	for _, n := range b.nodes {
		b.record.say("%s: at most %d KB, %d KB are allowed; it ended %d times", n.name, most[n.name], memoryLimit, ends[n.name])
		if ends[n.name] >= endsOfFault {
			machines++
		}
	}
	if machines >= 2 {
		return exitBroken
	}
	return exitHeld
}

// sendAhead sends requests on one connection, and on another one once that is closed.
func sendAhead(front, id string, stop chan struct{}) {
	ticker := time.NewTicker(crowdStep)
	defer ticker.Stop()
	for round := 0; ; round++ {
		c, err := net.DialTimeout("tcp", front, time.Second)
		var ahead []byte
		for err == nil {
			select {
			case <-stop:
				_ = c.Close()
				return
			case <-ticker.C:
			}
			for ; len(ahead) < crowdBytes; round++ {
				ahead = fmt.Appendf(ahead, "GET /find/a HTTP/1.1\r\nHost: look.example\r\nRequest-Id: %s-%d\r\nDeadline-Ms: %d\r\n\r\n", id, round, sweepDeadline.Milliseconds())
			}
			_ = c.SetWriteDeadline(time.Now().Add(crowdTime))
			var n int
			n, err = c.Write(ahead[:crowdBytes])
			ahead = ahead[n:]
		}
		if c != nil {
			_ = c.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// memory returns the resident memory of the process, and the bytes that its sockets for callers
// have received and that it has not read, in KB.
func (n *node) memory() (resident, unread int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			resident, _ = strconv.Atoi(f[1])
		}
	}
	sockets, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", n.cmd.Process.Pid))
	if err != nil {
		return resident, 0
	}
	for _, line := range strings.Split(string(sockets), "\n") {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] != "01" || !strings.HasSuffix(f[1], fmt.Sprintf(":%04X", n.port+2)) {
			continue // no open connection of a caller
		}
		if _, queue, ok := strings.Cut(f[4], ":"); ok {
			bytes, _ := strconv.ParseInt(queue, 16, 64)
			unread += int(bytes >> 10)
		}
	}
	return resident, unread
}
