package limit

// Cap returns how much of an endpoint's limit a dispatcher may use that holds so
// many of the total stakes. Over disjoint sets of stakes the caps add up to the
// limit at most: only a majority is rounded up.
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
