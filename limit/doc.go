// Package limit bounds what clients can make a process hold. When a bound is reached, what
// has held most for longest gives way.
package limit
