package loader

// room is what items take of an engine, or what an engine has.
type room struct {
	memory   float64 // MB
	adapters int     // adapter slots
}

// plus returns the sum of two rooms.
func (r room) plus(other room) room {
	return room{memory: r.memory + other.memory, adapters: r.adapters + other.adapters}
}

// union returns the smallest room into which each of two rooms fits alone.
func (r room) union(other room) room {
	return room{memory: max(r.memory, other.memory), adapters: max(r.adapters, other.adapters)}
}

// fits reports whether the room is free while another one of a limit is used. Where nothing
// is needed it does not matter how much is used.
func (r room) fits(used, limit room) bool {
	return (r.memory == 0 || used.memory+r.memory <= limit.memory) && (r.adapters == 0 || used.adapters+r.adapters <= limit.adapters)
}
