//! Plots attainment over time, with a mark at each event.

use std::path::Path;

use anyhow::Context;
use plotters::chart::SeriesAnno;
use plotters::prelude::*;

use super::report::{Report, TimelineSecond, share};

/// Width and height of the plot in pixels.
const SIZE_PIXELS: (u32, u32) = (1200, 600);

/// Number of seconds that each point of a line covers. With shorter points a single late answer
/// of an organisation with few requests would look like an outage.
const SECONDS_PER_POINT: usize = 2;

/// Writes the plot as SVG, with a thin line for each organisation and a thick one for all
/// together.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn draw(path: &Path, report: &Report) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
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
        // Labels alternate between six heights, so that those of close events stay legible.
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
        let points = attainment_points(&report.timeline, |second| {
            second.organisations.get(name).copied().unwrap_or_default()
        });
        let series = chart.draw_series(LineSeries::new(points, colour.stroke_width(1)))?;
        add_legend(series, name, colour);
    }
    let all = attainment_points(&report.timeline, |second| {
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
    root.present().context("cannot write the SVG file")
}

/// Adds the name and colour of a line to the legend.
fn add_legend(series: &mut SeriesAnno<'_, SVGBackend<'_>>, name: &str, colour: RGBAColor) {
    let swatch = move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2));
    series.label(name).legend(swatch);
}

/// Returns the points of one line: the middle of each interval of [`SECONDS_PER_POINT`] in which
/// requests were sent, in seconds since the start, and the attainment in percent. `counts`
/// returns the requests sent and attained in a second.
fn attainment_points(
    timeline: &[TimelineSecond],
    counts: impl Fn(&TimelineSecond) -> (usize, usize),
) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for (index, seconds) in timeline.chunks(SECONDS_PER_POINT).enumerate() {
        let (mut sent, mut attained) = (0, 0);
        for second in seconds {
            let (more_sent, more_attained) = counts(second);
            sent += more_sent;
            attained += more_attained;
        }
        if sent > 0 {
            let middle = (index * SECONDS_PER_POINT) as f64 + seconds.len() as f64 / 2.0;
            points.push((middle, share(attained, sent) * 100.0));
        }
    }
    points
}
