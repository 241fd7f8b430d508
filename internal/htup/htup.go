// Package htup sends requests to servers over HTTP.
//
// # Usage
//
//	up, stop := htup.New()
//	defer stop()
//	reply := up.Send(ctx, call)
//
// docs/INTERFACES.md describes the protocol. Connections are reused, because a
// server needs milliseconds to open one. The client never retries a request. A server may
// send a second copy of a response late, where the next one is expected; the ID of the call,
// which servers return, tells them apart.
package htup

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/heads"
	"github.com/lagoontrail/lagoon/pkg/whole"
)

// Headers of the protocol.
const (
	TimeoutHeader  = "X-Timeout-Ms"
	StartIDHeader  = "X-Start-Id"
	ColdHeader     = "X-Cold"
	DrainingHeader = "X-Draining"
	CallIDHeader   = "X-Call-Id"
)

// Limits of connections and responses.
const (
	dialTimeout         = time.Second
	idleTimeout         = 90 * time.Second
	maxIdleConnsPerHost = 16
	maxResponseBytes    = 8 << 20
	maxHeaderBytes      = 16 << 10 // of a response
)

// Client is a lagoon.Upstream over HTTP. Create it with New.
type Client struct {
	calls  *http.Client
	probes *http.Client // on connections of their own, because servers may return no ID in reports
	lastID atomic.Uint64
}

// New returns a client. The cleanup function closes its idle connections; call
// it when no request is running.
func New() (*Client, func()) {
	c := &Client{calls: newHTTPClient(), probes: newHTTPClient()}
	return c, func() {
		c.calls.CloseIdleConnections()
		c.probes.CloseIdleConnections()
	}
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	transport := &http.Transport{
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	}
	return &http.Client{Transport: transport, CheckRedirect: followNone}
}

// followNone makes a client return redirects. The response of another server would count as
// that of the server that was asked.
func followNone(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends one request and waits for its result. It returns StatusNotSent only if
// the server cannot have received the request: the transport had no connection yet.
func (c *Client) Send(ctx context.Context, call lagoon.Call) lagoon.Reply {
	req, err := newRequest(ctx, call)
	if err != nil {
		return failedReply(lagoon.StatusNotSent, err)
	}
	if ctx.Err() != nil {
		return failedReply(lagoon.StatusNotSent, ctx.Err())
	}
	resp, connected, err := c.do(c.calls, req)
	switch {
	case err != nil && !connected:
		return failedReply(lagoon.StatusNotSent, err)
	case err != nil:
		return failedReply(lagoon.StatusUnknown, err)
	}
	defer resp.Body.Close()
	body, err := whole.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return failedReply(lagoon.StatusUnknown, err)
	}
	return newReply(resp, body)
}

// do sends a request with a new call ID and returns the response to it. connected reports
// whether there was a connection, so that the server may have received the request.
func (c *Client) do(client *http.Client, req *http.Request) (resp *http.Response, connected bool, err error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used.Store(info.Conn.(*conn)) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	id := strconv.FormatUint(c.lastID.Add(1), 10)
	req.Header.Set(CallIDHeader, id)
	if resp, err = client.Do(req); err != nil {
		return nil, used.Load() != nil, err
	}
	if err := used.Load().check(resp, id); err != nil {
		_ = used.Load().Close() // the response to this call may follow, and must be nobody's
		_ = resp.Body.Close()
		return nil, true, err
	}
	return resp, true, nil
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	returnsID atomic.Bool // whether a response on it had the ID of its call
}

// check returns why a response is not that to the call with an ID, or nil.
func (c *conn) check(resp *http.Response, id string) error {
	got := resp.Header.Get(CallIDHeader)
	switch {
	case got == "" && c.returnsID.Load():
		return errors.New("the response has no call ID, as earlier ones on its connection had")
	case got != "" && got != id:
		return errors.Errorf("the response belongs to call %q", got)
	case got == id:
		c.returnsID.Store(true)
	}
	return heads.Check(resp)
}

