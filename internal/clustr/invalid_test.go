package clustr_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestInvalidQueriesAreRefused(t *testing.T) {
	c := startCluster(t, "small", 1)
	cases := map[string]struct {
		body   string
		status int
		want   string
	}{
		"malformed JSON":            {`{"service":`, http.StatusBadRequest, "not a query in JSON"},
		"no service":                {`{}`, http.StatusBadRequest, "service is missing"},
		"undeclared service":        {`{"service":"nothing"}`, http.StatusBadRequest, "not declared"},
		"timeout above the limit":   {`{"service":"archive-desk","timeout_ms":99999999}`, http.StatusBadRequest, "timeout_ms"},
		"min_coverage above 1":      {`{"service":"archive-desk","min_coverage":2}`, http.StatusBadRequest, "min_coverage"},
		"write without an ID":       {`{"service":"casting-book","idempotent":false}`, http.StatusBadRequest, "id is missing"},
		"write with a malformed ID": {`{"service":"casting-book","idempotent":false,"id":"abc"}`, http.StatusBadRequest, "MILLISECONDS-RANDOM"},
		"ID above the limit":        {`{"service":"casting-book","idempotent":false,"id":"1-` + strings.Repeat("x", 80) + `"}`, http.StatusBadRequest, "at most 64"},
		"body above the limit":      {`{"service":"archive-desk","body":"` + strings.Repeat("x", 1<<20) + `"}`, http.StatusBadRequest, "at most 1048576 bytes"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := http.Post("http://"+c.Addrs()[0]+"/v1/query", "application/json", strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tc.status || !strings.Contains(string(data), tc.want) {
				t.Errorf("got %d %s, want %d with %q", resp.StatusCode, data, tc.status, tc.want)
			}
		})
	}
}
