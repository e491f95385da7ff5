//! The report as one self-contained page: plots as inline SVG, no script, nothing loaded from elsewhere.

use crate::report::{Report, Verdict};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write;

const SIZE: (u32, u32) = (940, 230);
const FONT: (&str, u32) = ("sans-serif", 13);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 95, 160),
    RGBColor(200, 80, 30),
    RGBColor(60, 140, 60),
    RGBColor(130, 80, 160),
    RGBColor(150, 110, 40),
    RGBColor(80, 80, 80),
];
/// Seconds over which service is smoothed.
const SMOOTH: usize = 5;
/// Breaches that the table shows.
const SHOWN: usize = 100;

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// Draws lines over time, with the faults shaded behind them.
fn plot(report: &Report, title: &str, top: f64, lines: &[Line]) -> String {
    let mut svg = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&area, report, title, top, lines)
    };
    inline(svg, title, drawn)
}

fn inline(svg: String, title: &str, drawn: Drawn) -> String {
    match drawn {
        Ok(()) => format!("<figure>{svg}</figure>\n"),
        Err(error) => {
            format!("<p>{}: the plot could not be drawn: {}</p>\n", escape(title), escape(&error.to_string()))
        }
    }
}

fn draw(
    area: &DrawingArea<SVGBackend, Shift>,
    report: &Report,
    title: &str,
    top: f64,
    lines: &[Line],
) -> Drawn {
    area.fill(&WHITE)?;
    let end = report.took.max(report.seconds).max(1.0);
    let mut chart = ChartBuilder::on(area)
        .caption(title, FONT)
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    for fault in &report.faults {
        let colour = RED.mix(0.09).filled();
        chart.draw_series([Rectangle::new([(fault.from, 0.0), (fault.to.min(end), top)], colour)])?;
    }
    chart.configure_mesh().light_line_style(WHITE).label_style(FONT).draw()?;
    for (place, line) in lines.iter().enumerate() {
        let colour = COLOURS[place % COLOURS.len()];
        let series =
            chart.draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?;
        if lines.len() > 1 {
            series
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
    }
    if lines.len() > 1 {
        let labels = chart.configure_series_labels();
        let mut labels = labels;
        labels.position(SeriesLabelPosition::UpperLeft);
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).label_font(FONT).draw()?;
    }
    area.present()?;
    Ok(())
}

fn most(lines: &[Line]) -> f64 {
    let values = lines.iter().flat_map(|line| line.points.iter().map(|(_, y)| *y));
    values.fold(1.0, f64::max) * 1.1
}

fn over_time(report: &Report, title: &str, lines: Vec<Line>) -> String {
    plot(report, title, most(&lines), &lines)
}

fn service(report: &Report) -> String {
    let seconds = &report.by_second;
    let at = |place: usize| {
        let from = place.saturating_sub(SMOOTH / 2);
        let part = &seconds[from..seconds.len().min(place + SMOOTH / 2 + 1)];
        let asked: f64 = part.iter().map(|second| second.requested_worth).sum();
        let served: f64 = part.iter().map(|second| second.delivered_worth).sum();
        (place as f64, if asked > 0.0 { served / asked } else { 1.0 })
    };
    let points = (0..seconds.len()).map(at).collect();
    let title = format!("Service by the second of the intended send (mean of {SMOOTH} s); faults shaded");
    plot(report, &title, 1.05, &[Line { name: "service".to_owned(), points }])
}

/// Percentiles against latency: the tail takes as much room as the rest.
fn percentiles(report: &Report) -> String {
    let points: Vec<(f64, f64)> = report
        .percentiles
        .iter()
        .filter(|(share, _)| *share < 1.0)
        .map(|(share, ms)| (-(1.0 - share).log10(), *ms as f64))
        .collect();
    if points.is_empty() {
        return String::new();
    }
    let title = "Latency from the intended send by percentile, ms";
    let mut svg = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw_percentiles(&area, title, points)
    };
    inline(svg, title, drawn)
}

