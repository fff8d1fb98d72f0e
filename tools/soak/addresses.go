package main

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// Blocks of loopback addresses are 127.201.1.0/24 to 127.250.250.0/24: programs that
	// claim nothing, such as earlier versions of the soak, use lower ones.
	firstOctet     = 201
	blocksPerOctet = 250
	blockCount     = (251 - firstOctet) * blocksPerOctet
	// claimHost and claimPort are bound in a block while a seed uses it.
	claimHost, claimPort = 254, 6999
	// firstPort is the first port of each daemon.
	firstPort = 7000
)

// addressBlock is a block of loopback addresses that one seed uses: another soak on the
// machine or another seed uses other ones. Each daemon has an address of its own, since a
// port that is free while its daemon is down could be taken.
type addressBlock struct {
	number int
	claim  net.Listener
}

// nextBlock is the number of the block to try first. Blocks aren't used again while
// others are left.
var nextBlock atomic.Int64

// claimBlock returns a block that no other program uses.
func claimBlock() (*addressBlock, error) {
	for range blockCount {
		b := &addressBlock{number: int(nextBlock.Add(1)-1) % blockCount}
		var err error
		if b.claim, err = net.Listen("tcp", b.address(claimHost, claimPort)); err != nil {
			continue
		}
		if b.free() {
			return b, nil
		}
		b.release()
	}
	return nil, errors.Errorf("each block of loopback addresses from %s on is in use", (&addressBlock{}).address(claimHost, claimPort))
}

// free reports whether the daemons' addresses can be bound.
func (b *addressBlock) free() bool {
	for n := range daemonCount {
		for _, address := range b.daemon(n) {
			l, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (b *addressBlock) release() { _ = b.claim.Close() }

func (b *addressBlock) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", firstOctet+b.number/blocksPerOctet, 1+b.number%blocksPerOctet, host, port)
}

// daemonPorts are the names of a daemon's ports.
var daemonPorts = []string{"callers", "readiness", "peers", "operations", "machines"}

// daemon returns the addresses of a daemon's ports.
func (b *addressBlock) daemon(n int) map[string]string {
	listen := map[string]string{}
	for i, port := range daemonPorts {
		listen[port] = b.address(n+1, firstPort+i)
	}
	return listen
}
