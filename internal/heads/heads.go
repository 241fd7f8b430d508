// Package heads finds heads of HTTP responses that are joined to bytes which a server sent before
// them and which belong to no response. Such a head has the status of those bytes, and its own
// headers.
//
// # Usage
//
//	resp, err := client.Do(req)
//	if err := heads.Check(resp); err != nil { ... }
//	if line, ok := heads.Joined(head); ok { ... } // a head as it was received
package heads

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// ErrJoined is returned for a head that contains a second status line.
var ErrJoined = errors.New("the head of the response contains a second status line")

// statusLine matches the beginning of a status line. A header may name a protocol, such as
// the Server header of some servers, but not with a status code.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)

// Joined returns the second status line of a head, if it has one. The head is to be passed as it
// was received, since net/http removes some headers.
func Joined(head []byte) (line string, ok bool) {
	for _, at := range statusLine.FindAllIndex(head, 2) {
		if at[0] > 0 {
			line, _, _ = strings.Cut(string(head[at[0]:]), "\n")
			return strings.TrimSpace(line), true
		}
	}
	return "", false
}

// Check returns ErrJoined if the reason phrase, a header value or the name of a trailer contains a
// status line. A status line anywhere else makes the head malformed, so that http.ReadResponse
// refuses it, except in a Connection header that it removes because the response is the last on
// its connection.
func Check(resp *http.Response) error {
	if statusLine.MatchString(resp.Status) {
		return errors.Wrapf(ErrJoined, "status %q", resp.Status)
	}
	for name, values := range resp.Header {
		for _, value := range values {
			if statusLine.MatchString(value) {
				return errors.Wrapf(ErrJoined, "header %s", name)
			}
		}
	}
	for name := range resp.Trailer {
		if statusLine.MatchString(strings.ToUpper(name)) {
			return errors.Wrap(ErrJoined, "header Trailer")
		}
	}
	return nil
}
