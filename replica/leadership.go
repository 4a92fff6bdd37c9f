package replica

import "context"

// FollowLeadership calls lead with each term in which the node leads, until ctx
// ends. lead returns when the leadership of that term has ended.
func FollowLeadership(ctx context.Context, node Node, lead func(ctx context.Context, term uint64)) {
	for ctx.Err() == nil {
		changed := node.StatusChanged()
		status := node.Status()
		if status.LeaderReady {
			lead(ctx, status.Term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// WaitLeadershipEnd returns when the node does not lead in the term any more, or
// ctx has ended.
func WaitLeadershipEnd(ctx context.Context, node Node, term uint64) {
	for ctx.Err() == nil {
		changed := node.StatusChanged()
		if !Leads(node, term) {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
