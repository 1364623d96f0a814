package edge

import (
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

// ShowEvacuations is an HTTP handler that returns the evacuated failure domains and what is left
// there.
func (d *Daemon) ShowEvacuations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.evacuations())
}

func (d *Daemon) evacuations() adminapi.Evacuations {
	v, now := d.views.Current(), clock.Now()
	out := adminapi.Evacuations{
		Daemon: d.self.Name, CopyAgeMs: (now - d.mirror.Status().CurrentAt).Milliseconds(), Domains: []adminapi.Evacuation{},
	}
	for _, e := range d.views.Evacuations() {
		domain := map[string]bool{e.Domain: true}
		out.Domains = append(out.Domains, adminapi.Evacuation{
			Domain: e.Domain, KnownForMs: max(now-e.LearnedAt, 0).Milliseconds(), LastSendMs: max(e.DrainedAt-now, 0).Milliseconds(),
			Missing: e.Missing, Keys: v.KeysIn(domain), Requests: d.dispatcher.RunningIn(domain),
		})
	}
	return out
}
