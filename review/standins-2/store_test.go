package standins_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps all history.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	log      []change
	changed  chan struct{} // closed at the next change
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  *object `json:"object"`
	Deleted bool    `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 100, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// put writes the spec of an object, as an operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		delete(s.kinds[kind], name)
		s.add(change{kind: kind, Object: o, Deleted: true})
	}
}

func (s *store) write(kind, name string, spec json.RawMessage) *object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	old := s.kinds[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	o := &object{Meta: meta{Name: name, Created: s.revision + 1, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Meta.Created, o.Status = old.Meta.Created, old.Status
	}
	s.kinds[kind][name] = o
	s.add(change{kind: kind, Object: o})
	return o
}

func (s *store) add(c change) {
	s.revision++
	o := *c.Object
	o.Meta.Revision = s.revision
	c.Object = &o
	if !c.Deleted {
		s.kinds[c.kind][o.Meta.Name] = &o
	}
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// door is the store as one node reaches it.
type door struct {
	addr      string
	translate func([]byte) []byte // changes the bodies of answers, as an address translation does; nil for no change
	mu        sync.Mutex
	waiting   int           // the watches that wait now
	rejected  chan struct{} // closed while the store turns the node away
}

// reject makes the store turn the node away, or ends that. Watches that wait are cut off.
func (d *door) reject(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on {
		close(d.rejected)
	} else {
		d.rejected = make(chan struct{})
	}
}

// watches returns the number of watches of the node that wait. Only nodes that follow the store
// for others have any.
func (d *door) watches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting
}

// turnedAway returns a channel that is closed while the store turns the node away.
func (d *door) turnedAway() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejected
}

// wait counts a watch while it waits.
func (d *door) wait(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting += n
}

// serve serves the store to one node.
func (s *store) serve(translate func([]byte) []byte) *door {
	d := &door{translate: translate, rejected: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			status, body := s.handle(d, r)
			data, err := json.Marshal(body)
			if err != nil {
				panic(err)
			}
			if d.translate != nil {
				data = d.translate(data)
			}
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(data)
		}))
	}()
	d.addr = l.Addr().String()
	return d
}

// isClosed reports whether a channel is closed.
func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// turnedAwayBody is the body of the answer to a node that the store turns away.
var turnedAwayBody = map[string]string{"error": "busy"}

func (s *store) handle(d *door, r *http.Request) (int, any) {
	if isClosed(d.turnedAway()) {
		return http.StatusServiceUnavailable, turnedAwayBody
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	var in object
	if r.Body != nil && (r.Method == http.MethodPost || r.Method == http.MethodPut) {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			return http.StatusBadRequest, map[string]string{"error": err.Error()}
		}
	}
	if r.Method == http.MethodGet && len(parts) == 1 {
		if after := r.URL.Query().Get("watch"); after != "" {
			return s.watch(d, r, kind, after)
		}
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := in.Meta.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	old := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && old != nil:
		return http.StatusConflict, old
	case r.Method == http.MethodPost:
		return http.StatusOK, s.write(kind, name, in.Spec)
	case old == nil:
		return http.StatusNotFound, map[string]string{"error": "no such object"}
	case in.Meta.Revision != 0 && in.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && len(parts) == 2:
		return http.StatusOK, s.write(kind, name, in.Spec)
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	}
	return http.StatusMethodNotAllowed, map[string]string{"error": "not supported by the stand-in"}
}

func (s *store) list(kind, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b *object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision}
}

func (s *store) watch(d *door, r *http.Request, kind, after string) (int, any) {
	from, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	if wait > 0 {
		d.wait(1)
		defer d.wait(-1)
	}
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.log {
			if c.kind == kind && c.Object.Meta.Revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		case <-d.turnedAway():
			return http.StatusServiceUnavailable, turnedAwayBody
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"events": events, "storeRevision": revision}
		}
	}
}

// replaceAddrs returns a translation that replaces the addresses of other nodes.
func replaceAddrs(addrs map[string]string) func([]byte) []byte {
	return func(data []byte) []byte {
		text := string(data)
		for from, to := range addrs {
			text = strings.ReplaceAll(text, fmt.Sprintf("%q", from), fmt.Sprintf("%q", to))
		}
		return []byte(text)
	}
}
