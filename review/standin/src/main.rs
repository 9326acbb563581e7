//! Stand-ins and drivers of the review's cases.
//!
//! `review_standin CASE PROGRAM FOLDER RECORD` plays one case and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod caller;
mod cases;
mod gateway;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod target;

use std::path::PathBuf;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder, file] = arguments.as_slice() else {
        eprintln!("usage: review_standin CASE PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(PathBuf::from(file));
    let (program, folder) = (PathBuf::from(program), PathBuf::from(folder));
    record
        .note(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "extra-refusal" => cases::extra_refusal::play(&program, &folder, &record, trouble),
        "late-grant" => cases::late_grant::play(&program, &folder, &record, trouble),
        "large-bodies" => cases::large_bodies::play(&program, &folder, &record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.note(text);
    record.save();
    println!("{text}");
    std::process::exit(code);
}
