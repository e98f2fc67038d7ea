//! Fits a straight line to measured points and computes how far they deviate from it.

/// A line fitted by least squares of relative deviations, so that small sizes count as much as large ones.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Largest deviation of a point from the line, as a share of the point's value.
    pub max_deviation: f64,
    /// The measured points (size, value), in ascending order of size.
    pub points: Vec<(f64, f64)>,
}

/// The value of a figure at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Value {
    /// The value.
    pub value: f64,
    /// Whether the size exceeds the largest measured one.
    pub extrapolated: bool,
    /// The largest measured size.
    pub largest_measured: f64,
}

/// Minimum number of different sizes for a fit: two points always lie on a line.
pub const MIN_POINTS: usize = 3;
/// Largest deviation, as a share of the point's value, up to which a series counts as linear.
pub const MAX_DEVIATION: f64 = 0.15;

/// Fits a line to points (size, value). Returns `None` if there are fewer than [`MIN_POINTS`] different sizes or a
/// number is not finite.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let mut points = points.to_vec();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
    sizes.dedup();
    if sizes.len() < MIN_POINTS || points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
        return None;
    }
    // Weights are 1/y^2. A value of 0 has the weight of the smallest other one; if all are 0, weights are equal.
    let smallest = points.iter().map(|p| p.1.abs()).filter(|y| *y > 0.0).fold(f64::INFINITY, f64::min);
    let smallest = if smallest.is_finite() { smallest } else { 1.0 };
    let weight = |y: f64| y.abs().max(smallest).powi(-2);
    let sum =
        |term: &dyn Fn(f64, f64) -> f64| points.iter().map(|(x, y)| weight(*y) * term(*x, *y)).sum::<f64>();
    let (n, sx, sy) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
    let (sxx, sxy) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
    let slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let intercept = (sy - slope * sx) / n;
    let max_deviation = points
        .iter()
        .map(|(x, y)| (intercept + slope * x - y).abs() / y.abs().max(smallest))
        .fold(0.0, f64::max);
    Some(Fit { intercept, slope, max_deviation, points })
}

impl Fit {
    /// Whether points deviate from the line by more than measurement noise.
    pub fn is_nonlinear(&self) -> bool {
        self.max_deviation > MAX_DEVIATION
    }

    /// The value at a size. Between two points it is interpolated linearly. Beyond the largest it is extrapolated by
    /// the slope of the line, or of the last two points if that is steeper.
    pub fn value_at(&self, size: f64) -> Value {
        let (points, last) = (&self.points, self.points[self.points.len() - 1]);
        let extrapolated = size > last.0;
        let value = if extrapolated {
            let previous = points.iter().rev().find(|p| p.0 < last.0).copied().unwrap_or((0.0, 0.0));
            let last_slope = (last.1 - previous.1) / (last.0 - previous.0);
            last.1 + self.slope.max(last_slope) * (size - last.0)
        } else {
            let next = points.iter().position(|p| p.0 >= size).unwrap_or(0);
            match next {
                0 => points[0].1 + self.slope * (size - points[0].0),
                _ => {
                    let ((x0, y0), (x1, y1)) = (points[next - 1], points[next]);
                    y0 + (y1 - y0) * if x1 > x0 { (size - x0) / (x1 - x0) } else { 1.0 }
                }
            }
        };
        Value { value: value.max(0.0), extrapolated, largest_measured: last.0 }
    }
}
