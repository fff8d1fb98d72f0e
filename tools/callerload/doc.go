// Package callerload holds the tests that start a real daemon and load its listeners with
// callers that respect no limits. They need the machine for themselves, so `make test`
// runs them apart from the others.
package callerload
