//! A plot of the worth by load.

use std::path::Path;

use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea as _,
    prelude::SVGBackend,
    series::LineSeries,
    style::{
        BLACK,
        Color as _,
        Palette as _,
        Palette99,
        WHITE, //
    },
};

use crate::{
    error::Error,
    experiment::Measurement, //
};

/// Width and height, in pixels.
const SIZE: (u32, u32) = (800, 500);

/// Draws the mean worth of each policy by load.
///
/// # Errors
///
/// [`Error::Plot`].
pub fn draw(
    path: &Path,
    title: &str,
    policies: &[&str],
    measurements: &[Measurement],
) -> Result<(), Error> {
    try_draw(path, title, policies, measurements).map_err(|cause| Error::Plot {
        cause: cause.to_string().into(),
        path: path.into(),
    })
}

/// Mean worth of a policy by load.
pub fn series(policy: &str, measurements: &[Measurement]) -> Vec<(f64, f64)> {
    let mut points: Vec<(f64, f64, f64)> = Vec::new();
    let own = measurements.iter();
    for measurement in own.filter(|measurement| measurement.policy == policy) {
        match points.iter_mut().find(|point| point.0 == measurement.load) {
            Some(point) => {
                point.1 += measurement.worth;
                point.2 += 1.0;
            }
            None => points.push((measurement.load, measurement.worth, 1.0)),
        }
    }
    let means = points.into_iter();
    means
        .map(|(load, sum, count)| (load, sum / count))
        .collect()
}

fn try_draw(
    path: &Path,
    title: &str,
    policies: &[&str],
    measurements: &[Measurement],
) -> Result<(), Box<dyn std::error::Error>> {
    let loads = measurements.iter().map(|measurement| measurement.load);
    let highest = loads.fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..highest, 0.0..1.02)?;
    chart
        .configure_mesh()
        .x_desc("requests, relative to what can just be served")
        .y_desc("worth of the answers, as a share of what was owed")
        .draw()?;
    for (number, policy) in policies.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(series(policy, measurements), &colour))?
            .label(*policy)
            .legend(move |(x, y)| {
                plotters::element::PathElement::new([(x, y), (x + 18, y)], colour)
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
