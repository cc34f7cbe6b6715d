//! The questionnaire that a team answers.

mod problem;

pub use problem::Problem;
