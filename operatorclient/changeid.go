package operatorclient

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"amaranthpaddle/plan"
)

// PlanChangeID returns the change id of a plan, derived from its content: the
// same plan submitted twice is one change.
func PlanChangeID(p *plan.DayPlan) string {
	digest := p.Digest()
	return fmt.Sprintf("plan-%d-%s", p.Number, hex.EncodeToString(digest[:8]))
}

// NewChangeID returns a change id that no other call has. Zones and VMs go out
// and come back, so the same words on another day are another change.
func NewChangeID(action string) string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return action + "-" + hex.EncodeToString(random[:])
}
