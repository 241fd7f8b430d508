// Package caller is the Go client library of lagoontrail.
//
// # Usage
//
//	c, stop := caller.New("cph-1", "10.0.0.1:7100", "10.0.0.2:7100")
//	defer stop()
//	answer, err := c.Query(ctx, q)
//	id := c.NewID()      // for a query that is not idempotent
//
// A Client caches the list of nodes for the time that the list allows, prefers
// nodes in its own zone, and fails over to another node when one is unreachable.
// It retries an idempotent query after a connection failure. It retries a query
// that is not idempotent only if the connection could not be opened or the node
// answered that the query did not run.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
	"github.com/lagoontrail/lagoon/pkg/budget"
	"github.com/lagoontrail/lagoon/pkg/whole"
)

// Limits of a client.
const (
	maxAttempts        = 3        // nodes tried for one query
	maxBodyBytes       = 8 << 20  // of a response
	maxHeaderBytes     = 16 << 10 // of a response
	maxUnsentIDs       = 65536    // cleared when exceeded
	dialTimeout        = 500 * time.Millisecond
	listTimeout        = time.Second // of a request for the list of nodes
	listRetryDelay     = time.Second
	hedgeDelay         = 250 * time.Millisecond
	hedgeBudgetPercent = 2 // of queries
)

// Client sends queries to nodes. It is created by New and safe for concurrent use.
type Client struct {
	zone  string
	seeds []string
	http  *http.Client
	codec wire.Codec

	mu          sync.Mutex
	addrs       []string
	sameZone    int // the number of leading entries of addrs in the client's zone
	expires     time.Time
	next        int
	refreshing  bool
	hedgeBudget budget.Tokens
	unsentIDs   map[string]bool
}

// New returns a client for a caller in a zone. seeds are the addresses of nodes to
// contact before the list of nodes is known. The returned function closes idle
// connections.
func New(zone string, seeds ...string) (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, MaxResponseHeaderBytes: maxHeaderBytes}
	c := &Client{zone: zone, seeds: seeds, http: &http.Client{Transport: t}}
	return c, t.CloseIdleConnections
}

// NewID returns a new ID for a query that is not idempotent. The client records
// that the ID has not been sent. Query reports this to the node, which can then
// answer with certainty that the query did not run.
func (c *Client) NewID() string {
	id := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), uuid.NewString())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsentIDs == nil || len(c.unsentIDs) >= maxUnsentIDs {
		c.unsentIDs = map[string]bool{}
	}
	c.unsentIDs[id] = true
	return id
}

// markSent records that an ID is sent, and reports whether it was not sent before.
func (c *Client) markSent(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	unsent := c.unsentIDs[id]
	delete(c.unsentIDs, id)
	return unsent
}

// Query sends one query. The result is in the answer's outcome. If Query returns an
// error, there was no answer, and a query that is not idempotent may have run. An
// idempotent query without an answer after hedgeDelay is also sent to a second node
// if the hedge budget allows it, and the first answer is returned.
func (c *Client) Query(ctx context.Context, q lagoon.Query) (lagoon.Answer, error) {
	if q.ID() == "" && q.Idempotent() {
		q.SetID(uuid.NewString())
	}
	q.SetNeverSent(c.markSent(q.ID()))
	data, err := c.codec.EncodeQuery(q)
	if err != nil {
		return lagoon.Answer{}, errors.Wrap(err, "query")
	}
	if !q.Idempotent() {
		return c.sendWithRetries(ctx, q, data)
	}
	queryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	send := func() {
		a, err := c.sendWithRetries(queryCtx, q, data)
		results <- result{a, err}
	}
	go send()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	pending := 1
	var last result
	for pending > 0 {
		select {
		case last = <-results:
			if pending--; last.err == nil {
				return last.answer, nil
			}
		case <-timer.C:
			if c.takeHedge() {
				pending++
				go send()
			}
		}
	}
	return last.answer, last.err
}

// result is the result of sendWithRetries.
type result struct {
	answer lagoon.Answer
	err    error
}

// takeHedge takes a token from the hedge budget and reports whether there was one.
func (c *Client) takeHedge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedgeBudget.Take()
}

// sendWithRetries sends a query to one node, and retries on other nodes if that is
// safe.
func (c *Client) sendWithRetries(ctx context.Context, q lagoon.Query, data []byte) (lagoon.Answer, error) {
	var lastErr error
	for attempt := range maxAttempts {
		addr := c.chooseAddr(ctx, attempt)
		if addr == "" {
			return lagoon.Answer{}, errors.New("query: no node address is known")
		}
		answer, err := c.send(ctx, addr, q.ID(), data)
		if err == nil && (answer.Outcome() != lagoon.OutcomeNotRun || attempt > 0) {
			return answer, nil
		}
		if err == nil {
			continue // the query did not run, so one retry on another node is safe
		}
		lastErr = err
		c.removeAddr(addr)
		if ctx.Err() != nil || (!q.Idempotent() && !isDialError(err)) {
			break
		}
	}
	return lagoon.Answer{}, errors.Wrap(lastErr, "query")
}

