package wire

const (
	maxNames      = 1 << 12 // names numbered on one direction of a link
	maxNumbered   = 64      // bytes of the longest name that gets a number
	numberedAfter = 2       // bytes of the longest name that stays as it is
)

// Names numbers the names that recur on one direction of a link. Both ends
// number them in the order in which they are first sent, until the table is full.
type Names struct {
	numbers map[string]uint64 // numbers is used by the sender.
	list    []string          // list is used by the receiver.
}

// NewNames returns an empty table.
func NewNames() *Names { return &Names{numbers: make(map[string]uint64)} }

func isNumbered(name string) bool {
	return len(name) > numberedAfter && len(name) <= maxNumbered
}

// number returns the number of a name that was sent before.
func (n *Names) number(name string) (uint64, bool) {
	number, ok := n.numbers[name]
	return number, ok
}

// sent gives a name its number, if it gets one.
func (n *Names) sent(name string) {
	if isNumbered(name) && len(n.numbers) < maxNames {
		n.numbers[name] = uint64(len(n.numbers))
	}
}

// received gives a name its number, as sent did at the other end.
func (n *Names) received(name string) {
	if isNumbered(name) && len(n.list) < maxNames {
		n.list = append(n.list, name)
	}
}

// name returns the name with this number.
func (n *Names) name(number uint64) (string, bool) {
	if number >= uint64(len(n.list)) {
		return "", false
	}
	return n.list[number], true
}
