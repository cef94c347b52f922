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

// Identity is the digest of what a call says of an item, without its version: two calls say the
// same of an item if version and identity are equal. The order of keys, spaces, escapes in strings
// and the spelling of numbers make no difference (1, 1.0 and 10e-1 are equal), all else does: "1s"
// and "1000ms" are different texts. That the item is dropped has an identity too.
type Identity [16]byte

// droppedIdentity is what a call says that drops an item; no digest is equal to it by chance.
var droppedIdentity Identity

// identity is computed when it is needed, as most items are never compared.
func (i *item) identity() Identity {
	if i.dropped() {
		return droppedIdentity
	}
	sum := sha256.Sum256(canonicalEncoding(i.decodedContent()))
	return Identity(sum[:])
}

// same says whether two items of one name and version are the same change.
func (i *item) sameChange(other *item) bool {
	if i.dropped() || other.dropped() {
		return i.dropped() == other.dropped()
	}
	return bytes.Equal(i.raw, other.raw) || i.identity() == other.identity()
}

// content is the item as it was sent, decoded, without its version: that has a spelling of its own.
func (i *item) decodedContent() map[string]any {
	decoder := json.NewDecoder(bytes.NewReader(i.raw))
	decoder.UseNumber()
	var content map[string]any
	if err := decoder.Decode(&content); err != nil {
		panic(fmt.Sprintf("meshconfig: %v was read before and can't be now: %v", i.key, err))
	}
	if metadata, ok := content["metadata"].(map[string]any); ok {
		delete(metadata, "version")
	}
	return content
}

// canonical writes a decoded value in the one way that all spellings of it share.
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

// mostExponent is the number of digits up to which an exponent is computed with. A longer one stays
// as it is spelt: no figure of a configuration has such, and the work stays bounded.
const maxExponentDigits = 18

// canonicalNumber writes a number of JSON as its digits without zeros at either end, and the power
// of ten of the last digit. It is exact, and never longer than the number by more than an exponent.
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

// What a refusal names: so many fields, and so many bytes of the name of each.
const (
	maxListedFields   = 5
	maxFieldNameBytes = 64
)

// differences names the fields in which two items differ, sorted: metadata and body field by field.
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

// fieldsOf lists the fields of an item with their canonical values.
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
