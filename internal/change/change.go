// Package change applies a change that an operator requests to a configuration.
//
// # Usage
//
//	next, version, err := change.Apply(current, c)
//
// The result is a configuration of the next revision. The changed resource takes
// that revision as its version, so versions are never reused.
package change

import (
	"sort"

	"github.com/pkg/errors"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/check"
)

// resource is a service, zone or rule.
type resource interface {
	Name() string
	Version() uint64
}

// Apply returns the configuration after a change and the resource's version. If
// the resource has another version than the change expects, it returns
// lagoon.ErrConflict, wrapped, with the current version. If the resource is
// invalid, the error lists all problems.
func Apply(current lagoon.Config, c lagoon.Change) (lagoon.Config, uint64, error) {
	next := current
	next.SetRevision(current.Revision() + 1)
	var version uint64
	var err error
	switch c.Kind() {
	case "service":
		s := c.Service()
		s.SetVersion(next.Revision())
		var list []lagoon.Service
		list, version, err = replace(current.Services(), s, c)
		next.SetServices(list)
	case "zone":
		z := c.Zone()
		z.SetVersion(next.Revision())
		var list []lagoon.Zone
		list, version, err = replace(current.Zones(), z, c)
		next.SetZones(list)
	case "rule":
		r := c.Rule()
		r.SetVersion(next.Revision())
		var list []lagoon.Rule
		list, version, err = replace(current.Rules(), r, c)
		next.SetRules(list)
	default:
		return current, 0, errors.Errorf("unknown kind %q; must be service, zone or rule", c.Kind())
	}
	if err != nil {
		return current, version, err
	}
	if problems := check.Config(next); len(problems) > 0 {
		return current, version, check.Join(problems)
	}
	return next, version, nil
}

// replace inserts a resource into a list sorted by name, or replaces or removes it.
func replace[R resource](list []R, r R, c lagoon.Change) ([]R, uint64, error) {
	out := make([]R, 0, len(list)+1)
	var currentVersion uint64
	for _, x := range list {
		if x.Name() == r.Name() {
			currentVersion = x.Version()
			continue
		}
		out = append(out, x)
	}
	if currentVersion != c.IfVersion() {
		return nil, currentVersion, errors.Wrapf(lagoon.ErrConflict, "%s %q has version %d, the change was made for version %d", c.Kind(), r.Name(), currentVersion, c.IfVersion())
	}
	if c.Remove() {
		return out, 0, nil
	}
	out = append(out, r)
	sort.Slice(out, func(i, j int) bool { return out[i].Name() < out[j].Name() })
	return out, r.Version(), nil
}
