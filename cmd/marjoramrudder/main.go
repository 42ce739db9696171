// Command marjoramrudder is the proxy and the tool by which operators drive it.
package main

func main() {}
