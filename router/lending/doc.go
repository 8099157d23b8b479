// Package lending is a router's part as entry: it joins the lenders of core/lend,
// one a cell, with the requests that wait and the messages of dispatchers.
package lending
