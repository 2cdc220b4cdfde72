package servicefile

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

// defaultRanges is the initial number of ranges of a service divided by key
// whose file names none.
const defaultRanges = 64
