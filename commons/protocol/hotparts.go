package protocol

// HotPartConfig describes a part of prompts that a lobby has sent repeatedly.
type HotPartConfig struct {
	Key    uint32 // short hash of its model, its adapter and its ID
	Tokens int64
}

// HotPartsConfig describes the parts of the prompts for one model that a lobby has sent
// repeatedly to one backend server, which has them cached for that reason.
type HotPartsConfig struct {
	Backend   string
	StartTime int64 // start time of the backend server, Unix milliseconds
	Model     string
	Parts     []HotPartConfig
}
