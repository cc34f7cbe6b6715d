//! Sockets and files of sycamoreflow.

mod timer;
pub mod call_link;
pub mod http;
pub mod link;
pub mod listen;
pub mod storage;
