// Package config parses and validates the settings of a node.
//
// # Usage
//
//	s, problems := config.Parse(data)
//	if len(problems) > 0 { print them all and exit }
//
// Settings are one JSON object. Unknown fields, wrong types and invalid values are
// reported together, each with the field, the value and the allowed values.
// docs/operate/settings.md lists the settings; MarkdownTable generates it.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"
)

//go:generate go run ../accgen -dir . -rows

// Settings are the settings of one node.
type Settings struct {
	name       string   // the node's name, unique in the deployment
	zone       string   // the availability zone of the node
	listen     string   // the IP address and port to listen on
	advertise  string   // the IP address and port that others connect to
	platform   string   // the base URL of the platform's object API
	peers      []string // the addresses of nodes to contact while the platform's instance list is unavailable
	lanes      int      // the number of traffic lanes, each with its own goroutine
	ttlSeconds int      // how long a caller may cache the list of nodes to use, in seconds
	logLevel   string   // the minimum level of log lines
	ejection   string   // the policy by which an ejected server is readmitted
}

// setting describes one setting.
type setting struct {
	name, unit, defaultValue, allowed, meaning string
	decode                                     func(s *Settings, raw json.RawMessage) error
	validate                                   func(s *Settings) string // returns what is wrong with the value, or an empty string
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Limits of the numeric settings.
const (
	maxLanes      = 64
	maxTTLSeconds = 300
)

// decodeInto returns a function that decodes a JSON value into a field.
func decodeInto[V any](field func(s *Settings) *V) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error { return json.Unmarshal(raw, field(s)) }
}

func settings() []setting {
	return []setting{
		{"name", "-", "(none)", "1 to 63 lower-case letters, digits, dots and hyphens", "the node's name, unique in the deployment", decodeInto(func(s *Settings) *string { return &s.name }), func(s *Settings) string { return checkPattern(namePattern, s.name) }},
		{"zone", "-", "(none)", "1 to 63 lower-case letters, digits, dots and hyphens", "the availability zone of the node", decodeInto(func(s *Settings) *string { return &s.zone }), func(s *Settings) string { return checkPattern(namePattern, s.zone) }},
		{"listen", "address", "(none)", "an IP address with a port", "the address on which the node listens for callers, operators and other nodes", decodeInto(func(s *Settings) *string { return &s.listen }), func(s *Settings) string { return checkAddress(s.listen) }},
		{"advertise", "address", "the value of listen", "an IP address with a port", "the address that callers, operators and other nodes connect to", decodeInto(func(s *Settings) *string { return &s.advertise }), func(s *Settings) string { return checkAddress(s.advertise) }},
		{"platform", "URL", "(none)", "an http or https URL", "the base URL of the platform's object API", decodeInto(func(s *Settings) *string { return &s.platform }), checkPlatform},
		{"peers", "addresses", "[]", "IP addresses with ports", "the nodes to contact while the platform's instance list is unavailable", decodeInto(func(s *Settings) *[]string { return &s.peers }), checkPeers},
		{"lanes", "goroutines", "1", fmt.Sprintf("between 1 and %d", maxLanes), "the number of traffic lanes, each with its own goroutine; typically one per core", decodeInto(func(s *Settings) *int { return &s.lanes }), func(s *Settings) string { return checkRange(s.lanes, 1, maxLanes) }},
		{"ttl_seconds", "seconds", "10", fmt.Sprintf("between 1 and %d", maxTTLSeconds), "how long a caller may cache the list of nodes to use; a stopping node keeps serving for that long", decodeInto(func(s *Settings) *int { return &s.ttlSeconds }), func(s *Settings) string { return checkRange(s.ttlSeconds, 1, maxTTLSeconds) }},
		{"log_level", "-", "info", "debug, info, warning or error", "the minimum level of log lines; decisions are logged at info", decodeInto(func(s *Settings) *string { return &s.logLevel }), func(s *Settings) string { return checkOneOf(s.logLevel, "debug", "info", "warning", "error") }},
		{"ejection", "-", "probe", "probe, timer or escalating", "the policy by which an ejected server is readmitted", decodeInto(func(s *Settings) *string { return &s.ejection }), func(s *Settings) string { return checkOneOf(s.ejection, "probe", "timer", "escalating") }},
	}
}

// Parse returns the settings in a JSON object and every problem found in them.
func Parse(data []byte) (*Settings, []string) {
	s := &Settings{lanes: 1, ttlSeconds: 10, logLevel: "info", ejection: "probe"}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, []string{"the settings are not one JSON object: " + err.Error()}
	}
	var problems []string
	undecoded := map[string]bool{}
	for _, d := range settings() {
		raw, ok := fields[d.name]
		delete(fields, d.name)
		if !ok {
			continue
		}
		if err := d.decode(s, raw); err != nil {
			undecoded[d.name] = true
			problems = append(problems, fmt.Sprintf("%s is %s; must be %s", d.name, raw, d.allowed))
		}
	}
	if s.advertise == "" {
		s.advertise = s.listen
	}
	for _, d := range settings() {
		if problem := d.validate(s); problem != "" && !undecoded[d.name] {
			problems = append(problems, fmt.Sprintf("%s %s; must be %s", d.name, problem, d.allowed))
		}
	}
	return s, append(problems, unknownFields(fields)...)
}

// unknownFields returns a problem for each field that is not a setting.
func unknownFields(fields map[string]json.RawMessage) []string {
	var problems []string
	for name := range fields {
		problems = append(problems, fmt.Sprintf("%s is not a setting; the settings are %s", name, strings.Join(settingNames(), ", ")))
	}
	sort.Strings(problems)
	return problems
}

func settingNames() []string {
	var out []string
	for _, d := range settings() {
		out = append(out, d.name)
	}
	return out
}

// TTL returns how long a caller may cache the list of nodes to use.
func (s *Settings) TTL() time.Duration { return time.Duration(s.ttlSeconds) * time.Second }

// MarkdownTable returns the list of settings as a Markdown table.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| setting | unit | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, d := range settings() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", d.name, d.unit, d.defaultValue, d.allowed, d.meaning)
	}
	return b.String()
}

func checkPattern(re *regexp.Regexp, v string) string {
	if re.MatchString(v) {
		return ""
	}
	return fmt.Sprintf("is %q", v)
}

func checkAddress(v string) string {
	host, _, err := net.SplitHostPort(v)
	if err == nil && net.ParseIP(host) != nil {
		return ""
	}
	return fmt.Sprintf("is %q", v)
}

func checkRange(v, low, high int) string {
	if v >= low && v <= high {
		return ""
	}
	return fmt.Sprintf("is %d", v)
}

func checkOneOf(v string, allowed ...string) string {
	if slices.Contains(allowed, v) {
		return ""
	}
	return fmt.Sprintf("is %q", v)
}

func checkPlatform(s *Settings) string {
	u, err := url.Parse(s.platform)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return ""
	}
	return fmt.Sprintf("is %q", s.platform)
}

func checkPeers(s *Settings) string {
	for i, p := range s.peers {
		if problem := checkAddress(p); problem != "" {
			return fmt.Sprintf("has entry %d that %s", i, problem)
		}
	}
	return ""
}
