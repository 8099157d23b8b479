package platform

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"ryelug/io/platform"
)

// maxChanges bounds the changes kept for watches; an older version is expired.
const maxChanges = 4096

// collection names the objects of one kind of one environment.
type collection struct {
	environment string
	kind        platform.Kind
}

// change is one write.
type change struct {
	at       time.Time
	version  uint64
	of       collection
	event    platform.EventType
	object   platform.Wire
	previous *platform.Wire
}

// store holds objects and their latest changes.
type store struct {
	mu      sync.Mutex
	version uint64
	dropped uint64 // dropped is the version of the newest change that is no longer kept.
	objects map[collection]map[string]platform.Wire
	changes []change
	written chan struct{} // written is closed and replaced at each write.
}

func newStore() *store {
	return &store{objects: map[collection]map[string]platform.Wire{}, written: make(chan struct{})}
}

func (s *store) get(of collection, name string) (platform.Wire, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[of][name]
	return object, found
}

func (s *store) create(of collection, object platform.Wire) (platform.Wire, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.objects[of][object.Metadata.Name]; found {
		return platform.Wire{}, platform.ReasonExists
	}
	return s.write(of, platform.Added, object, nil), ""
}

// update replaces an object; an empty version holds for any.
func (s *store) update(of collection, object platform.Wire) (platform.Wire, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, found := s.objects[of][object.Metadata.Name]
	if !found {
		return platform.Wire{}, platform.ReasonNotFound
	}
	if version := object.Metadata.ResourceVersion; version != "" && version != before.Metadata.ResourceVersion {
		return platform.Wire{}, platform.ReasonConflict
	}
	return s.write(of, platform.Modified, object, &before), ""
}

func (s *store) remove(of collection, name, version string) (platform.Wire, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, found := s.objects[of][name]
	if !found {
		return platform.Wire{}, platform.ReasonNotFound
	}
	if version != "" && version != before.Metadata.ResourceVersion {
		return platform.Wire{}, platform.ReasonConflict
	}
	return s.write(of, platform.Deleted, before, &before), ""
}

func (s *store) write(of collection, event platform.EventType, object platform.Wire, before *platform.Wire) platform.Wire {
	s.version++
	object.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	if s.objects[of] == nil {
		s.objects[of] = map[string]platform.Wire{}
	}
	s.objects[of][object.Metadata.Name] = object
	if event == platform.Deleted {
		delete(s.objects[of], object.Metadata.Name)
	}
	s.changes = append(s.changes, change{time.Now(), s.version, of, event, object, before})
	if extra := len(s.changes) - maxChanges; extra > 0 {
		s.dropped = s.changes[extra-1].version
		s.changes = slices.Delete(s.changes, 0, extra)
	}
	close(s.written)
	s.written = make(chan struct{})
	return object
}

// list returns the objects as they were at the given time, sorted by name, and the version.
func (s *store) list(of collection, at time.Time) ([]platform.Wire, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := maps.Clone(s.objects[of])
	version := s.version
	for _, late := range slices.Backward(s.changes) {
		if !late.at.After(at) {
			break
		}
		version = late.version - 1
		if late.of == of {
			undo(objects, late)
		}
	}
	items := slices.SortedFunc(maps.Values(objects), func(a, b platform.Wire) int {
		return cmp.Compare(a.Metadata.Name, b.Metadata.Name)
	})
	return items, strconv.FormatUint(version, 10)
}

func undo(objects map[string]platform.Wire, late change) {
	if late.previous == nil {
		delete(objects, late.object.Metadata.Name)
		return
	}
	objects[late.object.Metadata.Name] = *late.previous
}

// news is what a watch has not seen yet.
type news struct {
	changes []change
	version uint64          // version is the version up to which changes are complete.
	more    <-chan struct{} // more is closed at the next write.
}

// since returns the changes after a version; false if they are no longer kept.
func (s *store) since(of collection, version uint64) (news, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.dropped {
		return news{}, false
	}
	found := news{version: s.version, more: s.written}
	for _, one := range s.changes {
		if one.of == of && one.version > version {
			found.changes = append(found.changes, one)
		}
	}
	return found, true
}
