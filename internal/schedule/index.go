package schedule

import (
	"cmp"
	"slices"
)

// nodeIndex keeps nodes ordered by their free share of CPU, so that the fullest
// node that fits a task is found without a scan of all of them. Nodes are ordered
// in two lists, since suspect ones are used last.
type nodeIndex struct {
	// nodes holds all nodes of the plan by position. The lists hold positions, since
	// a change of order moves many entries.
	nodes             []indexedNode
	reliable, suspect []int32
	// maxCPU is the largest capacity of a node in the index, in thousandths of a
	// core.
	maxCPU int
}

// indexedNode is a node and its place in the order.
type indexedNode struct {
	*Node
	// share is the free share of CPU under which the node is listed.
	share float64
	// position is the node's place in the input of Plan. It breaks ties.
	position int
}

func freeShare(n *Node) float64 {
	return float64(n.Free.CPU) / float64(max(n.Capacity.CPU, 1))
}

// newNodeIndex returns an index of the nodes at some positions.
func newNodeIndex(nodes []indexedNode, positions []int32) *nodeIndex {
	x := &nodeIndex{nodes: nodes}
	for _, at := range positions {
		list := x.list(&nodes[at])
		*list = append(*list, at)
		x.maxCPU = max(x.maxCPU, nodes[at].Capacity.CPU)
	}
	slices.SortFunc(x.reliable, x.compare)
	slices.SortFunc(x.suspect, x.compare)
	return x
}

func (x *nodeIndex) compare(a, b int32) int {
	if d := cmp.Compare(x.nodes[a].share, x.nodes[b].share); d != 0 {
		return d
	}
	return cmp.Compare(a, b)
}

func (x *nodeIndex) list(n *indexedNode) *[]int32 {
	if n.Suspect {
		return &x.suspect
	}
	return &x.reliable
}

// remove takes out a node before its order changes.
func (x *nodeIndex) remove(n *indexedNode) {
	list := x.list(n)
	if i, found := slices.BinarySearchFunc(*list, int32(n.position), x.compare); found {
		*list = slices.Delete(*list, i, i+1)
	}
}

// insert puts a node back in its order.
func (x *nodeIndex) insert(n *indexedNode) {
	list := x.list(n)
	i, _ := slices.BinarySearchFunc(*list, int32(n.position), x.compare)
	*list = slices.Insert(*list, i, int32(n.position))
}

// fullest returns the first node in the order of suspicion and free share that
// fits a task of the candidate. The node at which the task failed comes after all
// others.
func (x *nodeIndex) fullest(c *Candidate, t Task) *indexedNode {
	need := c.Step.Allocation()
	// No node with a smaller share has enough free CPU.
	least := float64(need.CPU) / float64(max(x.maxCPU, 1))
	var failedHere *indexedNode
	for _, list := range [][]int32{x.reliable, x.suspect} {
		begin, _ := slices.BinarySearchFunc(list, least, func(at int32, share float64) int { return cmp.Compare(x.nodes[at].share, share) })
		for _, at := range list[begin:] {
			n := &x.nodes[at]
			if !need.Fits(n.Free) || !c.feasible(n.Node) {
				continue
			}
			if t.Avoid != n.ID {
				return n
			}
			failedHere = n
		}
	}
	return failedHere
}

// emptiest returns the node with the most free CPU that could hold a task of the
// candidate if nothing ran there, and that isn't reserved; nil if none has free CPU.
func (x *nodeIndex) emptiest(c *Candidate) *indexedNode {
	need := c.Step.Allocation()
	var best *indexedNode
	for _, list := range [][]int32{x.reliable, x.suspect} {
		for _, at := range slices.Backward(list) {
			n := &x.nodes[at]
			if n.share <= 0 || best != nil && n.share*float64(x.maxCPU) < float64(best.Free.CPU) {
				break // no node further down has more free CPU
			}
			if n.Reservation != (StepKey{}) || !c.feasible(n.Node) || !need.Fits(n.Capacity) {
				continue
			}
			if best == nil || n.Free.CPU > best.Free.CPU || n.Free.CPU == best.Free.CPU && n.position < best.position {
				best = n
			}
		}
	}
	return best
}
