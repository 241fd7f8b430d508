// Package caller asks lagoontrail queries from a program of its users.
//
// # Usage
//
//	c, stop := caller.New("cph-1", "10.0.0.1:7100", "10.0.0.2:7100")
//	defer stop()
//	answer, err := c.Query(ctx, q)
//	id := c.NewID()      // for a request that is not idempotent
//
// A Client keeps the list of nodes for as long as lagoontrail allows, prefers
// those of its own zone, and moves to another node when one cannot be reached.
// It sends an idempotent query again after a lost connection. It never sends a
// request again by itself that is not idempotent, unless no connection was
// opened for it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
	"github.com/lagoontrail/lagoon/pkg/budget"
)

// Bounds of a client.
const (
	maxNodes    = 3       // nodes tried for one query
	maxAnswer   = 8 << 20 // bytes
	maxUnsent   = 65536   // ids made and not sent that are remembered
	dialTimeout = 500 * time.Millisecond
	askTimeout  = time.Second
	retryAsk    = time.Second            // until the list is asked for again after a failure
	patience    = 250 * time.Millisecond // until a second node is asked
	secondShare = 2                      // percent of queries that may ask a second node
)

// Client sends queries. Make it with New. It is safe for use by several
// goroutines.
type Client struct {
	zone  string
	seeds []string
	http  *http.Client
	codec wire.Codec

	mu      sync.Mutex
	addrs   []string
	near    int
	expires time.Time
	next    int
	asking  bool
	seconds budget.Tokens
	unsent  map[string]bool
}

// New returns a client for callers in a zone. seeds are addresses of nodes to
// ask first. The clean-up function closes idle connections.
func New(zone string, seeds ...string) (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256}
	c := &Client{zone: zone, seeds: seeds, http: &http.Client{Transport: t}}
	return c, t.CloseIdleConnections
}

// NewID returns a fresh id for a request that is not idempotent. The client
// remembers that it was not sent yet, which lets a node say that it did not run.
func (c *Client) NewID() string {
	id := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), uuid.NewString())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsent == nil || len(c.unsent) >= maxUnsent {
		c.unsent = map[string]bool{}
	}
	c.unsent[id] = true
	return id
}

// firstSending reports whether an id was never sent, and notes that it is now.
func (c *Client) firstSending(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.unsent[id]
	delete(c.unsent, id)
	return first
}

// Query sends one query. Without an error the answer's outcome says what
// happened. With an error no answer came: a request that is not idempotent may
// have run then. An idempotent query that stays without an answer for long is
// sent to a second node as well, within a budget, and the first answer counts.
func (c *Client) Query(ctx context.Context, q lagoon.Query) (lagoon.Answer, error) {
	q.SetFirst(c.firstSending(q.ID()))
	data, err := c.codec.EncodeQuery(q)
	if err != nil {
		return lagoon.Answer{}, errors.Wrap(err, "query")
	}
	if !q.Idempotent() {
		return c.attempt(ctx, q, data)
	}
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	ask := func() {
		a, err := c.attempt(limited, q, data)
		results <- result{a, err}
	}
	go ask()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	waiting := 1
	var last result
	for waiting > 0 {
		select {
		case last = <-results:
			if waiting--; last.err == nil {
				return last.answer, nil
			}
		case <-timer.C:
			if c.maySecond() {
				waiting++
				go ask()
			}
		}
	}
	return last.answer, last.err
}

// result is the end of one attempt.
type result struct {
	answer lagoon.Answer
	err    error
}

// maySecond reports whether the budget allows a second node for a query.
func (c *Client) maySecond() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seconds.Take()
}

// attempt sends a query to one node, and to others while the first ones surely
// did not run it.
func (c *Client) attempt(ctx context.Context, q lagoon.Query, data []byte) (lagoon.Answer, error) {
	var last error
	for try := range maxNodes {
		addr := c.choose(ctx, try)
		if addr == "" {
			return lagoon.Answer{}, errors.New("query: no node is known")
		}
		answer, err := c.send(ctx, addr, data)
		if err == nil && (answer.Outcome() != lagoon.OutcomeNotRun || try > 0) {
			return answer, nil
		}
		if err == nil {
			continue // surely not run, so another node may be asked once, whatever it is
		}
		last = err
		c.drop(addr)
		if ctx.Err() != nil || (!q.Idempotent() && !neverSent(err)) {
			break
		}
	}
	return lagoon.Answer{}, errors.Wrap(last, "query")
}

// neverSent reports whether no connection was opened.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) send(ctx context.Context, addr string, data []byte) (lagoon.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/query", bytes.NewReader(data))
	if err != nil {
		return lagoon.Answer{}, err
	}
	req.GetBody = nil // the transport must not send it a second time
	resp, err := c.http.Do(req)
	if err != nil {
		return lagoon.Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return lagoon.Answer{}, err
	}
	return c.codec.DecodeAnswer(body)
}

// choose returns the node for a try: the nodes of the own zone in turn, then
// all others.
func (c *Client) choose(ctx context.Context, try int) string {
	c.refresh(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if try == 0 {
		c.seconds.Earn(1, secondShare)
	}
	if len(c.addrs) == 0 {
		if len(c.seeds) == 0 {
			return ""
		}
		c.next++
		return c.seeds[c.next%len(c.seeds)]
	}
	c.next++
	if c.near > 0 && try == 0 {
		return c.addrs[c.next%c.near]
	}
	return c.addrs[c.next%len(c.addrs)]
}

// refresh asks for the list of nodes when the one kept has expired. One
// goroutine asks; the others go on with what is there.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	if c.asking || time.Now().Before(c.expires) {
		c.mu.Unlock()
		return
	}
	c.asking = true
	sources := append(append([]string(nil), c.addrs...), c.seeds...)
	c.mu.Unlock()
	list, ttl := c.ask(ctx, sources)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking = false
	c.expires = time.Now().Add(ttl)
	if len(list.Addresses) == 0 {
		return
	}
	c.addrs = c.addrs[:0]
	c.near = 0
	for _, a := range list.Addresses {
		c.addrs = append(c.addrs, a.Addr)
		if a.Zone == c.zone {
			c.near = len(c.addrs)
		}
	}
}

// listForm is the list of nodes in JSON.
type listForm struct {
	Addresses []struct {
		Addr string `json:"addr"`
		Zone string `json:"zone"`
	} `json:"addresses"`
	TTLSeconds int `json:"ttl_seconds"`
}

func (c *Client) ask(ctx context.Context, sources []string) (listForm, time.Duration) {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, addr := range sources {
		var list listForm
		req, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+addr+"/v1/addresses?zone="+url.QueryEscape(c.zone), nil)
		if err != nil {
			continue
		}
		resp, err := c.http.Do(req)
		if err != nil {
			continue
		}
		err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&list)
		_ = resp.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list, time.Duration(list.TTLSeconds) * time.Second
		}
	}
	return listForm{}, retryAsk
}

// drop forgets a node that could not be reached until the next list.
func (c *Client) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range c.addrs {
		if a == addr {
			c.addrs = append(c.addrs[:i], c.addrs[i+1:]...)
			if i < c.near {
				c.near--
			}
			return
		}
	}
}
