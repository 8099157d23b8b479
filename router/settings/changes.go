package settings

import "reflect"

// Changes returns the names of the fields in which two settings differ.
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
