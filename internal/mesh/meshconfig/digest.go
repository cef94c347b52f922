package meshconfig

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
)

// Digest returns a digest of the configuration, which is equal on every node for equal
// configurations. It is never 0, which stands for no digest. It is computed from the sum of the
// items' digests, which a patch updates for the changed items only. Encoding and hashing everything
// at each change would cost control-plane nodes and agents time in proportion to the items.
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

// putItem sets an item, replacing any with the same key, and updates digestSum and textSize.
func (c *Config) putItem(i *item) {
	if old := c.items[i.key]; old != nil {
		c.digestSum -= old.digest()
		c.textSize -= len(old.raw)
	}
	c.items[i.key] = i
	c.digestSum += i.digest()
	c.textSize += len(i.raw)
}

// digest returns the digest of the parts of an item that Encode writes.
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

// mixBits spreads a digest over all bits, because FNV digests of similar items are similar, and sums
// of them would collide. It is the finalizer of SplitMix64.
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
