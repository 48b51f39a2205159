//! Draws attainment over time with the events marked.

use std::path::Path;

use anyhow::Context;
use plotters::chart::SeriesAnno;
use plotters::prelude::*;

use super::report::{Report, Second, share};

/// Size of the picture in pixels.
const SIZE: (u32, u32) = (1200, 600);

/// Seconds that one point covers, so that one late answer of a small organisation does not
/// look like an outage.
const POINT_SECONDS: usize = 2;

/// Writes the plot as SVG: a thick line for all organisations, a thin one for each.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn draw(path: &Path, report: &Report) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!(
        "{}: attainment inside the rate, seed {}",
        report.scenario, report.seed
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..report.duration_s, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("arrival, seconds since the start")
        .y_desc("answered whole within the deadline, %")
        .draw()?;
    for (index, event) in report.events.iter().enumerate() {
        let line = [(event.at_s, 0.0), (event.at_s, 105.0)];
        chart.draw_series(LineSeries::new(line, BLACK.mix(0.4).stroke_width(1)))?;
        // Labels take turns in height, so that events close together stay legible.
        let height = 4.0 + 5.0 * (index % 6) as f64;
        let label = Text::new(
            event.label.clone(),
            (event.at_s, height),
            ("sans-serif", 12),
        );
        chart.draw_series([label])?;
    }
    for (index, name) in report.organisations.keys().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = points(&report.timeline, |second| {
            second.organisations.get(name).copied().unwrap_or_default()
        });
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(1)))?;
        add_legend(series, name, colour);
    }
    let all = points(&report.timeline, |second| {
        (second.sent_inside, second.attained_inside)
    });
    let series = chart.draw_series(LineSeries::new(all, BLACK.stroke_width(3)))?;
    add_legend(series, "all", BLACK.to_rgba());
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present().context("the picture was not written")
}

fn add_legend(series: &mut SeriesAnno<'_, SVGBackend<'_>>, name: &str, colour: RGBAColor) {
    let swatch = move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2));
    series.label(name).legend(swatch);
}

/// Returns time and percentage for each set of seconds in which something was sent.
fn points(timeline: &[Second], counts: impl Fn(&Second) -> (usize, usize)) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for (index, seconds) in timeline.chunks(POINT_SECONDS).enumerate() {
        let (mut sent, mut attained) = (0, 0);
        for second in seconds {
            let (more_sent, more_attained) = counts(second);
            sent += more_sent;
            attained += more_attained;
        }
        if sent > 0 {
            let middle = (index * POINT_SECONDS) as f64 + seconds.len() as f64 / 2.0;
            points.push((middle, share(attained, sent) * 100.0));
        }
    }
    points
}
