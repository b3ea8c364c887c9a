//! Guards against a change of the schema without regenerated code.
//!
//! Run with `WINCH_UPDATE_GENERATED=1` to regenerate the code. The test is in
//! this crate and not in the workspace's test program, because after a change of
//! the schema that program may not compile until the code is regenerated.

use std::path::Path;

/// Path of the committed code, relative to the crate.
const GENERATED_PATH: &str = "src/generated/winch.operator.v1.rs";

fn generate() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["operator.proto"], [root.join("../../proto")])
        .expect("the schema is valid");
    let folder = tempfile::tempdir().expect("a temporary folder");
    tonic_prost_build::configure()
        .out_dir(folder.path())
        .compile_fds(files)
        .expect("code can be generated");
    let file = folder.path().join("winch.operator.v1.rs");
    std::fs::read_to_string(file).expect("the generated file")
}

#[test]
fn committed_code_matches_the_schema() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(GENERATED_PATH);

    let generated = generate();

    if std::env::var_os("WINCH_UPDATE_GENERATED").is_some() {
        std::fs::write(&path, &generated).expect("the committed file can be written");
    }
    let committed = std::fs::read_to_string(&path).expect("the committed file");
    assert!(
        committed == generated,
        "{GENERATED_PATH} is stale; run this test with WINCH_UPDATE_GENERATED=1"
    );
}
