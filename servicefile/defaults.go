package servicefile

// defaults returns a File with the values of fields that may be omitted.
func defaults() *File {
	return &File{
		Ranges:     0,
		QueueLimit: 32,
		RetryRatio: 0.1,
		Balance: Balance{
			Imbalance:         0.34,
			Churn:             0.33,
			UnavailableTime:   0.33,
			MaxMovesPerMinute: 6,
		},
	}
}

// defaultRanges is the initial number of hash ranges of a service divided by key
// if the file does not set ranges.
const defaultRanges = 64
