// Package chgout makes an operator's change through a node's API and holds what
// came of it.
//
// # Usage
//
//	o, err := chgout.Send(ctx, addr, "zone", "cph-1", version, body)
//	if o.Accepted() && o.InForce() { ... }
package chgout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Outcome is a node's reply to an operator's change.
type Outcome struct {
	status int
	form   outcomeForm
}

type outcomeForm struct {
	Version   uint64 `json:"version"`
	Revision  uint64 `json:"revision"`
	InForce   bool   `json:"in_force"`
	InForceMS int64  `json:"in_force_ms"`
	Current   uint64 `json:"current_version"`
	Error     string `json:"error"`
}

// Accepted reports whether the change was accepted.
func (o Outcome) Accepted() bool { return o.status == http.StatusOK }

// Conflict reports whether the change lost a race.
func (o Outcome) Conflict() bool { return o.status == http.StatusConflict }

// InForce reports whether the change is in force everywhere.
func (o Outcome) InForce() bool { return o.form.InForce }

// InForceMS returns the time until it was in force, in milliseconds.
func (o Outcome) InForceMS() int64 { return o.form.InForceMS }

// Version returns the resource's version, also after a lost race.
func (o Outcome) Version() uint64 { return max(o.form.Version, o.form.Current) }

// Revision returns the configuration revision of an accepted change.
func (o Outcome) Revision() uint64 { return o.form.Revision }

// Problem returns why the change was not accepted.
func (o Outcome) Problem() string { return o.form.Error }

// Send declares a resource through the node at addr. An error means that no
// reply came.
func Send(ctx context.Context, addr, kind, name string, ifVersion uint64, body any) (Outcome, error) {
	var o Outcome
	data, err := json.Marshal(body)
	if err != nil {
		return o, errors.Wrap(err, "change")
	}
	url := fmt.Sprintf("http://%s/v1/resources/%s/%s?if_version=%d", addr, kind, name, ifVersion)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return o, errors.Wrap(err, "change")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return o, errors.Wrap(err, "change")
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if err := json.NewDecoder(resp.Body).Decode(&o.form); err != nil {
		return o, errors.Wrap(err, "change: read the reply")
	}
	return o, nil
}
