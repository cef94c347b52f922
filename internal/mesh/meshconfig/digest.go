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
	hashNumber(h, c.digestSum)
	hashNumber(h, c.dropCount)
	for _, zone := range c.evacuatedZones {
		hashText(h, zone)
	}
	c.hashCordons(h)
	return max(1, h.Sum64())
}

// put sets an item, in place of the one of its name.
func (c *Config) putItem(i *item) {
	if old := c.items[i.key]; old != nil {
		c.digestSum -= old.digest()
		c.textSize -= len(old.raw)
	}
	c.items[i.key] = i
	c.digestSum += i.digest()
	c.textSize += len(i.raw)
}

// digest is of what Encode gives of an item.
func (i *item) digest() uint64 {
	h := fnv.New64a()
	if i.dropped() {
		hashText(h, i.kind)
		hashText(h, i.name)
		hashText(h, i.versionText)
		hashNumber(h, i.dropNumber)
	} else {
		h.Write(i.raw)
	}
	return mixBits(h.Sum64())
}

// mix spreads a digest over all bits, as sums of FNV's would show that their items are alike. It is
// the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func hashText(h hash.Hash64, text string) {
	hashNumber(h, uint64(len(text)))
	h.Write([]byte(text))
}

func hashTexts(h hash.Hash64, list []string) {
	hashNumber(h, uint64(len(list)))
	for _, text := range list {
		hashText(h, text)
	}
}

func hashNumber(h hash.Hash64, n uint64) { h.Write(binary.BigEndian.AppendUint64(nil, n)) }
