//! Splits long lists into chunks that fit into one record each.

#[cfg(test)]
mod tests;

/// Splits entries into chunks of at most `max_len`, keeping their order. Each chunk allocates memory for its own entries
/// only: if each one kept capacity for all entries behind it, the memory for all chunks would grow quadratically.
pub(crate) fn into_chunks<T>(entries: Vec<T>, max_len: usize) -> impl Iterator<Item = Vec<T>> {
    let mut rest = entries.into_iter();
    std::iter::from_fn(move || {
        let chunk: Vec<T> = rest.by_ref().take(max_len).collect();
        (!chunk.is_empty()).then_some(chunk)
    })
}
