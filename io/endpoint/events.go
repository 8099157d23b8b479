package endpoint

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data []byte // Data is valid until the next call of Next.
}

// Events reads the events of one streamed answer.
type Events struct{}
