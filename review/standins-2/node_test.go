package standins_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// What a machine has.
const (
	maxFds   = 2870 // descriptors
	memoryMb = 206
)

// node is a process of the program under review.
type node struct {
	name, zone, region             string
	front, readiness, control, dir string
	port                           int // the first internal port
	folder, binary                 string
	mu                             sync.Mutex
	cmd                            *exec.Cmd
	door                           *door // the store as this node reaches it
	done                           chan struct{}
	zones                          map[string]string
	extra                          string // further bounds
	contracts                      string
}

// nextPort is the first port that may be given to the next node. The ports are below those that
// systems give to listeners and connections that ask for any.
var nextPort = 15000 + os.Getpid()%300*50

// freePorts returns the first of n consecutive free ports.
func freePorts(n int) int {
	for ; nextPort < 32000; nextPort += n {
		free := true
		for port := nextPort; port < nextPort+n && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			nextPort += n
			return nextPort - n
		}
	}
	fmt.Fprintln(os.Stderr, "no free ports")
	os.Exit(exitCannotRun)
	return 0
}

// reserve chooses the addresses of the node.
func (n *node) reserve() {
	n.port = freePorts(6)
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", n.port+i) }
	n.front, n.readiness, n.control, n.dir = addr(2), addr(3), addr(4), addr(5)
}

// peerAddr returns the address on which other nodes reach the node.
func (n *node) peerAddr() string { return fmt.Sprintf("127.0.0.1:%d", n.port) }

// start starts the process, as the platform does.
func (n *node) start(bootstrap bool) {
	var zones strings.Builder
	for zone, region := range n.zones {
		fmt.Fprintf(&zones, "%s = %q\n", zone, region)
	}
	settings := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "frontend"
serves = ["frontend","directory"]
ip = "127.0.0.1"
zone = %q
region = %q
internalPorts = [%d,%d]
seeds = []
bootstrap = %t
countsInTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = [%s]
[zones]
%s[listen]
front = %q
readiness = %q
control = %q
directory = %q
[limits]
cpuShare = 0.272
cores = 1
memoryMb = 206
maxFds = 2870
linkMbps = 700.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 113
warmupOverage = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
ttl_max_s = 5
%s
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, n.name, n.zone, n.region, n.port, n.port+1, bootstrap, n.contracts, zones.String(), n.front, n.readiness, n.control, n.dir, n.extra, n.door.addr)
	path := filepath.Join(n.folder, n.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		panic(err)
	}
	log, err := os.OpenFile(filepath.Join(n.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(n.binary, "platform")
	n.cmd.Env = []string{"LAGOONTRAIL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "cannot start a node:", err)
		os.Exit(exitCannotRun)
	}
	limit := syscall.Rlimit{Cur: maxFds, Max: maxFds}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(n.cmd.Process.Pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		fmt.Fprintln(os.Stderr, "cannot limit the descriptors of a node:", errno)
		os.Exit(exitCannotRun)
	}
	n.done = make(chan struct{})
	cmd, done := n.cmd, n.done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// kill ends the process without notice.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Kill()
		<-n.done
	}
}

// ready waits until the node counts as ready, for at most 10 s.
func (n *node) ready() bool {
	for range 200 {
		resp, err := http.Get("http://" + n.readiness + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// proxy forwards connections to a node. While it is cut, it discards all bytes and answers
// nothing.
type proxy struct {
	addr, target string
	cut          atomic.Bool
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{addr: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	for p.cut.Load() {
		time.Sleep(50 * time.Millisecond)
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	var wg sync.WaitGroup
	wg.Add(2)
	pump := func(to, from net.Conn) {
		defer wg.Done()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			cut := p.cut.Load()
			if err != nil {
				for p.cut.Load() { // nor does the end of the connection get through
					time.Sleep(50 * time.Millisecond)
				}
				break
			}
			if cut {
				continue // the bytes are lost
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pump(t, c)
	go pump(c, t)
	wg.Wait()
}

// send sends one request to a front and returns the status, or 0 without an answer.
func send(client *http.Client, method, front, host, path, id, key string, deadline time.Duration, body io.Reader) (int, http.Header) {
	req, err := http.NewRequest(method, "http://"+front+path, body)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}
