// Package whole reads the whole content of a reader, up to a maximum size.
//
// # Usage
//
//	data, err := whole.Read(resp.Body, maxBodyBytes)
//	if errors.Is(err, whole.ErrTooLarge) { ... }
//
//	r := whole.New(1<<20, 16<<20, 1)   // one content above 1 MB at a time
//	data, err := r.Read(ctx, conn)
//
// Unlike io.ReadAll on an io.LimitReader, it reports larger content as an error, so that
// content that was cut off is never taken for all of it. Contents that are too large leave no
// garbage of their size, so that a source of endless ones cannot outrun the collector.
package whole

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned for content that exceeds the maximum size.
var ErrTooLarge = errors.New("content exceeds the maximum size")

// Read returns the whole content of r. It returns ErrTooLarge, wrapped with the maximum,
// if there are more than maxBytes bytes, and any error of r other than io.EOF.
func Read(r io.Reader, maxBytes int64) ([]byte, error) {
	var c content
	defer c.release()
	if _, err := c.fill(r, maxBytes+1); err != nil {
		return nil, err
	}
	return c.join(maxBytes)
}

// Reader reads contents from many sources with a bound on the memory that they take
// together: any number of small ones at the same time, and a few large ones. Create it with
// New.
type Reader struct {
	smallBytes, maxBytes int64
	large                chan struct{} // holds an item for each large content that is being read
}

// New returns a reader of contents of at most maxBytes, of which large ones above smallBytes
// are read at the same time.
func New(smallBytes, maxBytes int64, large int) *Reader {
	return &Reader{smallBytes: smallBytes, maxBytes: maxBytes, large: make(chan struct{}, large)}
}

// Read returns the whole content of src. A large content waits until fewer others are being
// read, or ctx ends. The errors are those of the function Read and of ctx.
func (r *Reader) Read(ctx context.Context, src io.Reader) ([]byte, error) {
	var c content
	defer c.release()
	ended, err := c.fill(src, r.smallBytes)
	if err != nil {
		return nil, err
	}
	if ended {
		return c.join(r.maxBytes)
	}
	select {
	case r.large <- struct{}{}:
		defer func() { <-r.large }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for other large contents")
	}
	if _, err := c.fill(src, r.maxBytes+1); err != nil {
		return nil, err
	}
	return c.join(r.maxBytes)
}

// chunkBytes is the size of the pieces in which contents are read.
const chunkBytes = 32 << 10

type chunk [chunkBytes]byte

// chunks keeps unused chunks for the next contents.
var chunks = sync.Pool{New: func() any { return new(chunk) }}

// content is the part of a content that has been read. The zero value is empty.
type content struct {
	chunks []*chunk // all but the last are full
	size   int64
}

// fill reads from r until the content has size bytes or r ends, and reports whether it ended.
func (c *content) fill(r io.Reader, size int64) (ended bool, err error) {
	for c.size < size {
		if c.size == int64(len(c.chunks))*chunkBytes {
			c.chunks = append(c.chunks, chunks.Get().(*chunk))
		}
		free := c.chunks[len(c.chunks)-1][c.size%chunkBytes:]
		n, err := r.Read(free[:min(int64(len(free)), size-c.size)])
		c.size += int64(n)
		switch {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// join returns a copy of the content, or ErrTooLarge if it has more than maxBytes bytes.
func (c *content) join(maxBytes int64) ([]byte, error) {
	if c.size > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", maxBytes)
	}
	data := make([]byte, 0, c.size)
	for _, ch := range c.chunks {
		data = append(data, ch[:min(chunkBytes, c.size-int64(len(data)))]...)
	}
	return data, nil
}

// release gives the chunks back. The content is empty afterwards.
func (c *content) release() {
	for _, ch := range c.chunks {
		chunks.Put(ch)
	}
	*c = content{}
}
