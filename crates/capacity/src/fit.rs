//! A straight line through measured points, and how far they lie from it.

/// A line fitted by least squares of relative distances, so that small sizes count as much as large ones.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// Value at nothing.
    pub base: f64,
    /// Value more for each unit.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the point.
    pub max_deviation: f64,
    /// The points, by size.
    pub points: Vec<(f64, f64)>,
}

/// A figure at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Value {
    /// The figure.
    pub value: f64,
    /// The size lies beyond the largest that was measured.
    pub extrapolated: bool,
    /// The largest that was measured.
    pub largest: f64,
}

/// Points that a line needs at least: two always lie on one.
pub const MIN_POINTS: usize = 3;
/// Distance from the line from which a fit counts as bent.
pub const MAX_DEVIATION: f64 = 0.15;

/// The line through points, of which there must be three sizes at least.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let mut points = points.to_vec();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    sizes.dedup();
    if sizes.len() < MIN_POINTS || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    // Weighted by 1/y^2; figures of nothing weigh as the least that is more, or all alike.
    let least = points.iter().map(|p| p.1.abs()).filter(|y| *y > 0.0).fold(f64::INFINITY, f64::min);
    let least = if least.is_finite() { least } else { 1.0 };
    let weight = |y: f64| y.abs().max(least).powi(-2);
    let sum = |of: &dyn Fn(f64, f64) -> f64| points.iter().map(|(x, y)| weight(*y) * of(*x, *y)).sum::<f64>();
    let (n, sx, sy) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
    let (sxx, sxy) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
    let slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let base = (sy - slope * sx) / n;
    let worst =
        points.iter().map(|(x, y)| (base + slope * x - y).abs() / y.abs().max(least)).fold(0.0, f64::max);
    Some(Fit { base, slope, max_deviation: worst, points })
}

impl Fit {
    /// Points lie off the line by more than measurement explains.
    pub fn is_nonlinear(&self) -> bool {
        self.max_deviation > MAX_DEVIATION
    }

    /// The figure at a size: between points along the straight way from one to the next; beyond the largest along the
    /// line, or along the last two points where these rise faster.
    pub fn at(&self, size: f64) -> Value {
        let (points, last) = (&self.points, self.points[self.points.len() - 1]);
        let extrapolated = size > last.0;
        let value = if extrapolated {
            let before = points.iter().rev().find(|p| p.0 < last.0).copied().unwrap_or((0.0, 0.0));
            let steep = (last.1 - before.1) / (last.0 - before.0);
            last.1 + self.slope.max(steep) * (size - last.0)
        } else {
            let after = points.iter().position(|p| p.0 >= size).unwrap_or(0);
            match after {
                0 => points[0].1 + self.slope * (size - points[0].0),
                _ => {
                    let ((x0, y0), (x1, y1)) = (points[after - 1], points[after]);
                    y0 + (y1 - y0) * if x1 > x0 { (size - x0) / (x1 - x0) } else { 1.0 }
                }
            }
        };
        Value { value: value.max(0.0), extrapolated, largest: last.0 }
    }
}
