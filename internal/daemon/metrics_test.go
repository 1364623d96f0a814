package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against refusals counted under the outcome that their reason had
// first: an alert on unknown outcomes would miss them.
func TestRefusalsAreCountedByOutcome(t *testing.T) {
	m := newMetrics()
	m.refused(&refusal{reason: reasonDeadline, outcome: notRun})
	m.refused(&refusal{reason: reasonDeadline, outcome: unknown})
	wanted := []string{
		`refusals{outcome="not-run",reason="deadline"} 1`,
		`refusals{outcome="unknown",reason="deadline"} 1`,
	}
	var body string
	for end := time.Now().Add(5 * metricsInterval); time.Now().Before(end); time.Sleep(metricsInterval / 10) {
		w := httptest.NewRecorder()
		m.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		body = w.Body.String()
		if strings.Contains(body, wanted[0]) && strings.Contains(body, wanted[1]) {
			return
		}
	}
	t.Errorf("counters not published: %s", body)
}
