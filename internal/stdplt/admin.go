package stdplt

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// admin serves the switches: faults, instances and counts.
func (p *Platform) admin(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/admin/faults":
		n, err := strconv.Atoi(r.URL.Query().Get("set"))
		if err != nil {
			http.Error(w, "set must be the sum of 1 outage, 2 slow, 4 lost replies, 8 stale list", http.StatusBadRequest)
			return
		}
		p.SetFaults(n)
	case "/admin/instances":
		var list []instance
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, in := range list {
			p.AddInstance(in.Name, in.Addr, in.Zone)
		}
	case "/admin/counts":
		_ = json.NewEncoder(w).Encode(p.Counts())
	default:
		http.NotFound(w, r)
	}
}
