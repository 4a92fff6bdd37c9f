package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Without Connection: close, a caller's keep-alive connection would be closed
// during its next request when the listener closes.
func TestDrainingEntryAsksCallersForOtherConnections(t *testing.T) {
	e, err := New(Config{Name: "e"})
	if err != nil {
		t.Fatal(err)
	}
	defer e.blobs.Close()
	for _, draining := range []bool{false, true} {
		e.draining.Store(draining)
		w := httptest.NewRecorder()
		e.server.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ledger/", nil))
		if closes := w.Header().Get("Connection") == "close"; closes != draining {
			t.Errorf("draining %v: connection closes %v", draining, closes)
		}
	}
}
