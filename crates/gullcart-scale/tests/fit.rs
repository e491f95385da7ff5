//! Fits of points whose law is known.

use gullcart_scale::{Fit, FitError, Measurement, Point};

fn points(law: impl Fn(f64) -> f64) -> Vec<Point> {
    [100.0, 1_000.0, 10_000.0, 100_000.0]
        .into_iter()
        .map(|size| Point { size, value: law(size), samples: 1 })
        .collect()
}

#[test]
fn a_line_gives_its_slope_and_no_error() {
    let fit = Fit::of(&points(|size| 500.0 + 3.0 * size)).unwrap();
    assert!((fit.slope - 3.0).abs() < 1e-9);
    assert!((fit.intercept - 500.0).abs() < 1e-6);
    assert!(fit.slope_error < 1e-9);
    assert!(!fit.is_extrapolated_at(100_000.0));
    assert!(fit.is_extrapolated_at(100_001.0));
}

#[test]
fn a_square_shows_in_the_exponent() {
    let fit = Fit::of(&points(|size| 2.0 * size * size)).unwrap();
    assert!((fit.exponent.unwrap() - 2.0).abs() < 1e-9);
    assert!(fit.worst_relative_residual > 0.5, "a line does not go through a square");
}

#[test]
fn noise_shows_in_the_error() {
    let noisy = points(|size| 3.0 * size * if size > 5_000.0 { 1.1 } else { 0.9 });
    let fit = Fit::of(&noisy).unwrap();
    assert!(fit.slope_error > 0.05);
    assert!((fit.slope - 3.0).abs() < 3.0 * fit.slope_error);
}

#[test]
fn too_few_or_equal_sizes_have_no_fit() {
    let two = points(|size| size)[..2].to_vec();
    assert_eq!(Fit::of(&two), Err(FitError::TooFew));
    let same = vec![Point { size: 5.0, value: 1.0, samples: 1 }; 4];
    assert_eq!(Fit::of(&same), Err(FitError::Degenerate));
    assert!(Measurement::new("memory", "bytes", "endpoints", same).is_err());
}
