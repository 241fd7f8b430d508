package cases

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settingsFormat is the settings file as the platform writes it.
const settingsFormat = `nodeName = "%[1]s"
role = "entry"
machineClass = "frontend"
serves = ["frontend","directory"]
ip = "%[2]s"
zone = "%[3]s"
region = "kbh"
internalPorts = [%[4]d,%[5]d]
seeds = []
bootstrap = true
countsInTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[listen]
front = "%[2]s:%[6]d"
readiness = "%[2]s:%[7]d"
directory = "%[2]s:%[8]d"
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
[platform]
address = "%[9]s"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// node is one process of the system, as deploy/system.toml starts it.
type node struct {
	name, ip, zone                     string
	front, readiness, directory, peers int
	settings                           string
	cmd                                *exec.Cmd
	exited                             chan struct{}
	mu                                 sync.Mutex
}

func (n *node) frontAddr() string { return fmt.Sprintf("%s:%d", n.ip, n.front) }
func (n *node) peerAddr() string  { return fmt.Sprintf("%s:%d", n.ip, n.peers) }

// addNode prepares a node on an address of its own.
func (e *env) addNode(name, zone, storeAddr string) *node {
	n := &node{name: name, zone: zone, ip: fmt.Sprintf("127.0.%d.%d", os.Getpid()%200+30, len(e.nodes)+1)}
	ports := freePorts(n.ip)
	n.front, n.readiness, n.directory, n.peers = ports, ports+1, ports+2, ports+3
	n.settings = filepath.Join(e.dir, name+".toml")
	text := fmt.Sprintf(settingsFormat, name, n.ip, zone, n.peers, n.peers+5, n.front, n.readiness, n.directory, storeAddr)
	must(os.WriteFile(n.settings, []byte(text), 0o644))
	e.nodes = append(e.nodes, n)
	return n
}

// freePorts returns the first of ten ports in a row that are free on an address.
func freePorts(ip string) int {
	for first := 21000 + os.Getpid()%1000*10; first < 60000; first += 10 {
		free := true
		for port := first; port < first+10 && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first
		}
	}
	panic("no free ports")
}

// runCommand returns the command that deploy/system.toml starts a node with.
func (e *env) runCommand() []string {
	data, err := os.ReadFile(filepath.Join(e.root, "deploy", "system.toml"))
	must(err)
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	panic("deploy/system.toml has no run command")
}

// start starts a node's process.
func (e *env) start(n *node) {
	command := e.runCommand()
	cmd := exec.Command(filepath.Join(e.root, command[0]), command[1:]...)
	cmd.Dir = e.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.dir, "LAGOONTRAIL_BOOT=" + n.settings}
	log, err := os.Create(filepath.Join(e.dir, n.name+".log"))
	must(err)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	n.mu.Lock()
	n.cmd, n.exited = cmd, make(chan struct{})
	n.mu.Unlock()
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(n.exited)
}

// restart starts a node's process again, as at any start but the deployment's first.
func (e *env) restart(n *node) {
	data, err := os.ReadFile(n.settings)
	must(err)
	must(os.WriteFile(n.settings, []byte(strings.Replace(string(data), "bootstrap = true", "bootstrap = false", 1)), 0o644))
	e.start(n)
}

// signal sends a signal to a node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// stopNodes kills the processes that still run and keeps their logs if KEEP is set.
func (e *env) stopNodes() {
	for _, n := range e.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range e.nodes {
		if n.exited != nil {
			<-n.exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, n := range e.nodes {
			if data, err := os.ReadFile(filepath.Join(e.dir, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o644)
			}
		}
	}
}

// waitReady waits until all nodes answer that they are ready, and that each directory
// lists count nodes.
func (e *env) waitReady(count int) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range e.nodes {
			if len(n.resolve()) >= count {
				ready++
			}
		}
		if ready == len(e.nodes) {
			return
		}
	}
	panic("the nodes did not become ready")
}

var directoryClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// resolve asks a node's directory for addresses.
func (n *node) resolve() []string { return n.resolveFor(n.zone) }

// resolveFor asks a node's directory as a client in a zone does.
func (n *node) resolveFor(zone string) []string {
	r, err := directoryClient.Get(fmt.Sprintf("http://%s:%d/resolution?name=desk.example&region=kbh&zone=%s", n.ip, n.directory, zone))
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	var body map[string]any
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(&body) != nil {
		return nil
	}
	var out []string
	list, _ := body["addrs"].([]any)
	for _, a := range list {
		if s, ok := a.(string); ok {
			out = append(out, s)
		}
	}
	return out
}
