//! What a quantity costs by size: a straight line for the slope, a power law for how it grows.

use crate::record::Point;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Fewer sizes than this say nothing of how a quantity grows.
const LEAST_POINTS: usize = 3;
/// How far a stored fit may be from the one worked out again.
const TOLERANCE: f64 = 1e-9;

/// Two fits of the same points.
///
/// The line is weighted by the inverse square of the values, so that small sizes count as much as large ones: what is
/// minimised is the relative error.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The line's value at size zero.
    pub intercept: f64,
    /// The line's growth with each one of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Exponent of the power law; none where a value is zero or less.
    pub exponent: Option<f64>,
    /// Standard error of the exponent.
    pub exponent_error: Option<f64>,
    /// Largest relative distance of a point from the line.
    pub worst_relative_residual: f64,
    /// The largest size measured: beyond it the line is an extrapolation.
    pub largest_size: f64,
}

/// Why points have no fit.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FitError {
    /// Too few sizes.
    #[error("a fit needs {LEAST_POINTS} sizes or more")]
    TooFew,
    /// Not numbers, or sizes that are all the same.
    #[error("the points are not numbers, or are all of one size")]
    Degenerate,
}

/// A weighted straight line.
struct Line {
    intercept: f64,
    slope: f64,
    slope_error: f64,
}

impl Fit {
    /// The fit of some points.
    pub fn of(points: &[Point]) -> Result<Fit, FitError> {
        if points.len() < LEAST_POINTS {
            return Err(FitError::TooFew);
        }
        if points.iter().any(|point| !point.size.is_finite() || !point.value.is_finite()) {
            return Err(FitError::Degenerate);
        }
        let weighted: Vec<(f64, f64, f64)> =
            points.iter().map(|point| (point.size, point.value, weight(point.value))).collect();
        let line = Line::through(&weighted).ok_or(FitError::Degenerate)?;
        let power = power_law(points);
        let residual = |point: &Point| {
            let expected = line.intercept + line.slope * point.size;
            (point.value - expected).abs() / point.value.abs().max(f64::MIN_POSITIVE)
        };
        Ok(Fit {
            intercept: line.intercept,
            slope: line.slope,
            slope_error: line.slope_error,
            exponent: power.as_ref().map(|power| power.slope),
            exponent_error: power.as_ref().map(|power| power.slope_error),
            worst_relative_residual: points.iter().map(residual).fold(0.0, f64::max),
            largest_size: points.iter().map(|point| point.size).fold(0.0, f64::max),
        })
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Whether a size lies beyond all that was measured.
    pub fn is_extrapolated_at(&self, size: f64) -> bool {
        size > self.largest_size
    }

    /// Whether two fits are the same but for rounding.
    pub fn is_close_to(&self, other: &Fit) -> bool {
        let close =
            |left: f64, right: f64| (left - right).abs() <= TOLERANCE * left.abs().max(right.abs()).max(1.0);
        close(self.intercept, other.intercept)
            && close(self.slope, other.slope)
            && close(self.slope_error, other.slope_error)
            && close(self.exponent.unwrap_or(0.0), other.exponent.unwrap_or(0.0))
            && close(self.largest_size, other.largest_size)
    }
}

impl Line {
    /// The line through points of (x, y, weight); none where all have one x.
    fn through(points: &[(f64, f64, f64)]) -> Option<Line> {
        let total: f64 = points.iter().map(|(_, _, weight)| weight).sum();
        let mean_x = points.iter().map(|(x, _, weight)| weight * x).sum::<f64>() / total;
        let mean_y = points.iter().map(|(_, y, weight)| weight * y).sum::<f64>() / total;
        let spread: f64 = points.iter().map(|(x, _, weight)| weight * (x - mean_x).powi(2)).sum();
        if spread <= 0.0 || !spread.is_finite() {
            return None;
        }
        let together: f64 = points.iter().map(|(x, y, weight)| weight * (x - mean_x) * (y - mean_y)).sum();
        let slope = together / spread;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 =
            points.iter().map(|(x, y, weight)| weight * (y - intercept - slope * x).powi(2)).sum();
        let freedom = (points.len() - 2) as f64;
        Some(Line { intercept, slope, slope_error: (squares / freedom / spread).sqrt() })
    }
}

fn weight(value: f64) -> f64 {
    if value == 0.0 {
        1.0
    } else {
        value.powi(-2)
    }
}

fn power_law(points: &[Point]) -> Option<Line> {
    if points.iter().any(|point| point.size <= 0.0 || point.value <= 0.0) {
        return None;
    }
    let logs: Vec<(f64, f64, f64)> =
        points.iter().map(|point| (point.size.ln(), point.value.ln(), 1.0)).collect();
    Line::through(&logs)
}
