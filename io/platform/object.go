package platform

import (
	"encoding/json"
	"strconv"
)

// Kind names a sort of object.
type Kind string

// Kinds of objects of an environment.
const (
	Parts   Kind = "parts"   // Parts are pieces of configuration documents, named by their hashes.
	Roots   Kind = "roots"   // Roots name the parts of a generation.
	History Kind = "history" // History holds former roots, named by their generations.
	Hosts   Kind = "hosts"   // Hosts are the live and leaving hosts of the fleet.
	Calls   Kind = "calls"   // Calls are records of requests with an Idempotency-Key.
)

// Object is one named, versioned value.
type Object struct {
	Name        string
	Version     string            // Version changes with every write; an update and a delete hold only for it.
	Annotations map[string]string // Annotations are small texts that a list without data has too.
	Data        json.RawMessage   // Data is the value, a JSON object.
}

// List is all objects of a kind at one version.
type List struct {
	Version string
	Items   []Object
}

// CurrentRoot names the root in force.
const CurrentRoot = "current"

// partData is the value of a part.
type partData struct {
	Text string `json:"text"`
}

// PartObject returns the object that holds the text of a part.
func PartObject(hash string, text []byte) Object {
	data, err := json.Marshal(partData{Text: string(text)})
	if err != nil {
		panic(err) // A string can always be written as JSON.
	}
	return Object{Name: hash, Data: data}
}

// PartText returns the text of a part, and nothing if the object holds none.
func PartText(o Object) []byte {
	var data partData
	if err := json.Unmarshal(o.Data, &data); err != nil {
		return nil
	}
	return []byte(data.Text)
}

// EventType says what happened to an object.
type EventType string

// Types of events.
const (
	Added    EventType = "ADDED"
	Modified EventType = "MODIFIED"
	Deleted  EventType = "DELETED"
	Bookmark EventType = "BOOKMARK" // Bookmark tells of a newer version without a change.
	failed   EventType = "ERROR"    // failed carries a status in place of an object.
)

// Event is one change that a watch tells of.
type Event struct {
	Type   EventType
	Object Object
}

// API forms of requests and answers.
const (
	APIVersion = "ryelug/v1"
	PathPrefix = "/apis/" + APIVersion + "/namespaces/"

	// MetadataOnly is the Accept header that asks for objects without their data.
	MetadataOnly = "application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1"
)

// Metadata is the part of an object that the API keeps itself.
type Metadata struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Wire is an object as it travels.
type Wire struct {
	APIVersion string          `json:"apiVersion,omitempty"`
	Kind       Kind            `json:"kind,omitempty"`
	Metadata   Metadata        `json:"metadata"`
	Data       json.RawMessage `json:"data,omitempty"`
}

// WireList is a list as it travels.
type WireList struct {
	Metadata Metadata `json:"metadata"`
	Items    []Wire   `json:"items"`
}

// WireEvent is an event as it travels, one a line.
type WireEvent struct {
	Type   EventType       `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Status is the API's answer when something went wrong.
type Status struct {
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// Reasons of a Status.
const (
	ReasonNotFound = "NotFound"
	ReasonExists   = "AlreadyExists"
	ReasonConflict = "Conflict"
	ReasonExpired  = "Expired"
	ReasonTooLarge = "RequestEntityTooLarge"
)

// DeleteOptions is the body of a delete.
type DeleteOptions struct {
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion,omitempty"`
	} `json:"preconditions"`
}

func fromWire(w Wire) Object {
	return Object{Name: w.Metadata.Name, Version: w.Metadata.ResourceVersion, Annotations: w.Metadata.Annotations, Data: w.Data}
}

func toWire(kind Kind, o Object) Wire {
	meta := Metadata{Name: o.Name, ResourceVersion: o.Version, Annotations: o.Annotations}
	return Wire{APIVersion: APIVersion, Kind: kind, Metadata: meta, Data: o.Data}
}

// Newer reports whether version a is later than version b; versions are whole numbers.
func Newer(a, b string) bool {
	x, errX := strconv.ParseUint(a, 10, 64)
	y, errY := strconv.ParseUint(b, 10, 64)
	return errX == nil && (errY != nil || x > y)
}
