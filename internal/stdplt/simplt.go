// Package stdplt is a stand-in for the platform: its object API and instance
// list over HTTP, in memory, with switches for its failures.
//
// # Usage
//
//	p := stdplt.New()
//	srv := httptest.NewServer(p)          // or http.Server{Handler: p}
//	p.SetFaults(stdplt.Outage)
//
// It counts every call, a waiting watch as one, and refuses those above the
// rates that the users name. docs/INTERFACES.md describes the API.
package stdplt

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lagoontrail/lagoon/internal/htplat"
)

// The failures that SetFaults switches on, to be combined.
const (
	Outage      = 1 << iota // every call fails
	Slow                    // every call takes slowBy longer
	LostReplies             // writes take effect but their replies are lost
	StaleList               // the instance list shows what it was listLag ago
)

// Behaviour of the stand-in.
const (
	maxWrites = 400  // writes a second
	maxReads  = 2000 // reads a second
	maxValue  = 1 << 20
	slowBy    = 700 * time.Millisecond
	listLag   = 5 * time.Second
	replyTime = 2 * time.Millisecond
	maxWait   = 30 * time.Second
)

// Platform is the stand-in. Make it with New.
type Platform struct {
	mu        sync.Mutex
	objects   map[string]object
	changed   chan struct{}
	faults    int
	instances []instance
	history   []listing
	reads     bucket
	writes    bucket
	counts    map[string]int
}

type object struct {
	value   []byte
	version uint64
}

type instance struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Start   uint64 `json:"start"`
	Leaving bool   `json:"leaving"`
}

// listing is the instance list from a time on.
type listing struct {
	at   time.Time
	list []instance
}

// bucket is a token bucket that holds one second's calls.
type bucket struct {
	tokens float64
	last   time.Time
}

func (b *bucket) take(rate float64, now time.Time) bool {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{objects: map[string]object{}, changed: make(chan struct{}), counts: map[string]int{}}
}

// SetFaults sets the failures that are on.
func (p *Platform) SetFaults(faults int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Counts returns the calls so far by kind: read, write, watch, list.
func (p *Platform) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, v := range p.counts {
		out[k] = v
	}
	return out
}

// AddInstance puts an instance on the list or replaces it.
func (p *Platform) AddInstance(name, addr, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(name)
	p.instances = append(p.instances, instance{Name: name, Addr: addr, Zone: zone})
	p.remember()
}

// DropInstance takes an instance off the list.
func (p *Platform) DropInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(name)
	p.remember()
}

func (p *Platform) dropLocked(name string) {
	kept := p.instances[:0:0]
	for _, in := range p.instances {
		if in.Name != name {
			kept = append(kept, in)
		}
	}
	p.instances = kept
}

func (p *Platform) remember() {
	p.history = append(p.history, listing{time.Now(), append([]instance(nil), p.instances...)})
}

// listed returns the list that callers see.
func (p *Platform) listed() []instance {
	if p.faults&StaleList == 0 {
		return append([]instance{}, p.instances...)
	}
	seen := []instance{}
	for _, h := range p.history {
		if time.Since(h.at) >= listLag {
			seen = h.list
		}
	}
	return seen
}

// ServeHTTP serves the object API and the switches under /admin.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if strings.HasPrefix(path, "/admin/") {
		p.admin(w, r)
		return
	}
	kind := kindOf(r)
	if !p.enter(w, kind) {
		return
	}
	switch {
	case path == "/v1/instances":
		p.mu.Lock()
		list := p.listed()
		p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(list)
	case path == "/v1/objects" && r.Method == http.MethodGet:
		p.list(w, r.URL.Query().Get("prefix"))
	case strings.HasPrefix(path, "/v1/watch/"):
		p.watch(w, r, strings.TrimPrefix(path, "/v1/watch/"))
	case strings.HasPrefix(path, "/v1/objects/"):
		p.object(w, r, strings.TrimPrefix(path, "/v1/objects/"))
	default:
		http.NotFound(w, r)
	}
}

func kindOf(r *http.Request) string {
	switch {
	case r.URL.Path == "/v1/instances":
		return "list"
	case strings.HasPrefix(r.URL.Path, "/v1/watch/"):
		return "watch"
	case r.Method == http.MethodPut || r.Method == http.MethodDelete:
		return "write"
	}
	return "read"
}

// enter counts a call and applies outage, slowness and rates.
func (p *Platform) enter(w http.ResponseWriter, kind string) bool {
	p.mu.Lock()
	p.counts[kind]++
	faults := p.faults
	allowed := true
	if kind == "write" {
		allowed = p.writes.take(maxWrites, time.Now())
	} else {
		allowed = p.reads.take(maxReads, time.Now())
	}
	p.mu.Unlock()
	time.Sleep(replyTime)
	if faults&Slow != 0 {
		time.Sleep(slowBy)
	}
	if faults&Outage != 0 {
		http.Error(w, "the platform is out of service", http.StatusServiceUnavailable)
		return false
	}
	if !allowed {
		http.Error(w, "over the rate of calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) list(w http.ResponseWriter, prefix string) {
	type form struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}
	out := []form{}
	p.mu.Lock()
	for k, o := range p.objects {
		if strings.HasPrefix(k, prefix) && o.value != nil {
			out = append(out, form{k, o.value, o.version})
		}
	}
	p.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	_ = json.NewEncoder(w).Encode(out)
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		p.mu.Lock()
		o := p.objects[key]
		p.mu.Unlock()
		writeObject(w, o, http.StatusNotFound)
	case http.MethodPut, http.MethodDelete:
		p.write(w, r, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func writeObject(w http.ResponseWriter, o object, absent int) {
	if o.value == nil {
		w.WriteHeader(absent)
		return
	}
	w.Header().Set(htplat.VersionHeader, strconv.FormatUint(o.version, 10))
	_, _ = w.Write(o.value)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string) {
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		http.Error(w, "if_version must be a whole number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, fmt.Sprintf("values hold at most %d bytes", maxValue), http.StatusRequestEntityTooLarge)
		return
	}
	if r.Method == http.MethodDelete {
		value = nil
	}
	p.mu.Lock()
	o := p.objects[key]
	conflict := o.version != ifVersion
	if !conflict {
		o = object{value: value, version: o.version + 1}
		p.objects[key] = o
		close(p.changed)
		p.changed = make(chan struct{})
	}
	lost := p.faults&LostReplies != 0
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(htplat.VersionHeader, strconv.FormatUint(o.version, 10))
	if conflict {
		w.WriteHeader(http.StatusConflict)
	}
}

// watch waits until an object's version passes after.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		p.mu.Lock()
		o, changed, faults := p.objects[key], p.changed, p.faults
		p.mu.Unlock()
		if faults&Outage != 0 {
			http.Error(w, "the platform is out of service", http.StatusServiceUnavailable)
			return
		}
		if o.version > after {
			writeObject(w, o, http.StatusNotFound)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
