package rig_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestBadQueriesAreRefused(t *testing.T) {
	r := start(t, "small", 1)
	cases := map[string]struct {
		body   string
		status int
		want   string
	}{
		"not JSON":                {`{"service":`, http.StatusBadRequest, "not a query in JSON"},
		"no service":              {`{}`, http.StatusBadRequest, "service is missing"},
		"an unknown service":      {`{"service":"nothing"}`, http.StatusBadRequest, "not declared"},
		"an endless timeout":      {`{"service":"archive-desk","timeout_ms":99999999}`, http.StatusBadRequest, "timeout_ms"},
		"coverage above one":      {`{"service":"archive-desk","min_coverage":2}`, http.StatusBadRequest, "min_coverage"},
		"a booking without an id": {`{"service":"casting-book","idempotent":false}`, http.StatusBadRequest, "id is missing"},
		"a booking with a bad id": {`{"service":"casting-book","idempotent":false,"id":"abc"}`, http.StatusBadRequest, "MILLISECONDS-RANDOM"},
		"an id that is too long":  {`{"service":"casting-book","idempotent":false,"id":"1-` + strings.Repeat("x", 80) + `"}`, http.StatusBadRequest, "at most 64"},
		"an oversized body":       {`{"service":"archive-desk","body":"` + strings.Repeat("x", 1<<20) + `"}`, http.StatusBadRequest, "at most 1048576 bytes"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := http.Post("http://"+r.Addrs()[0]+"/v1/query", "application/json", strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || !strings.Contains(string(data), c.want) {
				t.Errorf("got %d %s, want %d with %q", resp.StatusCode, data, c.status, c.want)
			}
		})
	}
}
