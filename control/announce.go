package control

import (
	"context"
	"strings"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
)

// maxAnnounceAttempts limits the proposals of one announcement whose servers were
// published for other VMs between the check and the commit.
const maxAnnounceAttempts = 3

// announce commits the announcement if it differs from the committed one. A VM
// that was declared lost must be announced again after the declaration.
func (c *session) announce(ctx context.Context, report *api.AgentReport) error {
	leases := c.server.leases
	return retryConflict(func() error {
		a, changes := c.draftAnnouncement(report.ServersChanged)
		if !changes && !leases.declaredLost(c.vm.Id) {
			return nil
		}
		// An announcement that will be refused must not extend the VM's lease.
		if err := c.server.state.checkAnnouncement(a); err != nil {
			return err
		}
		declarations, ok := leases.beginAnnounce(c.vm.Id, time.Now())
		if !ok {
			return nil // the answer grants nothing; the next report tries again
		}
		err := c.commitAnnouncement(ctx, a)
		if err == nil {
			leases.endAnnounce(c.vm.Id, declarations)
		}
		return err
	})
}

// announceReleased announces the refused servers whose ids other VMs have
// withdrawn. It doesn't extend the VM's lease, since the agent has not reported. If
// a loss declaration precedes the announcement in the log, the VM gets no lease
// until its next report has announced it again.
func (c *session) announceReleased(ctx context.Context) error {
	if len(c.refused) == 0 || c.server.leases.declaredLost(c.vm.Id) {
		return nil
	}
	return retryConflict(func() error {
		a, changes := c.draftAnnouncement(true)
		if !changes {
			return nil
		}
		return c.commitAnnouncement(ctx, a)
	})
}

// retryConflict repeats an announcement that is refused with fault.Conflict, up
// to maxAnnounceAttempts in all.
func retryConflict(announce func() error) error {
	var err error
	for range maxAnnounceAttempts {
		if err = announce(); !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return err
}

// draftAnnouncement returns the announcement without the servers that are
// published for other VMs, and whether it differs from the committed one. It
// records the refused servers.
//
// The leader leaves them out before the proposal, and the state machine still
// refuses the whole announcement: replicas of builds that know no refusal of
// single servers then compute the same state.
func (c *session) draftAnnouncement(serversChanged bool) (a fleet.Announcement, changes bool) {
	a = fleet.Announcement{
		VM:             c.vm,
		Incarnation:    c.incarnation,
		Servers:        c.servers,
		ServersChanged: serversChanged || len(c.refused) > 0,
		Leaving:        c.leaving,
	}
	refused, changes := c.server.state.draftAnnouncement(&a)
	c.setRefused(refused)
	return a, changes
}

// draftAnnouncement removes the servers that are published for other VMs from a
// and returns them, and whether announcing a would change the registry.
func (s *State) draftAnnouncement(a *fleet.Announcement) (refused []*api.RefusedServer, changes bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a.Servers, refused = s.registry.PartitionServers(a.VM.Id, a.Servers)
	a.ServersChanged = a.ServersChanged || len(refused) > 0
	return refused, s.registry.WouldChange(*a)
}

func (c *session) setRefused(refused []*api.RefusedServer) {
	changed := joinIDs(refused) != joinIDs(c.refused)
	if added := len(refused) - len(c.refused); added > 0 {
		c.server.metrics.serversRefused.Add(added)
	}
	c.refused = refused
	c.server.mu.Lock()
	c.view.refused = len(refused) > 0
	c.server.mu.Unlock()
	if changed {
		// A server that was withdrawn before view.refused was set gave no signal.
		signal(c.notify)
	}
}

// joinIDs returns the ids of the servers as one comparable value.
func joinIDs(servers []*api.RefusedServer) string {
	var ids strings.Builder
	for _, s := range servers {
		ids.WriteString(s.Id)
		ids.WriteByte(0)
	}
	return ids.String()
}

func (s *State) checkAnnouncement(a fleet.Announcement) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.registry.Validate(a)
}

// commitAnnouncement proposes the announcement with all its servers, whether they
// have changed or not.
func (c *session) commitAnnouncement(ctx context.Context, a fleet.Announcement) error {
	_, err := c.server.commit(ctx, &api.Command{Body: &api.Command_AnnounceVm{AnnounceVm: &api.AnnounceVM{
		Vm:             a.VM,
		Incarnation:    a.Incarnation,
		Servers:        a.Servers,
		ServersChanged: true,
		Leaving:        a.Leaving,
	}}})
	return err
}
