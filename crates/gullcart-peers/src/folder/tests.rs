use super::*;

struct Dir(std::path::PathBuf);
impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_restart_is_recognized_and_a_copy_of_the_folder_gets_a_new_identity() {
    let dir = Dir(std::env::temp_dir().join(format!("gullcart-keep-{}", std::process::id())));
    let path = dir.0.join("group");
    let (mut folder, origin, _) = GroupFolder::open(&path, 1 << 20, 7, None).unwrap();
    assert!(matches!(origin, FolderOrigin::New(_)));
    let first = origin.into_identity();
    folder.save_identity(&first).unwrap();
    assert!(matches!(GroupFolder::open(&path, 1 << 20, 8, None), Err(FolderError::Io(_))), "it is locked");
    drop(folder);
    let copy = gullcart_standins::folder::FolderCopy::take(&path).unwrap();
    let (folder, origin, _) = GroupFolder::open(&path, 1 << 20, 8, None).unwrap();
    assert!(
        matches!(&origin, FolderOrigin::Unchanged(restarted) if restarted.folder_id == first.folder_id && restarted.incarnation.0 == 2)
    );
    drop(folder);
    copy.restore().unwrap();
    let (_folder, origin, _) = GroupFolder::open(&path, 1 << 20, 9, None).unwrap();
    assert!(matches!(origin, FolderOrigin::Copied(_)), "{origin:?}");
}
