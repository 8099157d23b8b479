package main

type routerCommand struct{ versionCommand }
type devCommand struct{ versionCommand }
