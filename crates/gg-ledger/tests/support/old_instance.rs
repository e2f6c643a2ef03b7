//! An instance that handles accounts as 735404d did: its messages end without
//! the fields that were added later, and it ignores those that it receives.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use gg_ledger::Member;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    sync::CancellationToken,
};

use super::recorded::{Body, Op, Reply, Request};

/// Tokens by turn, and whether they are settled.
type Account = HashMap<String, (u32, bool)>;

/// An instance that keeps its accounts while it is stopped.
pub struct OldInstance {
    address: SocketAddr,
    accounts: Arc<Mutex<HashMap<String, Account>>>,
    stop: CancellationToken,
}

impl OldInstance {
    pub async fn start() -> Self {
        let (address, stop) = (super::free_address(), CancellationToken::new());
        let mut instance = OldInstance { address, accounts: Arc::default(), stop };
        instance.restart().await;
        instance
    }

    pub fn member(&self, number: u64) -> Member {
        let (instance, centre) = (format!("old-{number}").into(), format!("c-{number}").into());
        Member { instance, disk: number, address: self.address, centre }
    }

    pub fn stop(&self) {
        self.stop.cancel();
    }

    pub async fn restart(&mut self) {
        self.stop = CancellationToken::new();
        let listener = TcpListener::bind(self.address).await.expect("a free port");
        let (accounts, stop) = (self.accounts.clone(), self.stop.clone());
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let serving = serve(socket, accounts.clone());
                tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
            }
        }));
    }
}

async fn serve(socket: TcpStream, accounts: Arc<Mutex<HashMap<String, Account>>>) {
    let mut connection = Framed::new(socket, LengthDelimitedCodec::new());
    while let Some(Ok(frame)) = connection.next().await {
        let (id, _, _, _, op): Request = postcard::from_bytes(&frame).expect("a request");
        let body = answer(op, &mut accounts.lock().expect("not poisoned"));
        let Some(body) = body else { continue };
        let reply: Reply = (id, body);
        let reply = postcard::to_allocvec(&reply).expect("encoded");
        if connection.send(Bytes::from(reply)).await.is_err() {
            return;
        }
    }
}

fn answer(op: Op, accounts: &mut HashMap<String, Account>) -> Option<Body> {
    match op {
        Op::Ping => Some(Body::Pong),
        Op::Open(turn, Some((program, tokens)), ..) => {
            let account = accounts.entry(program).or_default();
            let others = account.iter().filter(|(other, _)| **other != turn);
            let others = others.map(|(_, (tokens, _))| u64::from(*tokens)).sum();
            account.entry(turn).or_insert((tokens, false));
            Some(Body::Opened(others, None, None))
        }
        Op::Close(turn, settle, record, _) => {
            if let Some((program, tokens)) = settle {
                accounts.entry(program).or_default().insert(turn, (tokens, true));
            }
            record.map(|_| Body::Closed)
        }
        Op::Account(program) => {
            let account = accounts.entry(program).or_default();
            let spends = account
                .iter()
                .map(|(turn, (tokens, is_settled))| (turn.clone(), *tokens, *is_settled));
            Some(Body::Account(spends.collect()))
        }
        _ => None,
    }
}
