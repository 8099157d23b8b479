package crossing

import "time"

// Mode says in which cells the package decides on traffic between data centres. The other cells add a constant cost for an
// endpoint in another data centre.
type Mode uint8

// The modes.
const (
	Auto   Mode = iota // Auto: in pools of engines that report their pace.
	Always             // Always: in all cells.
	Never              // Never: in no cell.
)

// ParseMode returns the mode of this name, and whether there is one.
func ParseMode(name string) (Mode, bool) {
	for mode, known := range modeNames {
		if known == name {
			return Mode(mode), true
		}
	}
	return Auto, false
}

var modeNames = [...]string{Auto: "auto", Always: "always", Never: "never"}

// Config describes a Control.
type Config struct {
	Mode     Mode
	ByteCost time.Duration // ByteCost is the time that a megabyte between data centres is worth.
}

// IsActive reports whether a Control decides in a cell. The argument says whether its endpoints report their pace.
func (c Config) IsActive(reportsPace bool) bool {
	return c.Mode == Always || c.Mode == Auto && reportsPace
}

// price returns the time that these bytes between data centres are worth.
func (c Config) price(bytes int) time.Duration {
	return time.Duration(float64(c.ByteCost) * float64(bytes) / megabyte)
}

const megabyte = 1_000_000
