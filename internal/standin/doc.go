// Package standin simulates the platform in memory: the log, the directory and the
// backend servers of docs/PLATFORM.md.
//
// It implements the protocols only and imports nothing of the product, so that a
// fault on one side isn't mirrored on the other. It has no scheduling and no model
// of a cluster; faults are injected over HTTP.
package standin
