// Package htplat reaches the platform's object API over HTTP.
//
// # Usage
//
//	store := htplat.New("http://10.0.0.5:7000", wait)
//	object, err := store.Get(ctx, "lagoon/config")
//
// docs/INTERFACES.md describes the API. A request without a clear reply returns
// lagoon.ErrUnavailable, wrapped.
package htplat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// VersionHeader carries an object's version.
const VersionHeader = "X-Object-Version"

// maxObject bounds an object, in bytes.
const maxObject = 1 << 20

// Store is a lagoon.Store over HTTP. Make it with New.
type Store struct {
	base   string
	client *http.Client
	wait   time.Duration
}

// New returns a store at a base URL. wait is how long the platform may let a
// watch wait; 0 takes 10 s.
func New(base string, wait time.Duration) *Store {
	if wait <= 0 {
		wait = 10 * time.Second
	}
	return &Store{base: base, wait: wait, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, key string) (lagoon.Object, error) {
	return s.read(ctx, key, "/v1/objects/"+key)
}

// Watch waits until an object's version passes after.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (lagoon.Object, error) {
	return s.read(ctx, key, fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", key, after, s.wait.Milliseconds()))
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
			return o, errors.Wrapf(lagoon.ErrUnavailable, "read %s: bad version %q", key, header.Get(VersionHeader))
		}
		o.SetKey(key)
		o.SetValue(body)
		o.SetVersion(version)
		return o, nil
	case http.StatusNotFound, http.StatusNotModified:
		return o, errors.Wrapf(lagoon.ErrNotFound, "read %s", key)
	}
	return o, unexpected("read "+key, status)
}

// Put writes an object if it has a version.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > maxObject {
		return 0, errors.Errorf("put %s: %d bytes are over the platform's limit of %d", key, len(value), maxObject)
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
	return 0, unexpected("put "+key, status)
}

// Delete removes an object if it has a version.
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
	return unexpected("delete "+key, status)
}

// objectForm is an object in a list.
type objectForm struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// List returns the objects whose keys start with prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]lagoon.Object, error) {
	var forms []objectForm
	if err := s.readJSON(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &forms); err != nil {
		return nil, err
	}
	out := make([]lagoon.Object, len(forms))
	for i, f := range forms {
		out[i].SetKey(f.Key)
		out[i].SetValue(f.Value)
		out[i].SetVersion(f.Version)
	}
	return out, nil
}

// instanceForm is an entry of the instance list.
type instanceForm struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Start   uint64 `json:"start"`
	Leaving bool   `json:"leaving"`
}

// Instances returns the instance list.
func (s *Store) Instances(ctx context.Context) ([]lagoon.Instance, error) {
	var forms []instanceForm
	if err := s.readJSON(ctx, "/v1/instances", &forms); err != nil {
		return nil, err
	}
	out := make([]lagoon.Instance, len(forms))
	for i, f := range forms {
		out[i].SetName(f.Name)
		out[i].SetAddr(f.Addr)
		out[i].SetZone(f.Zone)
		out[i].SetStartID(f.Start)
		out[i].SetLeaving(f.Leaving)
	}
	return out, nil
}

func (s *Store) readJSON(ctx context.Context, path string, out any) error {
	status, _, body, err := s.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return unexpected("read "+path, status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrapf(lagoon.ErrUnavailable, "read %s: %v", path, err)
	}
	return nil
}

// call makes one request and reads the whole reply.
func (s *Store) call(ctx context.Context, method, path string, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errors.Wrap(err, "platform request")
	}
	req.GetBody = nil // a lost reply is for the caller to settle, not for a silent repeat
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, nil, errors.Wrapf(lagoon.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4*maxObject))
	if err != nil {
		return 0, nil, nil, errors.Wrapf(lagoon.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	return resp.StatusCode, resp.Header, data, nil
}

func unexpected(op string, status int) error {
	return errors.Wrapf(lagoon.ErrUnavailable, "%s: status %d", op, status)
}
