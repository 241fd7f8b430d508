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
package htplat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/pkg/whole"
)

// VersionHeader is the response header with an object's version.
const VersionHeader = "X-Object-Version"

// maxObjectBytes is the platform's limit on the size of an object.
const maxObjectBytes = 1 << 20

// maxHeaderBytes is the maximum size of the headers of a response.
const maxHeaderBytes = 16 << 10

// Store is a lagoon.Store over HTTP. Create it with New.
type Store struct {
	baseURL   string
	client    *http.Client
	watchWait time.Duration
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
	req, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "create a platform request")
	}
	// Without GetBody the transport does not resend the request. A write whose reply
	// was lost may have been applied, so only the caller can decide to retry it.
	req.GetBody = nil
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, nil, errors.Wrapf(lagoon.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	data, err := whole.Read(resp.Body, 4*maxObjectBytes)
	if err != nil {
		return 0, nil, nil, errors.Wrapf(lagoon.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	return resp.StatusCode, resp.Header, data, nil
}

// statusError reports a response status that the API does not define.
func statusError(op string, status int) error {
	return errors.Wrapf(lagoon.ErrUnavailable, "%s: status %d", op, status)
}
