package simplt

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// admin serves the admin API: it sets faults, adds instances and returns call counts.
func (p *Platform) admin(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/faults":
		faults, err := strconv.Atoi(r.URL.Query().Get("set"))
		if err != nil {
			http.Error(w, "set must be the sum of the faults: 1 outage, 2 slow, 4 lost replies, 8 stale list", http.StatusBadRequest)
			return
		}
		p.SetFaults(faults)
	case "/admin/instances":
		var instances []instance
		if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, in := range instances {
			p.AddInstance(in.Name, in.Addr, in.Zone)
		}
	case "/admin/counts":
		_ = json.NewEncoder(w).Encode(p.Counts())
	default:
		http.NotFound(w, r)
	}
}
