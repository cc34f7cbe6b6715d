//! Checks that the settings files of each example mesh are valid and consistent with each other.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;
use sycamoreflow_daemon::settings::{ReplicaAddress, Settings};
use sycamoreflow_state::answers::Answers;

/// Settings by file name without extension.
type Mesh = BTreeMap<String, Settings>;

fn folder(mesh: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../examples/{mesh}"))
}

fn load(mesh: &str) -> Mesh {
    let files = fs::read_dir(folder(mesh).join("settings")).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    paths
        .map(|path| {
            let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
            (name, Settings::load(&path).unwrap())
        })
        .collect()
}

/// Returns a description of every inconsistency between the files.
fn problems(name: &str, mesh: &Mesh) -> Vec<String> {
    let mut problems = Vec::new();
    let mut check = |ok: bool, file: &str, what: &str| {
        if !ok {
            problems.push(format!("{file}: {what}"));
        }
    };
    let replicas: Vec<&Settings> = mesh.values().filter(|s| s.control.is_some()).collect();
    let replica_names: BTreeSet<_> = replicas.iter().map(|s| s.daemon.as_str()).collect();
    let centres: BTreeSet<_> = replicas.iter().map(|s| s.data_centre.as_str()).collect();
    check(replica_names.len() == 3, name, "three control replicas");
    check(centres.len() == 3, name, "replicas in three data centres");
    let reference = mesh.values().next_back().unwrap();
    let agrees = |address: &ReplicaAddress| {
        let named = mesh.get(address.daemon.as_str());
        named.is_some_and(|settings| settings.listen.link == address.link)
    };
    let mut addresses = BTreeSet::new();
    let mut folders = BTreeSet::new();
    for (file, s) in mesh {
        check(s.mesh == name, file, "mesh");
        check(s.daemon.as_str() == file, file, "not the file name");
        let centre = file.rsplit_once('-').map(|(centre, _)| centre);
        check(centre == Some(s.data_centre.as_str()), file, "data centre");
        let same = s.control_replicas == reference.control_replicas;
        check(same, file, "control-replicas differ");
        let known = s.control_replicas.iter().all(agrees);
        check(known, file, "address of a replica");
        let named: BTreeSet<_> = s
            .control_replicas
            .iter()
            .map(|r| r.daemon.as_str())
            .collect();
        check(named == replica_names, file, "names of replicas");
        let witnesses = &s.floor.witnesses;
        check(witnesses.len() == 3, file, "three witnesses");
        check(witnesses.iter().all(agrees), file, "address of a witness");
        let centre_of = |w: &ReplicaAddress| mesh.get(w.daemon.as_str()).map(|s| &s.data_centre);
        let centres: BTreeSet<_> = witnesses.iter().map(centre_of).collect();
        let elsewhere = !centres.contains(&Some(&s.data_centre));
        check(
            centres.len() == 2 && elsewhere,
            file,
            "data centres of witnesses",
        );
        let relative = |path: &Option<PathBuf>| path.as_ref().is_some_and(|p| p.is_relative());
        check(relative(&s.mesh_key_file), file, "mesh-key-file");
        if let Some(control) = &s.control {
            check(
                relative(&s.operator_token_file),
                file,
                "operator-token-file",
            );
            let voters: BTreeSet<_> = control.voters.iter().map(|v| v.as_str()).collect();
            check(voters == replica_names, file, "voters differ");
            check(control.data.starts_with("./data"), file, "data folder");
            check(
                folders.insert(&control.data),
                file,
                "data folder is used twice",
            );
        }
        let listen = [s.listen.calls, Some(s.listen.link), s.listen.announce];
        for address in listen.into_iter().flatten().chain(s.listen.operator) {
            check(address.ip().is_loopback(), file, "not a loopback address");
            check(addresses.insert(address), file, "address is used twice");
        }
    }
    problems
}

// Guards against example settings that do not form a working mesh, and against a number of daemons
// that differs from docs/design.md, section 1.
#[rstest]
#[case("sfax", 9)]
#[case("amman", 10)]
fn examples_agree(#[case] name: &str, #[case] daemons: usize) {
    let mesh = load(name);
    assert_eq!(mesh.len(), daemons);
    assert_eq!(problems(name, &mesh), Vec::<String>::new());
    let path = folder(name).join("answers.toml");
    let answers = Answers::parse("answers.toml", &fs::read_to_string(path).unwrap()).unwrap();
    assert_eq!(answers.mesh, name);
}

// Guards against a consistency check that misses an error: each case introduces one.
#[rstest]
#[case::mesh(|s: &mut Settings| s.mesh = "other".to_owned(), "mesh")]
#[case::daemon(|s: &mut Settings| s.daemon = "sfax-a-9".into(), "file name")]
#[case::data_centre(|s: &mut Settings| s.data_centre = "sfax-b".into(), "data centre")]
#[case::replica_missing(|s: &mut Settings| drop(s.control_replicas.pop()), "control-replicas differ")]
#[case::replica_address(|s: &mut Settings| s.control_replicas[1].link.set_port(1), "address of a replica")]
#[case::no_control(|s: &mut Settings| s.control = None, "three control replicas")]
#[case::voters(|s: &mut Settings| s.control.as_mut().unwrap().voters.clear(), "voters differ")]
#[case::data(|s: &mut Settings| s.control.as_mut().unwrap().data = "/data/a".into(), "data folder")]
#[case::witness_address(|s: &mut Settings| s.floor.witnesses[0].link.set_port(1), "address of a witness")]
#[case::witness_unknown(|s: &mut Settings| s.floor.witnesses[0].daemon = "x".into(), "address of a witness")]
#[case::witness_missing(|s: &mut Settings| drop(s.floor.witnesses.pop()), "three witnesses")]
#[case::link(|s: &mut Settings| s.listen.link.set_port(1), "address of a replica")]
#[case::shared_port(|s: &mut Settings| s.listen.calls.as_mut().unwrap().set_port(7210), "used twice")]
#[case::public(|s: &mut Settings| s.listen.calls.as_mut().unwrap().set_ip([10, 0, 0, 1].into()), "loopback")]
#[case::key(|s: &mut Settings| s.mesh_key_file = None, "mesh-key-file")]
#[case::token(|s: &mut Settings| s.operator_token_file = None, "operator-token-file")]
fn problems_wrong(#[case] change: fn(&mut Settings), #[case] expected: &str) {
    let mut mesh = load("sfax");
    change(mesh.get_mut("sfax-a-1").unwrap());
    let found = problems("sfax", &mesh);
    assert!(found.iter().any(|p| p.contains(expected)), "{found:?}");
}
