// Package wire encodes messages between nodes as CBOR, and the objects stored on
// the platform and the bodies of the HTTP API as JSON.
//
// # Usage
//
//	var c wire.Codec
//	data, err := c.Encode(&heartbeat)
//	m, err := c.Decode(data)
//
// A message is a CBOR map of version, kind, body and, from version 3 on, a checksum of kind
// and body, so that a message whose bytes were changed on the way is not applied. Field
// numbers are the positions of the fields in the structs of the root package, so new fields
// are appended. Unknown fields are ignored, so that a node can decode messages from a newer
// release.
package wire

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// Versions of encoded messages.
const (
	protocolVersion         = 4
	minChecksumVersion      = 3 // of messages with a checksum
	minOrganisationsVersion = 4 // of catalogs with organisations
)

// maxArrayElements limits the length of arrays in messages from peers.
const maxArrayElements = 131072

// Codec encodes and decodes messages, objects and API bodies. It has no state; the
// zero value is usable.
type Codec struct{}

// envelope is the outer map of a message.
type envelope struct {
	Version  int             `cbor:"1,keyasint"`
	Kind     kind            `cbor:"2,keyasint"`
	Body     cbor.RawMessage `cbor:"3,keyasint"`
	Checksum uint64          `cbor:"4,keyasint,omitempty"`
}

// checksum returns the checksum of a message.
func (e *envelope) checksum() uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(e.Kind))
	_, _ = d.Write(e.Body) // never fails
	return d.Sum64()
}

// kind identifies the type of a message.
type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindConfigPush
	kindPlacementPush
	kindShardRequestBatch
	kindShardResponseBatch
	kindShardRequestCancel
	kindClaimRequest
	kindClaimResponse
	kindRegistryPush
	kindQuotaRequest
	kindQuotaGrant
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns a message in CBOR. It returns an error if the type is not a
// message type.
func (Codec) Encode(m lagoon.Message) ([]byte, error) {
	k, form := wireForm(m)
	if form == nil {
		return nil, errors.Errorf("encode message: %T is not a message type", m)
	}
	body, err := cbor.Marshal(form)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	e := envelope{Version: protocolVersion, Kind: k, Body: body}
	e.Checksum = e.checksum()
	return cbor.Marshal(e)
}

// wireForm returns the kind and the wire form of a message, or nil if the type is not
// a message type.
func wireForm(m lagoon.Message) (kind, any) {
	switch m := m.(type) {
	case *lagoon.Heartbeat:
		return kindHeartbeat, toHeartbeat(*m)
	case *lagoon.ConfigPush:
		return kindConfigPush, toConfigPush(*m)
	case *lagoon.PlacementPush:
		return kindPlacementPush, toPlacementPush(*m)
	case *lagoon.ShardRequestBatch:
		return kindShardRequestBatch, toShardRequestBatch(*m)
	case *lagoon.ShardResponseBatch:
		return kindShardResponseBatch, toShardResponseBatch(*m)
	case *lagoon.ShardRequestCancel:
		return kindShardRequestCancel, toShardRequestCancel(*m)
	case *lagoon.ClaimRequest:
		return kindClaimRequest, toClaimRequest(*m)
	case *lagoon.ClaimResponse:
		return kindClaimResponse, toClaimResponse(*m)
	case *lagoon.RegistryPush:
		return kindRegistryPush, toRegistryPush(*m)
	case *lagoon.QuotaRequest:
		return kindQuotaRequest, toQuotaRequest(*m)
	case *lagoon.QuotaGrant:
		return kindQuotaGrant, toQuotaGrant(*m)
	}
	return 0, nil
}

