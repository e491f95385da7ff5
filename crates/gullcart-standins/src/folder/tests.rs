use super::*;

#[test]
fn restoring_a_copy_replaces_later_contents() {
    let folder = std::env::temp_dir().join(format!("gullcart-copy-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("a"), "old").unwrap();
    let copy = FolderCopy::take(&folder).unwrap();
    fs::write(folder.join("a"), "new").unwrap();
    fs::write(folder.join("b"), "new").unwrap();
    copy.restore().unwrap();
    assert_eq!(fs::read(folder.join("a")).unwrap(), b"old");
    assert!(!folder.join("b").exists());
    clear_folder(&folder).unwrap();
    assert_eq!(fs::read_dir(&folder).unwrap().count(), 0);
    fs::remove_dir_all(&folder).unwrap();
}
