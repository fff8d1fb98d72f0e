// Package e2e tests the daemons as real processes, with signals and sockets. It
// contains only tests.
package e2e
