// Command experiment compares ways to admit requests, in virtual time. It is a program of its own, since a
// router process would otherwise initialise the plotting packages at each start.
package main
