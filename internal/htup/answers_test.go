package htup_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/htup"
)

// startScript starts a server that responds to the n-th request with the bytes that respond
// returns, on connections that it keeps open. last is what it sent before on the connection.
func startScript(t *testing.T, respond func(n int, req *http.Request, last string) string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
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
					last = respond(int(requests.Add(1)), req, last)
					if _, err := c.Write([]byte(last)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newResponse returns a response with the ID of a request.
func newResponse(status int, req *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, htup.CallIDHeader, req.Header.Get(htup.CallIDHeader), len(body), body)
}

// newClient returns a client and a context for the calls of one test.
func newClient(t *testing.T) (*htup.Client, context.Context) {
	t.Helper()
	client, stop := htup.New()
	t.Cleanup(stop)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	return client, ctx
}

// Guards against bytes that follow a response and are joined to the head of the next one: its
// caller would get the status of the former with the ID of the latter.
func TestBytesBeforeResponseAreNotItsStatus(t *testing.T) {
	cases := map[string]struct {
		stray string
		want  lagoon.Status
	}{
		"none":                       {"", lagoon.StatusRefused},
		"a header without its value": {"HTTP/1.1 200 OK\r\nX: ", lagoon.StatusUnknown},
		"a part of a reason phrase":  {"HTTP/1.1 200 O", lagoon.StatusUnknown},
		"a part of a status line":    {"HTTP/1.1 2", lagoon.StatusUnknown},
		"a part of a header's name":  {"HTTP/1.1 200 OK\r\nX-St", lagoon.StatusUnknown},
		"a header":                   {"HTTP/1.1 200 OK\r\nX: y\r\n", lagoon.StatusUnknown},
		"a status line":              {"HTTP/1.1 200 OK\r\n", lagoon.StatusUnknown},
		"a head without a body":      {"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n", lagoon.StatusUnknown},
		"a response without an ID":   {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", lagoon.StatusUnknown},
		"the head of an interim one": {"HTTP/1.1 100 Continue\r\nX: ", lagoon.StatusUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr := startScript(t, func(n int, req *http.Request, _ string) string {
				if n == 1 {
					return newResponse(http.StatusOK, req, "1")
				}
				return c.stray + newResponse(http.StatusServiceUnavailable, req, "")
			})
			client, ctx := newClient(t)
			for i, want := range []lagoon.Status{lagoon.StatusOK, c.want} {
				callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
				if got := client.Send(callCtx, newCall(addr)); got.Status() != want {
					t.Errorf("call %d: got %s (%s, body %q), want %s", i+1, got.Status(), got.Detail(), got.Body(), want)
				}
				cancel()
			}
		})
	}
}

// Guards against a response of another server, to which a server refers, that counts as the
// response of the server that was asked.
func TestResponseOfAnotherServerIsNotThatOfTheServer(t *testing.T) {
	other := startScript(t, func(_ int, req *http.Request, _ string) string { return newResponse(http.StatusOK, req, "other") })
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		addr := startScript(t, func(_ int, req *http.Request, _ string) string {
			return strings.Replace(newResponse(status, req, ""), "\r\n", "\r\nLocation: http://"+other+"/\r\n", 1)
		})
		client, ctx := newClient(t)
		if got, want := client.Send(ctx, newCall(addr)), lagoon.StatusUnknown; got.Status() != want {
			t.Errorf("status %d: got %s (body %q), want %s", status, got.Status(), got.Body(), want)
		}
	}
}

// newReport returns a report, with the ID of the probe if withID is set.
func newReport(req *http.Request, withID bool, startID int) string {
	body := fmt.Sprintf(`{"start_id":%d,"snapshots":["1.2"]}`, startID)
	if withID {
		return newResponse(http.StatusOK, req, body)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a late copy of a report that counts as the response to a call, and against one
// of a response that counts as a report, whether or not the server returns the ID of a probe.
func TestReportIsNotTheNextCallsResponse(t *testing.T) {
	for name, withID := range map[string]bool{"with the ID of the probe": true, "without an ID": false} {
		t.Run(name, func(t *testing.T) {
			addr := startScript(t, func(n int, req *http.Request, last string) string {
				if req.Method == http.MethodGet {
					return last + newReport(req, withID, n)
				}
				return last + newResponse(http.StatusServiceUnavailable, req, "")
			})
			client, ctx := newClient(t)
			if _, err := client.Probe(ctx, addr); err != nil {
				t.Fatal(err)
			}
			if got, want := client.Send(ctx, newCall(addr)), lagoon.StatusRefused; got.Status() != want {
				t.Errorf("got %s (body %q), want %s", got.Status(), got.Body(), want)
			}
		})
	}
}

// Guards against a late copy of a report that counts as the next report: a server that has
// announced since that it drains would get requests.
func TestLateCopyIsNotTheNextReport(t *testing.T) {
	addr := startScript(t, func(n int, req *http.Request, last string) string { return last + newReport(req, true, n) })
	client, ctx := newClient(t)
	if _, err := client.Probe(ctx, addr); err != nil {
		t.Fatal(err)
	}
	if got, err := client.Probe(ctx, addr); err == nil {
		t.Errorf("second probe: got the report with start ID %d and no error, want an error", got.StartID())
	}
	if got, err := client.Probe(ctx, addr); err != nil || got.StartID() != 3 {
		t.Errorf("third probe: got start ID %d and error %v, want 3 and none", got.StartID(), err)
	}
}
