package transport

import (
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/fault"
)

// Guards against a process that runs on without its listener, so that nothing starts it
// again: only a server that ends by itself is reported.
func TestServersThatEndByThemselvesAreReported(t *testing.T) {
	type server interface{ Serve(net.Listener) error }
	web, rpc := &http.Server{ReadHeaderTimeout: time.Second}, grpc.NewServer()
	cases := []struct {
		name   string
		server server
		end    func(net.Listener)
		fails  bool
	}{
		{"HTTP server whose listener ends", &http.Server{ReadHeaderTimeout: time.Second}, func(l net.Listener) { l.Close() }, true},
		{"gRPC server whose listener ends", grpc.NewServer(), func(l net.Listener) { l.Close() }, true},
		{"HTTP server that is stopped", web, func(net.Listener) { web.Close() }, false},
		{"gRPC server that is stopped", rpc, func(net.Listener) { rpc.Stop() }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			failed, ended := NewServerErrors(), make(chan struct{})
			go func() {
				defer close(ended)
				failed.Serve("test", listener, c.server.Serve)
			}()
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			connection.Close()
			c.end(listener)
			<-ended
			select {
			case err := <-failed:
				if !c.fails || !fault.Is(err, fault.Internal) {
					t.Errorf("reported %v", err)
				}
			default:
				if c.fails {
					t.Error("not reported")
				}
			}
		})
	}
}
