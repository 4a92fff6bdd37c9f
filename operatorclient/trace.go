package operatorclient

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// sentRequest is a request that notes whether a connection was given to it,
// after which the other end may have received some of it.
type sentRequest struct {
	request   *http.Request
	connected atomic.Bool
}

func traceSent(request *http.Request) *sentRequest {
	sent := &sentRequest{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.connected.Store(true) }}
	sent.request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	return sent
}

// written reports whether the other end may have received the request.
func (s *sentRequest) written() bool { return s.connected.Load() }
