// Package htplat is a client of the platform's object API over HTTP.
//
// # Usage
//
//	store := htplat.New("http://10.0.0.5:7000", watchWait)
//	object, err := store.Get(ctx, "lagoon/config")
//
// docs/INTERFACES.md describes the API. If no response arrives, or one that the API
// does not define, the error wraps lagoon.ErrUnavailable. A write that returned this
// error may have been applied.
//
// The platform may send a second copy of a response late, where the next one is expected. The
// ID of the call, which the platform should return, tells them apart; no connection is used
// again after a response without it.
package htplat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/heads"
	"github.com/lagoontrail/lagoon/pkg/whole"
)

// Headers of the API.
const (
	VersionHeader = "X-Object-Version" // an object's version
	CallIDHeader  = "X-Call-Id"        // the ID of a call, which its response returns
)

// maxObjectBytes is the platform's limit on the size of an object.
const maxObjectBytes = 1 << 20

// maxHeaderBytes is the maximum size of the headers of a response.
const maxHeaderBytes = 16 << 10

// Store is a lagoon.Store over HTTP. Create it with New.
type Store struct {
	baseURL   string
	client    *http.Client
	watchWait time.Duration
	calls     atomic.Uint64 // numbers the calls, for their IDs
	noIDs     atomic.Bool   // whether the last response had no ID
}

// New returns a client of the object API at baseURL. watchWait is the longest time
// for which the platform holds a watch request; 0 means 10 s.
func New(baseURL string, watchWait time.Duration) *Store {
	if watchWait <= 0 {
		watchWait = 10 * time.Second
	}
	return &Store{baseURL: baseURL, watchWait: watchWait, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, MaxResponseHeaderBytes: maxHeaderBytes}}}
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, key string) (lagoon.Object, error) {
	return s.read(ctx, key, "/v1/objects/"+key)
}

// Watch waits until the object's version exceeds after. It returns
// lagoon.ErrNotFound, wrapped, if that has not happened within the watch wait.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (lagoon.Object, error) {
	return s.read(ctx, key, fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", key, after, s.watchWait.Milliseconds()))
}

func (s *Store) read(ctx context.Context, key, path string) (lagoon.Object, error) {
	var o lagoon.Object
	status, header, body, err := s.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return o, err
	}
	switch status {
	case http.StatusOK:
		version, err := strconv.ParseUint(header.Get(VersionHeader), 10, 64)
		if err != nil {
			return o, errors.Wrapf(lagoon.ErrUnavailable, "read %s: invalid version %q in the response", key, header.Get(VersionHeader))
		}
		o.SetKey(key)
		o.SetValue(body)
		o.SetVersion(version)
		return o, nil
	case http.StatusNotFound, http.StatusNotModified:
		return o, errors.Wrapf(lagoon.ErrNotFound, "read %s", key)
	}
	return o, statusError("read "+key, status)
}

// Put writes an object if its version is ifVersion, and returns the new version.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > maxObjectBytes {
		return 0, errors.Errorf("put %s: %d bytes exceed the platform's limit of %d", key, len(value), maxObjectBytes)
	}
	status, header, _, err := s.call(ctx, http.MethodPut, fmt.Sprintf("/v1/objects/%s?if_version=%d", key, ifVersion), value)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		return strconv.ParseUint(header.Get(VersionHeader), 10, 64)
	case http.StatusConflict:
		return 0, errors.Wrapf(lagoon.ErrConflict, "put %s", key)
	}
	return 0, statusError("put "+key, status)
}

// Delete removes an object if its version is ifVersion.
func (s *Store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	status, _, _, err := s.call(ctx, http.MethodDelete, fmt.Sprintf("/v1/objects/%s?if_version=%d", key, ifVersion), nil)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(lagoon.ErrConflict, "delete %s", key)
	}
	return statusError("delete "+key, status)
}

// objectForm is the JSON form of an object in a list.
type objectForm struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// List returns the objects whose keys start with prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]lagoon.Object, error) {
	var entries []objectForm
	if err := s.readJSON(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &entries); err != nil {
		return nil, err
	}
	out := make([]lagoon.Object, len(entries))
	for i, f := range entries {
		out[i].SetKey(f.Key)
		out[i].SetValue(f.Value)
		out[i].SetVersion(f.Version)
	}
	return out, nil
}

// instanceForm is the JSON form of an entry of the instance list.
type instanceForm struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	StartID     uint64 `json:"start"`
	StopPlanned bool   `json:"leaving"`
}

// Instances returns the instance list.
func (s *Store) Instances(ctx context.Context) ([]lagoon.Instance, error) {
	var entries []instanceForm
	if err := s.readJSON(ctx, "/v1/instances", &entries); err != nil {
		return nil, err
	}
	out := make([]lagoon.Instance, len(entries))
	for i, f := range entries {
		out[i].SetName(f.Name)
		out[i].SetAddr(f.Addr)
		out[i].SetZone(f.Zone)
		out[i].SetStartID(f.StartID)
		out[i].SetStopPlanned(f.StopPlanned)
	}
	return out, nil
}

func (s *Store) readJSON(ctx context.Context, path string, out any) error {
	status, _, body, err := s.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return statusError("read "+path, status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrapf(lagoon.ErrUnavailable, "read %s: %v", path, err)
	}
	return nil
}

// call sends one request and reads the whole response.
func (s *Store) call(ctx context.Context, method, path string, body []byte) (int, http.Header, []byte, error) {
	var reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }})
	req, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "create a platform request")
	}
	// Without GetBody the transport does not resend the request. A write whose reply
	// was lost may have been applied, so only the caller can decide to retry it.
	req.GetBody = nil
	id := strconv.FormatUint(s.calls.Add(1), 10)
	req.Header.Set(CallIDHeader, id)
	req.Close = s.noIDs.Load()
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, nil, errors.Wrapf(lagoon.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	if err := checkHead(resp, id, reused.Load()); err != nil {
		_ = resp.Body.Close() // the response is not used
		s.client.CloseIdleConnections()
		return 0, nil, nil, errors.Wrapf(lagoon.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	data, err := whole.Read(resp.Body, 4*maxObjectBytes)
	if err != nil {
		return 0, nil, nil, errors.Wrapf(lagoon.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	noID := resp.Header.Get(CallIDHeader) == ""
	s.noIDs.Store(noID)
	if noID {
		s.client.CloseIdleConnections()
	}
	return resp.StatusCode, resp.Header, data, nil
}

// checkHead returns an error if a response may not be that to the call with an ID. Without an
// ID in the response, only the first one on a connection certainly is.
func checkHead(resp *http.Response, id string, reused bool) error {
	if err := heads.Check(resp); err != nil {
		return err
	}
	switch got := resp.Header.Get(CallIDHeader); {
	case got == "" && reused:
		return errors.New("the response has no ID, on a connection in use again")
	case got != "" && got != id:
		return errors.Errorf("the response belongs to call %q", got)
	}
	return nil
}

// statusError reports a response status that the API does not define.
func statusError(op string, status int) error {
	return errors.Wrapf(lagoon.ErrUnavailable, "%s: status %d", op, status)
}
