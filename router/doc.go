// Package router combines the decision logic in core with the network code in io into one router process.
//
// A Router has two roles. As an entry it accepts requests from callers and sends them to endpoints. As a
// dispatcher it decides for some cells (pools of endpoints) which waiting request, of any entry, may be sent to
// which endpoint next. Each long-running activity has its own goroutine. Only the coordination goroutine touches
// the state of the cells; the others send it commands through a bounded channel.
package router
