package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPart is the size in bytes above which a part is split, so that a part and its
	// envelope fit into one value of the platform. A single item is never split.
	MaxPart = 512 << 10

	itemsPerLeaf   = 16 // itemsPerLeaf is the highest average number of items per leaf over all leaves of a table; above it, the number of leaves is doubled. A higher value makes leaves larger and indexes smaller, and a change rewrites one of each.
	leavesPerIndex = 32 // leavesPerIndex is the maximum number of leaves of an index; more make indexes larger and the root smaller, and a change rewrites both.
	maxFreshParts  = 16 // maxFreshParts is the maximum number of hashes in Root.Fresh.
	partHashBytes  = 16 // partHashBytes is the length of a part's hash in bytes, before it is encoded in hex.
)

// Root is the root of a hash tree that holds one generation of a document: it
// lists the hashes of indexes, an index lists the hashes of leaves, and the
// leaves joined in order are the TOML text. So a change of one item usually
// rewrites only one leaf, one index and the root.
type Root struct {
	Environment string    `json:"environment"`
	Generation  uint64    `json:"generation"`
	ChangeID    string    `json:"change_id"`
	Change      string    `json:"change"` // Change is a short description of what the operator changed.
	Changed     time.Time `json:"changed"`
	Parts       []string  `json:"parts"` // Parts are the hashes of the indexes, in the order of the document text.
	Fresh       []string  `json:"fresh"` // Fresh are the hashes of the parts that this change wrote; it is empty if there are more than maxFreshParts.
}

// PartError reports a part that is missing or whose content does not match its hash.
type PartError struct {
	Hash    string
	Missing bool
}

// Error returns a message that names the part and says whether it is missing or does not match its hash.
func (e *PartError) Error() string {
	if e.Missing {
		return fmt.Sprintf("part %s is missing", e.Hash)
	}
	return fmt.Sprintf("part %s does not match its hash", e.Hash)
}

// Hash returns the hash that identifies a part: the first 16 bytes of its SHA-256 sum, in hex.
func Hash(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:partHashBytes])
}

// Split splits a document into indexes and leaves, returned by hash. Only Environment and Parts of
// the returned root are set.
func Split(d *Document) (Root, map[string][]byte) {
	root := Root{Environment: d.Environment}
	parts := map[string][]byte{}
	for leaves := range slices.Chunk(encodeLeaves(canonical(d)), leavesPerIndex) {
		var index bytes.Buffer
		for _, leaf := range leaves {
			hash := Hash(leaf)
			parts[hash] = leaf
			index.WriteString(hash + "\n")
		}
		hash := Hash(index.Bytes())
		parts[hash] = index.Bytes()
		root.Parts = append(root.Parts, hash)
	}
	return root, parts
}

// SetFresh sets Fresh to the hashes of the parts that a change wrote, or to none if there are more than maxFreshParts.
func (r *Root) SetFresh(hashes []string) {
	r.Fresh = nil
	if len(hashes) <= maxFreshParts {
		r.Fresh = slices.Sorted(slices.Values(hashes))
	}
}

// Leaves returns the hashes of the leaves that an index lists.
func Leaves(index []byte) []string {
	return strings.Fields(string(index))
}

// Find looks up a part by its hash and reports whether it was found.
type Find func(hash string) ([]byte, bool)

// Missing returns the hashes of at most limit parts of the root that find does not
// have, without those listed in indexes that are missing themselves. The parts in
// root.Fresh come first, so that a reader can fetch a changed leaf at once instead
// of waiting for the index that lists it.
func Missing(root Root, find Find, limit int) []string {
	var missing []string
	lookUp := func(hash string) ([]byte, bool) {
		part, found := find(hash)
		if !found && len(missing) < limit && !slices.Contains(missing, hash) {
			missing = append(missing, hash)
		}
		return part, found
	}
	for _, hash := range root.Fresh {
		lookUp(hash)
	}
	for _, hash := range root.Parts {
		index, _ := lookUp(hash)
		for _, leaf := range Leaves(index) {
			lookUp(leaf)
		}
	}
	return missing
}

