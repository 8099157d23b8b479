package limit

// Cap returns the part of an endpoint's limit that a dispatcher may use if it holds the given number of all stakes (see Stakes).
// For dispatchers with disjoint sets of stakes, the caps add up to no more than the limit, since only the share of a majority
// is rounded up.
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
