package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Sizes of crowds. What a crowd sends in all is a multiple of memoryBound.
const (
	largeBody      = 4 << 20 // bytes, the largest legal body
	largeClients   = 64
	headerClients  = 32
	headerBytes    = 1 << 20
	legalHeader    = 16 << 10
	manyClients    = 400
	elementClients = 2
	messageClients = 32
	messageBytes   = 12 << 20 // of a gRPC message
	snapshotChunk  = 64 << 10
)

// Guards against bodies of legal size that never end and are all kept in memory (issue 53).
func TestUnfinishedBodiesOfCallersStayWithinMemory(t *testing.T) {
	checkUnfinishedBodies(t, "callers")
}

// Guards against the same at the listener of operators.
func TestUnfinishedBodiesOfOperatorsStayWithinMemory(t *testing.T) {
	checkUnfinishedBodies(t, "operators")
}

// Guards against the same at the agent's listener for heartbeats.
func TestUnfinishedHeartbeatsStayWithinMemory(t *testing.T) {
	checkUnfinishedBodies(t, "worker")
}

// Guards against the same at the lookup of jobs, which is beside the metrics.
func TestUnfinishedLookupsStayWithinMemory(t *testing.T) {
	checkUnfinishedBodies(t, "metrics of control-0")
}

// Guards against bodies over the limit that are read at many connections at once (issue 53).
func TestBodiesOfCallersOverTheLimitStayWithinMemory(t *testing.T) {
	checkOversizedBodies(t, "callers")
}

// Guards against the same at the listener of operators.
func TestBodiesOfOperatorsOverTheLimitStayWithinMemory(t *testing.T) {
	checkOversizedBodies(t, "operators")
}

// Guards against the same at the agent's listener for heartbeats.
func TestHeartbeatsOverTheLimitStayWithinMemory(t *testing.T) {
	checkOversizedBodies(t, "worker")
}

// Guards against bodies whose decoded form is many times as large as they are.
func TestBodiesOfManyElementsStayWithinMemory(t *testing.T) {
	d := startDeployment(t)
	checkCrowd(t, d.target(t, "callers"), crowd{"steps", elementClients, manyElements(`{"spec":"","steps":[`)})
	checkCrowd(t, d.target(t, "operators"), crowd{"routes", elementClients, manyElements(`{"version":1,"services":[],"routes":[`)})
}

// Guards against request headers that never end, at all HTTP listeners.
func TestUnfinishedHeadersStayWithinMemory(t *testing.T) {
	d := startDeployment(t)
	for _, listener := range d.targets {
		if listener.name != "control" {
			checkCrowd(t, listener, crowd{"many fields", headerClients, unfinishedHeader(headerBytes)})
		}
	}
}

// Guards against headers of legal size that many connections leave unfinished at all listeners
// of an entry: short fields take many times their bytes once they are parsed.
func TestUnfinishedHeadersOfLegalSizeStayWithinMemory(t *testing.T) {
	d := startDeployment(t)
	others := []string{d.target(t, "readiness").address, d.target(t, "metrics of entry-0").address}
	send := unfinishedHeader(legalHeader)
	checkCrowd(t, d.target(t, "callers"), crowd{"many fields", manyClients, func(conn net.Conn, listener target) error {
		for _, address := range others {
			if other, err := net.Dial("tcp", address); err == nil {
				t.Cleanup(func() { other.Close() })
				_ = send(other, listener) // the connection at the first listener is the one that is tried again
			}
		}
		return send(conn, listener)
	}})
}

// Guards against connections that use up the descriptors of a process, at all listeners.
func TestConnectionsStayWithinDescriptors(t *testing.T) {
	d := startDeployment(t)
	for _, p := range d.processes() {
		limitDescriptors(t, p, d.folder)
	}
	for _, listener := range d.targets {
		checkCrowd(t, listener, crowd{"silent", manyClients, func(net.Conn, target) error { return nil }})
		checkCrowd(t, listener, crowd{"first bytes", manyClients, func(conn net.Conn, _ target) error {
			_, err := io.WriteString(conn, "POST /v1/x HTTP/1.1\r\nHost: h\r\n")
			return err
		}})
	}
}

