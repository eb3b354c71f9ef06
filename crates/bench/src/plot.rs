//! the comparison as a plot.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use crate::experiment::Report;
use crate::summary::percentile;

/// size of the picture in pixels.
const SIZE: (u32, u32) = (760, 460);

/// draws the 95th percentile of program latency over the load, a line a policy.
pub fn draw(report: &Report, path: &Path) -> anyhow::Result<()> {
    draw_lines(report, path).map_err(|error| anyhow!("cannot draw {}: {error}", path.display()))
}

fn draw_lines(report: &Report, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let lines = lines(report);
    let values = || lines.iter().flat_map(|(_, points)| points.iter().map(|point| point.1));
    let most = values().fold(1.0, f64::max) * 1.2;
    let least = values().fold(most, f64::min) * 0.8;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(45.0..135.0, (least..most).log_scale())?;
    chart.configure_mesh().x_desc("load in percent of capacity").y_desc("program latency p95, s").draw()?;
    for (index, (policy, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// the points of each policy, in seconds.
fn lines(report: &Report) -> Vec<(String, Vec<(f64, f64)>)> {
    let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for cell in &report.cells {
        let mut values: Vec<f64> = cell.seeds.iter().map(|summary| summary.all.p95_ms / 1e3).collect();
        let point = (f64::from(cell.load_percent), percentile(&mut values, 0.5));
        match lines.iter_mut().find(|(policy, _)| *policy == cell.policy) {
            Some((_, points)) => points.push(point),
            None => lines.push((cell.policy.clone(), vec![point])),
        }
    }
    for (_, points) in &mut lines {
        points.sort_by(|left, right| left.0.total_cmp(&right.0));
    }
    lines
}
