//! The example settings are valid.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::{Path, PathBuf};

use guavaspread_placement::Preset;
use guavaspread_settings::{DispatcherSettings, GatewaySettings};
use test_case::test_case;

fn example(deployment: &str, file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment).join(file)
}

#[test_case("kita-shigoto", Preset::StallsFirst)]
#[test_case("dopravni-smeny", Preset::BatchesFirst)]
fn example_settings_are_valid(deployment: &str, preset: Preset) {
    let gateway = GatewaySettings::read(&example(deployment, "gateway.toml")).unwrap();
    let dispatcher = DispatcherSettings::read(&example(deployment, "dispatcher.toml")).unwrap();
    assert_eq!(gateway.preset, preset);
    assert_eq!(dispatcher.process.host, gateway.process.host);
}
