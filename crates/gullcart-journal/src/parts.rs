//! Long lists cut into parts that fit one record each.

#[cfg(test)]
mod tests;

/// Cuts entries into parts of `most` at most, in their order. Each part holds room for its own entries only: parts that
/// kept the room of all entries behind them would together take memory by the square of their number.
pub(crate) fn parts<T>(entries: Vec<T>, most: usize) -> impl Iterator<Item = Vec<T>> {
    let mut rest = entries.into_iter();
    std::iter::from_fn(move || {
        let part: Vec<T> = rest.by_ref().take(most).collect();
        (!part.is_empty()).then_some(part)
    })
}
