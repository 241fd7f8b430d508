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

// maxWatchWait is the longest time for which a watch request waits.
const maxWatchWait = 10 * time.Second

// maxActions limits the number of actions in one response.
const maxActions = 500

// encodeResources returns the resources of a configuration in JSON. An empty kind
// or name selects all.
func (a *API) encodeResources(c lagoon.Config, kind, name string) []json.RawMessage {
	items := []json.RawMessage{}
	add := func(k, n string, v any) {
		if (kind != "" && kind != k) || (name != "" && name != n) {
			return
		}
		data, err := a.codec.EncodeResource(v)
		if err == nil {
			items = append(items, data)
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
	return items
}

// currentConfig returns the configuration that the node uses. It writes an error
// response and returns false if the node has stopped.
func (a *API) currentConfig(w http.ResponseWriter) (lagoon.Config, bool) {
	var c lagoon.Config
	if !a.control.Do(func(ctl *world.World) { c = ctl.Config() }) {
		writeError(w, http.StatusServiceUnavailable, "the node has stopped")
		return c, false
	}
	return c, true
}

func (a *API) listResources(w http.ResponseWriter, r *http.Request) {
	if c, ok := a.currentConfig(w); ok {
		writeJSON(w, http.StatusOK, map[string]any{"revision": c.Revision(), "items": a.encodeResources(c, r.URL.Query().Get("kind"), "")})
	}
}

func (a *API) getResource(w http.ResponseWriter, r *http.Request) {
	c, ok := a.currentConfig(w)
	if !ok {
		return
	}
	items := a.encodeResources(c, r.PathValue("kind"), r.PathValue("name"))
	if len(items) == 0 {
		writeError(w, http.StatusNotFound, r.PathValue("kind")+" "+r.PathValue("name")+" is not declared")
		return
	}
	writeJSON(w, http.StatusOK, items[0])
}

// changeReply is the reply of the control goroutine to a change.
type changeReply struct {
	result lagoon.ChangeResult
	err    error
}

// changeResource declares a resource on PUT and removes it on DELETE.
func (a *API) changeResource(w http.ResponseWriter, r *http.Request) {
	change, err := a.decodeChange(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	replies := make(chan changeReply, 1)
	started := a.control.Do(func(ctl *world.World) {
		accept.Change(ctl, change, func(result lagoon.ChangeResult, err error) { replies <- changeReply{result, err} })
	})
	if !started {
		writeError(w, http.StatusServiceUnavailable, "the node has stopped; nothing was changed")
		return
	}
	select {
	case reply := <-replies:
		writeChangeReply(w, reply)
	case <-r.Context().Done():
	}
}

// decodeChange returns the change that a PUT or DELETE request describes.
func (a *API) decodeChange(w http.ResponseWriter, r *http.Request) (lagoon.Change, error) {
	version := uint64(0)
	if text := r.URL.Query().Get("if_version"); text != "" {
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return lagoon.Change{}, errors.Errorf("if_version is %q; must be a non-negative integer", text)
		}
		version = v
	}
	data := []byte("{}") // a DELETE needs no body
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			return lagoon.Change{}, errors.Wrapf(err, "read the request body (at most %d bytes)", maxBodyBytes)
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

func writeChangeReply(w http.ResponseWriter, reply changeReply) {
	switch {
	case reply.err == nil:
		writeJSON(w, http.StatusOK, map[string]any{
			"version": reply.result.Version(), "revision": reply.result.Revision(),
			"in_force": reply.result.InForce(), "in_force_ms": reply.result.Duration().Milliseconds(),
		})
	case errors.Is(reply.err, lagoon.ErrConflict):
		writeJSON(w, http.StatusConflict, map[string]any{"error": reply.err.Error(), "current_version": reply.result.Version()})
	case errors.Is(reply.err, lagoon.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, reply.err.Error())
	default:
		writeError(w, http.StatusUnprocessableEntity, reply.err.Error())
	}
}

// watch responds with the configuration once its revision exceeds the "after"
// parameter, or with the same revision once maxWatchWait has passed.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	changed := make(chan lagoon.Config, 1)
	ok := a.control.Do(func(ctl *world.World) {
		deadline := ctl.Clock().Now() + maxWatchWait
		ctl.AddWaiter(func(now time.Duration) bool {
			if ctl.Config().Revision() <= after && now < deadline {
				return false
			}
			changed <- ctl.Config()
			return true
		})
	})
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "the node has stopped")
		return
	}
	select {
	case c := <-changed:
		writeJSON(w, http.StatusOK, map[string]any{"revision": c.Revision(), "items": a.encodeResources(c, "", "")})
	case <-r.Context().Done():
	}
}

// actionForm is the JSON form of an action or a decision.
type actionForm struct {
	Seq     uint64    `json:"seq,omitempty"`
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject"`
	Query   string    `json:"query_id,omitempty"`
	Reason  string    `json:"reason"`
}

// actions lists the control actions whose sequence numbers exceed the "after"
// parameter, oldest first.
func (a *API) actions(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	actions := []actionForm{}
	ok := a.control.Do(func(ctl *world.World) {
		for i := range ctl.Actions().Len() {
			if x := ctl.Actions().At(i); x.Seq() > after {
				actions = append(actions, actionForm{Seq: x.Seq(), At: x.Time(), Node: x.Node(), Kind: x.Kind(), Subject: x.Subject(), Reason: x.Reason()})
			}
		}
	})
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "the node has stopped")
		return
	}
	sortBySeq(actions)
	if len(actions) > maxActions {
		actions = actions[:maxActions]
	}
	writeJSON(w, http.StatusOK, map[string]any{"actions": actions})
}

// explain lists the recorded decisions about one query, server, zone, node or
// service, with their reasons.
func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	decisions := a.journal.Find(func(d lagoon.Decision) bool {
		if kind == "query" {
			return d.RequestID() == name
		}
		return d.Subject() == name && d.RequestID() == ""
	})
	forms := []actionForm{}
	for _, d := range decisions {
		forms = append(forms, actionForm{At: d.Time(), Node: d.Node(), Kind: d.Kind(), Subject: d.Subject(), Query: d.RequestID(), Reason: d.Reason()})
	}
	reply := map[string]any{"kind": kind, "name": name, "decisions": forms}
	if kind == "server" || kind == "zone" {
		a.control.Do(func(ctl *world.World) { reply["state"] = findState(ctl, kind, name) })
	}
	writeJSON(w, http.StatusOK, reply)
}

// ready responds with 200 while the node accepts queries: it holds a lease and is
// not stopping.
func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	ready := false
	a.control.Do(func(ctl *world.World) { ready = ctl.LeaseUntil() > ctl.Clock().Now() && ctl.StoppingSince() == 0 })
	if !ready {
		writeError(w, http.StatusServiceUnavailable, "not ready: the node holds no lease or is stopping")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
