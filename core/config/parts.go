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
	// MaxPart bounds a part in bytes, so that it fits the platform's values with its envelope.
	MaxPart = 512 << 10

	itemsPerLeaf   = 16 // itemsPerLeaf and leavesPerIndex balance the sizes of root, index and leaf that a change sends.
	leavesPerIndex = 32
	maxFresh       = 16 // maxFresh bounds the names of fresh parts in a root.
	hashBytes      = 16 // hashBytes is the length of a part's name before it is written in hex.
)

// Root names all parts of one generation of a document: it lists indexes, an
// index lists leaves, and the leaves make up the text. So a change of one item
// changes one leaf, one index and the root.
type Root struct {
	Environment string    `json:"environment"`
	Generation  uint64    `json:"generation"`
	ChangeID    string    `json:"change_id"`
	Change      string    `json:"change"` // Change says in a few words what the operator did.
	Changed     time.Time `json:"changed"`
	Parts       []string  `json:"parts"` // Parts are the hashes of indexes, in the order of the text.
	Fresh       []string  `json:"fresh"` // Fresh are the parts that this change has written, if they are few.
}

// PartError tells that a part is missing or is not what its name says.
type PartError struct {
	Hash    string
	Missing bool
}

// Error says which part it is about.
func (e *PartError) Error() string {
	if e.Missing {
		return fmt.Sprintf("part %s is missing", e.Hash)
	}
	return fmt.Sprintf("part %s holds other data than its name says", e.Hash)
}

// Hash returns the name of a part.
func Hash(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:hashBytes])
}

// Split cuts a document into parts; the root has the parts' names and the environment filled in.
func Split(d *Document) (Root, map[string][]byte) {
	root := Root{Environment: d.Environment}
	parts := map[string][]byte{}
	for leaves := range slices.Chunk(cut(sorted(d)), leavesPerIndex) {
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

// SetFresh names the parts that a change has written, unless they are many.
func (r *Root) SetFresh(hashes []string) {
	r.Fresh = nil
	if len(hashes) <= maxFresh {
		r.Fresh = slices.Sorted(slices.Values(hashes))
	}
}

// Leaves returns the names of the leaves that an index lists.
func Leaves(index []byte) []string {
	return strings.Fields(string(index))
}

// Find looks a part up by its name.
type Find func(hash string) ([]byte, bool)

// Missing returns up to most names of parts that are needed next and not found.
// Fresh parts are among the first, so that a reader need not wait for the index
// to learn the name of the leaf that has changed.
func Missing(root Root, find Find, most int) []string {
	var missing []string
	want := func(hash string) ([]byte, bool) {
		part, found := find(hash)
		if !found && len(missing) < most && !slices.Contains(missing, hash) {
			missing = append(missing, hash)
		}
		return part, found
	}
	for _, hash := range root.Fresh {
		want(hash)
	}
	for _, hash := range root.Parts {
		index, _ := want(hash)
		for _, leaf := range Leaves(index) {
			want(leaf)
		}
	}
	return missing
}

// Reachable returns all parts of a root that are found.
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

// Join puts a document together again and validates all of it.
func Join(root Root, parts map[string][]byte) (*Document, error) {
	var text bytes.Buffer
	for _, hash := range root.Parts {
		index, err := whole(parts, hash)
		if err != nil {
			return nil, err
		}
		for _, leaf := range Leaves(index) {
			part, err := whole(parts, leaf)
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

// whole returns a part after checking it against its name.
func whole(parts map[string][]byte, hash string) ([]byte, error) {
	part, found := parts[hash]
	if !found {
		return nil, &PartError{Hash: hash, Missing: true}
	}
	if Hash(part) != hash {
		return nil, &PartError{Hash: hash}
	}
	return part, nil
}

// ParseRoot reads a root and checks that it can stand for a generation.
func ParseRoot(data []byte) (Root, error) {
	var root Root
	if err := json.Unmarshal(data, &root); err != nil {
		return Root{}, fmt.Errorf("the root can't be read: %w", err)
	}
	if root.Generation == 0 || len(root.Parts) == 0 || root.Environment == "" {
		return Root{}, fmt.Errorf("the root lacks its generation, environment or parts")
	}
	return root, nil
}

// Encode writes a root as JSON.
func (r Root) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // A root has no field that JSON can't hold.
	}
	return data
}

// cut writes a sorted document as texts that make up one TOML text in order.
func cut(d *Document) [][]byte {
	parts := [][]byte{encodeBase(d)}
	parts = append(parts, spread(d.Teams, func(t Team) string { return t.Name }, encodeTeam)...)
	return append(parts, spread(d.Endpoints, func(e Endpoint) string { return e.Name }, encodeEndpoint)...)
}

// spread puts items into buckets by the hash of their names, so that a change of one item changes one part.
func spread[T any](items []T, name func(T) string, encode func(*bytes.Buffer, T)) [][]byte {
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
		parts = append(parts, texts(bucket, encode)...)
	}
	return parts
}

// texts writes items as one text, or as several if it would grow past MaxPart.
func texts[T any](items []T, encode func(*bytes.Buffer, T)) [][]byte {
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
