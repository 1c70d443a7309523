// Command ebonyferry runs a node.
package main

func main() {}
