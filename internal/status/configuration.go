package status

import "github.com/beryltide/beryltide/internal/configuration"

// Configuration is the configuration that is active at a daemon.
type Configuration struct {
	Revision uint64 `json:"revision"`
	// Digest is the digest of Document.
	Digest   string                  `json:"digest"`
	Document *configuration.Document `json:"document"`
}
