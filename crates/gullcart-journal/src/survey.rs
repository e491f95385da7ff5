//! What a folder holds, by names and headers, before any record is read.

use crate::error::{doing, JournalError};
use crate::frame::{BadHeader, Header, Place, HEADER, VERSION};
use crate::legacy;
use crate::log::{name, sequence, SPARE};
use crate::plan::on_disk;
use crate::replay::Form;
use crate::store::Store;
use crate::window::Window;
use std::collections::BTreeMap;

/// A segment that is there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Present {
    pub sequence: u64,
    pub length: u64,
    /// None if its header cannot be read, or is of another journal.
    pub form: Option<Form>,
    pub previous_size: Option<u64>,
}

/// What a folder holds.
pub(crate) struct Survey {
    /// In the order of their sequence, without a gap.
    pub segments: Vec<Present>,
    /// Those before a gap.
    pub before_gap: Vec<Present>,
    pub leftovers: Vec<String>,
    pub identity: Option<u64>,
    pub lowest: u64,
    /// What files that are none of the journal's count as.
    pub others: u64,
}

/// Looks at the names and headers of a folder. One that a newer program wrote is an error at once.
pub(crate) fn survey<S: Store>(store: &S) -> Result<Survey, JournalError> {
    let mut found = BTreeMap::new();
    let mut leftovers = Vec::new();
    let mut others = 0;
    for (name, length) in store.list().map_err(JournalError::Folder)? {
        if let Some(sequence) = sequence(&name) {
            found.insert(sequence, length);
        } else if name == SPARE || name == legacy::HALF_MADE {
            leftovers.push(name);
        } else {
            others += on_disk(length);
        }
    }
    let mut segments: Vec<Present> = Vec::new();
    let (mut identity, mut lowest) = (None, 0);
    for (&sequence, &length) in &found {
        if sequence == 0 {
            segments.push(Present { sequence, length, form: Some(Form::Legacy), previous_size: None });
            continue;
        }
        let header = header(store, sequence)?.filter(|header| {
            let own = *identity.get_or_insert(header.place.identity);
            header.place == Place { identity: own, sequence }
        });
        lowest = lowest.max(header.map_or(0, |header| header.lowest));
        segments.push(Present {
            sequence,
            length,
            form: header.map(|header| Form::Segment(header.place)),
            previous_size: header.map(|header| header.previous_size),
        });
    }
    // Segments that were removed may be back after the machine failed; those that are needed have no gap.
    let gap = segments.windows(2).rposition(|two| two[1].sequence != two[0].sequence + 1);
    let before_gap: Vec<Present> = gap.map_or(Vec::new(), |gap| segments.drain(..=gap).collect());
    leftovers.extend(before_gap.iter().map(|segment| name(segment.sequence)));
    Ok(Survey { segments, before_gap, leftovers, identity, lowest, others })
}

fn header<S: Store>(store: &S, sequence: u64) -> Result<Option<Header>, JournalError> {
    let file = name(sequence);
    let handle = store.open(&file).map_err(doing("open", &file))?;
    let mut window = Window::new(store, &handle);
    let bytes = window.get(0, HEADER as usize).map_err(doing("read", &file))?;
    match Header::decode(bytes.unwrap_or_default()) {
        Ok(header) => Ok(Some(header)),
        Err(BadHeader::Newer(version)) => Err(JournalError::Newer { file, version, known: VERSION }),
        Err(BadHeader::Damaged) => Ok(None),
    }
}
