//! Compiles the schemas in `proto/` into a descriptor set that the crate embeds.

use std::{env, error::Error, fs, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let schemas = Path::new(&env::var("CARGO_MANIFEST_DIR")?).join("../../proto");
    println!("cargo:rerun-if-changed={}", schemas.display());
    let mut compiler = protox::Compiler::new([&schemas])?;
    compiler
        .include_imports(true)
        .open_files(["ivyward.proto", "day.proto", "history.proto"].map(|name| schemas.join(name)))?;
    // The compiler encodes the set itself: its descriptor types would drop the custom options that the
    // checks use.
    fs::write(Path::new(&env::var("OUT_DIR")?).join("schemas.bin"), compiler.encode_file_descriptor_set())?;
    Ok(())
}
