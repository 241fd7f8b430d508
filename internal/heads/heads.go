// Package heads finds heads that are none of an HTTP response, although net/http reads them as such:
// heads that are joined to bytes which a server sent before them and which belong to no response,
// and so have the status of those bytes and their own headers, and heads with a status that HTTP
// does not define.
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

// ErrUndefined is returned for a status that HTTP does not define.
var ErrUndefined = errors.New("HTTP defines no such status")

// maxStatus is the greatest status that HTTP defines, of a server's failure.
const maxStatus = 599

// CheckStatus returns ErrUndefined for a status that is none of HTTP, such as 000, which net/http
// accepts, and for a switch of protocols, which nobody asks for here.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrUndefined, "status %03d", status)
	}
	return nil
}

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

// Check returns ErrUndefined for the status of a response, and ErrJoined if the reason phrase, a header value or the name of a trailer contains a
// status line. A status line anywhere else makes the head malformed, so that http.ReadResponse
// refuses it, except in a Connection header that it removes because the response is the last on
// its connection.
func Check(resp *http.Response) error {
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
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
