package meshconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"strings"
)

// Identity is the digest of an item's content without its version. Two requests make the same change
// to an item if version and identity are equal. The order of keys, white space, escapes in strings
// and the spelling of numbers make no difference (1, 1.0 and 10e-1 are equal). Everything else does:
// "1s" and "1000ms" are different texts. Dropping an item has an identity too.
type Identity [16]byte

// droppedIdentity is the identity of dropping an item. No SHA-256 digest is zero in practice.
var droppedIdentity Identity

// identity is computed on demand, because most items are never compared.
func (i *item) identity() Identity {
	if i.dropped() {
		return droppedIdentity
	}
	sum := sha256.Sum256(canonicalEncoding(i.decodedContent()))
	return Identity(sum[:])
}

// sameChange reports whether two items with equal name and version make the same change.
func (i *item) sameChange(other *item) bool {
	if i.dropped() || other.dropped() {
		return i.dropped() == other.dropped()
	}
	return bytes.Equal(i.raw, other.raw) || i.identity() == other.identity()
}

// decodedContent returns the decoded item without its version, which may be spelled in several ways.
func (i *item) decodedContent() map[string]any {
	decoder := json.NewDecoder(bytes.NewReader(i.raw))
	decoder.UseNumber()
	var content map[string]any
	if err := decoder.Decode(&content); err != nil {
		panic(fmt.Sprintf("meshconfig: %v was decoded before but can't be decoded again: %v", i.key, err))
	}
	if metadata, ok := content["metadata"].(map[string]any); ok {
		delete(metadata, "version")
	}
	return content
}

// canonicalEncoding returns the encoding that all spellings of a decoded value share.
func canonicalEncoding(value any) []byte {
	var b bytes.Buffer
	writeCanonical(&b, value)
	return b.Bytes()
}

func writeCanonical(b *bytes.Buffer, value any) {
	switch v := value.(type) {
	case map[string]any:
		b.WriteByte('{')
		for _, name := range slices.Sorted(maps.Keys(v)) {
			writeCanonical(b, name)
			writeCanonical(b, v[name])
		}
		b.WriteByte('}')
	case []any:
		b.WriteByte('[')
		for _, element := range v {
			writeCanonical(b, element)
			b.WriteByte(',')
		}
		b.WriteByte(']')
	case json.Number:
		b.WriteString(canonicalNumber(string(v)))
	case string:
		fmt.Fprintf(b, "%q:", v)
	default: // true, false, null
		fmt.Fprint(b, v)
	}
}

// maxExponentDigits bounds the cost of normalizing exponents. Numbers with more exponent digits keep
// their spelling, but do not occur in a configuration.
const maxExponentDigits = 18

// canonicalNumber returns a JSON number as its digits without leading and trailing zeros and the
// power of ten of the last digit. The result is exact, and longer than the number by at most an
// exponent.
func canonicalNumber(number string) string {
	mantissa, exponent, _ := strings.Cut(strings.ToLower(number), "e")
	if len(exponent) > maxExponentDigits {
		return number
	}
	power := new(big.Int)
	if exponent != "" {
		power.SetString(exponent, 10)
	}
	sign := ""
	if strings.HasPrefix(mantissa, "-") {
		sign, mantissa = "-", mantissa[1:]
	}
	whole, fraction, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(whole+fraction, "0")
	significant := strings.TrimRight(digits, "0")
	if significant == "" {
		return "0"
	}
	power.Add(power, big.NewInt(int64(len(digits)-len(significant)-len(fraction))))
	return sign + significant + "e" + power.String()
}

// Bounds of the list of differing fields in a ConflictError.
const (
	maxListedFields   = 5
	maxFieldNameBytes = 64
)

// differingFields returns the sorted names of the fields in which two items differ. The fields of
// metadata and body are compared one by one.
func differingFields(a, b *item) []string {
	if a.dropped() || b.dropped() {
		return []string{"one sets the item, the other drops it"}
	}
	fieldsA, fieldsB := flattenFields(a.decodedContent()), flattenFields(b.decodedContent())
	names := maps.Clone(fieldsA)
	maps.Copy(names, fieldsB)
	var differing []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if fieldsA[name] != fieldsB[name] {
			differing = append(differing, name[:min(len(name), maxFieldNameBytes)])
		}
	}
	if len(differing) > maxListedFields {
		differing = append(differing[:maxListedFields], "more")
	}
	return differing
}

// flattenFields returns the fields of an item with their canonical values. Names of nested fields
// have the form "body.rank".
func flattenFields(content map[string]any) map[string]string {
	fields := make(map[string]string)
	for name, value := range content {
		parts, nested := value.(map[string]any)
		if !nested {
			fields[name] = string(canonicalEncoding(value))
			continue
		}
		for part, inner := range parts {
			fields[name+"."+part] = string(canonicalEncoding(inner))
		}
	}
	return fields
}
