package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers with which a caller asks the stand-in for a kind of work.
const (
	SendHeader        = "Standin-Send"         // the caller's name for one sending of a request
	WorkHeader        = "Standin-Work-Ms"      // how long an undisturbed run takes, milliseconds
	AnswerBytesHeader = "Standin-Answer-Bytes" // length of the answer's filler, bytes
)

// Bounds on what the headers may ask for.
const (
	maxWork        = 10 * time.Second
	maxAnswerBytes = 4 << 20
)

// RequestEventKind says what happened to a request at a backend server.
type RequestEventKind string

// The kinds of request events.
const (
	RequestBegin RequestEventKind = "begin" // the head has arrived
	RequestWhole RequestEventKind = "whole" // the body has arrived whole
	RequestEnd   RequestEventKind = "end"   // the work is done, and its answer goes out
)

// RequestEvent is something that really happened to a request at a backend server.
type RequestEvent struct {
	At     int64            `json:"at"` // nanoseconds since 1970
	VM     string           `json:"vm"`
	Zone   string           `json:"zone"`
	Server string           `json:"server"`
	Kind   RequestEventKind `json:"kind"`
	Run    string           `json:"run"` // unique for each run
	Token  string           `json:"token"`
	Send   string           `json:"send"`
	Digest string           `json:"digest,omitempty"` // SHA-256 of the body, once it is whole
}

// write appends the event to w as one JSON line.
func (e RequestEvent) write(w io.Writer, kind RequestEventKind) {
	if w == nil {
		return
	}
	e.At, e.Kind = time.Now().UnixNano(), kind
	line, err := json.Marshal(e)
	if err == nil {
		_, _ = w.Write(append(line, '\n'))
	}
}

// workTime returns how long the request asks its run to take.
func workTime(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(WorkHeader))
	if err != nil || ms < 0 {
		return baseServiceTime
	}
	return min(time.Duration(ms)*time.Millisecond, maxWork)
}

// filler returns what the answer is lengthened by.
func filler(r *http.Request) string {
	length, err := strconv.Atoi(r.Header.Get(AnswerBytesHeader))
	if err != nil || length <= 0 {
		return ""
	}
	return strings.Repeat("x", min(length, maxAnswerBytes))
}
