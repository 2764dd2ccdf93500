// Package integration holds the tests of whole deployments: real entry
// processes behind a fault-injecting proxy, with stand-ins for the platform
// and the targets, under kills, process pauses, partitions and outages. It has
// no code outside its tests.
package integration
