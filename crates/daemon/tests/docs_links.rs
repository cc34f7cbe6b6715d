//! Checks that the links between documentation pages have existing targets.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

fn pages() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut pages = vec![
        root.join("README.md"),
        root.join("examples/sfax/README.md"),
        root.join("examples/amman/README.md"),
    ];
    let docs = fs::read_dir(root.join("docs")).unwrap();
    pages.extend(docs.map(|file| file.unwrap().path()));
    pages.retain(|path| path.extension().is_some_and(|extension| extension == "md"));
    pages
}

/// Returns the anchors that a renderer generates for the headings of a page.
fn anchors(text: &str) -> Vec<String> {
    let headings = text.lines().filter(|line| line.starts_with('#'));
    let words = headings.map(|line| line.trim_start_matches('#').trim().to_lowercase());
    let kept = |c: &char| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_');
    words
        .map(|words| words.chars().filter(kept).collect::<String>())
        .map(|anchor| anchor.replace(' ', "-"))
        .collect()
}

// Guards against links to pages or headings that were renamed or removed.
#[test]
fn links_exist() {
    let mut checked = 0;
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for (offset, _) in text.match_indices("](") {
            let target = text[offset + 2..].split(')').next().unwrap();
            let (file, anchor) = target.split_once('#').unwrap_or((target, ""));
            if file.contains("://") {
                continue;
            }
            let path = match file {
                "" => page.clone(),
                _ => page.parent().unwrap().join(file),
            };
            let page = page.display();
            assert!(path.exists(), "{page}: {target}");
            if !anchor.is_empty() {
                let headings = anchors(&fs::read_to_string(&path).unwrap());
                assert!(headings.contains(&anchor.to_owned()), "{page}: {target}");
            }
            checked += 1;
        }
    }
    assert!(checked > 20, "only {checked} links were found");
}
