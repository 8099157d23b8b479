// Package changes contains only tests: data centres, endpoints and routers of a whole
// fleet leave and return as planned while it is under load.
package changes
