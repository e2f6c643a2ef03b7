//! On-disk log made of segments with checksummed entries. All calls block and
//! must run on a blocking thread.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufReader, Read, Write},
    path::{Path, PathBuf},
};

use crate::PartitionEntry;

/// Size of the header before each entry: its length and checksum,
/// little-endian.
const HEADER_BYTES: usize = 8;

/// Segment size after which a new segment is started.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Size of a single write of a checkpoint.
const CHUNK_BYTES: usize = 1 << 20;

/// Read buffer size for segments.
const READ_BUFFER_BYTES: usize = 64 << 10;

const SEGMENT_EXTENSION: &str = "log";
const TEMP_EXTENSION: &str = "tmp";

/// Location of the log, and the size at which it is rewritten.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Folder that holds the segments.
    pub folder: PathBuf,
    /// Total segment size that triggers a checkpoint, which rewrites the log
    /// with only the entries that are still needed.
    pub checkpoint_bytes: u64,
}

/// Result of reading the log.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecoveryStats {
    /// Number of entries read.
    pub entries: usize,
    /// Bytes truncated after the last complete entries of all segments.
    pub torn_bytes: u64,
    /// Identity of the disk.
    pub disk: u64,
}

/// Log file, open for appending.
#[derive(Debug)]
pub struct LogFile {
    settings: LogSettings,
    file: File,
    number: u64,
    bytes: u64,
    /// Bytes of all segments except the current one.
    older_bytes: u64,
}

impl LogFile {
    /// Opens the log and passes all entries to `apply`, oldest segment first.
    /// Incomplete entries at the end of a segment are truncated.
    pub fn open(
        settings: LogSettings,
        mut apply: impl FnMut(PartitionEntry),
    ) -> io::Result<(Self, RecoveryStats)> {
        fs::create_dir_all(&settings.folder)?;
        let mut recovered =
            RecoveryStats { disk: disk_identity(&settings.folder)?, ..RecoveryStats::default() };
        let mut older_bytes = 0;
        let mut last = 0;
        for (number, path) in segments(&settings.folder)? {
            older_bytes += read_segment(&path, &mut recovered, &mut apply)?;
            last = number;
        }
        let number = last + 1;
        let file = create(&settings.folder, number)?;
        Ok((LogFile { settings, file, number, bytes: 0, older_bytes }, recovered))
    }

    /// Appends encoded entries. Returns after they are synced to disk.
    pub fn append(&mut self, encoded: &[u8]) -> io::Result<()> {
        self.file.write_all(encoded)?;
        self.file.sync_data()?;
        self.bytes += encoded.len() as u64;
        if self.bytes >= SEGMENT_BYTES {
            self.begin_segment()?;
        }
        Ok(())
    }

    /// Whether a checkpoint is due.
    pub fn is_checkpoint_due(&self) -> bool {
        self.older_bytes + self.bytes >= self.settings.checkpoint_bytes
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        self.file = create(&self.settings.folder, self.number + 1)?;
        self.number += 1;
        self.older_bytes += self.bytes;
        self.bytes = 0;
        Ok(())
    }

    /// Writes a checkpoint of `entries`, which must be all entries that are
    /// still needed, and removes all older segments.
    pub fn checkpoint(&mut self, entries: &[PartitionEntry]) -> io::Result<()> {
        let folder = &self.settings.folder;
        let outdated = segments(folder)?;
        let number = self.number + 1;
        let temp_path = folder.join(format!("{number:08}.{TEMP_EXTENSION}"));
        let mut file = File::create(&temp_path)?;
        let mut chunk = Vec::with_capacity(CHUNK_BYTES);
        let mut written = 0;
        for entry in entries {
            encode_entry(entry, &mut chunk);
            if chunk.len() >= CHUNK_BYTES {
                file.write_all(&chunk)?;
                written += chunk.len() as u64;
                chunk.clear();
            }
        }
        file.write_all(&chunk)?;
        written += chunk.len() as u64;
        file.sync_data()?;
        fs::rename(&temp_path, segment_path(folder, number))?;
        sync_folder(folder)?;
        self.file = create(folder, number + 1)?;
        self.number = number + 1;
        self.bytes = 0;
        self.older_bytes = written;
        for (_, path) in outdated {
            fs::remove_file(path)?;
        }
        sync_folder(&self.settings.folder)
    }
}

