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
)

func message(body string) *lagoon.ShardRequestBatch {
	b := &lagoon.ShardRequestBatch{}
	b.SetBody([]byte(body))
	return b
}

// sendUntil sends again and again until Send returns want, or a while passed.
func sendUntil(l *plink.Link, addr string, m lagoon.Message, want bool) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		if l.Send(addr, m) == want {
			return true
		}
		time.Sleep(100 * time.Microsecond)
	}
	return false
}

func TestMessagesArriveWholeAndInOrder(t *testing.T) {
	receiver, stopReceiver := plink.New(nil)
	defer stopReceiver()
	got := make(chan string, 200)
	srv := httptest.NewServer(receiver.Accept(func(_ context.Context, m lagoon.Message) { got <- string(m.(*lagoon.ShardRequestBatch).Body()) }))
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

func TestDeadPeerIsNotSentTo(t *testing.T) {
	l, stop := plink.New(nil)
	defer stop()
	for range 20 {
		if got := l.Send("127.0.0.1:1", message("x")); got {
			t.Fatal("got sent, want not sent")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A peer that reads nothing fills a bounded queue; the sender is never held up.
func TestSlowReaderIsRefused(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		<-release
		_ = conn.CloseNow()
	}))
	defer srv.Close()
	defer close(release)
	l, stop := plink.New(nil)
	defer stop()
	addr := strings.TrimPrefix(srv.URL, "http://")
	if !sendUntil(l, addr, message("x"), true) {
		t.Fatal("got no connection, want one")
	}
	if !sendUntil(l, addr, message(strings.Repeat("x", 100000)), false) {
		t.Error("got every message accepted, want a full queue")
	}
}

// What is no message is counted and dropped; the connection goes on.
func TestFaultyMessageIsDropped(t *testing.T) {
	receiver, stop := plink.New(nil)
	defer stop()
	got := make(chan struct{}, 1)
	srv := httptest.NewServer(receiver.Accept(func(context.Context, lagoon.Message) { got <- struct{}{} }))
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
	// Rubbish, then a kind of a later version, then a heartbeat with a field of
	// a later version.
	for _, data := range [][]byte{{0xff, 0x00}, {0xa3, 1, 2, 2, 0x18, 99, 3, 0xa0}, {0xa3, 1, 2, 2, 1, 3, 0xa1, 0x18, 77, 1}} {
		if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-got:
	case <-ctx.Done():
		t.Fatal("got no heartbeat after the faulty messages, want one")
	}
	if got, want := receiver.Faulty(), uint64(2); got != want {
		t.Errorf("faulty messages: got %d, want %d", got, want)
	}
}
