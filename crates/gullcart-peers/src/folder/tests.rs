use super::*;

struct Dir(std::path::PathBuf);
impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_folder_knows_itself_and_a_copy_is_another() {
    let dir = Dir(std::env::temp_dir().join(format!("gullcart-keep-{}", std::process::id())));
    let path = dir.0.join("group");
    let (mut keep, origin, _) = Keep::open(&path, 1 << 20, 7, None).unwrap();
    assert!(matches!(origin, Origin::New(_)));
    let first = origin.passport();
    keep.passport(&first).unwrap();
    assert!(matches!(Keep::open(&path, 1 << 20, 8, None), Err(KeepError::Folder(_))), "it is locked");
    drop(keep);
    let copy = gullcart_standins::folder::Copy::take(&path).unwrap();
    let (keep, origin, _) = Keep::open(&path, 1 << 20, 8, None).unwrap();
    assert!(matches!(&origin, Origin::Same(now) if now.birth == first.birth && now.life.0 == 2));
    drop(keep);
    copy.put_back().unwrap();
    let (_keep, origin, _) = Keep::open(&path, 1 << 20, 9, None).unwrap();
    assert!(matches!(origin, Origin::Copied(_)), "{origin:?}");
}
