// Package blob stores request bodies by their SHA-256 digest, in files of one
// folder with a bounded total size, and compresses pieces of bodies.
//
// Store.mu guards the index only; files are read and written outside of it.
package blob
