package burn

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"html/template"
	"net/http"
	"strings"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(f float64) string { return fmt.Sprintf("%.2f%%", 100*f) },
	"share":   formatShare,
	"lasts":   formatLasts,
	"clock":   formatClock,
	"alarming": func(s JobState) bool {
		return s == JobAtRisk || s == JobMissed || s == JobLate || s == JobStopped
	},
}).Parse(pageText))

func formatShare(part, whole uint64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}

func formatLasts(seconds *float64) string {
	if seconds == nil {
		return "-"
	}
	return (time.Duration(*seconds) * time.Second).String()
}

func formatClock(t *time.Time) string {
	if t == nil {
		return "-"
	}
	return t.Format("2006-01-02 15:04")
}

// Source returns the current report. Its errors have a fault.Kind.
type Source func(ctx context.Context) (*Report, error)

// Handler serves the report as an HTML page at /burn and its plots at
// /burn/{service}/{burn|latency}.{svg|png}.
func Handler(source Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, r *http.Request) {
		servePage(w, r, source)
	})
	mux.HandleFunc("GET /burn/{service}/{file}", func(w http.ResponseWriter, r *http.Request) {
		servePlot(w, r, source)
	})
	return mux
}

func servePage(w http.ResponseWriter, r *http.Request, source Source) {
	report, err := source(r.Context())
	if err != nil {
		operatorapi.WriteError(w, err, "")
		return
	}
	var body bytes.Buffer
	if err := page.Execute(&body, report); err != nil {
		operatorapi.WriteError(w, fault.Wrap(fault.Internal, err, "burn page"), "")
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_, _ = body.WriteTo(w)
}

func servePlot(w http.ResponseWriter, r *http.Request, source Source) {
	body, format, err := renderPlot(r, source)
	if err != nil {
		operatorapi.WriteError(w, err, "")
		return
	}
	contentType := "image/png"
	if format == FormatSVG {
		contentType = "image/svg+xml"
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = body.WriteTo(w)
}

func renderPlot(r *http.Request, source Source) (*bytes.Buffer, Format, error) {
	chart, format, _ := strings.Cut(r.PathValue("file"), ".")
	if Format(format) != FormatSVG && Format(format) != FormatPNG {
		return nil, "", fault.Newf(fault.NotFound, "no plot format %q", format)
	}
	report, err := source(r.Context())
	if err != nil {
		return nil, "", err
	}
	for i := range report.Services {
		service := &report.Services[i]
		if service.Name != r.PathValue("service") {
			continue
		}
		var body bytes.Buffer
		err := WritePlot(&body, report, service, Chart(chart), Format(format))
		return &body, Format(format), err
	}
	return nil, "", fault.Newf(fault.NotFound, "no service %q", r.PathValue("service"))
}
