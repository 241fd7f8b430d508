// Package plink sends messages between nodes as CBOR over WebSocket connections.
//
// # Usage
//
//	link, stop := plink.New(log)
//	defer stop()
//	sent := link.Send("10.0.0.7:7100", &heartbeat)
//	mux.Handle(plink.Path, link.Handler(receive))
//
// A node sends over the connections that it opened and receives over those that other
// nodes opened. Each connection has a bounded queue and one writer goroutine. Send
// returns false if there is no open connection or the queue is full; the message is
// then never sent.
//
// A connection may go silent without being closed. While messages are sent on it, it is
// pinged, and replaced if it does not respond. The receiver closes one that brings no
// messages for longer than its sender keeps it open.
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
	"github.com/lagoontrail/lagoon/pkg/whole"
)

// Path is the URL path on which nodes accept connections from other nodes.
const Path = "/peer"

// Bounds of connections.
const (
	queueSize         = 2048 // messages
	maxMessageBytes   = 8 << 20
	smallMessageBytes = 64 << 10               // up to which messages of all connections are read at the same time; above it, one
	largeTimeout      = 5 * time.Second        // to receive a large message, and for others that are received before it
	dialTimeout       = time.Second            // to open a connection
	writeTimeout      = 2 * time.Second        // to write one message
	minBackoff        = 100 * time.Millisecond // between attempts to connect
	maxBackoff        = 2 * time.Second
	pingInterval      = time.Second                  // between two pings while messages are sent
	pongTimeout       = 2 * time.Second              // for the response to a ping; a large message may be on its way before it
	idleTimeout       = 60 * time.Second             // without messages, until the sender closes a connection
	receiveTimeout    = idleTimeout + 15*time.Second // without messages, until the receiver does
)

// Link implements lagoon.PeerLink. Create it with New.
type Link struct {
	log          *logrus.Logger
	codec        wire.Codec
	messages     *whole.Reader
	ctx          context.Context
	mu           sync.Mutex
	peers        map[string]*peer
	wg           sync.WaitGroup
	sentMessages atomic.Uint64
	sentBytes    atomic.Uint64
	decodeErrors atomic.Uint64
	silentConns  atomic.Uint64
}

// peer is the outgoing connection to one address.
type peer struct {
	queue     chan lagoon.Message
	connected atomic.Bool
	unpinged  atomic.Bool // whether a message was sent since the last ping
}

// New returns a link. The cleanup function closes all connections and waits
// for their goroutines.
func New(log *logrus.Logger) (*Link, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{log: log, messages: whole.New(smallMessageBytes, maxMessageBytes, 1), ctx: ctx, peers: map[string]*peer{}}
	return l, func() {
		cancel()
		l.wg.Wait()
	}
}

// Sent returns the numbers of messages and bytes sent, including failed writes.
func (l *Link) Sent() (messages, bytes uint64) { return l.sentMessages.Load(), l.sentBytes.Load() }

// DecodeErrors returns the number of received messages that could not be decoded.
func (l *Link) DecodeErrors() uint64 { return l.decodeErrors.Load() }

// SilentConns returns the number of connections that were replaced because they did not
// respond.
func (l *Link) SilentConns() uint64 { return l.silentConns.Load() }

// Send queues a message for the node at addr and reports whether it was queued. The
// first message to an address only makes the link open a connection; it is not queued.
func (l *Link) Send(addr string, m lagoon.Message) bool {
	p := l.peer(addr)
	if p == nil || !p.connected.Load() {
		return false
	}
	select {
	case p.queue <- m:
		return true
	default:
		return false
	}
}

// peer returns the connection to addr and starts to open one if there is none. It
// returns nil if the link is closed or addr is empty.
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
		l.maintain(addr, p)
	}()
	return p
}

// maintain keeps a connection to an address open, and reconnects with exponential
// backoff, until the link is closed or the connection was idle for idleTimeout.
func (l *Link) maintain(addr string, p *peer) {
	backoff := minBackoff
	for l.ctx.Err() == nil {
		conn, err := l.dial(addr)
		if err == nil {
			backoff = minBackoff
			p.connected.Store(true)
			idle := l.serve(conn, addr, p)
			p.connected.Store(false)
			if idle {
				l.removePeer(addr)
				return
			}
		}
		discardQueue(p)
		select {
		case <-l.ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (l *Link) removePeer(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, addr)
}

// discardQueue discards the queued messages of a connection that failed.
func discardQueue(p *peer) {
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
	conn.SetReadLimit(1024) // in bytes; the other node sends no messages on this connection
	return conn, nil
}

// serve sends queued messages and pings until the connection fails or is idle for
// idleTimeout, closes it, and reports whether it was idle.
func (l *Link) serve(conn *websocket.Conn, addr string, p *peer) bool {
	ctx, cancel := context.WithCancel(conn.CloseRead(l.ctx))
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		l.ping(ctx, conn, addr, p)
	}()
	idle := l.write(ctx, conn, p)
	cancel()
	_ = conn.CloseNow() // the connection is not used again
	wg.Wait()
	return idle
}

// ping pings a connection on which messages are sent, and closes it if it does not
// respond.
func (l *Link) ping(ctx context.Context, conn *websocket.Conn, addr string, p *peer) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.unpinged.Swap(false) {
			continue
		}
		pingCtx, cancel := context.WithTimeout(ctx, pongTimeout)
		err := conn.Ping(pingCtx)
		cancel()
		if err != nil && ctx.Err() == nil {
			l.silentConns.Add(1)
			if l.log != nil {
				l.log.WithError(err).WithFields(logrus.Fields{"kind": "peer_silent", "peer": addr}).Warn("connection to another node does not respond; opening a new one")
			}
			_ = conn.CloseNow() // write notices it
			return
		}
	}
}

// write sends queued messages until the connection fails or is idle for idleTimeout,
// and reports whether it was idle. ctx ends when the connection is closed.
func (l *Link) write(ctx context.Context, conn *websocket.Conn, p *peer) bool {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-p.queue:
			p.unpinged.Store(true)
			if err := l.writeOne(conn, m); err != nil {
				return false
			}
			idle.Reset(idleTimeout)
		case <-idle.C:
			return true
		case <-ctx.Done():
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
	l.sentMessages.Add(1)
	l.sentBytes.Add(uint64(len(data)))
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// Handler returns the HTTP handler for connections from other nodes. It calls receive
// for each message, sequentially for each connection. While receive blocks, nothing
// more is read from the connection, which applies back pressure to the sender.
func (l *Link) Handler(receive func(ctx context.Context, m lagoon.Message)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		l.wg.Add(1)
		defer l.wg.Done()
		conn.SetReadLimit(maxMessageBytes)
		l.read(conn, receive)
		_ = conn.CloseNow()
	})
}

func (l *Link) read(conn *websocket.Conn, receive func(ctx context.Context, m lagoon.Message)) {
	for {
		data, err := l.readOne(conn)
		if err != nil {
			return
		}
		m, err := l.codec.Decode(data)
		if err != nil {
			l.decodeErrors.Add(1)
			if l.log != nil {
				l.log.WithError(err).Warn("dropped a message from another node: decoding failed")
			}
			continue
		}
		receive(l.ctx, m)
	}
}

// readOne reads one message. It fails after receiveTimeout without one, so that a
// connection that has gone silent does not stay open for good, and when the message does
// not end within largeTimeout.
func (l *Link) readOne(conn *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(l.ctx, receiveTimeout)
	defer cancel()
	_, r, err := conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	stop := time.AfterFunc(largeTimeout, cancel)
	defer stop.Stop()
	return l.messages.Read(ctx, r)
}
