package router

import (
	"sync"
	"time"

	"ryelug/router/directory"
)

const (
	// formerSpan is how long the directory of an older version is kept: a router that hands connections over is no further behind
	// while it is in contact.
	formerSpan = 5 * time.Second
	// maxFormer limits the directories that are kept, as those of large deployments are large.
	maxFormer = 8
)

// formerDirectories holds the last directories of older versions, for requests of callers of routers that have those in force. It is
// safe for concurrent use.
type formerDirectories struct {
	mu   sync.Mutex
	list []formerDirectory // list is ordered by the time of the replacement.
}

// formerDirectory is a directory that was replaced by one of another version.
type formerDirectory struct {
	*directory.Directory
	replacedAt time.Time
}

// add stores a directory that is about to be replaced, and drops those that are not needed any more.
func (f *formerDirectories) add(now time.Time, last *directory.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, formerDirectory{last, now})
	for len(f.list) > maxFormer || now.Sub(f.list[0].replacedAt) > formerSpan {
		f.list = f.list[1:]
	}
}

// find returns the directory of a version, or nil if it is not kept.
func (f *formerDirectories) find(version uint64) *directory.Directory {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.list {
		if one.Version == version {
			return one.Directory
		}
	}
	return nil
}

// directoryFor returns the directory by which a request is served: the one in force, or for a caller of a router with another version
// that version's. It returns nil if that one is newer than what is known here, or too old.
func (r *Router) directoryFor(version uint64) *directory.Directory {
	d := r.directory.Load()
	if version == 0 || d != nil && d.Version == version {
		return d
	}
	return r.former.find(version)
}

// tellVersion tells the routers at the other end of hand-over links a version of the configuration.
func (r *Router) tellVersion(version uint64) {
	if r.handoverDialer != nil {
		r.handoverDialer.SetVersion(version)
	}
	if r.handoverTaker != nil {
		r.handoverTaker.SetVersion(version)
	}
}
