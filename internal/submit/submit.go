// Package submit is the client for /v1/resources: it sends an operator's change
// to a node and returns the node's response.
//
// # Usage
//
//	r, err := submit.Send(ctx, addr, "zone", "cph-1", version, body)
//	if r.Accepted() && r.InForce() { ... }
package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Result is a node's response to an operator's change.
type Result struct {
	status int
	reply  replyForm
}

type replyForm struct {
	Version   uint64 `json:"version"`
	Revision  uint64 `json:"revision"`
	InForce   bool   `json:"in_force"`
	InForceMS int64  `json:"in_force_ms"`
	Current   uint64 `json:"current_version"`
	Error     string `json:"error"`
}

// Accepted reports whether the change was accepted.
func (r Result) Accepted() bool { return r.status == http.StatusOK }

// Conflict reports whether the resource had another version than expected.
func (r Result) Conflict() bool { return r.status == http.StatusConflict }

// InForce reports whether the change is in force at all nodes.
func (r Result) InForce() bool { return r.reply.InForce }

// InForceMS returns the time from acceptance until the change was in force, in
// milliseconds.
func (r Result) InForceMS() int64 { return r.reply.InForceMS }

// Version returns the resource's current version, also after a conflict.
func (r Result) Version() uint64 { return max(r.reply.Version, r.reply.Current) }

// Revision returns the configuration revision of an accepted change.
func (r Result) Revision() uint64 { return r.reply.Revision }

// Reason returns why the change was not accepted.
func (r Result) Reason() string { return r.reply.Error }

// Send puts a resource through the node at addr. It returns an error if no valid
// response was received.
func Send(ctx context.Context, addr, kind, name string, ifVersion uint64, body any) (Result, error) {
	var result Result
	data, err := json.Marshal(body)
	if err != nil {
		return result, errors.Wrap(err, "change")
	}
	url := fmt.Sprintf("http://%s/v1/resources/%s/%s?if_version=%d", addr, kind, name, ifVersion)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return result, errors.Wrap(err, "change")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "change")
	}
	defer resp.Body.Close()
	result.status = resp.StatusCode
	if err := json.NewDecoder(resp.Body).Decode(&result.reply); err != nil {
		return result, errors.Wrap(err, "change: decode the response")
	}
	return result, nil
}
