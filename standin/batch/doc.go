// Package batch is a stand-in of a model engine that works on requests in batches, in virtual time.
//
// It reads prompts in chunks beside the tokens of other requests, keeps the parts of prompts while its
// memory lasts, takes requests in the order of arrival, and puts the newest one back when its memory runs
// out. It shares its parameters with core/engine, and no code: it is what that model is measured against.
package batch
