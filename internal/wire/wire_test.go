package wire_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/wire"
)

// testBatch returns a message with nested structs, a byte string and a duration.
func testBatch() *lagoon.ShardRequestBatch {
	var req lagoon.ShardRequest
	req.SetID(7)
	req.SetServer("archive-desk-00a")
	req.SetHedge(true)
	b := &lagoon.ShardRequestBatch{}
	b.SetFrom("entry-1")
	b.SetSnapshot(lagoon.NewSnapshot(2, 9))
	b.SetTimeout(65 * time.Millisecond)
	b.SetBody([]byte("red coat"))
	b.SetRequests([]lagoon.ShardRequest{req})
	return b
}

func TestMessageRoundTrip(t *testing.T) {
	heartbeat := &lagoon.Heartbeat{}
	heartbeat.SetSent(time.Second)
	var status lagoon.ServerStatus
	status.SetServer("s")
	status.SetSnapshots([]lagoon.Snapshot{lagoon.NewSnapshot(1, 2)})
	heartbeat.SetStatuses([]lagoon.ServerStatus{status})
	push := &lagoon.ConfigPush{}
	var cfg lagoon.Config
	cfg.SetRevision(4)
	push.SetConfig(cfg)
	var wanted lagoon.QuotaWant
	wanted.SetOrganisation("wire")
	wanted.SetTokens(3)
	wanted.SetRatePerSecond(7.5)
	quotaRequest := &lagoon.QuotaRequest{}
	quotaRequest.SetFrom("entry-1")
	quotaRequest.SetWants([]lagoon.QuotaWant{wanted})
	var granted lagoon.QuotaShare
	granted.SetOrganisation("wire")
	granted.SetRetryAfter(time.Second)
	quotaGrant := &lagoon.QuotaGrant{}
	quotaGrant.SetValidFor(250 * time.Millisecond)
	quotaGrant.SetShares([]lagoon.QuotaShare{granted})
	for _, want := range []lagoon.Message{testBatch(), heartbeat, push, &lagoon.PlacementPush{}, &lagoon.ShardResponseBatch{}, &lagoon.ShardRequestCancel{}, &lagoon.ClaimRequest{}, &lagoon.ClaimResponse{}, quotaRequest, quotaGrant} {
		data, err := wire.Codec{}.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := wire.Codec{}.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

func TestDecodeChangeRejectsInvalidResource(t *testing.T) {
	cases := map[string]string{
		"unknown field": `{"state":"in","colour":"red"}`,
		"wrong type":    `{"state":7}`,
		"two values":    `{"state":"in"}{"state":"out"}`,
		"not an object": `[]`,
		"truncated":     `{"state":"in"`,
		"empty":         ``,
		"number":        `3`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := (wire.Codec{}).DecodeChange("zone", "cph-1", []byte(body)); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	data, err := wire.Codec{}.Encode(testBatch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := wire.Codec{}.Decode(data)
		if err != nil {
			return
		}
		if _, err := (wire.Codec{}).Encode(m); err != nil {
			t.Errorf("encode a decoded message: %v", err)
		}
	})
}

func FuzzDecodeQuery(f *testing.F) {
	f.Add([]byte(`{"service":"archive-desk","body":"red coat","timeout_ms":65}`))
	f.Add([]byte(`{"service":"casting-book","idempotent":false}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		q, err := wire.Codec{}.DecodeQuery(data)
		if err == nil && (q.Service() == "" || q.Timeout() < 0 || (!q.Idempotent() && q.ID() == "")) {
			t.Errorf("got the query %+v, want an error", q)
		}
	})
}

// Guards against a message whose bytes were changed on the way and that can still be
// decoded. Messages of earlier versions have no checksum.
func TestChangedMessageIsRefused(t *testing.T) {
	data, err := wire.Codec{}.Encode(testBatch())
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		for _, bit := range []byte{1, 0x10, 0x80} {
			changed := append([]byte(nil), data...)
			changed[i] ^= bit
			if m, err := (wire.Codec{}).Decode(changed); err == nil && !reflect.DeepEqual(m, testBatch()) {
				t.Errorf("byte %d changed by %#x: got %+v, want an error or the same message", i, bit, m)
			}
		}
	}
	if _, err := (wire.Codec{}).Decode([]byte{0xa3, 1, 1, 2, 1, 3, 0xa0}); err != nil {
		t.Errorf("heartbeat of version 1: got error %v, want none", err)
	}
}

// Guards against a message that counts as one of an earlier version, and is not checked,
// because its version was changed as well.
func TestChangedMessageWithChangedVersionIsRefused(t *testing.T) {
	data, err := wire.Codec{}.Encode(testBatch())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := data[1], byte(1); got != want {
		t.Fatalf("first key: got %d, want %d, that of the version", got, want)
	}
	data[2] = 1
	if m, err := (wire.Codec{}).Decode(data); err != nil || !reflect.DeepEqual(m, testBatch()) {
		t.Errorf("version changed alone: got %+v and error %v, want the same message", m, err)
	}
	body := bytes.Index(data, testBatch().Body())
	if body < 0 {
		t.Fatal("got no body in the message, want it as it is")
	}
	data[body] ^= 1
	if m, err := (wire.Codec{}).Decode(data); err == nil {
		t.Errorf("version and body changed: got %+v, want an error", m)
	}
}
