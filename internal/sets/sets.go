// Package sets reads and checks the settings of a node.
//
// # Usage
//
//	s, faults := sets.Read(data)
//	if len(faults) > 0 { print them all and stop }
//
// Settings are one JSON object. An unknown field, a wrong type, a value out of
// range and settings that contradict each other are faults; all are reported at
// once, each with the field, the value and what is allowed. docs/operate has
// the list of settings, made by Describe.
package sets

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
	peers      []string // addresses of nodes to try while the platform gives no list
	lanes      int      // traffic lanes, each with a goroutine of its own
	ttlSeconds int      // how long a caller may keep the answer which nodes to use, in seconds
	logLevel   string   // the least level that is logged
	ejection   string   // how a server held back as an outlier returns
}

// setting describes one setting.
type setting struct {
	name, unit, standard, allowed, meaning string
	read                                   func(s *Settings, raw json.RawMessage) error
	check                                  func(s *Settings) string
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Bounds of numbers.
const (
	maxLanes = 64
	maxTTL   = 300
)

func into[V any](field func(s *Settings) *V) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error { return json.Unmarshal(raw, field(s)) }
}

func settings() []setting {
	return []setting{
		{"name", "-", "(none)", "1 to 63 lower-case letters, digits, dots and dashes", "the node's name, unique in the deployment", into(func(s *Settings) *string { return &s.name }), func(s *Settings) string { return form(nameForm, s.name) }},
		{"zone", "-", "(none)", "1 to 63 lower-case letters, digits, dots and dashes", "the availability zone of the node", into(func(s *Settings) *string { return &s.zone }), func(s *Settings) string { return form(nameForm, s.zone) }},
		{"listen", "address", "(none)", "an IP address and a port", "where the node listens for callers, operators and other nodes", into(func(s *Settings) *string { return &s.listen }), func(s *Settings) string { return address(s.listen) }},
		{"advertise", "address", "the value of listen", "an IP address and a port", "where others connect to", into(func(s *Settings) *string { return &s.advertise }), func(s *Settings) string { return address(s.advertise) }},
		{"platform", "URL", "(none)", "an http or https URL", "the base URL of the platform's object API", into(func(s *Settings) *string { return &s.platform }), checkPlatform},
		{"peers", "addresses", "[]", "IP addresses with ports", "nodes to try while the platform gives no list", into(func(s *Settings) *[]string { return &s.peers }), checkPeers},
		{"lanes", "goroutines", "1", fmt.Sprintf("1 to %d", maxLanes), "traffic lanes; one per core is usual", into(func(s *Settings) *int { return &s.lanes }), func(s *Settings) string { return within(s.lanes, 1, maxLanes) }},
		{"ttl_seconds", "seconds", "10", fmt.Sprintf("1 to %d", maxTTL), "how long a caller may keep the answer which nodes to use; a stopping node serves on for that long", into(func(s *Settings) *int { return &s.ttlSeconds }), func(s *Settings) string { return within(s.ttlSeconds, 1, maxTTL) }},
		{"log_level", "-", "info", "debug, info, warning, error", "the least level that is logged; decisions are logged at info", into(func(s *Settings) *string { return &s.logLevel }), func(s *Settings) string { return oneOf(s.logLevel, "debug", "info", "warning", "error") }},
		{"ejection", "-", "probe", "probe, timer, escalating", "how a server held back as an outlier returns", into(func(s *Settings) *string { return &s.ejection }), func(s *Settings) string { return oneOf(s.ejection, "probe", "timer", "escalating") }},
	}
}

// Read returns the settings of a JSON object, or all its faults.
func Read(data []byte) (*Settings, []string) {
	s := &Settings{lanes: 1, ttlSeconds: 10, logLevel: "info", ejection: "probe"}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, []string{"the settings are not one JSON object: " + err.Error()}
	}
	var faults []string
	bad := map[string]bool{}
	for _, d := range settings() {
		raw, ok := fields[d.name]
		delete(fields, d.name)
		if !ok {
			continue
		}
		if err := d.read(s, raw); err != nil {
			bad[d.name] = true
			faults = append(faults, fmt.Sprintf("%s is %s; allowed: %s", d.name, raw, d.allowed))
		}
	}
	if s.advertise == "" {
		s.advertise = s.listen
	}
	for _, d := range settings() {
		if problem := d.check(s); problem != "" && !bad[d.name] {
			faults = append(faults, fmt.Sprintf("%s %s; allowed: %s", d.name, problem, d.allowed))
		}
	}
	return s, append(faults, unknown(fields)...)
}

func unknown(fields map[string]json.RawMessage) []string {
	var faults []string
	for name := range fields {
		faults = append(faults, fmt.Sprintf("%s is not a setting; allowed are %s", name, strings.Join(names(), ", ")))
	}
	sort.Strings(faults)
	return faults
}

func names() []string {
	var out []string
	for _, d := range settings() {
		out = append(out, d.name)
	}
	return out
}

// TTL returns how long a caller may keep the answer which nodes to use.
func (s *Settings) TTL() time.Duration { return time.Duration(s.ttlSeconds) * time.Second }

// Describe returns the settings as a table in Markdown.
func Describe() string {
	var b strings.Builder
	b.WriteString("| setting | unit | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, d := range settings() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", d.name, d.unit, d.standard, d.allowed, d.meaning)
	}
	return b.String()
}

func form(re *regexp.Regexp, v string) string {
	if re.MatchString(v) {
		return ""
	}
	return fmt.Sprintf("is %q", v)
}

func address(v string) string {
	host, _, err := net.SplitHostPort(v)
	if err == nil && net.ParseIP(host) != nil {
		return ""
	}
	return fmt.Sprintf("is %q", v)
}

func within(v, least, most int) string {
	if v >= least && v <= most {
		return ""
	}
	return fmt.Sprintf("is %d", v)
}

func oneOf(v string, allowed ...string) string {
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
		if problem := address(p); problem != "" {
			return fmt.Sprintf("has entry %d that %s", i, problem)
		}
	}
	return ""
}