/// Appends an entry in its on-disk encoding to `buffer`.
pub fn encode_entry(entry: &PartitionEntry, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    // Serialization into memory can't fail for log entries.
    let _ = postcard::to_io(entry, &mut *buffer);
    let content = &buffer[start + HEADER_BYTES..];
    let (length, checksum) = (content.len() as u32, crc32fast::hash(content));
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buffer[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// Reads the complete entries of a segment and truncates the rest. Returns the
/// remaining size. Holds only one entry in memory at a time.
fn read_segment(
    path: &Path,
    recovered: &mut RecoveryStats,
    apply: &mut impl FnMut(PartitionEntry),
) -> io::Result<u64> {
    let file = File::open(path)?;
    let length = file.metadata()?.len();
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, file);
    let mut valid_bytes = 0;
    let mut content = Vec::new();
    while let Some(entry) = read_entry(&mut reader, &mut content, length - valid_bytes)? {
        recovered.entries += 1;
        valid_bytes += (HEADER_BYTES + content.len()) as u64;
        apply(entry);
    }
    if valid_bytes < length {
        recovered.torn_bytes += length - valid_bytes;
        let file = OpenOptions::new().write(true).open(path)?;
        file.set_len(valid_bytes)?;
        file.sync_all()?;
    }
    Ok(valid_bytes)
}

/// Reads the next entry of a segment with `remaining` bytes. Returns `None` if
/// it is incomplete or corrupt.
fn read_entry(
    reader: &mut impl Read,
    content: &mut Vec<u8>,
    remaining: u64,
) -> io::Result<Option<PartitionEntry>> {
    let mut header = [0; HEADER_BYTES];
    if remaining < HEADER_BYTES as u64 {
        return Ok(None);
    }
    reader.read_exact(&mut header)?;
    let [a, b, c, d, e, f, g, h] = header;
    let (length, checksum) = (u32::from_le_bytes([a, b, c, d]), u32::from_le_bytes([e, f, g, h]));
    if length == 0 || u64::from(length) > remaining - HEADER_BYTES as u64 {
        return Ok(None);
    }
    content.resize(length as usize, 0);
    reader.read_exact(content)?;
    if crc32fast::hash(content) != checksum {
        return Ok(None);
    }
    Ok(postcard::from_bytes(content).ok())
}

/// Segments sorted by number. Removes leftovers of unfinished checkpoints.
fn segments(folder: &Path) -> io::Result<Vec<(u64, PathBuf)>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let number = path.file_stem().and_then(|stem| stem.to_str()?.parse::<u64>().ok());
        match (number, path.extension().and_then(|ending| ending.to_str())) {
            (Some(number), Some(SEGMENT_EXTENSION)) => found.push((number, path)),
            (Some(_), Some(TEMP_EXTENSION)) => fs::remove_file(path)?,
            _ => {}
        }
    }
    found.sort();
    Ok(found)
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:08}.{SEGMENT_EXTENSION}"))
}

fn create(folder: &Path, number: u64) -> io::Result<File> {
    let file = OpenOptions::new().create(true).append(true).open(segment_path(folder, number))?;
    file.sync_all()?;
    sync_folder(folder)?;
    Ok(file)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Identity of the disk, generated at its first use.
fn disk_identity(folder: &Path) -> io::Result<u64> {
    let path = folder.join("identity");
    if let Ok(text) = fs::read_to_string(&path)
        && let Ok(identity) = text.trim().parse()
    {
        return Ok(identity);
    }
    let identity = rand::random::<u64>() >> 1;
    let temp_path = folder.join("identity.new");
    let mut file = File::create(&temp_path)?;
    writeln!(file, "{identity}")?;
    file.sync_all()?;
    fs::rename(&temp_path, &path)?;
    sync_folder(folder)?;
    Ok(identity)
}
