// Package raw is a stand-in of any server that sends given bytes, so that tests can send what no HTTP library writes.
package raw
