// Package rendezvous ranks the nodes for an item by rendezvous hashing (highest
// random weight), so that the loss of a node moves only the items it held.
//
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a node for an item, given by its hash.
func Weight(item uint64, node string) uint64 {
	return mix(item ^ Hash(node))
}

// WeightHashed is Weight for a node that is given by its hash or number.
func WeightHashed(item, node uint64) uint64 { return mix(mix(item) ^ mix(node+1)) }

// Hash returns the hash of a node's name, for TopTwoHashed.
func Hash(node string) uint64 { return xxhash.Sum64String(node) }

// TopTwo returns the indexes in nodes of the two nodes with the highest weights
// for the item, -1 where there is none. Node names must be unique.
func TopTwo(item uint64, nodes []string) (first, second int) {
	return topTwo(nodes, func(n string) uint64 { return Weight(item, n) })
}

// TopTwoHashed is TopTwo over the hashes of the nodes' names.
func TopTwoHashed(item uint64, nodes []uint64) (first, second int) {
	return topTwo(nodes, func(n uint64) uint64 { return mix(item ^ n) })
}

func topTwo[N any](nodes []N, weight func(N) uint64) (first, second int) {
	first, second = -1, -1
	var w1, w2 uint64
	for i, n := range nodes {
		w := weight(n)
		switch {
		case first < 0 || w > w1:
			second, w2 = first, w1
			first, w1 = i, w
		case second < 0 || w > w2:
			second, w2 = i, w
		}
	}
	return first, second
}

// mix is the 64-bit finalizer of MurmurHash3: every input bit reaches every
// output bit.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
