// Package overload plays a load of prompts against engines in virtual time, and compares what callers get
// under several ways to admit and place requests.
//
// The world is deterministic: a seed, a queue of timed events, and delays as parameters. The product's way
// is the real core/admission; the baselines are ways that it was weighed against, and the former release's.
package overload
