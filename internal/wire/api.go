package wire

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// CallIDHeader is the header with the ID of a call for a query. A node returns it with the answer.
const CallIDHeader = "X-Call-Id"

// maxTimeout is the maximum timeout that a caller may request.
const maxTimeout = time.Minute

// queryBody is the JSON form of a query.
type queryBody struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	Body        string  `json:"body"`
	TimeoutMS   int     `json:"timeout_ms"`
	Idempotent  *bool   `json:"idempotent"`
	First       bool    `json:"first"`
	MinCoverage float64 `json:"min_coverage"`
}

// answerBody is the JSON form of an answer.
type answerBody struct {
	ID         string             `json:"id"`
	Node       string             `json:"node"`
	Outcome    string             `json:"outcome"`
	Reason     string             `json:"reason,omitempty"`
	MapVersion uint64             `json:"map_version"`
	Index      uint64             `json:"index_version"`
	Total      int                `json:"shards_total"`
	Covered    int                `json:"shards_covered"`
	Parts      []partBody         `json:"parts"`
	Missing    []missingShardBody `json:"not_covered"`
	Hedges     int                `json:"hedges"`
	Retries    int                `json:"retries"`
}

// partBody is the JSON form of one shard's part of an answer.
type partBody struct {
	Shard uint32 `json:"shard"`
	Body  string `json:"body"`
}

// missingShardBody is the JSON form of a shard that an answer does not cover.
type missingShardBody struct {
	Shard  uint32 `json:"shard"`
	Reason string `json:"reason"`
}

// DecodeQuery reads and validates a query in JSON.
func (Codec) DecodeQuery(data []byte) (lagoon.Query, error) {
	var q lagoon.Query
	var form queryBody
	if err := json.Unmarshal(data, &form); err != nil {
		return q, errors.Wrap(err, "request body is not a query in JSON")
	}
	timeout := time.Duration(form.TimeoutMS) * time.Millisecond
	switch {
	case form.Service == "":
		return q, errors.New("service is missing")
	case timeout < 0 || timeout > maxTimeout:
		return q, errors.Errorf("timeout_ms is %d; must be between 0 and %d", form.TimeoutMS, maxTimeout.Milliseconds())
	case form.MinCoverage < 0 || form.MinCoverage > 1:
		return q, errors.Errorf("min_coverage is %v; must be between 0 and 1", form.MinCoverage)
	case form.Idempotent != nil && !*form.Idempotent && form.ID == "":
		return q, errors.New("id is missing; a query that is not idempotent requires an id of the form MILLISECONDS-RANDOM")
	}
	q.SetID(form.ID)
	q.SetService(form.Service)
	q.SetBody([]byte(form.Body))
	q.SetTimeout(timeout)
	q.SetIdempotent(form.Idempotent == nil || *form.Idempotent)
	q.SetNeverSent(form.First)
	q.SetMinCoverage(form.MinCoverage)
	return q, nil
}

// EncodeQuery returns a query in JSON.
func (Codec) EncodeQuery(q lagoon.Query) ([]byte, error) {
	idempotent := q.Idempotent()
	return json.Marshal(queryBody{
		ID: q.ID(), Service: q.Service(), Body: string(q.Body()),
		TimeoutMS: int(q.Timeout().Milliseconds()), Idempotent: &idempotent, First: q.NeverSent(), MinCoverage: q.MinCoverage(),
	})
}

// EncodeAnswer returns an answer in JSON.
func (Codec) EncodeAnswer(a lagoon.Answer) []byte {
	f := answerBody{
		ID: a.ID(), Node: a.Node(), Outcome: a.Outcome().String(), Reason: a.Reason(),
		MapVersion: a.Snapshot().MapVersion(), Index: a.Snapshot().IndexVersion(),
		Total: a.TotalShards(), Covered: len(a.Parts()), Hedges: a.Hedges(), Retries: a.Retries(),
		Parts: []partBody{}, Missing: []missingShardBody{},
	}
	for _, p := range a.Parts() {
		f.Parts = append(f.Parts, partBody{p.Shard(), string(p.Body())})
	}
	for _, m := range a.Missing() {
		f.Missing = append(f.Missing, missingShardBody{m.Shard(), m.Reason()})
	}
	data, err := json.Marshal(f)
	if err != nil {
		return []byte("{}") // unreachable: strings and numbers always encode
	}
	return data
}

// DecodeAnswer reads an answer in JSON.
func (Codec) DecodeAnswer(data []byte) (lagoon.Answer, error) {
	var a lagoon.Answer
	var f answerBody
	if err := json.Unmarshal(data, &f); err != nil {
		return a, errors.Wrap(err, "decode answer")
	}
	outcome, err := parseOutcome(f.Outcome)
	if err != nil {
		return a, err
	}
	a.SetID(f.ID)
	a.SetNode(f.Node)
	a.SetOutcome(outcome)
	a.SetReason(f.Reason)
	a.SetSnapshot(lagoon.NewSnapshot(uint32(f.MapVersion), uint32(f.Index)))
	a.SetTotalShards(f.Total)
	a.SetHedges(f.Hedges)
	a.SetRetries(f.Retries)
	a.SetParts(each(f.Parts, partFromBody))
	a.SetMissing(each(f.Missing, missingShardFromBody))
	return a, nil
}

// parseOutcome returns the outcome with a name.
func parseOutcome(name string) (lagoon.Outcome, error) {
	for o := lagoon.OutcomeUnknown; o <= lagoon.OutcomeInvalid; o++ {
		if o.String() == name {
			return o, nil
		}
	}
	return lagoon.OutcomeUnknown, errors.Errorf("decode answer: unknown outcome %q", name)
}

func partFromBody(f partBody) lagoon.Part {
	var p lagoon.Part
	p.SetShard(f.Shard)
	p.SetBody([]byte(f.Body))
	return p
}

func missingShardFromBody(f missingShardBody) lagoon.MissingShard {
	var m lagoon.MissingShard
	m.SetShard(f.Shard)
	m.SetReason(f.Reason)
	return m
}
