// Package limit bounds what clients can make a process hold: bytes of request bodies,
// connections, headers and unfinished gRPC messages. Each bound is for the whole process or
// one of its listeners. When one is reached, what has held most for longest gives way.
package limit
