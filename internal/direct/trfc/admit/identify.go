package admit

import (
	"fmt"
	"time"

	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/permit"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/view"
	"github.com/lagoontrail/lagoon/internal/timers"
)

// identify sets the organisation and the rank of a request. It returns the organisation, nil if
// the request needs none, and whether the request may be admitted. Otherwise the request has been refused, or waits for a newer catalog.
func identify(l *loop.Loop, id lagoon.RowID, req *reqs.Row, route *lagoon.Route, now time.Duration) (*lagoon.Organisation, bool) {
	v, request := req.View(), req.Request()
	req.SetRank(route.Priority())
	if !v.Identified() {
		return nil, true
	}
	req.SetOrganisation("") // a request that waited may have had one under an earlier catalog
	if route.Public() {
		return nil, true
	}
	if reason := unusable(l, v, now); reason != "" {
		if now-req.ArrivedAt() < maxSyncWait {
			l.WakeAt(now+syncRecheckInterval, timers.Recheck, id)
		} else {
			refuse(l, id, req, retryAfterStart, "keys cannot be checked: "+reason)
		}
		return nil, false
	}
	organisation := v.FindOrganisation(request.Key())
	switch {
	case organisation != nil:
	case !v.RegistryReachable() || v.CatalogOutdated():
		refuse(l, id, req, retryAfterNoServer, "no organisation holds the key, and newer declarations may exist that are not known yet")
		return nil, false
	case request.Key() == "":
		finish(l, id, req, lagoon.RequestUnauthorized, "the request does not have exactly one key")
		return nil, false
	default:
		catalog := v.Catalog()
		finish(l, id, req, lagoon.RequestUnauthorized, fmt.Sprintf("unknown key: no organisation of version %d holds it", catalog.Version()))
		return nil, false
	}
	req.SetOrganisation(organisation.Name())
	if organisation.HasPriority() {
		req.SetRank(organisation.Priority())
	}
	return organisation, true
}

// unusable returns why a view must not be used to accept keys, or an empty string. A key may
// have been removed since: control has stood still, so that news waits for it, or the catalog
// was not confirmed for so long that a removal must be in force, as after the process was
// paused. A node that has no contact with the registry keeps its catalog.
func unusable(l *loop.Loop, v *view.View, now time.Duration) string {
	if tick := l.ControlTick(); tick != nil {
		if silence := now - time.Duration(tick.Load()); silence > permit.MaxControlSilence {
			return fmt.Sprintf("control has not run for %s", silence.Round(time.Millisecond))
		}
	}
	if until := v.CatalogValidUntil(); v.RegistryReachable() && until > 0 && now >= until {
		return fmt.Sprintf("the declarations had to be confirmed %s earlier", (now - until).Round(time.Millisecond))
	}
	return ""
}
