package main

import (
	"net"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/delivery"
	"amaranthpaddle/transport"
)

// noRequests is the address that an agent without a request side announces.
const noRequests = "127.0.0.1:1"

// requestSide is the part of an agent that entries connect to. It has no
// backend servers, and serves to measure what the connections cost.
type requestSide struct {
	listener net.Listener
	server   *grpc.Server
	delivery *delivery.Delivery
}

func startRequestSide(control *controlclient.Client) (*requestSide, error) {
	security := &transport.Security{}
	listener, err := security.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	requests, err := delivery.New(delivery.Config{
		Incarnation: uint64(time.Now().UnixNano()), Address: listener.Addr().String(),
		Security: security, Claimer: control,
	})
	if err != nil {
		listener.Close()
		return nil, err
	}
	r := &requestSide{listener: listener, server: grpc.NewServer(security.ServerOptions()...), delivery: requests}
	requests.Register(r.server)
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// address returns where entries reach the request side, which may be nil.
func (r *requestSide) address() string {
	if r == nil {
		return noRequests
	}
	return r.listener.Addr().String()
}
