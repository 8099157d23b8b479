// Package platform is a client of the platform's versioned object API.
//
// The API follows the published REST conventions of the Kubernetes API: JSON
// objects with a metadata.resourceVersion, lists and watches that continue at a
// version, 409 for a create or update that came too late. The package is part of
// the transport layer: every call has a deadline and nothing is retried.
package platform
