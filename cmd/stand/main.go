// Command stand holds the stand-ins of the platform and of the endpoints, and
// the load and experiment tool. It is not part of the product.
package main

func main() {}
