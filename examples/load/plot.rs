//! SVG chart of attainment over time.

use std::fs;

use plotters::prelude::*;

use crate::{drive::Outcome, report, workload::Workload};

const OUTPUT_DIR: &str = "target/load";
/// Width and height in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 360);
const BUCKET_SECONDS: f64 = 1.0;

/// Writes a chart of the share of requests within their targets, per class and second of sending.
pub fn attainment(
    workload: &Workload,
    policy: &str,
    seed: u64,
    outcome: &Outcome,
) -> anyhow::Result<()> {
    fs::create_dir_all(OUTPUT_DIR)?;
    let path = format!("{OUTPUT_DIR}/{}-{policy}-{seed}.svg", workload.name);
    let root = SVGBackend::new(&path, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = workload.length.as_secs_f64();
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} under {policy}", workload.name), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds, 0.0..100.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("% within target").draw()?;
    for (i, class) in workload.classes.iter().enumerate() {
        let points = (0..seconds as usize).filter_map(|second| {
            let from = second as f64 * BUCKET_SECONDS;
            let sent = outcome.results.iter().filter(|result| {
                let at = result.sent.as_secs_f64();
                workload.arrivals[result.arrival].class == i
                    && at >= from
                    && at < from + BUCKET_SECONDS
            });
            let (mut all, mut attained) = (0_u32, 0_u32);
            for result in sent {
                all += 1;
                attained += u32::from(report::meets_targets(class, result));
            }
            (all > 0).then(|| (from, 100.0 * f64::from(attained) / f64::from(all)))
        });
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(class.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
