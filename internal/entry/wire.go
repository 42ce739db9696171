//go:build wireinject

package entry

import (
	"github.com/google/wire"

	"github.com/marjoramrudder/marjoramrudder/internal/conf"
	"github.com/marjoramrudder/marjoramrudder/internal/peer"
)

// Build composes a proxy from its settings. The zero Policies select the
// default policies.
func Build(settings *conf.Settings, policies Policies) (*Proxy, error) {
	panic(wire.Build(
		provideEvents,
		providePlatform,
		peer.NewRouter,
		provideStart,
		provideMesh,
		provideAdminListener,
		provideFleet,
		provideAccounts,
		provideRouteTable,
		provideGroups,
		provideFront,
		wire.Struct(new(Components), "*"),
		NewProxy,
	))
}
