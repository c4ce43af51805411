//! Runs the service stand-in.

fn main() -> std::io::Result<()> {
    let args: standins::service::Args = argh::from_env();
    async_std::task::block_on(standins::service::run(args))
}
