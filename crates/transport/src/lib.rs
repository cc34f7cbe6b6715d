//! Sockets and files of sycamoreflow.

pub mod storage;
