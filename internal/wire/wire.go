// Package wire encodes the messages between nodes as CBOR and the objects kept
// on the platform as JSON.
//
// # Usage
//
//	var c wire.Codec
//	data, err := c.Encode(&beat)
//	m, err := c.Decode(data)
//
// A message is a CBOR map of version, kind and body. Field numbers are the
// positions of the fields in the root package's structs, so new fields go to
// the end. Unknown fields are skipped, which lets a node read the messages of
// a newer one.
package wire

import (
	"bytes"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
)

// protocolVersion is the version of the messages that this code writes.
const protocolVersion = 1

// maxElements bounds the arrays of a message from a peer.
const maxElements = 131072

// Codec encodes and decodes. The zero value works; it has no state.
type Codec struct{}

// envelope is the outer map of each message.
type envelope struct {
	Version int             `cbor:"1,keyasint"`
	Kind    kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

// kind numbers the message types.
type kind uint8

const (
	kindBeat kind = iota + 1
	kindConfigPush
	kindPlacementPush
	kindLegBatch
	kindLegResults
	kindLegCancel
	kindClaimAsk
	kindClaimTold
	kindFeed
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR form of a message. It fails for a type that is not a
// message.
func (Codec) Encode(m lagoon.Message) ([]byte, error) {
	k, form := formOf(m)
	if form == nil {
		return nil, errors.Errorf("encode message: %T is not a message", m)
	}
	body, err := cbor.Marshal(form)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return cbor.Marshal(envelope{Version: protocolVersion, Kind: k, Body: body})
}

func formOf(m lagoon.Message) (kind, any) {
	switch m := m.(type) {
	case *lagoon.Beat:
		return kindBeat, toBeat(*m)
	case *lagoon.ConfigPush:
		return kindConfigPush, toConfigPush(*m)
	case *lagoon.PlacementPush:
		return kindPlacementPush, toPlacementPush(*m)
	case *lagoon.LegBatch:
		return kindLegBatch, toLegBatch(*m)
	case *lagoon.LegResults:
		return kindLegResults, toLegResults(*m)
	case *lagoon.LegCancel:
		return kindLegCancel, toLegCancel(*m)
	case *lagoon.ClaimAsk:
		return kindClaimAsk, toClaimAsk(*m)
	case *lagoon.ClaimTold:
		return kindClaimTold, toClaimTold(*m)
	case *lagoon.Feed:
		return kindFeed, toFeed(*m)
	}
	return 0, nil
}

// Decode returns the message of a CBOR form. It fails on malformed input and on
// a kind that this version does not know.
func (Codec) Decode(data []byte) (lagoon.Message, error) {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	switch e.Kind {
	case kindBeat:
		return read(e.Body, fromBeat)
	case kindConfigPush:
		return read(e.Body, fromConfigPush)
	case kindPlacementPush:
		return read(e.Body, fromPlacementPush)
	case kindLegBatch:
		return read(e.Body, fromLegBatch)
	case kindLegResults:
		return read(e.Body, fromLegResults)
	case kindLegCancel:
		return read(e.Body, fromLegCancel)
	case kindClaimAsk:
		return read(e.Body, fromClaimAsk)
	case kindClaimTold:
		return read(e.Body, fromClaimTold)
	case kindFeed:
		return read(e.Body, fromFeed)
	}
	return nil, errors.Errorf("decode message: kind %d of protocol version %d is unknown", e.Kind, e.Version)
}

func read[F, V any](body []byte, from func(F) V) (lagoon.Message, error) {
	var form F
	if err := decoder.Unmarshal(body, &form); err != nil {
		return nil, errors.Wrap(err, "decode message body")
	}
	v := from(form)
	return &v, nil
}

// each converts a slice; nil stays nil.
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

// EncodeConfig returns the JSON form of a configuration.
func (Codec) EncodeConfig(c lagoon.Config) ([]byte, error) { return json.Marshal(toConfig(c)) }

// DecodeConfig reads the JSON form of a configuration.
func (Codec) DecodeConfig(data []byte) (lagoon.Config, error) {
	return readJSON(data, fromConfig, "decode configuration")
}

// EncodePlacement returns the JSON form of a placement.
func (Codec) EncodePlacement(p lagoon.Placement) ([]byte, error) {
	return json.Marshal(toPlacement(p))
}

// DecodePlacement reads the JSON form of a placement.
func (Codec) DecodePlacement(data []byte) (lagoon.Placement, error) {
	return readJSON(data, fromPlacement, "decode placement")
}

// EncodeBucket returns the JSON form of a claim bucket.
func (Codec) EncodeBucket(b lagoon.ClaimBucket) ([]byte, error) {
	return json.Marshal(toClaimBucket(b))
}

// DecodeBucket reads the JSON form of a claim bucket.
func (Codec) DecodeBucket(data []byte) (lagoon.ClaimBucket, error) {
	return readJSON(data, fromClaimBucket, "decode claim bucket")
}

func readJSON[F, V any](data []byte, from func(F) V, op string) (V, error) {
	var form F
	var zero V
	if err := json.Unmarshal(data, &form); err != nil {
		return zero, errors.Wrap(err, op)
	}
	return from(form), nil
}

// DecodeChange reads one resource of a kind into a change. Unknown fields are
// refused.
func (Codec) DecodeChange(kind, name string, data []byte) (lagoon.Change, error) {
	var c lagoon.Change
	c.SetKind(kind)
	switch kind {
	case "service":
		var form serviceForm
		if err := readStrict(data, &form); err != nil {
			return c, err
		}
		form.Name = name
		c.SetService(fromService(form))
	case "zone":
		var form zoneForm
		if err := readStrict(data, &form); err != nil {
			return c, err
		}
		form.Name = name
		c.SetZone(fromZone(form))
	case "rule":
		var form ruleForm
		if err := readStrict(data, &form); err != nil {
			return c, err
		}
		form.Name = name
		c.SetRule(fromRule(form))
	default:
		return c, errors.Errorf("kind %q is unknown; allowed are service, zone and rule", kind)
	}
	return c, nil
}

func readStrict(data []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return errors.Wrap(err, "read the resource")
	}
	if d.More() {
		return errors.New("read the resource: more than one JSON value")
	}
	return nil
}

// EncodeResource returns the JSON form of a service, a zone or a rule.
func (Codec) EncodeResource(v any) ([]byte, error) {
	switch v := v.(type) {
	case lagoon.Service:
		return json.Marshal(toService(v))
	case lagoon.Zone:
		return json.Marshal(toZone(v))
	case lagoon.Rule:
		return json.Marshal(toRule(v))
	}
	return nil, errors.Errorf("encode resource: %T is not a resource", v)
}