// isDialError reports whether the connection could not be opened, so that nothing
// was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// send sends a query with an ID to one node and reads the answer.
func (c *Client) send(ctx context.Context, addr, id string, data []byte) (lagoon.Answer, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+addr+"/v1/query", bytes.NewReader(data))
	if err != nil {
		return lagoon.Answer{}, err
	}
	req.GetBody = nil // prevents retries by http.Transport
	callID := uuid.NewString()
	req.Header.Set(wire.CallIDHeader, callID)
	resp, err := c.http.Do(req)
	if err != nil {
		return lagoon.Answer{}, err
	}
	defer resp.Body.Close()
	answer, err := c.readAnswer(resp, callID, id)
	if err != nil {
		_ = (*conn.Load()).Close() // the answer to this query may follow, and must be nobody's
		return lagoon.Answer{}, err
	}
	return answer, nil
}

// readAnswer reads the answer to a call with the query with an ID. A second copy of an earlier
// answer may arrive where that to the call is expected; the IDs tell them apart. Nodes of earlier
// releases return no call ID.
func (c *Client) readAnswer(resp *http.Response, callID, id string) (lagoon.Answer, error) {
	if got := resp.Header.Get(wire.CallIDHeader); got != "" && got != callID {
		return lagoon.Answer{}, errors.Errorf("the answer belongs to call %q", got)
	}
	body, err := whole.Read(resp.Body, maxBodyBytes)
	if err != nil {
		return lagoon.Answer{}, err
	}
	answer, err := c.codec.DecodeAnswer(body)
	if err == nil && answer.ID() != id {
		return lagoon.Answer{}, errors.Errorf("the answer belongs to query %q", answer.ID())
	}
	return answer, err
}

// chooseAddr returns the address for an attempt, in round-robin order: of the nodes
// in the client's zone for the first attempt, of all nodes afterwards.
func (c *Client) chooseAddr(ctx context.Context, attempt int) string {
	c.refresh(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt == 0 {
		c.hedgeBudget.Deposit(1, hedgeBudgetPercent)
	}
	if len(c.addrs) == 0 {
		if len(c.seeds) == 0 {
			return ""
		}
		c.next++
		return c.seeds[c.next%len(c.seeds)]
	}
	c.next++
	if c.sameZone > 0 && attempt == 0 {
		return c.addrs[c.next%c.sameZone]
	}
	return c.addrs[c.next%len(c.addrs)]
}

// refresh fetches the list of nodes if the cached list has expired. Only one
// goroutine fetches at a time; the others use the cached list meanwhile.
func (c *Client) refresh(ctx context.Context) {
	c.mu.Lock()
	if c.refreshing || time.Now().Before(c.expires) {
		c.mu.Unlock()
		return
	}
	c.refreshing = true
	sources := append(append([]string(nil), c.addrs...), c.seeds...)
	c.mu.Unlock()
	list, ttl := c.fetchNodes(ctx, sources)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
	c.expires = time.Now().Add(ttl)
	if len(list.Addresses) == 0 {
		return
	}
	c.addrs = c.addrs[:0]
	c.sameZone = 0
	for _, a := range list.Addresses {
		c.addrs = append(c.addrs, a.Addr)
		if a.Zone == c.zone {
			c.sameZone = len(c.addrs)
		}
	}
}

// nodeList is the JSON form of the list of nodes.
type nodeList struct {
	Addresses []struct {
		Addr string `json:"addr"`
		Zone string `json:"zone"`
	} `json:"addresses"`
	TTLSeconds int `json:"ttl_seconds"`
}

// fetchNodes fetches the list of nodes from the first source that responds, and
// returns it with the time for which it may be cached.
func (c *Client) fetchNodes(ctx context.Context, sources []string) (nodeList, time.Duration) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	for _, addr := range sources {
		var list nodeList
		req, err := http.NewRequestWithContext(listCtx, http.MethodGet, "http://"+addr+"/v1/addresses?zone="+url.QueryEscape(c.zone), nil)
		if err != nil {
			continue
		}
		resp, err := c.http.Do(req)
		if err != nil {
			continue
		}
		err = json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&list)
		_ = resp.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list, time.Duration(list.TTLSeconds) * time.Second
		}
	}
	return nodeList{}, listRetryDelay
}

// removeAddr removes an unreachable node until the next refresh.
func (c *Client) removeAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range c.addrs {
		if a == addr {
			c.addrs = append(c.addrs[:i], c.addrs[i+1:]...)
			if i < c.sameZone {
				c.sameZone--
			}
			return
		}
	}
}
