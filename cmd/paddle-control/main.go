// Command paddle-control runs one replica of the control group: the accepted
// configuration, the scheduler and the operators' API.
package main

import (
	"context"
	"time"

	"amaranthpaddle/control"
	"amaranthpaddle/controlnode"
	"amaranthpaddle/daemon"
	"amaranthpaddle/settings"
	"amaranthpaddle/task/lease"
	"amaranthpaddle/transport"
)

// stopTimeout bounds a planned stop.
const stopTimeout = 20 * time.Second

func main() {
	daemon.Program[settings.Control]{
		Name:        "paddle-control",
		Description: "runs one replica of the control group",
		Load:        settings.LoadControl,
		Process:     func(s *settings.Control) (string, int) { return s.Name, s.LogLevel },
		Run:         run,
	}.Main()
}

func run(ctx context.Context, s *settings.Control, _ <-chan *settings.Control) error {
	security, err := s.TLS.Security()
	if err != nil {
		return err
	}
	operators, err := transport.OpenOperators(s.TokenFile)
	if err != nil {
		return err
	}
	node, err := controlnode.Start(controlnode.Config{
		ID:              s.ID,
		Peers:           peers(s),
		Join:            s.Join,
		DataDir:         s.DataFolder,
		Security:        security,
		Operators:       operators,
		Heartbeat:       s.Heartbeat,
		Election:        s.Election,
		SnapshotEntries: s.SnapshotEntries,
		Lease:           lease.Terms{Duration: s.Lease, Margin: s.LeaseMargin},
		Freshness:       s.Fresh,
	})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-node.Failed():
		node.Kill()
		return err
	case <-node.Replica().Failed():
		// Its supervisor starts the process again; the data folder holds what is durable.
		err := node.Replica().Err()
		node.Kill()
		return err
	}
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	node.Stop(stopping)
	return nil
}

// peers returns where this replica, the first members and the operator
// listeners of later members can be reached.
func peers(s *settings.Control) map[uint64]control.Peer {
	all := map[uint64]control.Peer{}
	for id, address := range s.Peers {
		all[id] = control.Peer{OperatorAddress: address}
	}
	for id, address := range s.Members {
		all[id] = control.Peer{Address: address, OperatorAddress: s.Peers[id]}
	}
	all[s.ID] = control.Peer{Address: s.Listen, OperatorAddress: s.Operators}
	return all
}
