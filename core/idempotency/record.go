package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"ryelug/core/cell"
)

// State is how far the request of a key has progressed.
type State string

// States of a record.
const (
	Started State = "started" // Started: an attempt may be running, or its router may have crashed.
	Ended   State = "ended"   // Ended: the endpoint has answered.
	Unknown State = "unknown" // Unknown: the request was sent, but no answer arrived.
	NotRun  State = "not_run" // NotRun: the attempt ended without running; the same request may claim the key again.
)

// Record is the stored state of one idempotency key of one team.
type Record struct {
	State       State     `json:"state"`
	Attempt     string    `json:"attempt"`          // ID of the request that owns the record.
	Fingerprint string    `json:"fingerprint"`      // Digest of the request; a request with the same key and another fingerprint is refused.
	Deadline    time.Time `json:"deadline"`         // Latest end of the attempt, on its router's clock.
	Answer      *Answer   `json:"answer,omitempty"` // Set once the state is Ended.
}

// Answer is the stored answer of an endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Dropped     bool   `json:"dropped,omitempty"` // Whether the body was not stored, because it was too large or a stream.
}

// Encode returns the JSON form in which the platform stores the record.
func (r Record) Encode() (json.RawMessage, error) { return json.Marshal(r) }

// Decode parses the JSON form of a record. It fails if the state is not known.
func Decode(data json.RawMessage) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, err
	}
	switch record.State {
	case Started, Ended, Unknown, NotRun:
		return record, nil
	}
	return Record{}, fmt.Errorf("record has the unknown state %q", record.State)
}

// Name returns the name under which a team's key is stored: a digest, so that the key itself is not disclosed.
func Name(team cell.TeamID, key string) string {
	return digest([]byte(team), []byte(key))
}

// Fingerprint returns a digest of the parts of a request that must be equal in every repetition.
func Fingerprint(method, path, contentType string, body []byte) string {
	return digest([]byte(method), []byte(path), []byte(contentType), body)
}

// digest hashes each field with its length, so that moving bytes from one field to another changes the result.
func digest(fields ...[]byte) string {
	hash := sha256.New()
	for _, field := range fields {
		_, _ = fmt.Fprintf(hash, "%d:", len(field)) // writes to a hash never fail
		_, _ = hash.Write(field)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
