package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/caller"
)

// startNode starts a node that answers the n-th query with the bytes that respond returns, on
// connections that it keeps open. last is what it sent before on the connection.
func startNode(t *testing.T, respond func(n int, req *http.Request, last string) string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	queries := 0
	handle := func(req *http.Request, last string) string {
		if req.Method == http.MethodGet {
			return newResponse("", `{"addresses":[],"ttl_seconds":60}`)
		}
		body, _ := io.ReadAll(req.Body) // a request cut short has no body
		req.Body = io.NopCloser(bytes.NewReader(body))
		mu.Lock()
		queries++
		n := queries
		mu.Unlock()
		return respond(n, req, last)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				last, r := "", bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					last = handle(req, last)
					if _, err := c.Write([]byte(last)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newResponse returns a response with header lines.
func newResponse(header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// queryID returns the ID of the query in a request.
func queryID(req *http.Request) string {
	body, _ := io.ReadAll(req.Body)
	return gjson.GetBytes(body, "id").String()
}

// newAnswer returns the answer to a request for a query with an ID.
func newAnswer(req *http.Request, id, outcome string) string {
	header := ""
	if callID := req.Header.Get("X-Call-Id"); callID != "" {
		header = "X-Call-Id: " + callID + "\r\n"
	}
	return newResponse(header, fmt.Sprintf(`{"id":%q,"node":"n","outcome":%q}`, id, outcome))
}

func newRead(id string) lagoon.Query {
	var q lagoon.Query
	q.SetID(id)
	q.SetService("desk")
	q.SetIdempotent(true)
	return q
}

func newClient(t *testing.T, addr string) (*caller.Client, context.Context) {
	t.Helper()
	client, stop := caller.New("cph-1", addr)
	t.Cleanup(stop)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return client, ctx
}

// Guards against the answer to another query: a late copy of an earlier one on a connection in
// use again, with and without an ID of the caller's.
func TestLateCopyIsNotTheNextQuerysAnswer(t *testing.T) {
	for name, ids := range map[string][]string{"with IDs": {"1-a", "1-b"}, "without IDs": {"", ""}} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan string, 16)
			addr := startNode(t, func(n int, req *http.Request, last string) string {
				req.Header.Del("X-Call-Id")
				id := queryID(req)
				if id == "" {
					id = fmt.Sprintf("of the node, %d", n)
				}
				asked <- id
				return last + newAnswer(req, id, "answered")
			})
			client, ctx := newClient(t, addr)
			for i, id := range ids {
				a, err := client.Query(ctx, newRead(id))
				if err != nil {
					t.Fatal(err)
				}
				var want string
				for len(asked) > 0 {
					want = <-asked
				}
				if got := a.ID(); got != want {
					t.Errorf("query %d: got the answer to %q, want that to %q", i+1, got, want)
				}
			}
		})
	}
}

// Guards against a late copy of the answer to an earlier attempt, that the query did not run,
// that counts as the answer to a later one, which runs.
func TestLateCopyOfNotRunIsNotTheNextAttemptsAnswer(t *testing.T) {
	addr := startNode(t, func(n int, req *http.Request, last string) string {
		if n == 1 {
			return newAnswer(req, "1-a", "not_run")
		}
		return last + newAnswer(req, "1-a", "answered")
	})
	client, ctx := newClient(t, addr)
	q := newRead("1-a")
	q.SetIdempotent(false)
	if a, err := client.Query(ctx, q); err == nil {
		t.Errorf("got %v and no error, want an error, as the query may have run", a.Outcome())
	}
}

// A node of an earlier release does not return the call ID.
func TestNodeWithoutCallID(t *testing.T) {
	addr := startNode(t, func(_ int, req *http.Request, _ string) string {
		req.Header.Del("X-Call-Id")
		return newAnswer(req, "1-a", "answered")
	})
	client, ctx := newClient(t, addr)
	a, err := client.Query(ctx, newRead("1-a"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := a.Outcome(), lagoon.OutcomeAnswered; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
