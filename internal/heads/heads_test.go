package heads_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/lagoontrail/lagoon/internal/heads"
)

// Guards against a head that is joined from two, cut after any byte of the first, and accepted.
func TestJoinedHeadIsRefused(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nX: a\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
	const second = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"
	for n := 1; n <= len(first); n++ {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(first[:n]+second)), nil)
		if err != nil {
			continue
		}
		if err := heads.Check(resp); err == nil {
			t.Errorf("%q and another head: got no error, want one", first[:n])
		}
	}
}

// Guards against a proper response that is refused because a header names a version of HTTP.
func TestProperHeadIsAccepted(t *testing.T) {
	for _, line := range []string{"X: a", "Via: HTTP/1.1 proxy:8080", "Server: a/1.0 (HTTP/1.1)", "Upgrade: HTTP/2.0", "Content-Type: message/http; version=HTTP/1.1"} {
		t.Run(line, func(t *testing.T) {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n\r\n", line))), nil)
			if err != nil {
				t.Fatal(err)
			}
			if err := heads.Check(resp); err != nil {
				t.Errorf("got error %v, want none", err)
			}
		})
	}
}

// A second status line is found wherever it is in a head, and nothing else is taken for one.
func TestJoined(t *testing.T) {
	cases := []struct {
		name, head, want string
	}{
		{"one head", "HTTP/1.1 504 Gateway Timeout\r\nServer-Stamp: s\r\n\r\n", ""},
		{"no reason", "HTTP/1.1 504\r\n\r\n", ""},
		{"name of a protocol", "HTTP/1.1 200 OK\r\nServer: SimpleHTTP/0.6 Python/3.11\r\nVia: HTTP/1.1 edge\r\n\r\n", ""},
		{"in the reason", "HTTP/1.1 200 HTTP/1.1 504 Gateway Timeout\r\n\r\n", "HTTP/1.1 504 Gateway Timeout"},
		{"in a header", "HTTP/1.1 200 OK\r\nServer-Load: 1,HTTP/1.1 504 Gateway Timeout\r\n\r\n", "HTTP/1.1 504 Gateway Timeout"},
		{"in a header that net/http removes", "HTTP/1.1 200 OK\r\nTrailer: HTTP/1.0  504 x\r\n\r\n", "HTTP/1.0  504 x"},
		{"after other bytes", "xHTTP/1.1 504 Gateway Timeout\r\n\r\n", "HTTP/1.1 504 Gateway Timeout"},
		{"after a slash", "/HTTP/1.1 504 Gateway Timeout\r\n\r\n", "HTTP/1.1 504 Gateway Timeout"},
		{"after the beginning of a status line", "HTTP/HTTP/1.1 504 Gateway Timeout\r\n\r\n", "HTTP/1.1 504 Gateway Timeout"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := heads.Joined([]byte(c.head)); got != c.want || ok != (c.want != "") {
				t.Errorf("got %q and %t, want %q", got, ok, c.want)
			}
		})
	}
}
