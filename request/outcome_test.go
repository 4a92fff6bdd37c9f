package request

import (
	"net/http"
	"testing"

	"amaranthpaddle/fault"
)

func TestRefusalOutcomeCoversEarlierSendings(t *testing.T) {
	cases := []struct {
		name       string
		key, first string
		kind       fault.Kind
		want       fault.Outcome
	}{
		{"without a key a refusal before the run is not run", "", "", fault.Overloaded, fault.OutcomeNotRun},
		{"with a key an earlier sending may have run", "k", "", fault.Overloaded, fault.OutcomeUnknown},
		{"with a key the first sending is not run", "k", "true", fault.Overloaded, fault.OutcomeNotRun},
		{"a first sending declared as false is a resend", "k", "false", fault.NoBackend, fault.OutcomeUnknown},
		{"a key of another request is not run", "k", "", fault.Conflict, fault.OutcomeNotRun},
		{"a first sending that may have run stays unknown", "k", "true", fault.ConnectionLost, fault.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/s/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			h.Header.Set(HeaderKey, c.key)
			h.Header.Set(HeaderFirst, c.first)
			if got := RefusalOutcome(h, c.kind); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
