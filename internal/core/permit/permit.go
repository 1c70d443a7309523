// Package permit divides the rate of requests that a backend server accepts among the nodes that send to it.
//
// A server in need names a rate in its answers, see Rate.
package permit