// Reachable returns the indexes and leaves of a root that find has, by hash. Leaves of an index
// that is not found are left out.
func Reachable(root Root, find Find) map[string][]byte {
	parts := map[string][]byte{}
	add := func(hash string) []byte {
		part, found := find(hash)
		if found {
			parts[hash] = part
		}
		return part
	}
	for _, hash := range root.Parts {
		for _, leaf := range Leaves(add(hash)) {
			add(leaf)
		}
	}
	return parts
}

// Join assembles the document of a root from its parts and validates it. It returns a PartError if a part is
// missing or does not match its hash, and Errors if the document is invalid or belongs to another environment.
func Join(root Root, parts map[string][]byte) (*Document, error) {
	var text bytes.Buffer
	for _, hash := range root.Parts {
		index, err := verifiedPart(parts, hash)
		if err != nil {
			return nil, err
		}
		for _, leaf := range Leaves(index) {
			part, err := verifiedPart(parts, leaf)
			if err != nil {
				return nil, err
			}
			text.Write(part)
		}
	}
	doc, err := Parse(text.Bytes())
	if err != nil {
		return nil, err
	}
	if doc.Environment != root.Environment {
		return nil, Errors{{Key: "environment", Value: doc.Environment, Allowed: "the environment of the root, " + root.Environment}}
	}
	return doc, nil
}

// verifiedPart returns a part, or a PartError if it is missing or does not match its hash.
func verifiedPart(parts map[string][]byte, hash string) ([]byte, error) {
	part, found := parts[hash]
	if !found {
		return nil, &PartError{Hash: hash, Missing: true}
	}
	if Hash(part) != hash {
		return nil, &PartError{Hash: hash}
	}
	return part, nil
}

// ParseRoot decodes a root from JSON; it returns an error if the generation, environment or parts are missing.
func ParseRoot(data []byte) (Root, error) {
	var root Root
	if err := json.Unmarshal(data, &root); err != nil {
		return Root{}, fmt.Errorf("the root is not valid JSON: %w", err)
	}
	if root.Generation == 0 || len(root.Parts) == 0 || root.Environment == "" {
		return Root{}, fmt.Errorf("the root has no generation, environment or parts")
	}
	return root, nil
}

// Encode returns the root as JSON.
func (r Root) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // This can't happen: all fields of a root can be encoded as JSON.
	}
	return data
}

// encodeLeaves encodes a sorted document as leaves which, joined in order, are its TOML text.
func encodeLeaves(d *Document) [][]byte {
	parts := [][]byte{encodeBase(d)}
	parts = append(parts, encodeBuckets(d.Teams, func(t Team) string { return t.Name }, encodeTeam)...)
	return append(parts, encodeBuckets(d.Endpoints, func(e Endpoint) string { return e.Name }, encodeEndpoint)...)
}

// encodeBuckets groups items by the hash of their names and encodes each group. The group of an item depends on
// no other item until the number of groups doubles, so a change of one item rewrites one leaf.
func encodeBuckets[T any](items []T, name func(T) string, encode func(*bytes.Buffer, T)) [][]byte {
	count := uint64(1)
	for int(count)*itemsPerLeaf < len(items) {
		count *= 2
	}
	buckets := make([][]T, count)
	for _, item := range items {
		b := xxhash.Sum64String(name(item)) % count
		buckets[b] = append(buckets[b], item)
	}
	var parts [][]byte
	for _, bucket := range buckets {
		parts = append(parts, encodeChunks(bucket, encode)...)
	}
	return parts
}

// encodeChunks encodes items as one leaf, or as several if one would exceed MaxPart.
func encodeChunks[T any](items []T, encode func(*bytes.Buffer, T)) [][]byte {
	var parts [][]byte
	var text bytes.Buffer
	for _, item := range items {
		before := text.Len()
		encode(&text, item)
		if text.Len() > MaxPart && before > 0 {
			parts = append(parts, bytes.Clone(text.Bytes()[:before]))
			text.Next(before)
		}
	}
	if text.Len() > 0 {
		parts = append(parts, bytes.Clone(text.Bytes()))
	}
	return parts
}
