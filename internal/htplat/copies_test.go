package htplat_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/htplat"
	"github.com/lagoontrail/lagoon/internal/script"
)

// step is a call, the response of the platform, without the ID, and what the call must return.
type step struct {
	call, body, want string
	status, version  int
}

// response returns the response to a step. It has the ID of the call, if that is set.
func (s step) response(r *http.Request, withID bool) string {
	lines := []string{fmt.Sprintf("X-Object-Version: %d", s.version)}
	if withID {
		lines = append(lines, "X-Call-Id: "+r.Header.Get("X-Call-Id"))
	}
	return script.Response(s.status, s.body, lines...)
}

// call makes one call, named as in "get a", and describes its result.
func call(s *htplat.Store, name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	verb, key, _ := strings.Cut(name, " ")
	object, version, err := lagoon.Object{}, uint64(0), error(nil)
	switch verb {
	case "get":
		object, err = s.Get(ctx, key)
	case "watch":
		object, err = s.Watch(ctx, key, 3)
	case "put":
		version, err = s.Put(ctx, key, []byte("v"), 3)
		object.SetVersion(version)
	case "delete":
		err = s.Delete(ctx, key, 3)
	case "list":
		var objects []lagoon.Object
		if objects, err = s.List(ctx, key); len(objects) > 0 {
			object = objects[0]
		}
	case "instances":
		var instances []lagoon.Instance
		if instances, err = s.Instances(ctx); len(instances) > 0 {
			object.SetValue([]byte(instances[0].Name()))
		}
	}
	switch {
	case errors.Is(err, lagoon.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, lagoon.ErrConflict):
		return "conflict"
	case errors.Is(err, lagoon.ErrNotFound):
		return "not found"
	case err != nil:
		return err.Error()
	}
	return fmt.Sprintf("%s at %d", object.Value(), object.Version())
}

// reuses are two calls each, of which the second is given a copy of the response to the first,
// or the beginning of one, before its own.
var reuses = map[string][2]step{
	"another object":          {{"get a", "A", "A at 7", 200, 7}, {"get b", "B", "B at 2", 200, 2}},
	"an older version":        {{"get a", "A", "A at 7", 200, 7}, {"get a", "B", "B at 8", 200, 8}},
	"an object that is gone":  {{"get a", "A", "A at 7", 200, 7}, {"get a", "", "not found", 404, 0}},
	"an object for a watch":   {{"get a", "A", "A at 7", 200, 7}, {"watch b", "B", "B at 4", 200, 4}},
	"no change for an object": {{"watch a", "", "not found", 304, 0}, {"get b", "B", "B at 4", 200, 4}},
	"an object for a write":   {{"get a", "A", "A at 7", 200, 7}, {"put b", "", "conflict", 409, 9}},
	"a write for a write":     {{"put a", "", " at 4", 200, 4}, {"put b", "", "unavailable", 503, 0}},
	"a conflict for a write":  {{"put a", "", "conflict", 409, 9}, {"put b", "", " at 4", 200, 4}},
	"a write for a delete":    {{"put a", "", " at 4", 200, 4}, {"delete b", "", "conflict", 409, 9}},
	"another list":            {{"list a", `[]`, " at 0", 200, 0}, {"list b", `[{"key":"b","value":"` + base64.StdEncoding.EncodeToString([]byte("B")) + `","version":2}]`, "B at 2", 200, 0}},
	"a list for instances":    {{"list a", `[]`, " at 0", 200, 0}, {"instances", `[{"name":"i-1"}]`, "i-1 at 0", 200, 0}},
}

// Guards against a late copy of a response, or the beginning of one, that counts as part of the
// response to the next call. Without IDs in the responses no connection is used again.
func TestBytesBeforeResponseAreNotTheNextCalls(t *testing.T) {
	for name, steps := range reuses {
		for _, stray := range []string{"copy", script.Response(http.StatusOK, "Z", "X-Object-Version: 9"), "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX: a\r\n "} {
			for _, withID := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %q, IDs %t", name, stray, withID), func(t *testing.T) {
					srv, stop, err := script.New(func(n int64, r *http.Request, last string) string {
						response := steps[min(n, 2)-1].response(r, withID)
						switch {
						case last == "":
							return response
						case stray == "copy":
							return last + response
						}
						return stray + response
					})
					if err != nil {
						t.Fatal(err)
					}
					defer stop()
					s := htplat.New("http://"+srv.Addr(), time.Second)
					if got, want := call(s, steps[0].call), steps[0].want; got != want {
						t.Errorf("%s: got %s, want %s", steps[0].call, got, want)
					}
					want := "unavailable"
					if !withID {
						want = steps[1].want
					}
					if got := call(s, steps[1].call); got != want {
						t.Errorf("%s: got %s, want %s", steps[1].call, got, want)
					}
					if got, want := call(s, steps[1].call), steps[1].want; got != want {
						t.Errorf("%s, once more: got %s, want %s", steps[1].call, got, want)
					}
					if got := srv.Conns(); withID && got != 2 {
						t.Errorf("connections: got %d, want 2", got)
					}
				})
			}
		}
	}
}

// Guards against calls that fail because another one uses the connection of a response without
// an ID before it is closed.
func TestConcurrentCallsWithoutIDs(t *testing.T) {
	const callers, calls = 8, 50
	get := step{"get a", "A", "A at 7", http.StatusOK, 7}
	srv, stop, err := script.New(func(_ int64, r *http.Request, _ string) string { return get.response(r, false) })
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	s := htplat.New("http://"+srv.Addr(), time.Second)
	call(s, get.call)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range calls {
				if got := call(s, get.call); got != get.want {
					t.Errorf("got %s, want %s", got, get.want)
				}
			}
		})
	}
	wg.Wait()
}
