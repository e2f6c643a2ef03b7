//! On-disk log made of segments with checksummed entries. All calls block and
//! must run on a blocking thread.

use std::{
    collections::VecDeque,
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

use crate::{
    Location, PartitionEntry, StoredContent, StoredEntry,
    node::lock,
    segment::{Segment, SegmentReader},
};

/// Segment size after which a new segment is started.
const SEGMENT_BYTES: u64 = 16 << 20;

/// Approximate number of bytes of the oldest segment that are read at a time.
const CHUNK_BYTES: u64 = 256 << 10;

/// Number of small segments above which the oldest is removed whatever the size
/// of the log. Each start begins one, and each holds a file open.
const SEGMENTS_MAX: usize = 64;

/// Segments are small if they have fewer bytes than this on average.
const SMALL_SEGMENT_BYTES: u64 = SEGMENT_BYTES / 4;

const SEGMENT_EXTENSION: &str = "log";
const TEMP_EXTENSION: &str = "tmp";

/// Result of reading the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryStats {
    /// Number of entries read.
    pub entries: usize,
    /// Bytes of a write that was interrupted, which were cut off.
    pub torn_bytes: u64,
    /// Bytes of entries that were damaged after they had been synced.
    pub damaged_bytes: u64,
    /// Number of entries of unknown kinds. They are kept.
    pub unknown_entries: usize,
    /// Identity of the disk.
    pub disk: u64,
}

/// Reads single entries of a log. Clones share the segments.
#[derive(Clone, Debug, Default)]
pub struct LogReader {
    /// Oldest first; the last one is appended to.
    segments: Arc<Mutex<VecDeque<Segment>>>,
}

impl LogReader {
    /// Reads the entry at a location.
    pub fn read(&self, location: Location) -> io::Result<PartitionEntry> {
        let segment = lock(&self.segments)
            .iter()
            .find(|segment| segment.number == location.segment)
            .cloned()
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "the segment was removed"))?;
        segment.read(location)
    }

    /// Size of all segments.
    pub fn bytes(&self) -> u64 {
        lock(&self.segments).iter().map(|segment| segment.bytes).sum()
    }
}

/// Log file, open for appending.
#[derive(Debug)]
pub struct LogFile {
    folder: PathBuf,
    reader: LogReader,
    /// Segment that is appended to.
    number: u32,
    file: Arc<File>,
    bytes: u64,
    /// Offset up to which the oldest segment has been read for its removal.
    read_offset: u64,
    pass: Pass,
}

/// A pass over all segments that the log had when the pass began.
#[derive(Clone, Copy, Debug, Default)]
struct Pass {
    /// Last segment of the pass.
    last: u32,
    /// Bytes that were written again.
    kept: u64,
    /// Bytes that the pass before it wrote again.
    kept_before: u64,
}

impl LogFile {
    /// Opens the log in a folder and passes all entries to `apply`, oldest
    /// segment first. What a power loss left of an interrupted write is cut off;
    /// nothing else is.
    pub fn open(
        folder: &Path,
        mut apply: impl FnMut(StoredEntry),
    ) -> io::Result<(Self, RecoveryStats)> {
        fs::create_dir_all(folder)?;
        let mut recovered =
            RecoveryStats { disk: disk_identity(folder)?, ..RecoveryStats::default() };
        let mut read = VecDeque::new();
        let found = segments(folder)?;
        // Each segment was synced before the next one was written to.
        let last_written = found.iter().rposition(|segment| segment.bytes > 0);
        for (index, segment) in found.into_iter().enumerate() {
            let may_be_torn = last_written.is_none_or(|last| index >= last);
            read.push_back(read_segment(folder, segment, may_be_torn, &mut recovered, &mut apply)?);
        }
        let number = read.back().map_or(1, |segment| segment.number + 1);
        let file = Arc::new(create(folder, number)?);
        read.push_back(Segment { number, file: file.clone(), bytes: 0 });
        let reader = LogReader { segments: Arc::new(Mutex::new(read)) };
        let folder = folder.to_owned();
        let log = LogFile {
            folder,
            reader,
            number,
            file,
            bytes: 0,
            read_offset: 0,
            pass: Pass::default(),
        };
        Ok((log, recovered))
    }

    /// Reads single entries.
    pub fn reader(&self) -> LogReader {
        self.reader.clone()
    }

    /// Appends encoded entries. Returns after they are synced to disk, with the
    /// location of the first one. Nothing is appended if this fails.
    pub fn append(&mut self, encoded: &[u8]) -> io::Result<Location> {
        if let Err(err) = self.write(encoded) {
            self.file.set_len(self.bytes)?;
            return Err(err);
        }
        let location = Location { segment: self.number, offset: self.bytes as u32, bytes: 0 };
        self.bytes += encoded.len() as u64;
        if let Some(current) = lock(&self.reader.segments).back_mut() {
            current.bytes = self.bytes;
        }
        if self.bytes >= SEGMENT_BYTES {
            self.begin_segment()?;
        }
        Ok(location)
    }

