package meshconfig

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
)

// Digest tells configurations apart: equal ones have equal digests on every node. It is never 0,
// which is none. It is made of a sum of the items' own digests, which a patch brings up to date for
// the items that it moves: to encode and digest all of it at each change would cost the core and
// every agent more the more items there are.
func (c *Config) Digest() uint64 {
	h := fnv.New64a()
	putNumber(h, c.sum)
	putNumber(h, c.drops)
	for _, zone := range c.zones {
		putText(h, zone)
	}
	c.digestCordons(h)
	return max(1, h.Sum64())
}

// put sets an item, in place of the one of its name.
func (c *Config) put(i *item) {
	if old := c.items[i.key]; old != nil {
		c.sum -= old.digest()
		c.size -= len(old.raw)
	}
	c.items[i.key] = i
	c.sum += i.digest()
	c.size += len(i.raw)
}

// digest is of what Encode gives of an item.
func (i *item) digest() uint64 {
	h := fnv.New64a()
	if i.dropped() {
		putText(h, i.kind)
		putText(h, i.name)
		putText(h, i.text)
		putNumber(h, i.drop)
	} else {
		h.Write(i.raw)
	}
	return mix(h.Sum64())
}

// mix spreads a digest over all bits, as sums of FNV's would show that their items are alike. It is
// the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func putText(h hash.Hash64, text string) {
	putNumber(h, uint64(len(text)))
	h.Write([]byte(text))
}

func putTexts(h hash.Hash64, list []string) {
	putNumber(h, uint64(len(list)))
	for _, text := range list {
		putText(h, text)
	}
}

func putNumber(h hash.Hash64, n uint64) { h.Write(binary.BigEndian.AppendUint64(nil, n)) }
