// Package standin holds small stand-ins of the users' platform for the scripts of
// the review: the store, backend servers, the machine service, callers and a proxy.
package standin
