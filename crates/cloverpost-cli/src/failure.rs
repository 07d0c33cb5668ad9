//! Errors of the command-line program and their exit codes.

use std::process::ExitCode;

/// Exit code for invalid arguments or settings.
const USAGE_EXIT_CODE: u8 = 2;

/// An error that ends the program with a non-zero exit code.
#[derive(Debug)]
pub enum Failure {
    /// An argument or setting is invalid.
    Usage(String),
    /// The command failed while running.
    Runtime(String),
}

// The constructors take the message by value so that they can be passed to `map_err`.
#[allow(clippy::needless_pass_by_value)]
impl Failure {
    /// Creates an error for an invalid argument or setting.
    pub fn usage(message: impl ToString) -> Self {
        Self::Usage(message.to_string())
    }

    /// Creates an error for a command that failed while running.
    pub fn runtime(message: impl ToString) -> Self {
        Self::Runtime(message.to_string())
    }

    /// Prints the error to standard error and returns the exit code.
    pub fn report(self) -> ExitCode {
        match self {
            Self::Usage(message) => {
                eprintln!("error: {message}");
                ExitCode::from(USAGE_EXIT_CODE)
            }
            Self::Runtime(message) => {
                eprintln!("error: {message}");
                ExitCode::FAILURE
            }
        }
    }
}

/// Parses the value of an optional flag. `form` describes the expected syntax.
pub fn parse<T: std::str::FromStr>(
    flag: &str,
    value: Option<String>,
    default: T,
    form: &str,
) -> Result<T, Failure> {
    match value {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| {
            Failure::usage(format!("{flag}: invalid value `{text}`: expected {form}"))
        }),
    }
}
