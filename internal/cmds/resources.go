package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/change"
	"github.com/lagoontrail/lagoon/internal/wire"
)

// resourceFile is a JSON file with resources of each kind.
type resourceFile struct {
	Zones    []json.RawMessage `json:"zones"`
	Services []json.RawMessage `json:"services"`
	Rules    []json.RawMessage `json:"rules"`
}

// items returns the resources in the order in which they can be applied: a service
// refers to zones, and a rule to a service.
func (r resourceFile) items() []resourceItem {
	var out []resourceItem
	add := func(kind string, list []json.RawMessage) {
		for _, raw := range list {
			var header struct {
				Name string `json:"name"`
			}
			_ = json.Unmarshal(raw, &header) // validation reports a missing name
			out = append(out, resourceItem{kind, header.Name, raw})
		}
	}
	add("zone", r.Zones)
	add("service", r.Services)
	add("rule", r.Rules)
	return out
}

type resourceItem struct {
	kind, name string
	raw        json.RawMessage
}

func readResources(path string) (resourceFile, error) {
	var r resourceFile
	data, err := os.ReadFile(path)
	if err != nil {
		return r, errors.Wrap(err, "read the resources")
	}
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return r, errors.Wrapf(err, "%s: must be a JSON object with zones, services and rules", path)
	}
	return r, nil
}

// checkResources applies the resources in the files to an empty configuration and
// prints every error.
func checkResources(paths []string, errOut io.Writer) error {
	var c lagoon.Config
	failed := false
	for _, path := range paths {
		r, err := readResources(path)
		if err != nil {
			return err
		}
		for _, item := range r.items() {
			ch, err := wire.Codec{}.DecodeChange(item.kind, item.name, item.raw)
			if err == nil {
				var next lagoon.Config
				if next, _, err = change.Apply(c, ch); err == nil {
					c = next
					continue
				}
			}
			failed = true
			fmt.Fprintf(errOut, "%s: %s %q: %v\n", path, item.kind, item.name, err)
		}
	}
	if failed {
		return errFailed
	}
	return nil
}
