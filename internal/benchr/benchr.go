// Package benchr holds the report of one bench run.
//
// # Usage
//
//	r := benchr.New("steady", "now", 1)
//	r.Set("p99 ms", 41.2)
//	r.AtMost("p99 ms", 65)
//	r.Print(os.Stdout)
package benchr

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
)

// maxNotes bounds the notes that are printed.
const maxNotes = 6

// Report holds figures in the order in which they were set. Make it with New.
type Report struct {
	scenario string
	policy   string
	seed     uint64

	mu     sync.Mutex
	names  []string
	values map[string]float64
	broken []string
	notes  map[string]int
}

// New returns an empty report.
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

// Value returns a figure, 0 when it was not set.
func (r *Report) Value(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[name]
}

// Note adds a remark that was made a number of times.
func (r *Report) Note(times int, remark string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes[remark] += times
}

// AtMost records a broken promise when a figure is above its bound.
func (r *Report) AtMost(name string, bound float64) {
	if v := r.Value(name); v > bound {
		r.Break(fmt.Sprintf("%s is %.4g, at most %.4g is promised", name, v, bound))
	}
}

// AtLeast records a broken promise when a figure is below its bound.
func (r *Report) AtLeast(name string, bound float64) {
	if v := r.Value(name); v < bound {
		r.Break(fmt.Sprintf("%s is %.4g, at least %.4g is promised", name, v, bound))
	}
}

// Break records a broken promise.
func (r *Report) Break(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, what)
}

// Broken returns the broken promises.
func (r *Report) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// reportForm is a report in JSON.
type reportForm struct {
	Scenario string             `json:"scenario"`
	Policy   string             `json:"policy"`
	Seed     uint64             `json:"seed"`
	Values   map[string]float64 `json:"values"`
	Broken   []string           `json:"broken"`
}

// JSON returns the report as one JSON object.
func (r *Report) JSON() ([]byte, error) {
	broken := r.Broken()
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.MarshalIndent(reportForm{r.scenario, r.policy, r.seed, r.values, broken}, "", "  ")
}

// Print prints the report as a table.
func (r *Report) Print(out io.Writer) error {
	broken := r.Broken()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "scenario %s\tpolicy %s, seed %d\n", r.scenario, r.policy, r.seed)
	for _, name := range r.names {
		fmt.Fprintf(t, "  %s\t%.4g\n", name, r.values[name])
	}
	for _, remark := range r.commonNotes() {
		fmt.Fprintf(t, "  note\t%d x %s\n", r.notes[remark], remark)
	}
	for _, b := range broken {
		fmt.Fprintf(t, "  BROKEN\t%s\n", b)
	}
	if len(broken) == 0 {
		fmt.Fprintln(t, "  every promise was kept\t")
	}
	return t.Flush()
}

// commonNotes returns the remarks made most often.
func (r *Report) commonNotes() []string {
	var out []string
	for remark := range r.notes {
		out = append(out, remark)
	}
	sort.Slice(out, func(i, j int) bool {
		if r.notes[out[i]] != r.notes[out[j]] {
			return r.notes[out[i]] > r.notes[out[j]]
		}
		return out[i] < out[j]
	})
	return out[:min(len(out), maxNotes)]
}