func newRequest(ctx context.Context, call lagoon.Call) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/search?service=%s&shard=%d&map=%d&index=%d", call.Addr(), call.Service(), call.Shard(), call.Snapshot().MapVersion(), call.Snapshot().IndexVersion())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body()))
	if err != nil {
		return nil, errors.Wrap(err, "create a server request")
	}
	req.GetBody = nil // keeps the transport from resending the request
	req.Header.Set(TimeoutHeader, strconv.FormatInt(max(call.Timeout().Milliseconds(), 1), 10))
	return req, nil
}

func failedReply(status lagoon.Status, err error) lagoon.Reply {
	var r lagoon.Reply
	r.SetStatus(status)
	r.SetDetail(err.Error())
	return r
}

func newReply(resp *http.Response, body []byte) lagoon.Reply {
	var r lagoon.Reply
	r.SetBody(body)
	r.SetReport(parseReportHeaders(resp.Header))
	switch resp.StatusCode {
	case http.StatusOK:
		r.SetStatus(lagoon.StatusOK)
	case http.StatusServiceUnavailable:
		r.SetStatus(lagoon.StatusRefused)
		r.SetDetail("the server refused the request before running it")
	case http.StatusGone:
		r.SetStatus(lagoon.StatusSnapshotGone)
		r.SetDetail("the server does not hold the snapshot")
	default:
		r.SetStatus(lagoon.StatusUnknown)
		r.SetDetail("the server responded with status " + strconv.Itoa(resp.StatusCode))
	}
	return r
}

// parseReportHeaders returns the report in a response's headers. It is empty if the
// start ID is missing or invalid.
func parseReportHeaders(h http.Header) lagoon.Report {
	var r lagoon.Report
	startID, err := strconv.ParseUint(h.Get(StartIDHeader), 10, 64)
	if err != nil {
		return r
	}
	r.SetStartID(startID)
	r.SetCold(h.Get(ColdHeader) == "true")
	r.SetDraining(h.Get(DrainingHeader) == "true")
	return r
}

// reportForm is the JSON form of a server's report.
type reportForm struct {
	StartID   uint64   `json:"start_id"`
	Snapshots []string `json:"snapshots"`
	Draining  bool     `json:"draining"`
	Inflight  int      `json:"inflight"`
	Cold      bool     `json:"cold"`
}

// Probe requests a server's report.
func (c *Client) Probe(ctx context.Context, addr string) (lagoon.Report, error) {
	var r lagoon.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/report", nil)
	if err != nil {
		return r, errors.Wrap(err, "probe")
	}
	resp, _, err := c.do(c.probes, req)
	if err != nil {
		return r, errors.Wrap(err, "probe")
	}
	defer resp.Body.Close()
	var form reportForm
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&form); err != nil {
		return r, errors.Wrap(err, "probe: decode the report")
	}
	if resp.StatusCode != http.StatusOK {
		return r, errors.Errorf("probe: status %d", resp.StatusCode)
	}
	r.SetStartID(form.StartID)
	r.SetDraining(form.Draining)
	r.SetInflight(form.Inflight)
	r.SetCold(form.Cold)
	return r, parseSnapshots(&r, form.Snapshots)
}

// parseSnapshots sets a report's snapshots from names of the form MAP.INDEX.
func parseSnapshots(r *lagoon.Report, names []string) error {
	for _, name := range names {
		mapText, indexText, _ := strings.Cut(name, ".")
		mapVersion, errMap := strconv.ParseUint(mapText, 10, 32)
		indexVersion, errIndex := strconv.ParseUint(indexText, 10, 32)
		if errMap != nil || errIndex != nil {
			return errors.Errorf("probe: snapshot is %q; must have the form MAP.INDEX", name)
		}
		r.SetSnapshots(append(r.Snapshots(), lagoon.NewSnapshot(uint32(mapVersion), uint32(indexVersion))))
	}
	return nil
}
