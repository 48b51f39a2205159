//! The fleet under load, as its directory describes it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::manifest::{Manifest, StageKind};
use crate::units::{EndpointName, OrganisationName, PipelineName, ServiceName, VmId};

/// Seconds for which a granted token may be used; the rate bound allows for it by a
/// smaller burst (`docs/design.md`, 3.3).
const CREDIT_LIFE_S: f64 = 0.05;

/// What an organisation is allowed across the fleet, as far as a caller can count on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests a second.
    pub rate_per_second: f64,
    /// Requests at once.
    pub burst: f64,
}

/// Addresses, pipelines and allowances.
pub struct Fleet {
    dir: PathBuf,
    /// Where callers connect, by VM.
    pub callers: Vec<(VmId, SocketAddr)>,
    /// The platform, for control posts.
    pub platform: SocketAddr,
    /// All endpoints with the service each offers.
    pub endpoints: BTreeMap<EndpointName, (ServiceName, SocketAddr)>,
    /// Pipelines with a stage that must not run twice.
    pub at_most_once: BTreeSet<PipelineName>,
    /// Services of stages that must not run twice.
    pub at_most_once_services: BTreeSet<ServiceName>,
    /// Pipelines whose answer is a stream.
    pub streamed: BTreeSet<PipelineName>,
    /// Pipelines that the manifest has.
    pub pipelines: BTreeSet<PipelineName>,
    /// What each organisation may send.
    pub allowances: BTreeMap<OrganisationName, Allowance>,
    /// Serialises rewrites of the platform's files.
    rewriting: Mutex<()>,
}

#[derive(Deserialize)]
struct FleetFile {
    platform_address: SocketAddr,
    daemons: Vec<Daemon>,
}

#[derive(Deserialize)]
struct Daemon {
    id: VmId,
    caller_address: SocketAddr,
}

#[derive(Deserialize)]
struct ManifestFile {
    manifest: Manifest,
}

impl Fleet {
    /// Reads `fleet.json` and `manifest.json`.
    ///
    /// # Errors
    ///
    /// Says which file cannot be read and why.
    pub fn read(dir: &Path) -> anyhow::Result<Self> {
        let file: FleetFile = read_json(&dir.join("fleet.json"))?;
        let manifest = read_json::<ManifestFile>(&dir.join("manifest.json"))?.manifest;
        let stages = || {
            let pipelines = manifest.pipelines.iter();
            pipelines
                .flat_map(|pipeline| pipeline.stages.iter().map(move |stage| (pipeline, stage)))
        };
        let at_most_once = || stages().filter(|(_, stage)| !stage.idempotent);
        let streams = |pipeline: &&crate::manifest::Pipeline| {
            let last = pipeline.stages.last();
            last.is_some_and(|stage| stage.kind == StageKind::Generate)
        };
        let daemons = file.daemons.into_iter();
        Ok(Self {
            dir: dir.to_owned(),
            callers: daemons
                .map(|daemon| (daemon.id, daemon.caller_address))
                .collect(),
            platform: file.platform_address,
            at_most_once: at_most_once()
                .map(|(pipeline, _)| pipeline.name.clone())
                .collect(),
            at_most_once_services: at_most_once()
                .map(|(_, stage)| stage.service.clone())
                .collect(),
            streamed: manifest
                .pipelines
                .iter()
                .filter(streams)
                .map(|one| one.name.clone())
                .collect(),
            pipelines: manifest
                .pipelines
                .iter()
                .map(|one| one.name.clone())
                .collect(),
            allowances: manifest.organisations.iter().map(allowance_of).collect(),
            endpoints: manifest
                .endpoints
                .into_iter()
                .map(|endpoint| (endpoint.name, (endpoint.service, endpoint.address)))
                .collect(),
            rewriting: Mutex::default(),
        })
    }

    /// Returns the process id of a VM's daemon.
    ///
    /// # Errors
    ///
    /// Fails when the id was not written.
    pub fn process_id(&self, vm: &VmId) -> anyhow::Result<i32> {
        let path = self.dir.join("pids").join(format!("{vm}.pid"));
        let place = || format!("no process id in {}", path.display());
        let text = std::fs::read_to_string(&path).with_context(place)?;
        text.trim().parse().with_context(place)
    }

    /// Changes the manifest and publishes it with the next version.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or replaced, or when `change` finds no place.
    pub fn change_manifest(
        &self,
        change: impl FnOnce(&mut Value) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        self.rewrite("manifest.json", |file| change(&mut file["manifest"]))
    }

    /// Changes the VM list and publishes it with the next version.
    ///
    /// # Errors
    ///
    /// As [`Self::change_manifest`].
    pub fn change_vms(
        &self,
        change: impl FnOnce(&mut Value) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        self.rewrite("vms.json", change)
    }

    fn rewrite(
        &self,
        name: &str,
        change: impl FnOnce(&mut Value) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        let _guard = self.rewriting.lock();
        let path = self.dir.join(name);
        let mut file: Value = read_json(&path)?;
        change(&mut file)?;
        let version = file["version"]
            .as_u64()
            .context("the file has no version")?;
        file["version"] = Value::from(version + 1);
        // Renaming keeps the platform from reading a file that is half written.
        let next = self.dir.join(format!("{name}.next"));
        std::fs::write(&next, serde_json::to_vec_pretty(&file)?)?;
        std::fs::rename(&next, &path)?;
        Ok(())
    }
}

fn allowance_of(organisation: &crate::manifest::Organisation) -> (OrganisationName, Allowance) {
    let rate_per_second = organisation.rate_per_second.0;
    let burst = f64::from(organisation.burst.0) - rate_per_second * CREDIT_LIFE_S;
    let allowance = Allowance {
        rate_per_second,
        burst: burst.max(1.0),
    };
    (organisation.name.clone(), allowance)
}

fn read_json<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let place = || format!("cannot use {}", path.display());
    let text = std::fs::read(path).with_context(place)?;
    serde_json::from_slice(&text).with_context(place)
}
