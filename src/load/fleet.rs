//! The fleet that the load is sent to, as described by the files of its directory.

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

/// How long a VM may use a granted quota token, in seconds. To keep its bound on the rate all the
/// same, the fleet grants a burst smaller by the tokens of this time (`docs/design.md`, 3.3).
const CREDIT_LIFE_S: f64 = 0.05;

/// Rate and burst that the whole fleet is certain to accept from an organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests per second.
    pub rate_per_second: f64,
    /// Number of requests that may arrive at once.
    pub burst: f64,
}

/// Addresses, pipelines and allowances of a fleet.
pub struct Fleet {
    dir: PathBuf,
    /// Address of each VM that callers connect to.
    pub caller_addresses: Vec<(VmId, SocketAddr)>,
    /// Address of the platform, for `post` events without an endpoint.
    pub platform_address: SocketAddr,
    /// Service and address of each endpoint.
    pub endpoints: BTreeMap<EndpointName, (ServiceName, SocketAddr)>,
    /// Pipelines with a stage that must not run twice.
    pub at_most_once: BTreeSet<PipelineName>,
    /// Services of stages that must not run twice.
    pub at_most_once_services: BTreeSet<ServiceName>,
    /// Pipelines that can stream their answer: those whose last stage generates tokens.
    pub streamed_pipelines: BTreeSet<PipelineName>,
    /// All pipelines of the manifest.
    pub pipelines: BTreeSet<PipelineName>,
    /// Rate and burst of each organisation.
    pub allowances: BTreeMap<OrganisationName, Allowance>,
    /// Held while a file of the platform is read, changed and replaced.
    rewrite_lock: Mutex<()>,
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
    /// Fails when one of the files cannot be read or parsed; the error names the file.
    pub fn read(dir: &Path) -> anyhow::Result<Self> {
        let file: FleetFile = read_json(&dir.join("fleet.json"))?;
        let manifest = read_json::<ManifestFile>(&dir.join("manifest.json"))?.manifest;
        let stages = || {
            let pipelines = manifest.pipelines.iter();
            pipelines
                .flat_map(|pipeline| pipeline.stages.iter().map(move |stage| (pipeline, stage)))
        };
        let at_most_once = || stages().filter(|(_, stage)| !stage.idempotent);
        let is_streamed = |pipeline: &&crate::manifest::Pipeline| {
            let last = pipeline.stages.last();
            last.is_some_and(|stage| stage.kind == StageKind::Generate)
        };
        let daemons = file.daemons.into_iter();
        Ok(Self {
            dir: dir.to_owned(),
            caller_addresses: daemons
                .map(|daemon| (daemon.id, daemon.caller_address))
                .collect(),
            platform_address: file.platform_address,
            at_most_once: at_most_once()
                .map(|(pipeline, _)| pipeline.name.clone())
                .collect(),
            at_most_once_services: at_most_once()
                .map(|(_, stage)| stage.service.clone())
                .collect(),
            streamed_pipelines: manifest
                .pipelines
                .iter()
                .filter(is_streamed)
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
            rewrite_lock: Mutex::default(),
        })
    }

    /// Returns the process id of a VM's daemon.
    ///
    /// # Errors
    ///
    /// Fails when the VM's file does not exist or holds no number.
    pub fn process_id(&self, vm: &VmId) -> anyhow::Result<i32> {
        let path = self.dir.join("pids").join(format!("{vm}.pid"));
        let problem = || format!("no process id in {}", path.display());
        let text = std::fs::read_to_string(&path).with_context(problem)?;
        text.trim().parse().with_context(problem)
    }

    /// Changes the manifest and publishes it with the next version.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or replaced, or when `change` fails.
    pub fn change_manifest(
        &self,
        change: impl FnOnce(&mut Value) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        self.rewrite_file("manifest.json", |file| change(&mut file["manifest"]))
    }

    /// Changes the VM list and publishes it with the next version.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::change_manifest`] does.
    pub fn change_vms(
        &self,
        change: impl FnOnce(&mut Value) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        self.rewrite_file("vms.json", change)
    }

    /// Changes a file of the platform and raises its version by one.
    fn rewrite_file(
        &self,
        name: &str,
        change: impl FnOnce(&mut Value) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        let _guard = self.rewrite_lock.lock();
        let path = self.dir.join(name);
        let mut file: Value = read_json(&path)?;
        change(&mut file)?;
        let version = file["version"]
            .as_u64()
            .with_context(|| format!("{} has no version number", path.display()))?;
        file["version"] = Value::from(version + 1);
        // The new file is renamed over the old one, so that the platform never reads a file that
        // is half written.
        let next_path = self.dir.join(format!("{name}.next"));
        std::fs::write(&next_path, serde_json::to_vec_pretty(&file)?)?;
        std::fs::rename(&next_path, &path)?;
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
    let problem = || format!("cannot read or parse {}", path.display());
    let text = std::fs::read(path).with_context(problem)?;
    serde_json::from_slice(&text).with_context(problem)
}
