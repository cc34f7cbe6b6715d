//! Table of measured points with the range of their values, and slopes fitted by least squares.

use serde::Serialize;

/// Values of one measure at one size.
#[derive(Debug, Serialize)]
struct Point {
    group: &'static str,
    measure: &'static str,
    size_name: &'static str,
    size: f64,
    unit: &'static str,
    values: Vec<f64>,
}

/// A line fitted to the medians of a measure.
#[derive(Debug, Serialize)]
struct Slope {
    group: &'static str,
    measure: &'static str,
    size_name: &'static str,
    unit: &'static str,
    sizes: usize,
    at_zero: f64,
    per_size: f64,
    /// Largest distance of a median from the line, relative to that median.
    worst_fit: f64,
}

/// Description of a measure: its name, what its size counts, and the unit of its values.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Measure {
    pub(crate) name: &'static str,
    pub(crate) size: &'static str,
    pub(crate) unit: &'static str,
}

/// Returns the description of a measure, for use in constants.
pub(crate) const fn measure(name: &'static str, size: &'static str, unit: &'static str) -> Measure {
    Measure { name, size, unit }
}

/// All points of a run, and the group that is being measured.
#[derive(Debug, Default)]
pub(crate) struct Table {
    group: &'static str,
    points: Vec<Point>,
}

impl Table {
    /// Starts a group and prints its name. Later points belong to it.
    pub(crate) fn start_group(&mut self, name: &'static str) {
        self.group = name;
        println!("\n{name}");
    }

    /// Adds a value of a measure at a size.
    pub(crate) fn add(&mut self, measure: Measure, size: f64, value: f64) {
        let group = self.group;
        let known = self.points.iter_mut().find(|point| {
            point.group == group && point.measure == measure.name && point.size == size
        });
        if let Some(point) = known {
            point.values.push(value);
            return;
        }
        self.points.push(Point {
            group,
            measure: measure.name,
            size_name: measure.size,
            size,
            unit: measure.unit,
            values: vec![value],
        });
    }

    /// Prints the points and slopes of the current group.
    pub(crate) fn print_group(&self) {
        let group = self.points.iter().filter(|point| point.group == self.group);
        for point in group {
            let (low, high) = range(&point.values);
            println!(
                "  {:<46} {:>7} {:<12} {:>12} {:<8} [{} .. {}] n={}",
                point.measure,
                point.size,
                point.size_name,
                number(median(&point.values)),
                point.unit,
                number(low),
                number(high),
                point.values.len(),
            );
        }
        for slope in self.slopes().iter().filter(|s| s.group == self.group) {
            println!(
                "  slope: {:<39} {} + {} {} per {} ({} sizes, worst fit {:.0}%)",
                slope.measure,
                number(slope.at_zero),
                number(slope.per_size),
                slope.unit,
                slope.size_name,
                slope.sizes,
                slope.worst_fit * 100.0,
            );
        }
    }

    /// Returns the points and slopes as JSON.
    pub(crate) fn to_json(&self) -> eyre::Result<String> {
        let all = serde_json::json!({ "points": self.points, "slopes": self.slopes() });
        Ok(serde_json::to_string_pretty(&all)?)
    }

    /// Returns the fitted lines of all measures that have at least three sizes.
    fn slopes(&self) -> Vec<Slope> {
        let mut slopes: Vec<Slope> = Vec::new();
        for point in &self.points {
            let is_known = |s: &Slope| s.group == point.group && s.measure == point.measure;
            if slopes.iter().any(is_known) {
                continue;
            }
            let same = self.points.iter();
            let same = same.filter(|p| p.group == point.group && p.measure == point.measure);
            let medians: Vec<(f64, f64)> = same.map(|p| (p.size, median(&p.values))).collect();
            if medians.len() < 3 {
                continue;
            }
            let (at_zero, per_size) = fit(&medians);
            let misfit = |(x, y): &(f64, f64)| (at_zero + per_size * x - y).abs() / y.abs();
            slopes.push(Slope {
                group: point.group,
                measure: point.measure,
                size_name: point.size_name,
                unit: point.unit,
                sizes: medians.len(),
                at_zero,
                per_size,
                worst_fit: medians.iter().map(misfit).fold(0.0, f64::max),
            });
        }
        slopes
    }
}

/// Returns the intercept and the slope of the least-squares line through `points`.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    (mean_y - slope * mean_x, slope)
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        return sorted[middle];
    }
    (sorted[middle - 1] + sorted[middle]) / 2.0
}

fn range(values: &[f64]) -> (f64, f64) {
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (low, high)
}

fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.01 || size == 0.0 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}