    fn write(&self, encoded: &[u8]) -> io::Result<()> {
        (&*self.file).write_all(encoded)?;
        self.file.sync_data()
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        let number = self.number + 1;
        self.file = Arc::new(create(&self.folder, number)?);
        self.number = number;
        self.bytes = 0;
        let segment = Segment { number, file: self.file.clone(), bytes: 0 };
        lock(&self.reader.segments).push_back(segment);
        Ok(())
    }

    /// Whether the oldest segment should be removed, so that the log takes
    /// `target_bytes` at most, or twice what the last pass over it kept.
    pub fn is_removal_due(&self, target_bytes: u64) -> bool {
        let count = lock(&self.reader.segments).len();
        let bytes = self.reader.bytes();
        let is_scattered = count > SEGMENTS_MAX && bytes / (count as u64) < SMALL_SEGMENT_BYTES;
        count > 1 && (is_scattered || bytes > target_bytes.max(2 * self.pass.kept_before))
    }

    /// Whether nothing was appended to the current segment yet.
    pub fn is_segment_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Reads the next entries of the oldest segment; none at its end. Those that
    /// are still needed have to be appended before [`LogFile::advance`].
    pub fn read_oldest(&self) -> io::Result<Vec<StoredEntry>> {
        let Some(oldest) = lock(&self.reader.segments).front().cloned() else {
            return Ok(Vec::new());
        };
        let mut reader = SegmentReader::new(oldest, self.read_offset);
        let mut entries = Vec::new();
        while reader.offset() < self.read_offset + CHUNK_BYTES {
            let Some(entry) = reader.read_next()? else { break };
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Continues after the entries that [`LogFile::read_oldest`] has returned, of
    /// which `kept` bytes were written again. Removes the segment at its end.
    pub fn advance(&mut self, entries: &[StoredEntry], kept: u64) -> io::Result<()> {
        self.pass.kept += kept;
        match entries.last().map(|entry| entry.location) {
            Some(last) => {
                self.read_offset = u64::from(last.offset) + u64::from(last.bytes);
                Ok(())
            }
            None => self.remove_oldest(),
        }
    }

    fn remove_oldest(&mut self) -> io::Result<()> {
        let removed = lock(&self.reader.segments).pop_front();
        self.read_offset = 0;
        let Some(removed) = removed else { return Ok(()) };
        if removed.number >= self.pass.last {
            self.pass = Pass { last: self.number, kept: 0, kept_before: self.pass.kept };
        }
        fs::remove_file(segment_path(&self.folder, removed.number))?;
        sync_folder(&self.folder)
    }
}

/// Reads the entries of a segment. Cuts off what no sound entry follows if it
/// may be of an interrupted write.
fn read_segment(
    folder: &Path,
    segment: Segment,
    may_be_torn: bool,
    recovered: &mut RecoveryStats,
    apply: &mut impl FnMut(StoredEntry),
) -> io::Result<Segment> {
    let mut reader = SegmentReader::new(segment.clone(), 0);
    while let Some(entry) = reader.read_next()? {
        recovered.entries += 1;
        if let StoredContent::Unknown(_) = entry.content {
            recovered.unknown_entries += 1;
        }
        apply(entry);
    }
    let (number, unread) = (segment.number, reader.unread_bytes);
    let mut damaged = reader.damaged_bytes;
    let mut bytes = segment.bytes;
    if may_be_torn && unread > 0 && !reader.is_undecided {
        recovered.torn_bytes += unread;
        bytes -= unread;
        let file = OpenOptions::new().write(true).open(segment_path(folder, number))?;
        file.set_len(bytes)?;
        file.sync_all()?;
    } else {
        damaged += unread;
    }
    if damaged > 0 {
        recovered.damaged_bytes += damaged;
        log::error!("event=ledger_damaged segment={number} bytes={damaged} of={}", segment.bytes);
    }
    Ok(Segment { bytes, ..segment })
}

/// Segments sorted by number. Removes what earlier versions left of unfinished
/// checkpoints.
fn segments(folder: &Path) -> io::Result<Vec<Segment>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let number = path.file_stem().and_then(|stem| stem.to_str()?.parse::<u32>().ok());
        match (number, path.extension().and_then(|ending| ending.to_str())) {
            (Some(number), Some(SEGMENT_EXTENSION)) => {
                let file = Arc::new(File::open(path)?);
                let bytes = file.metadata()?.len();
                found.push(Segment { number, file, bytes });
            }
            (Some(_), Some(TEMP_EXTENSION)) => fs::remove_file(path)?,
            _ => {}
        }
    }
    found.sort_by_key(|segment| segment.number);
    Ok(found)
}

fn segment_path(folder: &Path, number: u32) -> PathBuf {
    folder.join(format!("{number:08}.{SEGMENT_EXTENSION}"))
}

fn create(folder: &Path, number: u32) -> io::Result<File> {
    let path = segment_path(folder, number);
    let file = OpenOptions::new().create(true).append(true).read(true).open(path)?;
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
