package htapi

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/world"
)

func (a *API) query(w http.ResponseWriter, r *http.Request) {
	q, err := a.readQuery(w, r)
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	began := time.Now()
	answer := a.handler.Query(r.Context(), q)
	a.metrics.Query(q.Service(), answer, time.Since(began))
	writeRaw(w, statusOf(answer.Outcome()), a.codec.EncodeAnswer(answer))
}

// readQuery returns the query of a request, or what is wrong with it.
func (a *API) readQuery(w http.ResponseWriter, r *http.Request) (lagoon.Query, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return lagoon.Query{}, errors.Wrapf(err, "read the body; at most %d bytes are allowed", maxBody)
	}
	_ = control.SetReadDeadline(time.Time{})
	q, err := a.codec.DecodeQuery(data)
	if err == nil && q.ID() == "" {
		q.SetID(uuid.NewString())
	}
	return q, err
}

func statusOf(o lagoon.Outcome) int {
	switch o {
	case lagoon.OutcomeAnswered, lagoon.OutcomePartial:
		return http.StatusOK
	case lagoon.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case lagoon.OutcomeInvalid:
		return http.StatusBadRequest
	}
	return http.StatusGatewayTimeout
}

// addressForm is one node that a caller may use.
type addressForm struct {
	Addr string `json:"addr"`
	Node string `json:"node"`
	Zone string `json:"zone"`
}

// addresses lists the nodes to use: those of the caller's zone first, without
// nodes that are leaving, silent or not ready.
func (a *API) addresses(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	near, far := []addressForm{}, []addressForm{}
	add := func(m lagoon.Member) {
		f := addressForm{m.Addr(), m.Name(), m.Zone()}
		if m.Zone() == zone {
			near = append(near, f)
			return
		}
		far = append(far, f)
	}
	ok := a.control.Do(func(c *world.World) {
		now := c.Clock().Now()
		if c.LeaseUntil() > now && c.StoppingSince() == 0 && !zoneOut(c, c.Self().Zone()) {
			add(c.Self())
		}
		for i := range c.Nodes().Len() {
			n := c.Nodes().At(i)
			if c.Live(c.Nodes().Key(i), now) && n.Ready() && !n.Stopping() && !zoneOut(c, n.Member().Zone()) {
				add(n.Member())
			}
		}
	})
	if !ok {
		fail(w, http.StatusServiceUnavailable, "the node has stopped")
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"addresses": append(near, far...), "ttl_seconds": int(a.ttl.Seconds())})
}

func zoneOut(c *world.World, zone string) bool {
	z, ok := c.Zones().Find(zone)
	return ok && z.Out()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeRaw(w, status, data)
}

func writeRaw(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func fail(w http.ResponseWriter, status int, problem string) {
	writeJSON(w, status, map[string]string{"error": problem})
}