fn draw_percentiles(area: &DrawingArea<SVGBackend, Shift>, title: &str, points: Vec<(f64, f64)>) -> Drawn {
    area.fill(&WHITE)?;
    let (right, _) = points.last().copied().unwrap_or((1.0, 1.0));
    let top = points.iter().map(|(_, y)| *y).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, FONT)
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..right.max(1.0), 0.0..top)?;
    let percent = |x: &f64| {
        format!("{:.4}", 100.0 * (1.0 - 10f64.powf(-x)))
            .trim_end_matches(['0'])
            .trim_end_matches('.')
            .to_owned()
            + " %"
    };
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .label_style(FONT)
        .x_labels(8)
        .x_label_formatter(&percent)
        .draw()?;
    chart.draw_series(LineSeries::new(points, COLOURS[0].stroke_width(2)))?;
    area.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// The page.
pub fn page(report: &Report) -> String {
    let (verdict, class) = match report.verdict {
        Verdict::Kept => ("Kept: no rule was broken, and service is over the floor.".to_owned(), "kept"),
        Verdict::Broken => (format!("Broken: {} breaches.", report.broken.values().sum::<u64>()), "broken"),
        Verdict::UnderFloor => (
            format!("Service {:.3} is under the floor of {:.2}.", report.service.combined, report.floor),
            "broken",
        ),
        Verdict::Void => (format!("Void: {}.", report.void.as_deref().unwrap_or("the kit was late")), "void"),
    };
    let line = |name: &str, value: &dyn Fn(&crate::report::Sample) -> f64| Line {
        name: name.to_owned(),
        points: report.samples.iter().map(|sample| (sample.at, value(sample))).collect(),
    };
    let couriers = report.samples.iter().map(|sample| sample.memory_mb.len()).max().unwrap_or(0);
    let memory = (0..couriers)
        .map(|courier| Line {
            name: format!("courier {courier}"),
            points: report
                .samples
                .iter()
                .filter_map(|sample| Some((sample.at, sample.memory_mb.get(courier).copied().flatten()?)))
                .collect(),
        })
        .collect();
    let latency = |name: &str, which: fn((f64, f64)) -> f64| Line {
        name: name.to_owned(),
        points: report.samples.iter().filter_map(|s| Some((s.at, which(s.latency_ms?)))).collect(),
    };
    let mut html = String::new();
    let title = format!("Rehearsal {}, seed {}", report.scenario, report.seed);
    // Writing to a string cannot fail.
    let _ = write!(
        html,
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n<title>{title}</title>\n<style>\n\
         body {{ font: 15px/1.45 sans-serif; max-width: 980px; margin: 1.5em auto; padding: 0 1em; color: #222 }}\n\
         h1 {{ font-size: 1.5em; margin-bottom: 0 }} h2 {{ font-size: 1.15em; margin: 1.6em 0 .4em }}\n\
         .verdict {{ padding: .6em .9em; border-left: 6px solid; font-weight: bold }}\n\
         .kept {{ background: #e7f4e7; border-color: #3c8c3c }} .broken {{ background: #fbe6e3; border-color: #b3261e }}\n\
         .void {{ background: #f6f0d8; border-color: #a98600 }}\n\
         table {{ border-collapse: collapse; width: 100% }}\n\
         th, td {{ text-align: left; padding: .25em .7em .25em 0; border-bottom: 1px solid #ddd; vertical-align: top }}\n\
         td.n, th.n {{ text-align: right }} pre {{ font-size: 12px; overflow-x: auto; background: #f5f5f5; padding: .6em }}\n\
         figure {{ margin: .6em 0 }} svg {{ max-width: 100%; height: auto }}\n</style></head><body>\n\
         <h1>{title}</h1>\n<p>{}</p>\n<p class=\"verdict {class}\">{}</p>\n",
        escape(&report.about),
        escape(&verdict),
        title = escape(&title),
    );
    figures(&mut html, report);
    html.push_str("<h2>Over time</h2>\n");
    html.push_str(&service(report));
    let lines =
        vec![latency("worst of the second", |(_, worst)| worst), latency("median", |(median, _)| median)];
    html.push_str(&over_time(report, "Latency from the intended send, ms, by the second of delivery", lines));
    let lines = vec![
        line("calls in flight", &|sample| f64::from(sample.out)),
        line("messages owed an end", &|sample| sample.owed as f64),
    ];
    html.push_str(&over_time(report, "In flight", lines));
    let lines = vec![
        line("calls a second", &|sample| sample.calls as f64),
        line("turned away", &|sample| sample.refused as f64),
    ];
    html.push_str(&over_time(report, "Calls and refusals", lines));
    html.push_str(&over_time(report, "Memory of the couriers, MiB", memory));
    html.push_str(&percentiles(report));
    breaches(&mut html, report);
    html.push_str("</body></html>\n");
    html
}

fn figures(html: &mut String, report: &Report) {
    let crate::Report { service, counts, late_clients, late_partners, .. } = report;
    let rows = [
        ("Service kept", format!("{:.3} (floor {:.2})", service.combined, report.floor)),
        (
            "... of the whole, the worst 10 s, the worst class",
            format!("{:.3}, {:.3}, {:.3}", service.whole_run, service.worst_window, service.worst_class),
        ),
        ("Messages meant to be sent, delivered", format!("{}, {}", counts.messages, counts.delivered)),
        (
            "Ended as failed, returned, refused at once",
            format!("{}, {}, {}", counts.failed, counts.returned, counts.busy),
        ),
        (
            "Calls at partners, turned away, connections",
            format!("{}, {}, {}", counts.calls, counts.refused, counts.connections),
        ),
        (
            "The kit itself was late by (99 in 100; clients, partners)",
            format!("{:.1} ms, {:.1} ms", late_clients.p99, late_partners.p99),
        ),
    ];
    html.push_str("<h2>Figures</h2>\n<table>\n");
    for (name, value) in rows {
        let _ = writeln!(html, "<tr><td>{name}</td><td>{}</td></tr>", escape(&value));
    }
    html.push_str("</table>\n<h2>Latency from the intended send, ms</h2>\n<table><tr><th>class</th>");
    for name in ["delivered", "p50", "p90", "p99", "p99.9", "max"] {
        let _ = write!(html, "<th class=\"n\">{name}</th>");
    }
    html.push_str("</tr>\n");
    let all = [("all".to_owned(), report.latency)];
    for (name, latency) in all.iter().chain(&report.latency_of) {
        let _ = write!(html, "<tr><td>{}</td>", escape(name));
        for value in [latency.count, latency.p50, latency.p90, latency.p99, latency.p999, latency.max] {
            let _ = write!(html, "<td class=\"n\">{value}</td>");
        }
        html.push_str("</tr>\n");
    }
    html.push_str("</table>\n");
    if !report.faults.is_empty() {
        html.push_str("<h2>Faults</h2>\n<table><tr><th>name</th><th class=\"n\">from, s</th><th class=\"n\">to, s</th></tr>\n");
        for fault in &report.faults {
            let _ = writeln!(
                html,
                "<tr><td>{}</td><td class=\"n\">{:.1}</td><td class=\"n\">{:.1}</td></tr>",
                escape(&fault.name),
                fault.from,
                fault.to
            );
        }
        html.push_str("</table>\n");
    }
    for remark in &report.remarks {
        let _ = writeln!(html, "<p>Note: {}</p>", escape(remark));
    }
}

fn breaches(html: &mut String, report: &Report) {
    html.push_str("<h2>Breaches</h2>\n");
    if report.breaches.is_empty() {
        html.push_str("<p>None.</p>\n");
        return;
    }
    html.push_str(
        "<table><tr><th class=\"n\">at, s</th><th>rule</th><th>courier</th><th>what happened</th></tr>\n",
    );
    for breach in report.breaches.iter().take(SHOWN) {
        let _ = writeln!(
            html,
            "<tr><td class=\"n\">{:.3}</td><td title=\"{}\">{}</td><td>{}</td><td>{}{}<details><summary>{} trace \
             lines</summary><p>{}</p><pre>{}</pre></details></td></tr>",
            breach.at,
            escape(breach.words),
            breach.rule.name(),
            breach.courier,
            breach.message.map(|message| format!("message {message}: ")).unwrap_or_default(),
            escape(&breach.what),
            breach.proof.len(),
            escape(breach.words),
            escape(&breach.proof.join("\n")),
        );
    }
    html.push_str("</table>\n");
    let all: u64 = report.broken.values().sum();
    if all > SHOWN as u64 {
        let _ = writeln!(html, "<p>{SHOWN} of {all} are shown.</p>");
    }
}
