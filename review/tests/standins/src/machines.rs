//! The project's own processes, each with an address and a folder of its own, as
//! on machines of the users. Their settings are filled from the templates of the
//! deploy file.

use std::{
    fs,
    net::SocketAddr,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Ports are the same on all machines.
const FRONT_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const OWN_PORT: u16 = 7380;

/// Memory and disk of a ledger machine, in MB, as on the small installations.
const MEMORY_MB: u32 = 300;
const DISK_MB: u32 = 530;

/// Class of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Front,
    Store,
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    class: Class,
    zone: String,
    ip: String,
    store: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Machine {
    pub fn new(
        name: &str,
        class: Class,
        zone: &str,
        ip: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let folder = folder.join(name);
        fs::create_dir_all(folder.join("data")).expect("the folder can be created");
        Machine {
            name: name.into(),
            class,
            zone: zone.into(),
            ip: ip.into(),
            store,
            folder,
            child: None,
            record: record.clone(),
        }
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        self.address(FRONT_PORT)
    }

    /// Address for readiness checks.
    pub fn ready(&self) -> SocketAddr {
        self.address(READY_PORT)
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    /// Starts the process. `bootstrap` is set when the whole system starts for
    /// the first time.
    pub fn start(&mut self, bootstrap: bool) {
        let settings = self.folder.join("boot.ini");
        fs::write(&settings, self.settings(bootstrap)).expect("the settings can be written");
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let log = log.expect("the log can be written");
        let mut command = Command::new("target/release/greengageforkd");
        command.arg(settings).stdout(log.try_clone().expect("a file")).stderr(log);
        command.stdin(Stdio::null());
        // SAFETY: the call only asks the kernel to end the process with its parent.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("the process starts"));
        self.record.say(&format!("started machine={} bootstrap={bootstrap}", self.name));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.say(&format!("killed machine={}", self.name));
        }
    }

    /// Sends SIGTERM and waits for the end of the process, which is killed after
    /// the time that the pages give it (`grace-s`).
    pub fn stop(&mut self, grace: Duration) {
        let Some(child) = &mut self.child else { return };
        // SAFETY: the child was not waited for yet, so its id is its own.
        unsafe { libc::kill(child.id() as libc::pid_t, libc::SIGTERM) };
        let until = Instant::now() + grace;
        while Instant::now() < until && matches!(child.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(5));
        }
        let has_ended = !matches!(child.try_wait(), Ok(None));
        self.record.say(&format!("sigterm machine={} ended={has_ended}", self.name));
        if !has_ended {
            self.kill();
        }
        self.child = None;
    }

    /// Removes everything on the disk of a machine whose process has ended.
    pub fn wipe(&self) {
        let data = self.folder.join("data");
        fs::remove_dir_all(&data).expect("the disk can be emptied");
        fs::create_dir_all(&data).expect("the folder can be created");
        self.record.say(&format!("disk_lost machine={}", self.name));
    }

    /// The template of the machine's role, filled in.
    fn settings(&self, bootstrap: bool) -> String {
        let (template, kept, dropped) = match self.class {
            Class::Front => ("deploy/gateway.ini", bootstrap, !bootstrap),
            Class::Store => ("deploy/ledger.ini", bootstrap, !bootstrap),
        };
        let mut text = fs::read_to_string(template).expect("the template of the deploy file");
        text = section(&text, "{{#bootstrap}}", kept);
        text = section(&text, "{{^bootstrap}}", dropped);
        let values = [
            ("node-name", self.name.clone()),
            ("zone", self.zone.clone()),
            ("provider.address", self.store.to_string()),
            ("listen.front", self.front().to_string()),
            ("listen.ready", self.ready().to_string()),
            ("ip", self.ip.clone()),
            ("port-range.0", OWN_PORT.to_string()),
            ("bounds.grace-s", "8".into()),
            ("data-dir", self.folder.join("data").display().to_string()),
            ("limits.memory-mb", MEMORY_MB.to_string()),
            ("limits.disk-mb", DISK_MB.to_string()),
            ("fault-tolerance.machines", "1".into()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a field of the template is not known: {text}");
        text
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Renders or drops the sections that begin with `start`.
fn section(text: &str, start: &str, is_rendered: bool) -> String {
    const END: &str = "{{/bootstrap}}";
    let mut rendered = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once(start) {
        let (inner, after) = after.split_once(END).expect("the section ends");
        rendered.push_str(before);
        rendered.push_str(if is_rendered { inner } else { "" });
        rest = after;
    }
    rendered + rest
}
