package logging

import "github.com/sirupsen/logrus"

const (
	// maxValue is the maximum length of a value in a line in bytes. Lines wait in a queue, and
	// clients choose some of their values, such as IDs of requests.
	maxValue = 512
	// cutMark ends a value that is longer.
	cutMark = "..."
)

// lengthLimit is a hook that cuts long values.
type lengthLimit struct{}

// Levels returns all levels.
func (lengthLimit) Levels() []logrus.Level { return logrus.AllLevels }

// Fire cuts the values of an entry, which is a copy made for one line.
func (lengthLimit) Fire(entry *logrus.Entry) error {
	entry.Message = cut(entry.Message)
	for key, value := range entry.Data {
		switch v := value.(type) {
		case string:
			if len(v) > maxValue {
				entry.Data[key] = cut(v)
			}
		case error:
			if text := v.Error(); len(text) > maxValue {
				entry.Data[key] = cut(text)
			}
		}
	}
	return nil
}

func cut(text string) string {
	if len(text) <= maxValue {
		return text
	}
	return text[:maxValue] + cutMark
}
