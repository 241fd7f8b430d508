package htapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/ctrl/accept"
	"github.com/lagoontrail/lagoon/internal/world"
)

// maxWatch is how long a watch waits.
const maxWatch = 10 * time.Second

// maxActions bounds one answer with actions.
const maxActions = 500

// resources returns the JSON forms of the resources in a configuration.
func (a *API) resources(c lagoon.Config, kind, name string) []json.RawMessage {
	out := []json.RawMessage{}
	add := func(k, n string, v any) {
		if (kind != "" && kind != k) || (name != "" && name != n) {
			return
		}
		data, err := a.codec.EncodeResource(v)
		if err == nil {
			out = append(out, data)
		}
	}
	for _, s := range c.Services() {
		add("service", s.Name(), s)
	}
	for _, z := range c.Zones() {
		add("zone", z.Name(), z)
	}
	for _, r := range c.Rules() {
		add("rule", r.Name(), r)
	}
	return out
}

func (a *API) config(w http.ResponseWriter) (lagoon.Config, bool) {
	var c lagoon.Config
	if !a.control.Do(func(w *world.World) { c = w.Config() }) {
		fail(w, http.StatusServiceUnavailable, "the node has stopped")
		return c, false
	}
	return c, true
}

func (a *API) listResources(w http.ResponseWriter, r *http.Request) {
	if c, ok := a.config(w); ok {
		writeJSON(w, http.StatusOK, map[string]any{"revision": c.Revision(), "items": a.resources(c, r.URL.Query().Get("kind"), "")})
	}
}

func (a *API) getResource(w http.ResponseWriter, r *http.Request) {
	c, ok := a.config(w)
	if !ok {
		return
	}
	items := a.resources(c, r.PathValue("kind"), r.PathValue("name"))
	if len(items) == 0 {
		fail(w, http.StatusNotFound, r.PathValue("kind")+" "+r.PathValue("name")+" is not declared")
		return
	}
	writeJSON(w, http.StatusOK, items[0])
}

// outcome carries the reply to a change between goroutines.
type outcome struct {
	accepted lagoon.ChangeResult
	err      error
}

// putResource accepts a change: PUT declares, DELETE removes.
func (a *API) putResource(w http.ResponseWriter, r *http.Request) {
	c, err := a.readChange(w, r)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	done := make(chan outcome, 1)
	started := a.control.Do(func(w *world.World) {
		accept.Change(w, c, func(acc lagoon.ChangeResult, err error) { done <- outcome{acc, err} })
	})
	if !started {
		fail(w, http.StatusServiceUnavailable, "the node has stopped; nothing was changed")
		return
	}
	select {
	case o := <-done:
		writeOutcome(w, o)
	case <-r.Context().Done():
	}
}

func (a *API) readChange(w http.ResponseWriter, r *http.Request) (lagoon.Change, error) {
	version := uint64(0)
	if text := r.URL.Query().Get("if_version"); text != "" {
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return lagoon.Change{}, errors.Errorf("if_version is %q; a whole number is expected", text)
		}
		version = v
	}
	data := []byte("{}")
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			return lagoon.Change{}, errors.Wrapf(err, "read the body; at most %d bytes are allowed", maxBody)
		}
		data = body
	}
	c, err := a.codec.DecodeChange(r.PathValue("kind"), r.PathValue("name"), data)
	if err != nil {
		return c, err
	}
	c.SetRemove(r.Method == http.MethodDelete)
	c.SetIfVersion(version)
	return c, nil
}

func writeOutcome(w http.ResponseWriter, o outcome) {
	switch {
	case o.err == nil:
		writeJSON(w, http.StatusOK, map[string]any{
			"version": o.accepted.Version(), "revision": o.accepted.Revision(),
			"in_force": o.accepted.InForce(), "in_force_ms": o.accepted.Duration().Milliseconds(),
		})
	case errors.Is(o.err, lagoon.ErrConflict):
		writeJSON(w, http.StatusConflict, map[string]any{"error": o.err.Error(), "current_version": o.accepted.Version()})
	case errors.Is(o.err, lagoon.ErrUnavailable):
		fail(w, http.StatusServiceUnavailable, o.err.Error())
	default:
		fail(w, http.StatusUnprocessableEntity, o.err.Error())
	}
}

// watch waits until the configuration's revision passes after.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	changed := make(chan lagoon.Config, 1)
	ok := a.control.Do(func(c *world.World) {
		limit := c.Clock().Now() + maxWatch
		c.AddWaiter(func(now time.Duration) bool {
			if c.Config().Revision() <= after && now < limit {
				return false
			}
			changed <- c.Config()
			return true
		})
	})
	if !ok {
		fail(w, http.StatusServiceUnavailable, "the node has stopped")
		return
	}
	select {
	case c := <-changed:
		writeJSON(w, http.StatusOK, map[string]any{"revision": c.Revision(), "items": a.resources(c, "", "")})
	case <-r.Context().Done():
	}
}

// actionForm is an action or a decision in JSON.
type actionForm struct {
	Seq     uint64    `json:"seq,omitempty"`
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject"`
	Query   string    `json:"query_id,omitempty"`
	Reason  string    `json:"reason"`
}

// actions lists the control actions after a number, oldest first.
func (a *API) actions(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	out := []actionForm{}
	ok := a.control.Do(func(c *world.World) {
		for i := range c.Actions().Len() {
			if x := c.Actions().At(i); x.Seq() > after {
				out = append(out, actionForm{Seq: x.Seq(), At: x.Time(), Node: x.Node(), Kind: x.Kind(), Subject: x.Subject(), Reason: x.Reason()})
			}
		}
	})
	if !ok {
		fail(w, http.StatusServiceUnavailable, "the node has stopped")
		return
	}
	sortActions(out)
	if len(out) > maxActions {
		out = out[:maxActions]
	}
	writeJSON(w, http.StatusOK, map[string]any{"actions": out})
}

// explain lists what was decided about one query, server, zone, node or
// service, and why.
func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	found := a.journal.Find(func(d lagoon.Decision) bool {
		if kind == "query" {
			return d.RequestID() == name
		}
		return d.Subject() == name && d.RequestID() == ""
	})
	out := []actionForm{}
	for _, d := range found {
		out = append(out, actionForm{At: d.Time(), Node: d.Node(), Kind: d.Kind(), Subject: d.Subject(), Query: d.RequestID(), Reason: d.Reason()})
	}
	reply := map[string]any{"kind": kind, "name": name, "decisions": out}
	if kind == "server" || kind == "zone" {
		a.control.Do(func(c *world.World) { reply["state"] = stateOf(c, kind, name) })
	}
	writeJSON(w, http.StatusOK, reply)
}

// ready says whether the node takes on queries.
func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	ready := false
	a.control.Do(func(c *world.World) { ready = c.LeaseUntil() > c.Clock().Now() && c.StoppingSince() == 0 })
	if !ready {
		fail(w, http.StatusServiceUnavailable, "not ready: no lease, or stopping")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
