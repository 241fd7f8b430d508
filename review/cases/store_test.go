package cases

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a sound store of the platform: objects by kind and name, lists and watches.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
	rewrites []string // pairs of an address and the address at which other machines reach it
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

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &store{listener: l, revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *store) addr() string { return s.listener.Addr().String() }

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.record(kind, o, true)
}

func (s *store) write(kind, name string, spec []byte) *object {
	if len(s.rewrites) > 0 {
		spec = []byte(strings.NewReplacer(s.rewrites...).Replace(string(spec)))
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	old, ok := s.objects[kind][name]
	o := &object{Meta: meta{Name: name, Created: s.revision + 1, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		o.Meta.Created = old.Meta.Created
		if string(old.Spec) == string(spec) {
			return old
		}
	}
	s.objects[kind][name] = o
	s.record(kind, o, false)
	return o
}

func (s *store) record(kind string, o *object, deleted bool) {
	s.revision++
	o.Meta.Revision = s.revision
	s.events = append(s.events, event{kind: kind, Object: *o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	time.Sleep(4 * time.Millisecond) // the latency of the site's store
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		s.list(w, kind)
		return
	}
	var o object
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && !exists:
		http.Error(w, "no such object", http.StatusNotFound)
	case r.Method == http.MethodPut && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		answer(w, http.StatusConflict, old)
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	items := []*object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for expired := ms == 0; ; {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Meta.Revision > after {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
