package envdoc_test

import (
	"fmt"

	"github.com/marjoramrudder/marjoramrudder/pkg/envdoc"
)

func ExampleParse() {
	_, err := envdoc.Parse([]byte(`Environment = "trial"
Groups = []

[[Accounts]]
Name = "shop"
Rate = "fast"
burst = 20
`))
	fmt.Println(err)
	// Output:
	// 2:1: Groups: no database group; allowed: at least one
	// 4:3: Accounts[0].Burst: impossible value 0; allowed: 1 to 10000000
	// 6:1: Accounts[0].Rate: wrong type: a string; allowed: an integer
	// 7:1: Accounts[0].burst: unknown field; allowed: Name, Keys, Rate, Burst, Weight
}

func ExampleDocument_AddKey() {
	d, err := envdoc.Parse([]byte(smallText))
	if err != nil {
		fmt.Println(err)
		return
	}
	key := envdoc.NewKey()
	changed, err := d.AddKey("shop", envdoc.HashKey(key))
	fmt.Println(err, len(d.Accounts[0].Keys), len(changed.Accounts[0].Keys))
	// Output: <nil> 0 1
}
