//! Runs the engine stand-in.

fn main() -> std::io::Result<()> {
    let args: standins::engine::Args = argh::from_env();
    async_std::task::block_on(standins::engine::run(args))
}
