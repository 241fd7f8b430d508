// Package plink carries messages between nodes over WebSocket with CBOR.
//
// # Usage
//
//	link, stop := plink.New(log)
//	defer stop()
//	sent := link.Send("10.0.0.7:7100", &beat)
//	mux.Handle(plink.Path, link.Accept(receive))
//
// A node sends over connections that it opened and receives over those that
// others opened. Each connection has a bounded queue and one writer; a message
// that finds no connection or a full queue is surely not sent.
package plink

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
)

// Path is where nodes accept connections of other nodes.
const Path = "/peer"

// Bounds of connections.
const (
	queueSize    = 2048            // messages
	maxMessage   = 16 << 20        // bytes
	dialTimeout  = time.Second     // to open a connection
	writeTimeout = 2 * time.Second // to write one message
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	idleClose    = 60 * time.Second // without messages before a connection is closed
)

// Link is a lagoon.PeerLink. Make it with New.
type Link struct {
	log    *logrus.Logger
	codec  wire.Codec
	ctx    context.Context
	mu     sync.Mutex
	peers  map[string]*peer
	wg     sync.WaitGroup
	sent   atomic.Uint64
	bytes  atomic.Uint64
	faulty atomic.Uint64
}

// peer is the connection to one address.
type peer struct {
	queue chan lagoon.Message
	open  atomic.Bool
}

// New returns a link. The clean-up function closes all connections and waits
// for their goroutines.
func New(log *logrus.Logger) (*Link, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{log: log, ctx: ctx, peers: map[string]*peer{}}
	return l, func() {
		cancel()
		l.wg.Wait()
	}
}

// Sent returns the numbers of messages and of bytes written.
func (l *Link) Sent() (messages, bytes uint64) { return l.sent.Load(), l.bytes.Load() }

// Faulty returns the number of messages received that could not be read.
func (l *Link) Faulty() uint64 { return l.faulty.Load() }

// Send queues a message for the node at addr. The first message to an address
// opens a connection and is not sent itself.
func (l *Link) Send(addr string, m lagoon.Message) bool {
	p := l.peer(addr)
	if p == nil || !p.open.Load() {
		return false
	}
	select {
	case p.queue <- m:
		return true
	default:
		return false
	}
}

// peer returns the connection to addr and opens it when there is none.
func (l *Link) peer(addr string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil || addr == "" {
		return nil
	}
	if p, ok := l.peers[addr]; ok {
		return p
	}
	p := &peer{queue: make(chan lagoon.Message, queueSize)}
	l.peers[addr] = p
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.keepOpen(addr, p)
	}()
	return p
}

// keepOpen dials an address again and again, with a growing pause, until the
// link is closed or nothing was sent for a while.
func (l *Link) keepOpen(addr string, p *peer) {
	backoff := minBackoff
	for l.ctx.Err() == nil {
		conn, err := l.dial(addr)
		if err == nil {
			backoff = minBackoff
			p.open.Store(true)
			idle := l.write(conn, p)
			p.open.Store(false)
			_ = conn.CloseNow()
			if idle {
				l.forget(addr)
				return
			}
		}
		drop(p)
		select {
		case <-l.ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (l *Link) forget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, addr)
}

// drop empties a queue whose connection is gone.
func drop(p *peer) {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (l *Link) dial(addr string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws://"+addr+Path, nil)
	if err != nil {
		return nil, err
	}
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	conn.SetReadLimit(1024)
	return conn, nil
}

// write sends queued messages until the connection fails, and reports whether
// it stopped because nothing was sent for a while.
func (l *Link) write(conn *websocket.Conn, p *peer) bool {
	gone := conn.CloseRead(l.ctx)
	idle := time.NewTimer(idleClose)
	defer idle.Stop()
	for {
		select {
		case m := <-p.queue:
			if err := l.writeOne(conn, m); err != nil {
				return false
			}
			idle.Reset(idleClose)
		case <-idle.C:
			return true
		case <-gone.Done():
			return false
		}
	}
}

func (l *Link) writeOne(conn *websocket.Conn, m lagoon.Message) error {
	data, err := l.codec.Encode(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	l.sent.Add(1)
	l.bytes.Add(uint64(len(data)))
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// Accept returns a handler that hands received messages to receive, one after
// the other for each connection. While receive waits, the sender is held up.
func (l *Link) Accept(receive func(ctx context.Context, m lagoon.Message)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		l.wg.Add(1)
		defer l.wg.Done()
		conn.SetReadLimit(maxMessage)
		l.read(conn, receive)
		_ = conn.CloseNow()
	})
}

func (l *Link) read(conn *websocket.Conn, receive func(ctx context.Context, m lagoon.Message)) {
	for {
		_, data, err := conn.Read(l.ctx)
		if err != nil {
			return
		}
		m, err := l.codec.Decode(data)
		if err != nil {
			l.faulty.Add(1)
			if l.log != nil {
				l.log.WithError(err).Warn("message from another node dropped")
			}
			continue
		}
		receive(l.ctx, m)
	}
}
