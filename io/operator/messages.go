package operator

// Messages of the sums by team and second, which `ryelug shares` reads.
const (
	// TeamLine is the dispatcher's: what a team asked it for, and what became of that.
	TeamLine = "The requests of a team in a second."
	// EarlySumLine is an entry's: what it refused of a team by itself.
	EarlySumLine = "Requests of a team were refused before anything was asked for."
)
