package targetsrv

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
)

// loadReport is the body of the load endpoint.
type loadReport struct {
	Target   string `json:"target"`
	Healthy  bool   `json:"healthy"`
	Draining bool   `json:"draining"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
}

func (s *Server) loadLocked() loadReport {
	return loadReport{
		Target:   s.config.Name,
		Healthy:  !s.faults.Draining,
		Draining: s.faults.Draining,
		Slots:    s.config.Slots,
		Running:  s.stats.Running,
	}
}

// report returns what the health and load endpoints say. Only a truthful report
// waits for a frozen target.
func (s *Server) report() loadReport {
	if s.Faults().Report == ReportTruth {
		s.awaitThaw()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadLocked()
	switch s.faults.Report {
	case ReportGood:
		l.Healthy, l.Draining, l.Running = true, false, 0
	case ReportBad:
		l.Healthy, l.Running = false, l.Slots
	case ReportStale:
		l = s.stale
	case ReportTruth:
	}
	return l
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.report().Healthy {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.report())
}

// RunsReply is the body of the runs endpoint. If Forgotten is above zero the
// record no longer proves how often old requests ran.
type RunsReply struct {
	Target    string `json:"target"`
	Boot      string `json:"boot"`
	Forgotten int    `json:"forgotten"`
	Runs      []Run  `json:"runs"`
}

// serveRuns answers with all runs, or those from ?since= on, or those of
// ?request_id=.
func (s *Server) serveRuns(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	runs, forgotten := s.runs.Since(since)
	if id := q.Get("request_id"); id != "" {
		runs = s.runs.Of(id)
	}
	writeJSON(w, RunsReply{s.config.Name, s.boot, forgotten, runs})
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Stats())
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Faults())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	var f Faults
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	carrier, _ := r.Context().Value(connKey{}).(net.Conn)
	s.update(func(old *Faults) { *old = f }, carrier)
	writeJSON(w, f)
}
