//! Runs the platform stand-in.

fn main() -> std::io::Result<()> {
    let args: standins::platform::Args = argh::from_env();
    async_std::task::block_on(standins::platform::run(args))
}
