// Package standin holds the commands that run one stand-in as a process.
package standin
