//! `profile`: lists, shows and changes configuration documents.

use argh::FromArgs;
use gg_protocol::{Document, Name, config::Versioned};
use gg_settings::print_document;

use super::{
    apply::apply,
    cli::Context,
    output::{CommandError, print_json, print_table},
};

/// Lists, shows, rolls back or removes profiles and other documents.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "profile",
    example = "Show a profile as text that `apply` reads:\n  greengagefork profile show urgent",
    example = "Apply the content with serial number 17 again, as a new version:\n  \
               greengagefork profile rollback urgent 17"
)]
pub(crate) struct ProfileCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    List(ListCommand),
    Show(ShowCommand),
    History(HistoryCommand),
    Rollback(RollbackCommand),
    Remove(RemoveCommand),
}

/// Lists all documents in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListCommand {}

/// Shows a document as INI.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowCommand {
    /// name of a profile, or key of a document such as upstream/e1
    #[argh(positional)]
    name: String,
}

/// Shows the current and former contents of a document.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryCommand {
    /// name of a profile, or key of a document such as upstream/e1
    #[argh(positional)]
    name: String,
}

/// Applies a former content of a document as a new version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback")]
struct RollbackCommand {
    /// name of a profile, or key of a document such as upstream/e1
    #[argh(positional)]
    name: String,

    /// serial number of the content, from its history
    #[argh(positional)]
    serial: u64,

    /// wait until the change is in force on every live daemon
    #[argh(switch)]
    wait: bool,
}

/// Removes a document.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveCommand {
    /// name of a profile, or key of a document such as upstream/e1
    #[argh(positional)]
    name: String,
}

impl ProfileCommand {
    pub(crate) async fn run(self, context: &Context) -> Result<(), CommandError> {
        match self.action {
            Action::List(_) => list(context).await,
            Action::Show(command) => show(context, &command.name).await,
            Action::History(command) => history(context, &command.name).await,
            Action::Rollback(command) => rollback(context, &command).await,
            Action::Remove(command) => {
                let accepted = context.client.remove(&key(&command.name)).await?;
                print_json(&accepted);
                Ok(())
            }
        }
    }
}

fn key(name: &str) -> String {
    if name.contains('/') { name.to_owned() } else { format!("profile/{name}") }
}

async fn find(context: &Context, name: &str) -> Result<(Name, Versioned), CommandError> {
    let document_key = key(name);
    let documents = context.client.documents().await?;
    documents.into_iter().find(|(key, _)| **key == *document_key).ok_or_else(|| {
        CommandError::request(
            format!("no document {document_key}"),
            "see greengagefork profile list",
        )
    })
}

async fn list(context: &Context) -> Result<(), CommandError> {
    let documents = context.client.documents().await?;
    if context.json {
        print_json(&documents);
        return Ok(());
    }
    let mut rows = vec![vec!["key".into(), "version".into(), "serial".into(), "content".into()]];
    for (key, versioned) in documents {
        let current = &versioned.doc.current;
        rows.push(vec![
            key.to_string(),
            versioned.version.to_string(),
            current.serial.to_string(),
            summary(&current.document),
        ]);
    }
    print_table(&rows);
    Ok(())
}

fn summary(document: &Document) -> String {
    match document {
        Document::Profile(profile) => format!(
            "rank {}, target {} ms, budget {} tokens, floor {} %",
            profile.rank, profile.target_ms, profile.budget_tokens, profile.floor_percent
        ),
        Document::Upstream(upstream) => {
            format!("{:?} {} {}", upstream.kind, upstream.address, upstream.models.join(","))
        }
        Document::Customer(customer) => format!("{} keys", customer.keys.len()),
        Document::Model(model) => format!("version {}", model.version),
        Document::Removed => "removed".into(),
    }
}

async fn show(context: &Context, name: &str) -> Result<(), CommandError> {
    let (key, versioned) = find(context, name).await?;
    match context.json {
        true => print_json(&versioned),
        false => {
            let document = &versioned.doc.current.document;
            print!("{}", print_document(&key, document, versioned.version));
        }
    }
    Ok(())
}

async fn history(context: &Context, name: &str) -> Result<(), CommandError> {
    let (_, versioned) = find(context, name).await?;
    if context.json {
        print_json(&versioned.doc);
        return Ok(());
    }
    let mut rows = vec![vec!["serial".into(), "content".into()]];
    let entries = std::iter::once(&versioned.doc.current).chain(&versioned.doc.history);
    rows.extend(entries.map(|entry| vec![entry.serial.to_string(), summary(&entry.document)]));
    print_table(&rows);
    Ok(())
}

async fn rollback(context: &Context, command: &RollbackCommand) -> Result<(), CommandError> {
    let (key, versioned) = find(context, &command.name).await?;
    let former = versioned.doc.history.iter().find(|entry| entry.serial == command.serial);
    let former = former.ok_or_else(|| {
        let message = format!("{key} has no former serial {}", command.serial);
        CommandError::request(message, "see greengagefork profile history")
    })?;
    if former.document == Document::Removed {
        let message = format!("serial {} of {key} is a removal", command.serial);
        return Err(CommandError::request(
            message,
            "to remove it, use greengagefork profile remove",
        ));
    }
    let text = print_document(&key, &former.document, versioned.version);
    apply(context, &text, false, command.wait).await
}
