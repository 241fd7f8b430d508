package plink_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/plink"
	"github.com/lagoontrail/lagoon/platform/soak/proxy"
)

func message(body string) *lagoon.ShardRequestBatch {
	b := &lagoon.ShardRequestBatch{}
	b.SetBody([]byte(body))
	return b
}

// sendUntil sends repeatedly until Send returns want, for at most 3 s, and reports
// whether it did.
func sendUntil(l *plink.Link, addr string, m lagoon.Message, want bool) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		if l.Send(addr, m) == want {
			return true
		}
		time.Sleep(100 * time.Microsecond)
	}
	return false
}

func TestMessagesAreDeliveredCompleteAndInOrder(t *testing.T) {
	receiver, stopReceiver := plink.New(nil)
	defer stopReceiver()
	got := make(chan string, 200)
	srv := httptest.NewServer(receiver.Handler(func(_ context.Context, m lagoon.Message) { got <- string(m.(*lagoon.ShardRequestBatch).Body()) }))
	defer srv.Close()
	sender, stop := plink.New(nil)
	defer stop()
	addr := strings.TrimPrefix(srv.URL, "http://")
	if !sendUntil(sender, addr, message("first"), true) {
		t.Fatal("got no connection, want one")
	}
	for range 100 {
		sender.Send(addr, message(strings.Repeat("x", 10000)))
	}
	if first := <-got; first != "first" {
		t.Errorf("got %q first, want \"first\"", first)
	}
	for range 100 {
		if body := <-got; len(body) != 10000 {
			t.Errorf("got a body of %d bytes, want 10000", len(body))
		}
	}
}

func TestSendToUnreachablePeerFails(t *testing.T) {
	l, stop := plink.New(nil)
	defer stop()
	for range 20 {
		if got := l.Send("127.0.0.1:1", message("x")); got {
			t.Fatal("got sent, want not sent")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a sender that blocks, or queues without bound, when the peer reads
// nothing from the connection.
func TestSendFailsWhenQueueIsFull(t *testing.T) {
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		<-done
		_ = conn.CloseNow()
	}))
	defer srv.Close()
	defer close(done)
	l, stop := plink.New(nil)
	defer stop()
	addr := strings.TrimPrefix(srv.URL, "http://")
	if !sendUntil(l, addr, message("x"), true) {
		t.Fatal("got no connection, want one")
	}
	// The queue holds a bounded number of messages, and the buffers of the connection take only
	// a few of this size.
	const attempts = 20000
	m := message(strings.Repeat("x", 100000))
	for range attempts {
		if !l.Send(addr, m) {
			return
		}
	}
	t.Errorf("got all of %d messages queued, want a full queue", attempts)
}

// Guards against a connection that ends at a message that cannot be decoded: such
// messages are counted and dropped, and the next message is received.
func TestUndecodableMessageIsDropped(t *testing.T) {
	receiver, stop := plink.New(nil)
	defer stop()
	got := make(chan struct{}, 1)
	srv := httptest.NewServer(receiver.Handler(func(context.Context, lagoon.Message) { got <- struct{}{} }))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	conn, resp, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(srv.URL, "http"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp != nil && resp.Body != nil {
		defer resp.Body.Close()
	}
	defer func() { _ = conn.CloseNow() }()
	// Invalid CBOR, a message of an unknown kind, and a heartbeat with an unknown
	// field. The last two are what a later version may send.
	for _, data := range [][]byte{{0xff, 0x00}, {0xa3, 1, 2, 2, 0x18, 99, 3, 0xa0}, {0xa3, 1, 2, 2, 1, 3, 0xa1, 0x18, 77, 1}} {
		if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-got:
	case <-ctx.Done():
		t.Fatal("got no heartbeat after the undecodable messages, want one")
	}
	if got, want := receiver.DecodeErrors(), uint64(2); got != want {
		t.Errorf("undecodable messages: got %d, want %d", got, want)
	}
}

// Guards against a connection that goes silent without being closed: the link must notice
// it, open another one and deliver messages again. A failed node, a change of the catalog
// and the list of live nodes all reach a node this way.
func TestSilentConnectionIsReplaced(t *testing.T) {
	receiver, stopReceiver := plink.New(nil)
	defer stopReceiver()
	got := make(chan string, 10000)
	srv := httptest.NewServer(receiver.Handler(func(_ context.Context, m lagoon.Message) { got <- string(m.(*lagoon.ShardRequestBatch).Body()) }))
	defer srv.Close()
	relay, stopRelay, err := proxy.New("127.0.0.1:0", strings.TrimPrefix(srv.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer stopRelay()
	sender, stop := plink.New(nil)
	defer stop()
	if !sendUntil(sender, relay.Addr(), message("first"), true) {
		t.Fatal("got no connection, want one")
	}
	<-got
	relay.SilenceOpen()
	const contactLimit = 4 * time.Second // after which the nodes must be in touch again
	for end := time.Now().Add(contactLimit); ; time.Sleep(50 * time.Millisecond) {
		sender.Send(relay.Addr(), message("second"))
		select {
		case <-got:
			return
		default:
		}
		if time.Now().After(end) {
			t.Fatalf("got no message within %s after the connection went silent, want one", contactLimit)
		}
	}
}
