package targetsrv

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
)

// loadReport is the response body of the load endpoint.
type loadReport struct {
	Target   string `json:"target"`
	Healthy  bool   `json:"healthy"`
	Draining bool   `json:"draining"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
}

func (s *Server) currentLoadLocked() loadReport {
	return loadReport{
		Target:   s.config.Name,
		Healthy:  !s.faults.Draining,
		Draining: s.faults.Draining,
		Slots:    s.config.Slots,
		Running:  s.stats.Running,
	}
}

// report returns what the health and load endpoints report. Only the actual state
// is withheld while the target is frozen.
func (s *Server) report() loadReport {
	if s.Faults().Report == ReportActual {
		s.awaitUnfrozen()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.currentLoadLocked()
	switch s.faults.Report {
	case ReportHealthy:
		report.Healthy, report.Draining, report.Running = true, false, 0
	case ReportUnhealthy:
		report.Healthy, report.Running = false, report.Slots
	case ReportStale:
		report = s.staleReport
	case ReportActual:
	}
	return report
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

// RunsReply is the response body of the runs endpoint. If Discarded is above zero,
// the log no longer shows how often old requests ran.
type RunsReply struct {
	Target    string `json:"target"`
	Boot      string `json:"boot"`
	Discarded int    `json:"forgotten"`
	Runs      []Run  `json:"runs"`
}

// serveRuns returns all runs, those with at least the sequence number since, or
// those of the request request_id, depending on the query.
func (s *Server) serveRuns(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	runs, discarded := s.runs.Since(since)
	if id := q.Get("request_id"); id != "" {
		runs = s.runs.ByRequestID(id)
	}
	writeJSON(w, RunsReply{s.config.Name, s.boot, discarded, runs})
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
	controlConn, _ := r.Context().Value(connContextKey{}).(net.Conn)
	s.changeFaults(func(old *Faults) { *old = f }, controlConn)
	writeJSON(w, f)
}
