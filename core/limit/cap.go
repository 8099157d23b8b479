package limit

// Cap returns the part of an endpoint's limit that a dispatcher may use. held is the number of stakes (see Stakes), out of
// total, that the dispatcher holds.
//
// For dispatchers with disjoint sets of stakes, the caps add up to no more than the limit, because the result
// is rounded up only for a dispatcher with more than half of the stakes, and down for all others.
func Cap(limit, held, total int) int {
	if total <= 0 || held <= 0 || limit <= 0 {
		return 0
	}
	held = min(held, total)
	product := limit * held
	if 2*held > total {
		return (product + total - 1) / total
	}
	return product / total
}