// Guards against gRPC messages that never end at the control group's own port.
func TestUnfinishedMessagesStayWithinMemory(t *testing.T) {
	listener := startDeployment(t).target(t, "control")
	checkCrowd(t, listener, crowd{"one message", messageClients, unfinishedMessages(1, messageBytes)})
	checkCrowd(t, listener, crowd{"many streams", messageClients, unfinishedMessages(64, messageBytes/32)})
}

// Guards against snapshots of unknown senders that are received whole before they are refused.
func TestUnfinishedSnapshotsStayWithinMemory(t *testing.T) {
	listener := startDeployment(t).target(t, "control")
	checkCrowd(t, listener, crowd{"another group", messageClients / 2, unfinishedSnapshot})
}

func checkUnfinishedBodies(t *testing.T, name string) {
	listener := startDeployment(t).target(t, name)
	for _, c := range []crowd{
		{"whole", largeClients, announced(largeBody, largeBody-1, largeBody)},
		{"pieces", largeClients, announced(largeBody, largeBody-1, 1400)},
		{"large chunks", largeClients, chunked(largeBody, 64<<10)},
		{"small chunks", largeClients, chunked(largeBody, 16)},
	} {
		checkCrowd(t, listener, c)
	}
}

func checkOversizedBodies(t *testing.T, name string) {
	listener := startDeployment(t).target(t, name)
	checkCrowd(t, listener, crowd{"announced", largeClients, announced(1<<30, 4*largeBody, 64<<10)})
	checkCrowd(t, listener, crowd{"chunked", largeClients, chunked(4*largeBody, 64<<10)})
}

// requestHead returns the header of a request with a body.
func requestHead(t target, length string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", t.bodyPath, queueHost, length)
}

// announced sends a body of which less than its length comes, in pieces.
func announced(length, sent, piece int) func(net.Conn, target) error {
	return func(conn net.Conn, t target) error {
		if _, err := io.WriteString(conn, requestHead(t, fmt.Sprintf("Content-Length: %d", length))); err != nil {
			return err
		}
		return repeat(conn, bytes.Repeat([]byte{' '}, piece), sent)
	}
}

// chunked sends a chunked body without its end.
func chunked(size, chunk int) func(net.Conn, target) error {
	piece := []byte(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk)))
	block := bytes.Repeat(piece, max(1, 64<<10/len(piece)))
	return func(conn net.Conn, t target) error {
		if _, err := io.WriteString(conn, requestHead(t, "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		return repeat(conn, block, size/chunk*len(piece))
	}
}

// manyElements sends a whole body of legal size with as many empty elements as it holds.
func manyElements(prefix string) func(net.Conn, target) error {
	return func(conn net.Conn, t target) error {
		body := prefix + strings.Repeat("{},", (largeBody-len(prefix)-8)/3) + "{}]}"
		if _, err := io.WriteString(conn, requestHead(t, fmt.Sprintf("Content-Length: %d", len(body)))); err != nil {
			return err
		}
		_, err := io.WriteString(conn, body)
		return err
	}
}

// unfinishedHeader sends many short header fields and no end of the header.
func unfinishedHeader(size int) func(net.Conn, target) error {
	return func(conn net.Conn, t target) error {
		var header strings.Builder
		fmt.Fprintf(&header, "POST %s HTTP/1.1\r\nHost: h\r\n", t.bodyPath)
		for i := 0; header.Len() < size-16; i++ {
			fmt.Fprintf(&header, "X%x:\r\n", i)
		}
		_, err := io.WriteString(conn, header.String())
		return err
	}
}

// unfinishedMessages opens streams of calls and sends all but the last byte of a message on
// each, as far as the server's windows allow.
func unfinishedMessages(streams, size int) func(net.Conn, target) error {
	return func(conn net.Conn, t target) error {
		transport := oneConnection(conn)
		results := make(chan error, 2*streams)
		for range streams {
			message := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(size)), make([]byte, size-1)...)
			body := io.MultiReader(bytes.NewReader(message), &endless{reached: results})
			request, err := http.NewRequest("POST", "http://"+t.address+api.Jobs_Call_FullMethodName, body)
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/grpc")
			request.Header.Set("TE", "trailers")
			go func() {
				response, err := transport.RoundTrip(request)
				if err == nil {
					response.Body.Close()
				}
				results <- err
			}()
		}
		return awaitAll(results, streams)
	}
}

