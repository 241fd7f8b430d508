package htapi

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
	"github.com/lagoontrail/lagoon/internal/world"
)

func (a *API) query(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(wire.CallIDHeader); id != "" {
		w.Header().Set(wire.CallIDHeader, id)
	}
	q, err := a.decodeQuery(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	start := time.Now()
	answer := a.handler.Query(r.Context(), q)
	a.metrics.ObserveQuery(q.Service(), answer, time.Since(start))
	writeBody(w, statusCode(answer.Outcome()), a.codec.EncodeAnswer(answer))
}

// decodeQuery returns the query in a request's body. It generates an ID if the
// query has none.
func (a *API) decodeQuery(w http.ResponseWriter, r *http.Request) (lagoon.Query, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(readBodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return lagoon.Query{}, errors.Wrapf(err, "read the request body (at most %d bytes)", maxBodyBytes)
	}
	_ = controller.SetReadDeadline(time.Time{})
	q, err := a.codec.DecodeQuery(data)
	if err == nil && q.ID() == "" {
		q.SetID(uuid.NewString())
	}
	return q, err
}

func statusCode(o lagoon.Outcome) int {
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

// addressForm is the JSON form of a node that a caller may use.
type addressForm struct {
	Addr string `json:"addr"`
	Node string `json:"node"`
	Zone string `json:"zone"`
}

// addresses lists the nodes that a caller may use, those in its zone first. It
// omits nodes that are stopping, not ready, without a recent heartbeat or in a zone
// that is out.
func (a *API) addresses(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	sameZone, otherZones := []addressForm{}, []addressForm{}
	add := func(m lagoon.Member) {
		f := addressForm{m.Addr(), m.Name(), m.Zone()}
		if m.Zone() == zone {
			sameZone = append(sameZone, f)
			return
		}
		otherZones = append(otherZones, f)
	}
	ok := a.control.Do(func(ctl *world.World) {
		now := ctl.Clock().Now()
		if ctl.LeaseUntil() > now && ctl.StoppingSince() == 0 && !zoneOut(ctl, ctl.Self().Zone()) {
			add(ctl.Self())
		}
		for i := range ctl.Nodes().Len() {
			n := ctl.Nodes().At(i)
			if ctl.Live(ctl.Nodes().Key(i), now) && n.Ready() && !n.Stopping() && !zoneOut(ctl, n.Member().Zone()) {
				add(n.Member())
			}
		}
	})
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "the node has stopped")
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"addresses": append(sameZone, otherZones...), "ttl_seconds": int(a.addressTTL.Seconds())})
}

// zoneOut reports whether an operator has taken the zone out of service.
func zoneOut(w *world.World, zone string) bool {
	z, ok := w.Zones().Find(zone)
	return ok && z.Out()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, status, data)
}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// writeError writes an error response in JSON.
func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}
