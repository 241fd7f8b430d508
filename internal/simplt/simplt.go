// Package simplt simulates the platform in memory: its object API and its instance
// list over HTTP, with fault injection.
//
// # Usage
//
//	p := simplt.New()
//	srv := httptest.NewServer(p)          // or http.Server{Handler: p}
//	p.SetFaults(simplt.Outage)
//
// Every call is counted, a watch once however long it blocks. Calls above the
// platform's rate limits are refused. docs/INTERFACES.md describes the API.
package simplt

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

// The faults of SetFaults, a bit mask.
const (
	Outage      = 1 << iota // every call fails
	Slow                    // every call is delayed by slowDelay
	LostReplies             // writes take effect but their responses are lost
	StaleList               // the instance list is that of staleListLag ago
)

// The limits and delays of the platform.
const (
	maxWritesPerSecond = 400
	maxReadsPerSecond  = 2000 // includes watches and lists
	maxValueBytes      = 1 << 20
	slowDelay          = 700 * time.Millisecond
	staleListLag       = 5 * time.Second
	responseDelay      = 2 * time.Millisecond
	maxWatchWait       = 30 * time.Second
)

// Platform is a simulated platform. It is safe for concurrent use; create it with
// New.
type Platform struct {
	mu        sync.Mutex
	objects   map[string]object
	changed   chan struct{} // closed and replaced on each write
	faults    int
	instances []instance
	history   []instanceList // ordered by time
	reads     tokenBucket
	writes    tokenBucket
	counts    map[string]int // by kind of call
}

// object is one stored object. A deleted object stays with a nil value, so that its
// version keeps increasing when it is written again.
type object struct {
	value   []byte
	version uint64
}

// instance is one entry of the instance list, in its encoding.
type instance struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Start       uint64 `json:"start"`
	StopPlanned bool   `json:"leaving"`
}

// instanceList is the instance list as of one time.
type instanceList struct {
	time      time.Time
	instances []instance
}

// tokenBucket limits a rate of calls. Its capacity is the calls of one second.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes one token and reports whether there was one.
func (b *tokenBucket) take(rate float64, now time.Time) bool {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// New returns a platform without objects, instances and faults.
func New() *Platform {
	return &Platform{objects: map[string]object{}, changed: make(chan struct{}), counts: map[string]int{}}
}

// SetFaults sets the active faults. 0 means none.
func (p *Platform) SetFaults(faults int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Counts returns the number of calls so far by kind: read, write, watch and list.
func (p *Platform) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, v := range p.counts {
		out[k] = v
	}
	return out
}

// AddInstance adds an instance to the list, or replaces the one of the same name.
func (p *Platform) AddInstance(name, addr, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(name)
	p.instances = append(p.instances, instance{Name: name, Addr: addr, Zone: zone})
	p.recordHistoryLocked()
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(name)
	p.recordHistoryLocked()
}

func (p *Platform) removeLocked(name string) {
	kept := p.instances[:0:0]
	for _, in := range p.instances {
		if in.Name != name {
			kept = append(kept, in)
		}
	}
	p.instances = kept
}

func (p *Platform) recordHistoryLocked() {
	p.history = append(p.history, instanceList{time.Now(), append([]instance(nil), p.instances...)})
}

// visibleInstancesLocked returns the instance list that callers get.
func (p *Platform) visibleInstancesLocked() []instance {
	if p.faults&StaleList == 0 {
		return append([]instance{}, p.instances...)
	}
	visible := []instance{}
	for _, h := range p.history {
		if time.Since(h.time) >= staleListLag {
			visible = h.instances
		}
	}
	return visible
}

// ServeHTTP serves the object API, the instance list, and the admin API below
// /admin.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if strings.HasPrefix(path, "/admin/") {
		p.admin(w, r)
		return
	}
	w.Header().Set(htplat.CallIDHeader, r.Header.Get(htplat.CallIDHeader))
	kind := callKind(r)
	if !p.admitCall(w, kind) {
		return
	}
	switch {
	case path == "/v1/instances":
		p.mu.Lock()
		list := p.visibleInstancesLocked()
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

// callKind returns the kind under which a call is counted.
func callKind(r *http.Request) string {
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

// admitCall counts a call and applies the response delay, the faults and the rate
// limits. If it returns false, the call has been answered.
func (p *Platform) admitCall(w http.ResponseWriter, kind string) bool {
	p.mu.Lock()
	p.counts[kind]++
	faults := p.faults
	allowed := true
	if kind == "write" {
		allowed = p.writes.take(maxWritesPerSecond, time.Now())
	} else {
		allowed = p.reads.take(maxReadsPerSecond, time.Now())
	}
	p.mu.Unlock()
	time.Sleep(responseDelay)
	if faults&Slow != 0 {
		time.Sleep(slowDelay)
	}
	if faults&Outage != 0 {
		http.Error(w, "platform is unavailable: simulated outage", http.StatusServiceUnavailable)
		return false
	}
	if !allowed {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (p *Platform) list(w http.ResponseWriter, prefix string) {
	type entry struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}
	out := []entry{}
	p.mu.Lock()
	for k, o := range p.objects {
		if strings.HasPrefix(k, prefix) && o.value != nil {
			out = append(out, entry{k, o.value, o.version})
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

// writeObject writes an object, or only a status if the object does not exist.
func writeObject(w http.ResponseWriter, o object, notFoundStatus int) {
	if o.value == nil {
		w.WriteHeader(notFoundStatus)
		return
	}
	w.Header().Set(htplat.VersionHeader, strconv.FormatUint(o.version, 10))
	_, _ = w.Write(o.value)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string) {
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		http.Error(w, "if_version must be an unsigned integer", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("value exceeds %d bytes", maxValueBytes), http.StatusRequestEntityTooLarge)
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
	loseResponse := p.faults&LostReplies != 0
	p.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(htplat.VersionHeader, strconv.FormatUint(o.version, 10))
	if conflict {
		w.WriteHeader(http.StatusConflict)
	}
}

// watch blocks until the version of an object is later than the version in the
// parameter after.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		p.mu.Lock()
		o, changed, faults := p.objects[key], p.changed, p.faults
		p.mu.Unlock()
		if faults&Outage != 0 {
			http.Error(w, "platform is unavailable: simulated outage", http.StatusServiceUnavailable)
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
