package storesrv

import (
	"encoding/json"
	"net/http"

	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Paths of the stand-in's control API.
const (
	PathFaults   = "/faults"
	PathCounters = "/counters"
)

// Control returns a handler that serves only the control API, to which faults do not apply:
//
//	GET, PUT /faults    memstore.Faults
//	GET /counters       memstore.Counters
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, s.getFaults)
	mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	mux.HandleFunc("GET "+PathCounters, s.getCounters)
	return mux
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	response{status: http.StatusOK, body: s.shared.Faults()}.write(w)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f memstore.Faults
	if !decodeControl(w, r, &f) {
		return
	}
	if f.Down == memstore.DownRefuse && !s.separateControl {
		http.Error(w, "refused connections need a control address of their own", http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.getFaults(w, r)
}

// SetFaults replaces the injected faults. DownRefuse needs a Listener; without one,
// connections are reset instead.
func (s *Server) SetFaults(f memstore.Faults) error {
	if err := s.shared.SetFaults(f); err != nil {
		return err
	}
	if f.StallOpen {
		s.generation.Add(1)
	}
	if s.applyDown == nil {
		return nil
	}
	return s.applyDown(f.Down)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	response{status: http.StatusOK, body: s.shared.Counters()}.write(w)
}

// decodeControl decodes the body of a control request. It rejects unknown fields, so that
// a misspelled fault is not ignored.
func decodeControl(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
