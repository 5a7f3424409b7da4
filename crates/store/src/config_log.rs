//! The log of configuration changes in the table service. See section 4.4 of `docs/design.md`.

use crate::backoff::Backoff;
use crate::config_rows::{
    HEAD, LOG_PREFIX, SNAPSHOTS, Snapshots, append_ops, head_version, log_entry, log_key,
    snapshot_name,
};
use crate::random::Random;
use crate::{ConfigError, LogEntry, ObjectStore, Op, Table, TableError};
use sequoiaridge_core::{Change, ChangeError, Clock, FleetConfig, Nonce, Version};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Number of versions between two snapshots.
const SNAPSHOT_INTERVAL: Version = 64;
/// Maximum number of rows that one call reads or deletes.
const PAGE_ROWS: usize = 25;
/// Time for which a write with an unknown outcome is resolved before the operator is told to read
/// again.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(8);

/// Outcome of [`ConfigLog::append`].
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// The change was committed as version `.0`, which is final.
    Committed(Version),
    /// The change was not made, because the log is at version `.0`.
    Conflict(Version),
    /// The change was not made, because it is invalid.
    Refused(Vec<ChangeError>),
    /// The change may have been made, or may still be; the operator has to read again.
    Unknown,
}

/// What a reader needs to get from its version to the head: the result of
/// [`ConfigLog::updates_since`].
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdates {
    /// The changes after that version, in order; empty if the reader is up to date.
    Changes(Vec<LogEntry>),
    /// The whole configuration at the head, because the log no longer holds the changes.
    Snapshot(FleetConfig),
}

/// The fleet configuration in the platform's table.
pub struct ConfigLog {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    random: Random,
    /// The newest configuration read so far. It only saves reads.
    cache: Mutex<FleetConfig>,
}

