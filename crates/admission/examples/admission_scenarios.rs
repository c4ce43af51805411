//! Prints the results of clients in each scenario, with the mechanism on and off. Run with `--release`.

#[path = "../tests/support/mod.rs"]
mod support;

fn main() {
    println!("| scenario | measured | off | on |");
    println!("| --- | --- | ---: | ---: |");
    for scenario in support::scenarios::all() {
        let (off, on) = (scenario.run(false), scenario.run(true));
        for ((name, off), (_, on)) in off.iter().zip(&on) {
            // An empty sum is -0.0 and would be printed with a minus sign.
            let off = off + 0.0;
            println!("| {} | {name} | {off:.3} | {on:.3} |", scenario.name);
        }
    }
}