// Decode reads a message in CBOR. It returns an error on malformed input, on a wrong
// checksum and on an unknown kind.
func (Codec) Decode(data []byte) (lagoon.Message, error) {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	if (e.Version >= minChecksumVersion || e.Checksum != 0) && e.Checksum != e.checksum() {
		return nil, errors.New("decode message: the checksum does not match")
	}
	switch e.Kind {
	case kindHeartbeat:
		return decodeBody(e.Body, fromHeartbeat)
	case kindConfigPush:
		return decodeBody(e.Body, fromConfigPush)
	case kindPlacementPush:
		return decodeBody(e.Body, fromPlacementPush)
	case kindShardRequestBatch:
		return decodeBody(e.Body, fromShardRequestBatch)
	case kindShardResponseBatch:
		return decodeBody(e.Body, fromShardResponseBatch)
	case kindShardRequestCancel:
		return decodeBody(e.Body, fromShardRequestCancel)
	case kindClaimRequest:
		return decodeBody(e.Body, fromClaimRequest)
	case kindClaimResponse:
		return decodeBody(e.Body, fromClaimResponse)
	case kindRegistryPush:
		m, err := decodeBody(e.Body, fromRegistryPush)
		if push, ok := m.(*lagoon.RegistryPush); ok {
			push.SetLacksOrganisations(e.Version < minOrganisationsVersion)
		}
		return m, err
	case kindQuotaRequest:
		return decodeBody(e.Body, fromQuotaRequest)
	case kindQuotaGrant:
		return decodeBody(e.Body, fromQuotaGrant)
	}
	return nil, errors.Errorf("decode message: unknown kind %d in protocol version %d", e.Kind, e.Version)
}

// decodeBody decodes the wire form in a message body and converts it.
func decodeBody[F, V any](body []byte, from func(F) V) (lagoon.Message, error) {
	var form F
	if err := decoder.Unmarshal(body, &form); err != nil {
		return nil, errors.Wrap(err, "decode message body")
	}
	v := from(form)
	return &v, nil
}

// each applies a conversion to the elements of a slice. A nil slice stays nil.
func each[A, B any](in []A, f func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

// EncodeConfig returns a configuration in JSON.
func (Codec) EncodeConfig(c lagoon.Config) ([]byte, error) { return json.Marshal(toConfig(c)) }

// DecodeConfig reads a configuration in JSON.
func (Codec) DecodeConfig(data []byte) (lagoon.Config, error) {
	return decodeJSON(data, fromConfig, "decode configuration")
}

// EncodePlacement returns a placement in JSON.
func (Codec) EncodePlacement(p lagoon.Placement) ([]byte, error) {
	return json.Marshal(toPlacement(p))
}

// DecodePlacement reads a placement in JSON.
func (Codec) DecodePlacement(data []byte) (lagoon.Placement, error) {
	return decodeJSON(data, fromPlacement, "decode placement")
}

// EncodeBucket returns a claim bucket in JSON.
func (Codec) EncodeBucket(b lagoon.ClaimBucket) ([]byte, error) {
	return json.Marshal(toClaimBucket(b))
}

// DecodeBucket reads a claim bucket in JSON.
func (Codec) DecodeBucket(data []byte) (lagoon.ClaimBucket, error) {
	return decodeJSON(data, fromClaimBucket, "decode claim bucket")
}

func decodeJSON[F, V any](data []byte, from func(F) V, operation string) (V, error) {
	var form F
	var zero V
	if err := json.Unmarshal(data, &form); err != nil {
		return zero, errors.Wrap(err, operation)
	}
	return from(form), nil
}

// DecodeChange reads a resource in JSON and returns the change that creates or
// updates it. It returns an error on unknown fields.
func (Codec) DecodeChange(kind, name string, data []byte) (lagoon.Change, error) {
	var c lagoon.Change
	c.SetKind(kind)
	switch kind {
	case "service":
		var form serviceForm
		if err := decodeStrict(data, &form); err != nil {
			return c, err
		}
		form.Name = name
		c.SetService(fromService(form))
	case "zone":
		var form zoneForm
		if err := decodeStrict(data, &form); err != nil {
			return c, err
		}
		form.Name = name
		c.SetZone(fromZone(form))
	case "rule":
		var form ruleForm
		if err := decodeStrict(data, &form); err != nil {
			return c, err
		}
		form.Name = name
		c.SetRule(fromRule(form))
	default:
		return c, errors.Errorf("unknown kind %q; must be service, zone or rule", kind)
	}
	return c, nil
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(data []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return errors.Wrap(err, "decode resource")
	}
	if d.More() {
		return errors.New("decode resource: data after the JSON value")
	}
	return nil
}

// EncodeResource returns a service, a zone or a rule in JSON.
func (Codec) EncodeResource(v any) ([]byte, error) {
	switch v := v.(type) {
	case lagoon.Service:
		return json.Marshal(toService(v))
	case lagoon.Zone:
		return json.Marshal(toZone(v))
	case lagoon.Rule:
		return json.Marshal(toRule(v))
	}
	return nil, errors.Errorf("encode resource: %T is not a resource type", v)
}
