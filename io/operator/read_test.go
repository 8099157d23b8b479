package operator_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/io/operator"
)

// What a log writes is read back in both formats, also with a prefix of whoever collected it.
func TestReadLine(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		for name, before := range map[string]string{"bare": "", "collected": "  12.0031 front-a-1 "} {
			t.Run(format+" "+name, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				log := operator.NewLog(operator.LogConfig{Level: logrus.InfoLevel, Format: format, Output: &out})
				operator.Part(log, operator.DispatchPart).WithFields(logrus.Fields{
					"team": "one \"two\" = three", "count": 12, "second": time.Unix(99, 0).Unix(),
				}).Info(operator.TeamLine)
				line, err := operator.ReadLine(before + out.String())
				is.NoErr(err)
				is.Equal(line.Message, operator.TeamLine)
				is.Equal(line.Text("team"), "one \"two\" = three")
				is.Equal(line.Int("count"), int64(12))
				is.Equal(line.Second("second"), time.Unix(99, 0))
				is.NoErr(line.Err())
			})
		}
	}
}

func TestReadLineRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"no line":     "12.0 front-a-1 killed",
		"cut JSON":    `{"time":"2026-08-20T04:23:30Z","msg":"dispatch: A`,
		"cut text":    `time="2026-08-20T04:23:30Z" msg="dispatch: A`,
		"cut to name": `time="2026-08-20T04:23:30Z" level=info msg`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := operator.ReadLine(text)
			is.New(t).True(err != nil)
		})
	}
}

// A field without a number shows once all are read.
func TestLineTellsWrongField(t *testing.T) {
	is := is.New(t)
	line, err := operator.ReadLine(`time="2026-08-20T04:23:30Z" level=info msg="A line." count=some`)
	is.NoErr(err)
	is.Equal(line.Int("count"), int64(0))
	is.True(line.Err() != nil)
}
