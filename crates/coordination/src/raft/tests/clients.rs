//! Simulated operators that send and resend approvals, and read.

use rand::RngExt;
use sycamoreflow_state::ids::{ConfigVersion, Millis};

use super::sim::{Request, Sim};
use crate::machine::tests::approve;
use crate::raft::{Input, Token};

impl Sim {
    /// Sends an approval whose base is the version that replica `index` has applied.
    pub(super) fn approve(&mut self, index: usize) -> usize {
        let base = self.nodes[index].machine.version();
        self.approve_on(base, index)
    }

    pub(super) fn approve_on(&mut self, base: ConfigVersion, index: usize) -> usize {
        let number = self.requests.len();
        self.requests.push(Request {
            id: format!("r{number}").into(),
            base,
            answers: format!("v{number}"),
            done: false,
            sent: self.now,
        });
        self.submit(number, index);
        number
    }

    /// Sends a request to replica `index`, for the first time or again.
    pub(super) fn submit(&mut self, number: usize, index: usize) {
        let request = &mut self.requests[number];
        request.sent = self.now;
        let command = approve(
            request.id.as_str(),
            request.base.0,
            &request.answers,
            self.now.0,
        );
        let data = command.encode().unwrap();
        let token = self.next_token();
        self.proposals.insert(token, number);
        self.input(index, Input::Propose { token, data });
    }

    pub(super) fn resend_requests(&mut self) {
        let late =
            |request: &Request| !request.done && self.now.since(request.sent) >= Millis(1500);
        let late: Vec<usize> = (0..self.requests.len())
            .filter(|number| late(&self.requests[*number]))
            .collect();
        for number in late {
            let index = self.rng.random_range(0..self.nodes.len());
            self.submit(number, index);
        }
    }

    /// Reads at a replica. The result must include everything acknowledged so far.
    pub(super) fn read(&mut self, index: usize) {
        let token = self.next_token();
        self.reads.insert(token, self.oracle.acknowledged_index);
        self.input(index, Input::ReadIndex { token });
    }

    pub(super) fn next_token(&mut self) -> Token {
        self.sequence += 1;
        Token(self.sequence)
    }
}
