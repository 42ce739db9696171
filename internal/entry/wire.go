//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
)

// Build composes a proxy from its settings. The zero Policies are the product's.
func Build(settings *conf.Settings, policies Policies) (*Proxy, error) {
	panic(wire.Build(
		provideEvents,
		providePlatform,
		peer.NewRouter,
		provideStart,
		provideMesh,
		provideFleet,
		provideQuota,
		provideTable,
		provideSites,
		provideFront,
		wire.Struct(new(Parts), "*"),
		NewProxy,
	))
}
