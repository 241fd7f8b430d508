// Package opcli is a client of the operators' API for the command line.
//
// # Usage
//
//	c := opcli.New("127.0.0.1:7101")
//	data, err := c.Get(ctx, "/v1/status")
//	reply, err := c.SetZoneState(ctx, "cph-2", "out", "switch maintenance")
package opcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon/pkg/whole"
)

// Limits of calls.
const (
	callTimeout   = 20 * time.Second
	maxReplyBytes = 16 << 20
)

// Client calls one node. Create it with New.
type Client struct {
	addr       string
	httpClient *http.Client
}

// New returns a client that calls the node at addr.
func New(addr string) *Client {
	return &Client{addr: addr, httpClient: &http.Client{Timeout: callTimeout}}
}

// Get returns the response body of a path. Any status but 200 is an error.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	status, data, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, responseError(status, data)
	}
	return data, nil
}

// nodeList is the part of a node's status that lists the other nodes.
type nodeList struct {
	Nodes []struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
	} `json:"nodes"`
}

// explanation holds the recorded decisions about a subject, and its state.
type explanation struct {
	Kind            string           `json:"kind"`
	Name            string           `json:"name"`
	State           any              `json:"state,omitempty"`
	Decisions       []map[string]any `json:"decisions"`
	NodesNotReached []string         `json:"nodes_not_reached,omitempty"`
}

// Explain collects the decisions about a subject from the client's node and from every
// node in its status, ordered by time. It lists the nodes that it could not reach.
func (c *Client) Explain(ctx context.Context, kind, name string) ([]byte, error) {
	path := "/v1/explain/" + kind + "/" + name
	var all explanation
	data, err := c.Get(ctx, path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, errors.Wrap(err, "decode the explanation")
	}
	if data, err = c.Get(ctx, "/v1/status"); err != nil {
		return nil, err
	}
	var status nodeList
	if err := json.Unmarshal(data, &status); err != nil {
		return nil, errors.Wrap(err, "decode the status")
	}
	for _, n := range status.Nodes {
		var one explanation
		data, err := New(n.Addr).Get(ctx, path)
		if err != nil || json.Unmarshal(data, &one) != nil {
			all.NodesNotReached = append(all.NodesNotReached, n.Name)
			continue
		}
		all.Decisions = append(all.Decisions, one.Decisions...)
	}
	sort.SliceStable(all.Decisions, func(i, j int) bool { return fmt.Sprint(all.Decisions[i]["at"]) < fmt.Sprint(all.Decisions[j]["at"]) })
	return json.Marshal(all)
}

// Apply declares a resource. It fails if the resource changes between the read of
// its version and the write.
func (c *Client) Apply(ctx context.Context, kind, name string, body []byte) (string, error) {
	version, _, err := c.currentVersion(ctx, kind, name)
	if err != nil {
		return "", err
	}
	return c.put(ctx, kind, name, version, body)
}

// SetZoneState declares the state of an existing zone.
func (c *Client) SetZoneState(ctx context.Context, zone, state, reason string) (string, error) {
	version, found, err := c.currentVersion(ctx, "zone", zone)
	if err != nil {
		return "", err
	}
	if !found {
		return "", errors.Errorf("zone %s is not declared", zone)
	}
	body, err := json.Marshal(map[string]string{"state": state, "reason": reason})
	if err != nil {
		return "", errors.Wrap(err, "encode the zone")
	}
	return c.put(ctx, "zone", zone, version, body)
}

// currentVersion returns the version of a resource and whether it is declared.
func (c *Client) currentVersion(ctx context.Context, kind, name string) (uint64, bool, error) {
	status, data, err := c.call(ctx, http.MethodGet, "/v1/resources/"+kind+"/"+name, nil)
	if err != nil {
		return 0, false, err
	}
	if status == http.StatusNotFound {
		return 0, false, nil
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return 0, false, errors.Wrap(err, "decode the resource")
	}
	return head.Version, true, nil
}

func (c *Client) put(ctx context.Context, kind, name string, version uint64, body []byte) (string, error) {
	path := fmt.Sprintf("/v1/resources/%s/%s?if_version=%d", kind, name, version)
	status, data, err := c.call(ctx, http.MethodPut, path, body)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", responseError(status, data)
	}
	var reply struct {
		Version   uint64 `json:"version"`
		InForce   bool   `json:"in_force"`
		InForceMS int64  `json:"in_force_ms"`
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return "", errors.Wrap(err, "decode the reply")
	}
	if !reply.InForce {
		return fmt.Sprintf("accepted as version %d, not yet known to be in force everywhere", reply.Version), nil
	}
	return fmt.Sprintf("accepted as version %d, in force everywhere after %d ms", reply.Version, reply.InForceMS), nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "call the node")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call the node")
	}
	defer resp.Body.Close()
	data, err := whole.Read(resp.Body, maxReplyBytes)
	return resp.StatusCode, data, errors.Wrap(err, "read the reply")
}

// responseError returns the error that a response reports.
func responseError(status int, data []byte) error {
	var reply struct {
		Error   string `json:"error"`
		Current uint64 `json:"current_version"`
	}
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error == "" {
		return errors.Errorf("the node responded with status %d", status)
	}
	if status == http.StatusConflict {
		return errors.Errorf("%s; read the current version, %d, before trying again", reply.Error, reply.Current)
	}
	return errors.New(reply.Error)
}

// WriteTable writes a JSON value as tab-separated text: an object as lines of name
// and value, a list of objects as rows under a heading.
func WriteTable(out io.Writer, v any) {
	object, ok := v.(map[string]any)
	if !ok {
		fmt.Fprintln(out, cellText(v))
		return
	}
	var lists []string
	for _, k := range sortedColumns(object) {
		if list, ok := object[k].([]any); ok && len(list) > 0 {
			lists = append(lists, k)
			continue
		}
		fmt.Fprintf(out, "%s\t%s\n", k, cellText(object[k]))
	}
	for _, k := range lists {
		fmt.Fprintf(out, "\n%s\n", strings.ToUpper(k))
		writeRows(out, object[k].([]any))
	}
}

func writeRows(out io.Writer, list []any) {
	first, ok := list[0].(map[string]any)
	if !ok {
		fmt.Fprintln(out, cellText(list))
		return
	}
	columns := sortedColumns(first)
	fmt.Fprintln(out, strings.Join(columns, "\t"))
	for _, row := range list {
		object, _ := row.(map[string]any)
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = cellText(object[c])
		}
		fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
}

// maxCellBytes limits the encoded value in one cell.
const maxCellBytes = 160

func cellText(v any) string {
	if s, ok := v.(string); ok {
		return s
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if len(data) > maxCellBytes {
		return string(data[:maxCellBytes]) + "..."
	}
	return string(data)
}

func sortedColumns(m map[string]any) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return columnRank(out[i]) < columnRank(out[j]) })
	return out
}

// columnRank returns a sort key that puts the columns of most interest first and
// the long reason last.
func columnRank(column string) string {
	order := map[string]string{"at": "0", "id": "1", "name": "1", "node": "2", "kind": "3", "outcome": "3", "subject": "4", "state": "4", "reason": "~"}
	if r, ok := order[column]; ok {
		return r
	}
	return "5" + column
}
