// Package report collects the figures of one bench run and checks them against
// limits.
//
// # Usage
//
//	r := report.New("steady", "now", 1)
//	r.Set("p99 ms", 41.2)
//	r.AtMost("p99 ms", 65)
//	r.Print(os.Stdout)
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
)

// maxPrintedNotes limits the notes that Print shows.
const maxPrintedNotes = 6

// Report holds the figures of a run. It is safe for concurrent use; create it with
// New.
type Report struct {
	scenario string
	policy   string
	seed     uint64

	mu         sync.Mutex
	names      []string // in the order in which they were set
	values     map[string]float64
	violations []string
	notes      map[string]int // number of occurrences by text
}

// New returns an empty report. The policy "" is "now".
func New(scenario, policy string, seed uint64) *Report {
	if policy == "" {
		policy = "now"
	}
	return &Report{scenario: scenario, policy: policy, seed: seed, values: map[string]float64{}, notes: map[string]int{}}
}

// Set sets a figure.
func (r *Report) Set(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.values[name]; !ok {
		r.names = append(r.names, name)
	}
	r.values[name] = value
}

// Value returns a figure, or 0 if it is not set.
func (r *Report) Value(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[name]
}

// AddNote adds a note with its number of occurrences.
func (r *Report) AddNote(count int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes[text] += count
}

// AtMost records a violation if a figure is above its limit.
func (r *Report) AtMost(name string, limit float64) {
	if v := r.Value(name); v > limit {
		r.AddViolation(fmt.Sprintf("%s is %.4g, above the limit of %.4g", name, v, limit))
	}
}

// AtLeast records a violation if a figure is below its limit.
func (r *Report) AtLeast(name string, limit float64) {
	if v := r.Value(name); v < limit {
		r.AddViolation(fmt.Sprintf("%s is %.4g, below the limit of %.4g", name, v, limit))
	}
}

// AddViolation records a violated guarantee, or a failed step of the scenario.
func (r *Report) AddViolation(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

// Violations returns the recorded violations.
func (r *Report) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// reportJSON is the JSON form of a report.
type reportJSON struct {
	Scenario   string             `json:"scenario"`
	Policy     string             `json:"policy"`
	Seed       uint64             `json:"seed"`
	Values     map[string]float64 `json:"values"`
	Violations []string           `json:"broken"`
}

// JSON returns the report as one JSON object.
func (r *Report) JSON() ([]byte, error) {
	violations := r.Violations()
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.MarshalIndent(reportJSON{r.scenario, r.policy, r.seed, r.values, violations}, "", "  ")
}

// Print prints the report as a table.
func (r *Report) Print(w io.Writer) error {
	violations := r.Violations()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "scenario %s\tpolicy %s, seed %d\n", r.scenario, r.policy, r.seed)
	for _, name := range r.names {
		fmt.Fprintf(t, "  %s\t%.4g\n", name, r.values[name])
	}
	for _, text := range r.mostFrequentNotes() {
		fmt.Fprintf(t, "  note\t%d x %s\n", r.notes[text], text)
	}
	for _, v := range violations {
		fmt.Fprintf(t, "  BROKEN\t%s\n", v)
	}
	if len(violations) == 0 {
		fmt.Fprintln(t, "  no guarantee violated\t")
	}
	return t.Flush()
}

// mostFrequentNotes returns the notes that occurred most often. The caller holds mu.
func (r *Report) mostFrequentNotes() []string {
	var texts []string
	for text := range r.notes {
		texts = append(texts, text)
	}
	sort.Slice(texts, func(i, j int) bool {
		if r.notes[texts[i]] != r.notes[texts[j]] {
			return r.notes[texts[i]] > r.notes[texts[j]]
		}
		return texts[i] < texts[j]
	})
	return texts[:min(len(texts), maxPrintedNotes)]
}
