package cases

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy stands for the network path to one machine. Connections through it can go
// silent: they stay open and carry nothing any more, while new connections work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*proxyConn
}

type proxyConn struct {
	silent atomic.Bool
	sent   atomic.Int64 // bytes carried from the machine that opened it
}

func startProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	pc := &proxyConn{}
	p.mu.Lock()
	p.conns = append(p.conns, pc)
	p.mu.Unlock()
	go pc.carry(c, t, nil)
	pc.carry(t, c, &pc.sent)
}

// carry copies bytes until one side ends. When the connection is silent, what arrives is
// lost, and neither side learns of it.
func (pc *proxyConn) carry(to, from net.Conn, count *atomic.Int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !pc.silent.Load() {
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					err = werr
				}
				if count != nil {
					count.Add(int64(n))
				}
			}
			if err != nil {
				_ = to.Close()
			}
		}
		if err != nil {
			_ = from.Close()
			return
		}
	}
}

// silence makes a share of the open connections that carried data go silent for good,
// and returns how many of how many they are.
func (p *proxy) silence(share float64) (silent, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var used []*proxyConn
	for _, c := range p.conns {
		if c.sent.Load() > 1000 {
			used = append(used, c)
		}
	}
	n := int(share * float64(len(used)))
	for _, c := range used[:n] {
		c.silent.Store(true)
	}
	return n, len(used)
}
