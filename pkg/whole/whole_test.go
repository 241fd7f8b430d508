package whole_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon/pkg/whole"
)

func TestRead(t *testing.T) {
	cases := []struct {
		name   string
		reader io.Reader
		want   string
		err    error
	}{
		{"empty", strings.NewReader(""), "", nil},
		{"at the maximum", strings.NewReader("abcd"), "abcd", nil},
		{"above the maximum", strings.NewReader("abcde"), "", whole.ErrTooLarge},
		{"broken off", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), "", io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		got, err := whole.Read(c.reader, 4)
		if string(got) != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: got %q, %v, want %q, %v", c.name, got, err, c.want, c.err)
		}
	}
}
