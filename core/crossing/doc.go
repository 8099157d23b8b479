// Package crossing decides when a request is better sent to another data centre than served in that of its entry router,
// and how large a part of a data centre's demand may leave it.
//
// It answers a load that is uneven between data centres: callers of one demand more than its endpoints serve in time, while
// others have free capacity, and bytes between data centres are slow and cost money. Each dispatcher decides by what it
// sees itself. The package belongs to the coordination layer, performs no I/O and reads no clock: the caller passes the time.
package crossing
