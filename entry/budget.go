package entry

import (
	"context"

	"amaranthpaddle/api"
	"amaranthpaddle/request"
)

// answerCredit is how many bytes of an answer an agent of another region may
// have in flight.
const answerCredit = 64 << 10

// linkBudget shares the bytes to and from other regions.
type linkBudget struct {
	rate int64
}

func newLinkBudget(rate int64) *linkBudget { return &linkBudget{rate: rate} }

// wait returns when size bytes may be sent.
func (b *linkBudget) wait(ctx context.Context, remote bool, class request.Class, size int) error {
	return nil
}

// waitInbound returns when size bytes more may be asked for.
func (b *linkBudget) waitInbound(ctx context.Context, class request.Class, size int) error {
	return nil
}

func classOfStart(start *api.AttemptStart) request.Class {
	if start.Class == api.CallerClass_CALLER_CLASS_BATCH {
		return request.Batch
	}
	return request.Interactive
}
