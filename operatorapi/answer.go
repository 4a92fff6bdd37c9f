package operatorapi

import (
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
)

// WriteError answers with the table row of err's kind and Error as
// the body. leader is the leader's operator address, empty when not known.
func WriteError(w http.ResponseWriter, err error, leader string) {
	kind := fault.KindOf(err)
	answer := kind.Answer()
	body := Error{Kind: answer.Name, Message: err.Error(), Outcome: string(answer.Outcome), Leader: leader}
	w.Header().Set("Content-Type", "application/json")
	if leader != "" {
		w.Header().Set(HeaderLeader, leader)
	}
	w.WriteHeader(answer.HTTP)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		klog.V(1).InfoS("Error answer not written", "error", err)
	}
}
