//! Loads as one flat list of numbers.
//!
//! Loads are most of what routers send each other. As a list of lists, brackets were a fifth of it. Endpoint numbers
//! ascend, and each is written as the distance from the one before, which mostly is 1.

use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::ser::{SerializeSeq, Serializer};
use std::fmt;

/// Number of the endpoint, running, waiting, prefill.
pub(crate) type Load = (u32, u32, u32, u32);

pub(crate) fn serialize<S: Serializer>(loads: &[Load], to: S) -> Result<S::Ok, S::Error> {
    let mut list = to.serialize_seq(Some(loads.len() * 4))?;
    let mut before = 0;
    for (number, running, waiting, prefill) in loads {
        list.serialize_element(&number.wrapping_sub(before))?;
        list.serialize_element(running)?;
        list.serialize_element(waiting)?;
        list.serialize_element(prefill)?;
        before = *number;
    }
    list.end()
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Load>, D::Error> {
    from.deserialize_seq(Loads)
}

struct Loads;

impl<'de> Visitor<'de> for Loads {
    type Value = Vec<Load>;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("four numbers for each load")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<Load>, A::Error> {
        let mut loads = Vec::new();
        let mut before = 0_u32;
        while let Some(distance) = list.next_element::<u32>()? {
            let mut next = || {
                list.next_element()?
                    .ok_or_else(|| de::Error::invalid_length(loads.len() * 4, &self))
            };
            let number = before.wrapping_add(distance);
            let load = (number, next()?, next()?, next()?);
            loads.push(load);
            before = number;
        }
        Ok(loads)
    }
}
