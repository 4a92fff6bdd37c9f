package replica

import "fmt"

func (g *group) dump() string {
	out := ""
	for _, id := range g.ids {
		n := g.nodes[id]
		t, c := n.engine.raft.Membership()
		out += fmt.Sprintf("node %d inc %d up %v failed %v applied %d status %+v table %v removed %v committed %v\n", id, n.incarnation, n.up, n.engine.failed, n.register.applied, n.engine.raft.Status(), memberRoles(t), t.Removed, c)
		for _, m := range t.Members {
			out += fmt.Sprintf("   %d %s\n", m.Id, n.engine.raft.Debug(m.Id))
		}
	}
	return out
}
