// Package region measures a fleet whose regions are far from each other and lose each other.
package region
