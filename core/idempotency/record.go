package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"ryelug/core/cell"
)

// State says how far the request of a key has come.
type State string

// States of a record.
const (
	Started State = "started" // Started: an attempt may be running, or its router has died.
	Ended   State = "ended"   // Ended: the endpoint has answered.
	Unknown State = "unknown" // Unknown: the request was sent and its answer is missing.
	NotRun  State = "not_run" // NotRun: the attempt ended without running; the key is free for the same request.
)

// Record is what the platform keeps for one key of one team.
type Record struct {
	State       State     `json:"state"`
	Attempt     string    `json:"attempt"`     // Attempt is the id of the request that owns the record.
	Fingerprint string    `json:"fingerprint"` // Fingerprint tells other requests with the same key.
	Deadline    time.Time `json:"deadline"`    // Deadline is when the attempt is over at the latest, on its router's clock.
	Answer      *Answer   `json:"answer,omitempty"`
}

// Answer is a recorded answer.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Dropped     bool   `json:"dropped,omitempty"` // Dropped tells that the body was too large or a stream.
}

// Encode returns the record as the platform keeps it.
func (r Record) Encode() (json.RawMessage, error) { return json.Marshal(r) }

// Decode reads a record.
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

// Name returns the name of the record of a team's key; it tells nothing of the key.
func Name(team cell.TeamID, key string) string {
	return digest([]byte(team), []byte(key))
}

// Fingerprint returns a digest of everything that makes two requests the same.
func Fingerprint(method, path, contentType string, body []byte) string {
	return digest([]byte(method), []byte(path), []byte(contentType), body)
}

// digest hashes fields so that moving bytes between two of them changes the result.
func digest(fields ...[]byte) string {
	hash := sha256.New()
	for _, field := range fields {
		_, _ = fmt.Fprintf(hash, "%d:", len(field)) // A hash takes every write.
		_, _ = hash.Write(field)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
