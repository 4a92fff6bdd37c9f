// Package blob stores request bodies under their SHA-256 digests, as files in one
// folder with a limit on their total size, and compresses chunks of bodies.
//
// Store.mu guards the index only; files are read and written without holding it.
package blob
