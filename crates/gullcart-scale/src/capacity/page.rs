//! The page: prose with rendered blocks and spans. No digit of it stands outside of them.
//!
//! A block is all lines between `<!-- capacity:NAME -->` and `<!-- /capacity -->`; a span is what stands between
//! `<!--=NAME-->` and `<!--/-->` within a line. Both are replaced by what is worked out under their name.

use super::workbook::CapacityError;
use std::collections::BTreeMap;

const BLOCK_START: &str = "<!-- capacity:";
const BLOCK_END: &str = "<!-- /capacity -->";
const SPAN_START: &str = "<!--=";
const SPAN_END: &str = "<!--/-->";
const COMMENT_END: &str = "-->";
/// Words that would be figures by hand.
const FIGURE_WORDS: [&str; 12] = [
    "hundred", "thousand", "million", "billion", "dozen", "percent", "half", "twice", "thrice", "tenfold",
    "tenth", "third",
];

/// What can stand in the page, by name.
#[derive(Debug, Default)]
pub struct Rendered {
    /// Blocks of whole lines, each with its last line break.
    pub blocks: BTreeMap<String, String>,
    /// Parts of a line.
    pub spans: BTreeMap<String, String>,
}

/// The page with every block and span replaced. An error tells of a figure by hand, of a name that nothing renders, or of
/// a marker without its end.
pub fn fill(page: &str, rendered: &Rendered) -> Result<String, CapacityError> {
    let mut filled = String::new();
    let mut block: Option<(usize, String)> = None;
    for (index, line) in page.lines().enumerate() {
        let line_number = index + 1;
        let fault = |fault: String| CapacityError::Page { line: line_number, fault };
        if let Some(name) = block_name(line) {
            if let Some((start, open)) = &block {
                return Err(fault(format!("block {open} of line {start} has no end")));
            }
            let text =
                rendered.blocks.get(name).ok_or_else(|| fault(format!("nothing renders block {name}")))?;
            filled.push_str(&format!("{line}\n{text}{BLOCK_END}\n"));
            block = Some((line_number, name.to_owned()));
        } else if line == BLOCK_END {
            block.take().ok_or_else(|| fault("an end without its block".to_owned()))?;
        } else if block.is_none() {
            filled.push_str(&fill_line(line, rendered).map_err(fault)?);
            filled.push('\n');
        }
    }
    match block {
        Some((line, name)) => Err(CapacityError::Page { line, fault: format!("block {name} has no end") }),
        None => Ok(filled),
    }
}

fn block_name(line: &str) -> Option<&str> {
    line.strip_prefix(BLOCK_START)?.strip_suffix(COMMENT_END).map(str::trim)
}

fn fill_line(line: &str, rendered: &Rendered) -> Result<String, String> {
    let mut filled = String::new();
    let mut rest = line;
    while let Some((prose, marked)) = rest.split_once(SPAN_START) {
        check_prose(prose)?;
        let (name, value) = marked.split_once(COMMENT_END).ok_or("a span without a name")?;
        let (_, behind) = value.split_once(SPAN_END).ok_or_else(|| format!("span {name} has no end"))?;
        let text = rendered.spans.get(name).ok_or_else(|| format!("nothing renders span {name}"))?;
        filled.push_str(&format!("{prose}{SPAN_START}{name}{COMMENT_END}{text}{SPAN_END}"));
        rest = behind;
    }
    check_prose(rest)?;
    filled.push_str(rest);
    Ok(filled)
}

fn check_prose(prose: &str) -> Result<(), String> {
    if prose.contains(|character: char| character.is_numeric()) {
        return Err(format!("a figure by hand in '{}'", prose.trim()));
    }
    let mut words = prose.split(|character: char| !character.is_alphabetic());
    match words.find(|word| FIGURE_WORDS.contains(&word.to_lowercase().trim_end_matches('s'))) {
        Some(word) => Err(format!("a figure in words, '{word}', in '{}'", prose.trim())),
        None => Ok(()),
    }
}
