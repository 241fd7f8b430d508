package config_test

import (
	"strings"
	"testing"

	"github.com/lagoontrail/lagoon/internal/config"
)

const validSettings = `{"name":"entry-1","zone":"cph-1","listen":"127.0.0.1:7101","platform":"http://127.0.0.1:7000"}`

func TestValidSettings(t *testing.T) {
	s, problems := config.Parse([]byte(validSettings))
	if len(problems) > 0 {
		t.Fatalf("got problems %v, want none", problems)
	}
	if got, want := s.Advertise(), "127.0.0.1:7101"; got != want {
		t.Errorf("advertise: got %q, want %q", got, want)
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	cases := map[string]struct {
		settings string
		want     []string
	}{
		"unknown field":        {`{"nam":"entry-1"}`, []string{"nam is not a setting", "name is", "zone is", "listen is", "platform is"}},
		"wrong type":           {strings.Replace(validSettings, `"entry-1"`, `7`, 1), []string{"name is 7"}},
		"out of range":         {strings.Replace(validSettings, `{`, `{"lanes":0,"ttl_seconds":9000,`, 1), []string{"lanes is 0", "ttl_seconds is 9000"}},
		"host name as address": {strings.Replace(validSettings, `127.0.0.1:7101`, `localhost:7101`, 1), []string{"listen is"}},
		"not JSON":             {`name: entry-1`, []string{"not one JSON object"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, problems := config.Parse([]byte(c.settings))
			got := strings.Join(problems, "\n")
			for _, want := range c.want {
				if !strings.Contains(got, want) {
					t.Errorf("got problems:\n%s\nwant one that contains %q", got, want)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := config.Parse(data)
		if len(problems) == 0 && (s.Name() == "" || s.Lanes() < 1) {
			t.Errorf("got settings %+v, want problems", s)
		}
	})
}