impl ConfigLog {
    /// Creates a log on the platform's table service and object store.
    pub fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
    ) -> ConfigLog {
        ConfigLog::build(table, objects, clock, Random::new())
    }

    /// Creates a log whose nonces and delays are the same for the same seed. Only for tests: two
    /// logs on one table must never share a seed, or their nonces would be equal.
    pub fn seeded(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> ConfigLog {
        ConfigLog::build(table, objects, clock, Random::seeded(seed))
    }

    fn build(
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        random: Random,
    ) -> ConfigLog {
        ConfigLog {
            table,
            objects,
            clock,
            random,
            cache: Mutex::new(FleetConfig::default()),
        }
    }

    /// Reads the newest version.
    ///
    /// # Errors
    ///
    /// The head row cannot be read.
    pub async fn head(&self) -> Result<Version, ConfigError> {
        head_version(self.table.get(HEAD).await?.as_ref())
    }

    /// Reads what a reader at `version` is missing, at least up to the head at the time of the
    /// call.
    ///
    /// # Errors
    ///
    /// The platform does not respond, a row is missing or invalid, or `version` is newer than the
    /// head. A row is never skipped.
    pub async fn updates_since(&self, version: Version) -> Result<ConfigUpdates, ConfigError> {
        let head = self.head().await?;
        if version > head {
            let asked = version;
            return Err(ConfigError::Ahead { asked, head });
        }
        match self.changes(version, head).await {
            // Rows up to the last but one snapshot are removed.
            Err(ConfigError::Gap(missing)) if missing == version + 1 => {
                let snapshots = Snapshots::read(self.table.get(SNAPSHOTS).await?.as_ref())?;
                if snapshots.last <= version {
                    return Err(ConfigError::Gap(missing));
                }
                self.rebuild(snapshots.last)
                    .await
                    .map(ConfigUpdates::Snapshot)
            }
            changes => changes.map(ConfigUpdates::Changes),
        }
    }

    /// Reads the configuration at the head.
    ///
    /// # Errors
    ///
    /// As for [`ConfigLog::updates_since`].
    pub async fn load(&self) -> Result<FleetConfig, ConfigError> {
        let mut config = self.cache.lock().expect("cache lock").clone();
        match self.updates_since(config.version).await? {
            ConfigUpdates::Changes(entries) => entries.iter().for_each(|e| config.apply(&e.change)),
            ConfigUpdates::Snapshot(snapshot) => config = snapshot,
        }
        let mut cache = self.cache.lock().expect("cache lock");
        if config.version > cache.version {
            *cache = config.clone();
        }
        Ok(config)
    }

    /// Appends a change on top of version `base`. The change is checked against the configuration
    /// at `base`, so that every version in the log is valid.
    ///
    /// # Errors
    ///
    /// The configuration cannot be read; nothing was written.
    pub async fn append(
        &self,
        base: Version,
        change: &Change,
    ) -> Result<AppendOutcome, ConfigError> {
        let config = self.load().await?;
        if config.version != base {
            return Ok(AppendOutcome::Conflict(config.version));
        }
        let problems = change.problems(&config);
        if !problems.is_empty() {
            return Ok(AppendOutcome::Refused(problems));
        }
        let outcome = self.write(base, change, self.random.nonce()).await?;
        if let AppendOutcome::Committed(version) = outcome
            && version.is_multiple_of(SNAPSHOT_INTERVAL)
        {
            let mut config = config;
            config.apply(change);
            // A failed snapshot only leaves the log longer until the next one succeeds.
            let _ = self.snapshot(&config).await;
        }
        Ok(outcome)
    }

    /// Retries the write until its outcome is known or [`RESOLVE_TIMEOUT`] has passed. All attempts
    /// carry the same nonce, and the condition on the head lets at most one of them take effect.
    async fn write(
        &self,
        base: Version,
        change: &Change,
        nonce: Nonce,
    ) -> Result<AppendOutcome, ConfigError> {
        let deadline = self.clock.now() + RESOLVE_TIMEOUT;
        let ops = append_ops(base, change, nonce);
        let mut backoff = Backoff::new(&self.random);
        let mut maybe_written = false;
        loop {
            match self.table.commit(ops.clone(), nonce).await {
                Ok(()) => return Ok(AppendOutcome::Committed(base + 1)),
                Err(TableError::Refused) => {}
                Err(_) => {
                    maybe_written = true;
                    if let Some(outcome) = self.read_back(base, nonce).await {
                        return Ok(outcome);
                    }
                }
            }
            let left = deadline.saturating_sub(self.clock.now());
            if left.is_zero() {
                return match maybe_written {
                    true => Ok(AppendOutcome::Unknown),
                    false => Err(ConfigError::Table(TableError::Refused)),
                };
            }
            backoff.wait(left).await;
        }
    }

    /// Resolves a write whose outcome is unknown by the nonce of the log row. Returns `None` if
    /// that fails or the version is still unwritten, so that the write has to be repeated.
    async fn read_back(&self, base: Version, nonce: Nonce) -> Option<AppendOutcome> {
        let key = log_key(base + 1);
        // The row is read again after the head, because it may be written between the two reads.
        for _ in 0..2 {
            if let Some(row) = self.table.get(&key).await.ok()? {
                return Some(match log_entry(&key, &row) {
                    Ok(entry) if entry.nonce == nonce => AppendOutcome::Committed(base + 1),
                    Ok(_) => AppendOutcome::Conflict(self.head().await.ok()?.max(base + 1)),
                    Err(_) => AppendOutcome::Unknown,
                });
            }
            if self.head().await.ok()? == base {
                return None;
            }
        }
        // The log has grown so far that the row has been removed again.
        Some(AppendOutcome::Unknown)
    }

    /// Reads the changes after `version`, at least up to `head`.
    async fn changes(&self, version: Version, head: Version) -> Result<Vec<LogEntry>, ConfigError> {
        let mut entries: Vec<LogEntry> = Vec::new();
        let mut after = log_key(version);
        loop {
            let page = self.table.scan(LOG_PREFIX, Some(&after), PAGE_ROWS).await?;
            for (key, row) in &page.rows {
                let entry = log_entry(key, row)?;
                let expected = version + 1 + entries.len() as Version;
                if entry.version != expected {
                    return Err(ConfigError::Gap(expected));
                }
                entries.push(entry);
            }
            match page.next {
                Some(next) => after = next,
                None => break,
            }
        }
        let reached = version + entries.len() as Version;
        match reached >= head {
            true => Ok(entries),
            false => Err(ConfigError::Gap(reached + 1)),
        }
    }

    /// Rebuilds the configuration at the head from the snapshot of `version` and the changes after
    /// it.
    async fn rebuild(&self, version: Version) -> Result<FleetConfig, ConfigError> {
        let name = snapshot_name(version);
        let unreadable = || ConfigError::Unreadable(name.clone());
        let content = self.objects.get(&name).await?.ok_or_else(unreadable)?;
        let mut config: FleetConfig = serde_json::from_slice(&content).map_err(|_| unreadable())?;
        if config.version != version {
            return Err(unreadable());
        }
        let head = self.head().await?;
        for entry in self.changes(version, head).await? {
            config.apply(&entry.change);
        }
        Ok(config)
    }

    /// Writes a snapshot, records it in the snapshots row, and removes the log rows up to the
    /// snapshot before it. Every router writes the same content for a version, so a repeated write
    /// is harmless.
    async fn snapshot(&self, config: &FleetConfig) -> Result<(), ConfigError> {
        let content = serde_json::to_vec(config).expect("a configuration is valid JSON");
        let name = snapshot_name(config.version);
        self.objects.put(&name, content.into()).await?;
        let snapshots = Snapshots::read(self.table.get(SNAPSHOTS).await?.as_ref())?;
        if snapshots.last >= config.version {
            return Ok(());
        }
        let ops = vec![snapshots.advance(config.version)];
        self.table.commit(ops, self.random.nonce()).await?;
        self.remove_until(snapshots.last).await
    }

    /// Removes the log rows up to `version`, oldest first, so that the rows that remain have no
    /// gap.
    async fn remove_until(&self, version: Version) -> Result<(), ConfigError> {
        loop {
            let page = self.table.scan(LOG_PREFIX, None, PAGE_ROWS).await?;
            let last = log_key(version);
            let keys = page.rows.into_iter().map(|(key, _)| key);
            let ops: Vec<Op> = keys
                .take_while(|key| *key <= last)
                .map(|key| Op::Delete {
                    key,
                    cond: crate::Cond::None,
                })
                .collect();
            if ops.is_empty() {
                return Ok(());
            }
            self.table.commit(ops, self.random.nonce()).await?;
        }
    }
}
