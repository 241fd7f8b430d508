package shed

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/view"
)

// setPools determines the pools of a view's catalog, and removes the routes and the pools that
// it does not have. Services belong to one pool if a route needs both.
func setPools(l *loop.Loop, v *view.View) {
	parent := map[string]string{}
	declared := map[string]*lagoon.Route{}
	for _, routes := range v.Routes() {
		for _, r := range routes {
			declared[r.Name()] = r
			services := servicesOf(r)
			for _, service := range services {
				join(parent, services[0], service)
			}
		}
	}
	pools := map[string]bool{}
	for i := l.Demand().Len() - 1; i >= 0; i-- {
		if name := l.Demand().Key(i); declared[name] == nil {
			l.Demand().RemoveKey(name)
		}
	}
	for name, r := range declared {
		if services := servicesOf(r); len(services) > 0 {
			row := l.Demand().Ensure(name)
			row.SetRoute(r)
			row.SetPool(find(parent, services[0]))
			pools[row.Pool()] = true
		}
	}
	for i := l.Levels().Len() - 1; i >= 0; i-- {
		if name := l.Levels().Key(i); !pools[name] {
			l.Levels().RemoveKey(name)
		}
	}
}

func servicesOf(r *lagoon.Route) []string {
	if len(r.Shards()) > 0 {
		return r.Shards()
	}
	var out []string
	for _, target := range r.Targets() {
		out = append(out, target.Service())
	}
	return out
}

// find returns the first service, in the order of names, of the pool of a service.
func find(parent map[string]string, service string) string {
	for {
		next, ok := parent[service]
		if !ok || next == service {
			return service
		}
		service = next
	}
}

// join joins the pools of two services.
func join(parent map[string]string, a, b string) {
	a, b = find(parent, a), find(parent, b)
	parent[max(a, b)] = min(a, b)
}
