// Package heads checks the heads of HTTP responses.
//
// # Usage
//
//	resp, err := client.Do(req)
//	if err := heads.Check(resp); err != nil { ... }
package heads

import (
	"net/http"
	"regexp"

	"github.com/pkg/errors"
)

// ErrJoined is returned for a head that contains a second status line.
var ErrJoined = errors.New("the head of the response contains a second status line")

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// Check returns ErrJoined if the reason phrase or a header value contains a status line: bytes
// that belonged to no response were read as the beginning of the head, and the status or some
// headers are theirs. A status line anywhere else makes the head malformed, so that
// http.ReadResponse refuses it.
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
	return nil
}
