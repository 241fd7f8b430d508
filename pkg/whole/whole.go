// Package whole reads the whole content of a reader, up to a maximum size.
//
// # Usage
//
//	data, err := whole.Read(resp.Body, maxBodyBytes)
//	if errors.Is(err, whole.ErrTooLarge) { ... }
//
// Unlike io.ReadAll on an io.LimitReader, it reports larger content as an error, so that
// content that was cut off is never taken for all of it.
package whole

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned for content that exceeds the maximum size.
var ErrTooLarge = errors.New("content exceeds the maximum size")

// Read returns the whole content of r. It returns ErrTooLarge, wrapped with the maximum,
// if there are more than maxBytes bytes, and any error of r other than io.EOF.
func Read(r io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(data)) > maxBytes:
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
	}
	return data, nil
}
