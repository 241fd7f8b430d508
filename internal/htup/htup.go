// Package htup sends requests to servers over HTTP.
//
// # Usage
//
//	up, stop := htup.New()
//	defer stop()
//	reply := up.Send(ctx, call)
//
// docs/INTERFACES.md describes the protocol. Connections are kept open, as a
// server takes milliseconds to open one. A request is never repeated here.
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
)

// Headers of the protocol.
const (
	TimeoutHeader  = "X-Timeout-Ms"
	StartHeader    = "X-Start-Id"
	ColdHeader     = "X-Cold"
	DrainingHeader = "X-Draining"
)

// Settings of connections.
const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	idlePerHost = 16
	maxAnswer   = 8 << 20 // bytes
)

// Client is a lagoon.Upstream over HTTP. Make it with New.
type Client struct {
	client *http.Client
}

// New returns a client. The clean-up function closes its idle connections; call
// it when no request runs any more.
func New() (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{client: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Send sends one request and waits for its end.
func (c *Client) Send(ctx context.Context, call lagoon.Call) lagoon.Reply {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return failed(lagoon.StatusNotSent, err)
	}
	if ctx.Err() != nil {
		return failed(lagoon.StatusNotSent, ctx.Err())
	}
	resp, err := c.client.Do(req)
	if err != nil && !wrote.Load() {
		return failed(lagoon.StatusNotSent, err)
	}
	if err != nil {
		return failed(lagoon.StatusUnknown, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return failed(lagoon.StatusUnknown, err)
	}
	return replyOf(resp, body)
}

func request(ctx context.Context, call lagoon.Call) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/v1/search?service=%s&shard=%d&map=%d&index=%d", call.Addr(), call.Service(), call.Shard(), call.Snapshot().MapVersion(), call.Snapshot().IndexVersion())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body()))
	if err != nil {
		return nil, errors.Wrap(err, "server request")
	}
	req.GetBody = nil // the transport must never send the request a second time
	req.Header.Set(TimeoutHeader, strconv.FormatInt(max(call.Timeout().Milliseconds(), 1), 10))
	return req, nil
}

func failed(status lagoon.Status, err error) lagoon.Reply {
	var r lagoon.Reply
	r.SetStatus(status)
	r.SetDetail(err.Error())
	return r
}

func replyOf(resp *http.Response, body []byte) lagoon.Reply {
	var r lagoon.Reply
	r.SetBody(body)
	r.SetReport(reportOf(resp.Header))
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
		r.SetDetail("the server answered with status " + strconv.Itoa(resp.StatusCode))
	}
	return r
}

func reportOf(h http.Header) lagoon.Report {
	var r lagoon.Report
	start, err := strconv.ParseUint(h.Get(StartHeader), 10, 64)
	if err != nil {
		return r
	}
	r.SetStartID(start)
	r.SetCold(h.Get(ColdHeader) == "true")
	r.SetDraining(h.Get(DrainingHeader) == "true")
	return r
}

// reportForm is a server's report in JSON.
type reportForm struct {
	Start     uint64   `json:"start_id"`
	Snapshots []string `json:"snapshots"`
	Draining  bool     `json:"draining"`
	Inflight  int      `json:"inflight"`
	Cold      bool     `json:"cold"`
}

// Probe asks a server for its report.
func (c *Client) Probe(ctx context.Context, addr string) (lagoon.Report, error) {
	var r lagoon.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/report", nil)
	if err != nil {
		return r, errors.Wrap(err, "probe")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return r, errors.Wrap(err, "probe")
	}
	defer resp.Body.Close()
	var form reportForm
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&form); err != nil {
		return r, errors.Wrap(err, "probe: read the report")
	}
	if resp.StatusCode != http.StatusOK {
		return r, errors.Errorf("probe: status %d", resp.StatusCode)
	}
	r.SetStartID(form.Start)
	r.SetDraining(form.Draining)
	r.SetInflight(form.Inflight)
	r.SetCold(form.Cold)
	return r, setSnapshots(&r, form.Snapshots)
}

// setSnapshots reads snapshots of the form MAP.INDEX.
func setSnapshots(r *lagoon.Report, names []string) error {
	for _, name := range names {
		left, right, _ := strings.Cut(name, ".")
		m, errMap := strconv.ParseUint(left, 10, 32)
		i, errIndex := strconv.ParseUint(right, 10, 32)
		if errMap != nil || errIndex != nil {
			return errors.Errorf("probe: snapshot %q; MAP.INDEX is expected", name)
		}
		r.SetSnapshots(append(r.Snapshots(), lagoon.NewSnapshot(uint32(m), uint32(i))))
	}
	return nil
}