// oneConnection returns an HTTP/2 transport on an open connection.
func oneConnection(conn net.Conn) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	dials := make(chan net.Conn, 1)
	dials <- conn
	return &http.Transport{Protocols: &protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		select {
		case first := <-dials:
			return first, nil
		default:
			return nil, io.ErrClosedPipe
		}
	}}
}

// endless is the missing end of a body.
type endless struct{ reached chan<- error }

func (e *endless) Read([]byte) (int, error) {
	e.reached <- nil
	select {}
}

// awaitAll returns the first error of n results, nil if they don't all come in time.
func awaitAll(results <-chan error, n int) error {
	limit := time.After(sendLimit)
	for range n {
		select {
		case err := <-results:
			if err != nil {
				return err
			}
		case <-limit:
			return nil
		}
	}
	return nil
}

// unfinishedSnapshot sends a snapshot without its last chunk, for another group.
func unfinishedSnapshot(conn net.Conn, t target) error {
	client, err := grpc.NewClient("passthrough:///"+t.address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return conn, nil }))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer time.AfterFunc(sendLimit, cancel).Stop()
	stream, err := api.NewRaftClient(client).InstallSnapshot(ctx)
	if err != nil {
		return err
	}
	message := &api.RaftMessage{Snapshot: &api.Snapshot{}}
	for range 2 * messageBytes / snapshotChunk {
		if err := stream.Send(&api.SnapshotChunk{Group: 1, Message: message, Data: make([]byte, snapshotChunk)}); err != nil {
			return err
		}
		message = nil
	}
	return nil
}

// calledOverGRPC reports whether a replica answers a call, be it that another one leads.
func calledOverGRPC(address string) bool {
	client, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return false
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	_, err = api.NewJobsClient(client).Call(ctx, &api.JobCall{
		Host: queueHost, Path: "/jobs/00000000000000c2", RequestId: "00000000000000c2",
		Kind: api.JobCallKind_JOB_CALL_KIND_LOOK, RemainingMs: callDeadline.Milliseconds(),
	})
	return err == nil || fault.Is(fault.FromStatus(err), fault.NotLeader)
}

// Guards against whole bodies of legal size whose copies on the way add up.
func TestWholeBodiesOfLegalSizeStayWithinMemory(t *testing.T) {
	d := startDeployment(t)
	for _, c := range []struct{ listener, prefix, element, suffix string }{
		{"callers", `{"steps":[{"count":1,"cpu":1}],"spec":"`, "payload ", `"}`},
		{"operators", `{"version":1,"services":[],"routes":[`, strings.Repeat(" ", 4096) + `{"name":"r","host":"h"},`, `{}]}`},
	} {
		body := c.prefix + strings.Repeat(c.element, (largeBody-len(c.prefix)-len(c.suffix))/len(c.element)) + c.suffix
		checkCrowd(t, d.target(t, c.listener), crowd{"whole", largeClients, func(conn net.Conn, t target) error {
			_, err := io.WriteString(conn, requestHead(t, fmt.Sprintf("Content-Length: %d", len(body)))+body)
			return err
		}})
	}
}
