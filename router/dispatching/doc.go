// Package dispatching is a router's part as dispatcher: it joins the dispatchers
// of core/dispatch, one a cell, with the messages of entries.
package dispatching
