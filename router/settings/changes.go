package settings

import "reflect"

// Changes returns the names of the fields that differ between two settings, in the order of their declaration.
func Changes(before, after *Settings) []string {
	old, now := reflect.ValueOf(*before), reflect.ValueOf(*after)
	var names []string
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), now.Field(i).Interface()) {
			names = append(names, old.Type().Field(i).Name)
		}
	}
	return names
}
