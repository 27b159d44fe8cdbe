//! Runs the `sumacdrift` binary as an operator does.

use std::process::{Command, Stdio};

const NODE_BINARY: &str = env!("CARGO_BIN_EXE_sumacdrift");

/// Kills the process on drop, also if the test fails.
struct KillOnDrop(std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn check_reports_every_invalid_or_missing_setting() {
    let folder = std::env::temp_dir().join(format!("sumacdrift-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    let file = folder.join("node.toml");
    std::fs::write(&file, "[node]\nid = 0\nzone = \"z\"\nregion = \"r\"\ncolour = 1\n")
        .expect("write the file");
    let output =
        Command::new(NODE_BINARY).args(["check", "--settings"]).arg(&file).output().expect("start the node");
    std::fs::remove_dir_all(&folder).expect("remove the folder");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    for key in ["node.id", "node.colour", "listen.callers", "fleet.founders", "platform.bundle_file"] {
        assert!(text.contains(key), "{key} is missing in:\n{text}");
    }
}

#[test]
fn sigterm_shuts_the_node_down_gracefully() {
    let folder = std::env::temp_dir().join(format!("sumacdrift-run-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    let (file, bundle) = (folder.join("node.toml"), folder.join("bundle.toml"));
    std::fs::write(&bundle, include_str!("../../../examples/bundle.toml")).expect("write the file");
    let settings = format!(
        "[node]\nid = 1\nzone = \"z\"\nregion = \"r\"\n[listen]\ncallers = \"127.0.0.1:0\"\n\
         peers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n[fleet]\nfounders = [1]\n\
         [platform]\nbundle_file = \"{}\"\n",
        bundle.display()
    );
    std::fs::write(&file, settings).expect("write the file");
    let child = Command::new(NODE_BINARY)
        .args(["run", "--settings"])
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the node");
    let mut process = KillOnDrop(child);
    let stderr = process.0.stderr.take().expect("stderr is piped");
    let mut lines = std::io::BufRead::lines(std::io::BufReader::new(stderr));
    let started = lines.by_ref().map_while(Result::ok).any(|line| line.contains("node started"));
    assert!(started, "the node never started");
    let terminated = Command::new("kill").arg("-TERM").arg(process.0.id().to_string()).status();
    assert!(terminated.expect("kill runs").success());
    let stopped = lines.map_while(Result::ok).any(|line| line.contains("node stopped"));
    assert!(stopped, "the node did not log that it stopped");
    assert!(process.0.wait().expect("the node exits").success());
    std::fs::remove_dir_all(&folder).expect("remove the folder");
}
