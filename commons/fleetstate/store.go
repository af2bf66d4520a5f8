package fleetstate

// Limits of the weight store if the inventory has no store section.
const (
	defaultLoadRate         = 1
	defaultFastLoads        = 9
	defaultFastAdapterLoads = 70
)

// Store describes the limits of the platform's weight store.
type Store struct {
	name             string
	loadRate         int64
	fastLoads        int64
	fastAdapterLoads int64
}

// Name returns the store's name.
func (s Store) Name() string { return s.name }

// LoadRate returns the number of model loads that may start per second.
func (s Store) LoadRate() int64 { return s.loadRate }

// FastLoads returns the number of concurrent model loads that run at full speed.
func (s Store) FastLoads() int64 { return s.fastLoads }

// FastAdapterLoads returns the number of concurrent adapter loads that run at
// full speed.
func (s Store) FastAdapterLoads() int64 { return s.fastAdapterLoads }

// Store returns the weight store, or one with the smallest known limits if the
// inventory has no store section.
func (i *Inventory) Store() Store {
	for _, store := range i.stores {
		return store
	}
	return Store{loadRate: defaultLoadRate, fastLoads: defaultFastLoads, fastAdapterLoads: defaultFastAdapterLoads}
}

func (p *parser) readStore(name string) {
	store := Store{name: name, loadRate: p.integer("rate"), fastLoads: p.integer("loads"), fastAdapterLoads: p.integer("adapters")}
	if len(p.inventory.stores) > 0 {
		p.addFault("", "a second weight store is described; keep one [store NAME]")
	}
	p.inventory.stores[name] = store
}
